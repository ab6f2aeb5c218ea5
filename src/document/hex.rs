//! Encodes and decodes bytes as hexadecimal text.

const DIGITS: [u8; 16] = *b"0123456789abcdef";

/// Encodes each byte as two lower-case digits.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
    digits
        .map(|digit| char::from(DIGITS[usize::from(digit)]))
        .collect()
}

/// Decodes pairs of hexadecimal digits; returns `None` for invalid text or an odd length.
pub(crate) fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digit = |character: u8| char::from(character).to_digit(16);
    let byte = |pair: &[u8]| match pair {
        [high, low] => u8::try_from(digit(*high)? * 16 + digit(*low)?).ok(),
        _ => None,
    };
    text.as_bytes().chunks(2).map(byte).collect()
}
