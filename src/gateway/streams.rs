//! What binds a stream after its first event: the software version that began it.
//!
//! What two versions of an upstream's software write does not fit together, and upstreams do not check it. A stream
//! therefore goes on only at the version that sent its first event, within one answer and when its caller takes it up.

mod version;

pub(crate) use version::VersionTag;
