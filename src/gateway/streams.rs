//! What binds a stream after its first event: the pool and the software version that began it.
//!
//! What two versions of an upstream's software write does not fit together, and upstreams do not check it. A stream
//! therefore goes on only at the version that sent its first event, within one answer and when its caller takes it up.
//!
//! The node that forwards the first event may be lost before the caller comes back, to any other node. Each start of a
//! resumable stream is therefore recorded at some peers, selected by a hash of the request's id (`holders`), which keep
//! it for a while (`origins`). A node at which a caller takes a stream up asks them (`queries`) and decides by what they
//! state (`binding`). All nodes may be lost at once, so the starts are written to the platform's store as well
//! (`archiving`), from which nodes read them when they start (`archive`).

mod archive;
mod archiving;
mod binding;
mod holders;
mod origins;
mod queries;
mod version;

pub(crate) use archive::{Start, StreamArchive, UnwrittenStarts, WaitingStarts};
pub(crate) use archiving::{
    accept_to_pass_on, accept_to_write, pass_starts_on, read_archive, reads_archive, write_starts,
};
pub(crate) use binding::{Begun, bind};
pub(crate) use origins::{Origin, Origins, StreamKey};
pub(crate) use queries::{
    Answer, Query, WaitingQueries, answer, apply_answer, hand_over, record_start,
};
pub(crate) use version::VersionTag;
