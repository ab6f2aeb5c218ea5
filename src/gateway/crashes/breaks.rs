//! Tells the failures of an attempt that a crash of its upstream explains from all others.

/// Returns whether an attempt that failed for this reason may have crashed its upstream.
///
/// An upstream that crashes closes its connections: before the head of a response, within its body,
/// or within a stream, also in the middle of an event. A connection that an upstream behind a network
/// partition cannot close is found out by the upstream's restart or by the next start at its address. A silent upstream is alive
/// as far as its connection shows, and an upstream that sends malformed events runs.
pub(crate) fn is_crash(reason: &str) -> bool {
    matches!(
        reason,
        "broken"
            | "body_broken"
            | "stream_broken"
            | "ended_empty"
            | "ended_within_event"
            | "upstream_restarted"
    )
}

/// Returns whether an attempt was given up for this reason while its upstream may have been silent.
pub(crate) fn is_silence(reason: &str) -> bool {
    matches!(reason, "silent" | "stream_silent" | "late")
}

#[cfg(test)]
mod tests;
