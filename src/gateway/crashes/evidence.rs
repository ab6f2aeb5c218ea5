//! Decides whether the crashes under one subject show that it is bad.

use super::{Kind, Recorded};
use crate::time::TimeMs;

/// Pieces of evidence that block a subject.
pub(super) const PIECES_TO_BLOCK: usize = 3;

/// Pieces that block a part under which answers went on shortly before the first one.
pub(super) const PIECES_TO_BLOCK_SOUND: usize = 5;

/// Crashes that must follow one another, so that the loss of many upstreams at once is not enough.
const MIN_ROUNDS: usize = 2;

/// Different requests that must have crashed; otherwise the whole content is to blame.
const MIN_CONTENTS: usize = 2;

/// Different addresses that must have crashed; an upstream that fails on its own keeps its address.
const MIN_ADDRESSES: usize = 2;

/// Most pieces of one request that is sent again and again.
const MAX_PIECES_OF_CONTENT: usize = 2;

/// Time by which reports of peers may come late, so that crashes seem to follow one another.
const ORDER_MARGIN_MS: u64 = 250;

/// Returns the number of upstreams that crashed; of those that were dark at once, one counts.
///
/// Each of several lost failure domains may have taken an upstream at which a retry of a sound request waited.
pub(super) fn upstreams(crashes: &[&Recorded]) -> usize {
    let seen: Vec<&Recorded> = (crashes.iter().copied())
        .filter(|recorded| recorded.kind == Kind::Seen)
        .collect();
    let mut dark: Vec<&Recorded> = Vec::new();
    for recorded in crashes
        .iter()
        .filter(|recorded| recorded.kind == Kind::Dark)
    {
        let mut others = seen.iter().chain(&dark);
        let is_apart = others.all(|earlier| {
            recorded.crash.upstream != earlier.crash.upstream && follows(recorded, earlier.at)
        });
        if is_apart {
            dark.push(recorded);
        }
    }
    distinct(&seen, |recorded| recorded.crash.upstream) + dark.len()
}

/// Returns the pieces of evidence in the crashes under a part; none if they do not show that the
/// part is bad, however many they are.
///
/// `crashes` are in the order of their times.
pub(super) fn pieces(crashes: &[&Recorded]) -> usize {
    let is_varied = rounds(crashes) >= MIN_ROUNDS
        && distinct(crashes, |recorded| recorded.crash.subjects.content) >= MIN_CONTENTS
        && distinct(crashes, |recorded| recorded.crash.address) >= MIN_ADDRESSES;
    if !is_varied {
        return 0;
    }
    let mut counted: Vec<&Recorded> = Vec::new();
    for recorded in crashes {
        let content = recorded.crash.subjects.content;
        let of_content = |earlier: &&&Recorded| earlier.crash.subjects.content == content;
        if counted.iter().filter(of_content).count() < MAX_PIECES_OF_CONTENT
            && (counted.iter()).all(|earlier| is_independent(recorded, earlier))
        {
            counted.push(recorded);
        }
    }
    counted.len()
}

/// Whether a crash has another cause than an earlier one, unless both have a bad part.
///
/// A failure domain that is lost takes all that runs there at once.
fn is_independent(later: &Recorded, earlier: &Recorded) -> bool {
    later.crash.upstream != earlier.crash.upstream
        && (follows(later, earlier.at) || later.crash.domain != earlier.crash.domain)
}

/// Whether the request of a crash was sent after an earlier crash was known.
fn follows(later: &Recorded, earlier_at: TimeMs) -> bool {
    later.sent_at() >= earlier_at.after(ORDER_MARGIN_MS)
}

/// Returns the most crashes whose requests were each sent after the crash before.
fn rounds(crashes: &[&Recorded]) -> usize {
    let mut count = 0;
    let mut last_at = TimeMs(0);
    for recorded in crashes {
        if count == 0 || follows(recorded, last_at) {
            count += 1;
            last_at = recorded.at;
        }
    }
    count
}

fn distinct(crashes: &[&Recorded], field: impl Fn(&Recorded) -> u64) -> usize {
    let mut values: Vec<u64> = crashes.iter().map(|recorded| field(recorded)).collect();
    values.sort_unstable();
    values.dedup();
    values.len()
}

#[cfg(test)]
mod tests;
