//! Tests of frames that arrive in pieces of all sizes.

use super::*;

const SETTINGS: [u8; 15] = [0, 0, 6, 4, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 7];
const PING_ACK: [u8; 17] = [0, 0, 8, 6, 1, 0, 0, 0, 0, 7, 7, 7, 7, 7, 7, 7, 7];
const EMPTY_DATA: [u8; 9] = [0, 0, 0, 0, 1, 0, 0, 0, 5];

fn goaway(last_stream: u32, text: &[u8]) -> Vec<u8> {
    let length = u8::try_from(8 + text.len()).unwrap();
    let mut frame = vec![0, 0, length, GOAWAY, 0, 0, 0, 0, 0];
    frame.extend(last_stream.to_be_bytes());
    frame.extend([0; 4]);
    frame.extend(text);
    frame
}

/// Guards against a GOAWAY that is overlooked, or seen in the payload of another frame, because of how the bytes arrive.
#[test]
fn goaway_is_read_whatever_the_pieces_in_which_it_arrives() {
    let frames = [
        SETTINGS.to_vec(),
        goaway(STREAM_MASK, b"soon"),
        PING_ACK.to_vec(),
        EMPTY_DATA.to_vec(),
        goaway(257, b""),
        SETTINGS.to_vec(),
    ];
    let bytes = frames.concat();
    for piece_bytes in 1..=bytes.len() {
        let mut scan = GoAwayScan::default();
        let pieces = bytes.chunks(piece_bytes);
        let read: Vec<u32> = pieces.filter_map(|piece| scan.read(piece)).collect();
        assert_eq!(read.last(), Some(&257), "pieces of {piece_bytes} bytes");
        let first = [STREAM_MASK, 257].contains(&read[0]);
        assert!(first, "pieces of {piece_bytes} bytes: {read:?}");
    }
}

/// Guards against a GOAWAY that is seen where there is none.
#[test]
fn other_frames_name_no_last_stream() {
    let mut scan = GoAwayScan::default();
    let within_data = [&[0, 0, 17, 0, 0, 0, 0, 0, 1], goaway(0, b"").as_slice()].concat();
    let frames = [&SETTINGS[..], &within_data, &PING_ACK, &EMPTY_DATA].concat();
    assert_eq!(scan.read(&frames), None);
    let short = [0, 0, 4, GOAWAY, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    assert_eq!(scan.read(&short), None);
}

/// Guards against a reserved bit that makes every stream count as read.
#[test]
fn reserved_bit_of_the_last_stream_is_ignored() {
    let mut scan = GoAwayScan::default();
    assert_eq!(scan.read(&goaway(1 << 31 | 9, b"")), Some(9));
}
