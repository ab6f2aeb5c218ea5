//! The key that all nodes of a fleet share.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Fewest bytes that a fleet key may have.
const MIN_KEY_BYTES: usize = 16;

/// Size of a [`Tag`].
pub const TAG_BYTES: usize = 16;

/// An HMAC-SHA256, cut to 128 bits as RFC 2104 section 5 permits.
pub type Tag = [u8; TAG_BYTES];

/// The secret by which nodes of one fleet know each other.
///
/// Only the keyed hash state is kept, so the secret itself cannot be printed.
#[derive(Clone)]
pub struct FleetKey {
    keyed: Hmac<Sha256>,
}

/// Why bytes can't be a fleet key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a fleet key has at least {MIN_KEY_BYTES} bytes, this one has {length_bytes}")]
pub struct KeyError {
    /// How many bytes there were.
    pub length_bytes: usize,
}

impl FleetKey {
    /// The tag of `parts` for one `purpose`.
    ///
    /// Each part goes in with its length: otherwise bytes could move from one part to the next
    /// without the tag changing, and a tag for one message would fit another.
    #[must_use]
    pub fn tag(&self, purpose: &str, parts: &[&[u8]]) -> Tag {
        let whole = self.keyed_over(purpose, parts).finalize().into_bytes();
        let mut tag = Tag::default();
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is the one of `parts`, compared in constant time.
    ///
    /// A shorter tag is compared over its own length; an empty one never fits.
    #[must_use]
    pub fn verify(&self, purpose: &str, parts: &[&[u8]], tag: &[u8]) -> bool {
        let keyed = self.keyed_over(purpose, parts);
        tag.len() <= TAG_BYTES && keyed.verify_truncated_left(tag).is_ok()
    }

    fn keyed_over(&self, purpose: &str, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut keyed = self.keyed.clone();
        for part in std::iter::once(purpose.as_bytes()).chain(parts.iter().copied()) {
            keyed.update(&(part.len() as u64).to_be_bytes());
            keyed.update(part);
        }
        keyed
    }
}

impl TryFrom<&[u8]> for FleetKey {
    type Error = KeyError;

    fn try_from(secret: &[u8]) -> Result<Self, KeyError> {
        let length_bytes = secret.len();
        if length_bytes < MIN_KEY_BYTES {
            return Err(KeyError { length_bytes });
        }
        let keyed = <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("HMAC takes any length");
        Ok(Self { keyed })
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(redacted)")
    }
}
