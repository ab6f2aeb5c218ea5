//! The secret key shared by all nodes of a fleet.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Minimum size of a fleet key.
const MIN_KEY_BYTES: usize = 16;

/// Size of a [`Tag`].
pub const TAG_BYTES: usize = 16;

/// An HMAC-SHA256 truncated to 128 bits, as RFC 2104 section 5 permits.
pub type Tag = [u8; TAG_BYTES];

/// The secret that authenticates the nodes of a fleet to each other.
///
/// Only the keyed hash state is stored, so the secret itself cannot be printed.
#[derive(Clone)]
pub struct FleetKey {
    keyed_hash: Hmac<Sha256>,
}

/// The error for a secret that is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a fleet key has at least {MIN_KEY_BYTES} bytes, this one has {length_bytes}")]
pub struct KeyError {
    /// The size of the secret.
    pub length_bytes: usize,
}

impl FleetKey {
    /// Returns the tag of `parts` for one `purpose`.
    ///
    /// Each part is hashed with its length. Otherwise bytes could be moved between adjacent parts
    /// without a change of the tag, and the tag of one message would be valid for another.
    #[must_use]
    pub fn tag(&self, purpose: &str, parts: &[&[u8]]) -> Tag {
        let whole = self.hash_parts(purpose, parts).finalize().into_bytes();
        let mut tag = Tag::default();
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Returns whether `tag` is valid for `parts`, comparing in constant time.
    ///
    /// A shorter tag is compared over its own length; an empty tag is never valid.
    #[must_use]
    pub fn verify(&self, purpose: &str, parts: &[&[u8]], tag: &[u8]) -> bool {
        let keyed_hash = self.hash_parts(purpose, parts);
        tag.len() <= TAG_BYTES && keyed_hash.verify_truncated_left(tag).is_ok()
    }

    fn hash_parts(&self, purpose: &str, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut keyed_hash = self.keyed_hash.clone();
        for part in std::iter::once(purpose.as_bytes()).chain(parts.iter().copied()) {
            keyed_hash.update(&(part.len() as u64).to_be_bytes());
            keyed_hash.update(part);
        }
        keyed_hash
    }
}

impl TryFrom<&[u8]> for FleetKey {
    type Error = KeyError;

    fn try_from(secret: &[u8]) -> Result<Self, KeyError> {
        let length_bytes = secret.len();
        if length_bytes < MIN_KEY_BYTES {
            return Err(KeyError { length_bytes });
        }
        let keyed_hash =
            <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("HMAC accepts keys of any length");
        Ok(Self { keyed_hash })
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(redacted)")
    }
}
