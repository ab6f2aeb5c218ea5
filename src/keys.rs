//! Small `Copy` keys of hosts, nodes and entries of the checked document.

use std::fmt;

use bincode::{Decode, Encode};

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u16);

        impl $name {
            /// Returns the position in the arena.
            #[must_use]
            pub fn index(self) -> usize {
                usize::from(self.0)
            }
        }

        impl From<usize> for $name {
            /// # Panics
            ///
            /// Panics if `index` exceeds `u16::MAX`, which the checks of the document rule out.
            fn from(index: usize) -> Self {
                Self(u16::try_from(index).expect("an arena index fits into u16"))
            }
        }
    };
}

arena_key!(
    /// The position of a failure domain in the document.
    DomainKey
);
arena_key!(
    /// The position of a host class in the document.
    ClassKey
);
arena_key!(
    /// The position of a pool, whose upstreams are interchangeable, in the document.
    PoolKey
);
arena_key!(
    /// The position of a model in the document.
    ModelKey
);
arena_key!(
    /// The position of a team in the document.
    TeamKey
);
arena_key!(
    /// The position of a latency class in the document.
    LatencyKey
);

/// The hash of a host's name on the platform.
///
/// Unlike a position, the hash is equal on all nodes without coordination.
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Encode,
    Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct HostKey(pub u64);

impl HostKey {
    /// Returns the key of the host with the platform name `name`.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(twox_hash::XxHash3_64::oneshot(name.as_bytes()))
    }
}

impl fmt::Debug for HostKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HostKey({:016x})", self.0)
    }
}

/// The random identifier of one run of a node's process, generated at its start.
///
/// A restarted node has a new incarnation, so messages for the previous process do not apply to it.
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Encode,
    Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
