//! The text that an engine generates: a pure function of prompt, seed and position.

use twox_hash::XxHash3_64;

/// Bytes of a prompt token.
pub(crate) const TOKEN_BYTES: usize = 4;
/// A prompt that holds this mark, a number and `>` makes the model stop after that many tokens.
pub const STOP_MARK: &str = "<stop-after:";

const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz012345";

/// Stands for a prompt and seed, so that a token costs no second pass over the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TextKey(u64);

impl TextKey {
    pub fn new(prompt: &str, seed: u64) -> Self {
        Self(XxHash3_64::oneshot_with_seed(seed, prompt.as_bytes()))
    }

    /// The token at `position`: three letters and a space, one prompt token long.
    pub fn token(self, position: u64) -> [u8; TOKEN_BYTES] {
        let mut mixed =
            (self.0 ^ position.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(position);
        mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        let [.., a, b, c] = mixed
            .to_le_bytes()
            .map(|byte| LETTERS[usize::from(byte & 31)]);
        [a, b, c, b' ']
    }
}

/// The token that every engine generates at `position`.
#[must_use]
pub fn token_text(prompt: &str, seed: u64, position: u64) -> String {
    String::from_utf8_lossy(&TextKey::new(prompt, seed).token(position)).into_owned()
}

/// The whole answer to a prompt.
#[must_use]
pub fn expected_answer(prompt: &str, seed: u64, max_tokens: u64) -> String {
    let key = TextKey::new(prompt, seed);
    let bytes = (0..answer_tokens(prompt, max_tokens)).flat_map(|position| key.token(position));
    String::from_utf8_lossy(&bytes.collect::<Vec<_>>()).into_owned()
}

/// The answer's length: `max_tokens`, or less where the prompt holds [`STOP_MARK`].
#[must_use]
pub fn answer_tokens(prompt: &str, max_tokens: u64) -> u64 {
    let stop = prompt.split_once(STOP_MARK);
    let stop = stop.and_then(|(_, rest)| rest.split_once('>')?.0.parse().ok());
    stop.unwrap_or(max_tokens).min(max_tokens)
}

/// Prompt tokens of a text of `bytes` bytes.
#[must_use]
pub fn prompt_tokens(bytes: usize) -> u64 {
    bytes.div_ceil(TOKEN_BYTES) as u64
}
