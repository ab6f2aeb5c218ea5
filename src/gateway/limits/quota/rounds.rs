//! Rounds of reports, which measure how late reports are by their content.
//!
//! Each report carries the round of its sender. A node enters the next round when half of its peers have
//! reported that they are in its own, which they enter after they heard of the round before. What a node
//! spent two rounds ago is therefore known to half of the peers, and what they spent then is known to the node,
//! whether reports take 50 ms or 2 s. No clocks are compared.

/// Returns the round that follows `own` if half of the peers are in that round or later.
///
/// `peers` are the rounds of the peers with a recent report. A node that lags behind enters the round
/// after theirs at once.
pub(super) fn next_round(own: u32, mut peers: Vec<u32>) -> Option<u32> {
    let place = peers.len().checked_sub(1)? / 2;
    let (_, median, _) = peers.select_nth_unstable(place);
    (*median >= own).then(|| median.saturating_add(1))
}
