//! The software version of an upstream, as nodes compare and exchange it.

use bincode::{Decode, Encode};

use crate::gateway::upstreams::tag;

/// Hash of an announced software version; an upstream that announces none has the version of the empty text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct VersionTag(u64);

impl VersionTag {
    /// Returns the tag of a version as it was announced.
    #[must_use]
    pub fn of(version: &str) -> Self {
        Self(tag(version))
    }
}
