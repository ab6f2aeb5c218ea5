//! Small `Copy` keys into the arenas of the checked document and the blackboard.

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
            /// The position in the arena.
            #[must_use]
            pub fn index(self) -> usize {
                usize::from(self.0)
            }
        }

        impl From<usize> for $name {
            /// # Panics
            ///
            /// If the arena has more than `u16::MAX` entries, which the document's checks forbid.
            fn from(index: usize) -> Self {
                Self(u16::try_from(index).expect("an arena holds at most u16::MAX entries"))
            }
        }
    };
}

arena_key!(
    /// A failure domain, by its position in the document.
    DomainKey
);
arena_key!(
    /// A class of hosts, by its position in the document.
    ClassKey
);
arena_key!(
    /// A pool of upstreams that serve the same thing, by its position in the document.
    PoolKey
);
arena_key!(
    /// A model, by its position in the document.
    ModelKey
);
arena_key!(
    /// A team of callers, by its position in the document.
    TeamKey
);
arena_key!(
    /// A latency class, by its position in the document.
    LatencyKey
);

/// A host, by the hash of the name that the platform gives it.
///
/// A hash rather than a position, so that all nodes name a host alike without agreeing first.
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
    /// The key of the host that the platform calls `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(twox_hash::XxHash3_64::oneshot(name.as_bytes()))
    }
}

impl fmt::Debug for HostKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HostKey({:016x})", self.0)
    }
}

/// One run of one node's process, drawn at random when it starts.
///
/// A host that restarts gets a new incarnation, so nothing said to the old one reaches the new one.
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
