//! Tests of partial, malformed and oversized frames.

use super::*;

#[test]
fn frames_split_into_pieces_are_decoded() {
    let mut frames = BytesMut::new();
    for number in 0..100_u64 {
        encode_frame(&(number, "text".repeat(3)), &mut frames).unwrap();
    }
    for piece_bytes in [1, 3, 7, 64, 10_000] {
        let mut received = BytesMut::new();
        let mut numbers = Vec::new();
        for piece in frames.chunks(piece_bytes) {
            received.extend_from_slice(piece);
            while let Some((number, _)) = decode_frame::<(u64, String)>(&mut received).unwrap() {
                numbers.push(number);
            }
        }
        assert!(numbers.into_iter().eq(0..100));
        assert!(received.is_empty());
    }
}

#[test]
fn excessive_length_is_rejected_before_allocation() {
    let mut frames = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    let error = decode_frame::<String>(&mut frames).unwrap_err();
    assert!(matches!(error, CodecError::TooLarge { .. }));
    // A string with a declared length of 2^60 bytes.
    let mut bytes = vec![253];
    bytes.extend_from_slice(&(1_u64 << 60).to_le_bytes());
    let error = decode::<String>(&bytes).unwrap_err();
    assert!(matches!(error, CodecError::Decode(_)));
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut bytes = encode(&7_u64).unwrap().to_vec();
    bytes.push(0);
    let error = decode::<u64>(&bytes).unwrap_err();
    assert!(matches!(error, CodecError::Trailing { extra_bytes: 1 }));
}
