//! Topics of the store and their names.

/// Topics of the store that this program uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topic {
    /// The operators' configuration, a keyed topic.
    Configuration,
    /// Announcements of upstreams, a keyed topic.
    Upstreams,
    /// Announcements of this system's nodes, a keyed topic.
    Nodes,
    /// Lease and reports of the duties that only the lease holder performs.
    Duties,
    /// Where streams began, for nodes that start after all of them were lost.
    Streams,
    /// What is blocked because upstreams crashed under it, for the same case; a keyed topic.
    Blocks,
}

impl Topic {
    /// Value of the `topic` key in logs and metrics.
    pub(in crate::platform) fn label(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
            Self::Nodes => "nodes",
            Self::Duties => "duties",
            Self::Streams => "streams",
            Self::Blocks => "blocks",
        }
    }

    /// Name of the topic in the store.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Configuration => "keyed.op",
            Self::Upstreams => "keyed.servers",
            Self::Nodes => "keyed.status",
            Self::Duties => "duties",
            Self::Streams => "streams",
            Self::Blocks => "keyed.blocks",
        }
    }
}

/// Key of the operators' configuration within [`Topic::Configuration`].
pub(crate) const CONFIGURATION_KEY: &str = "config";
