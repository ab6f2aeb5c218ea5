//! What nodes state to each other of the speed of each upstream.

use super::UpstreamTable;
use crate::gateway::num;
use crate::gateway::speed::relative::{
    HALF_LIFE_MS, MIN_WEIGHT, RelativeSpeed, Scope, Sender, Standing,
};
use crate::gateway::speed::sums::{SpeedRow, Sums};

/// Most rows in one statement; each takes 21 bytes. Rows beyond it follow in the next one.
pub(crate) const MAX_ROWS: usize = 128;

/// An upstream whose speed left or entered the usual range of its pool.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StandingChange {
    pub upstream: String,
    pub pool: String,
    pub standing: Standing,
    pub factor: f64,
}

impl UpstreamTable {
    /// Returns the rows that the nodes of a scope have not been told of, those with the most news
    /// first, at most [`MAX_ROWS`].
    ///
    /// `group` holds the incarnations of this node's group, sorted.
    pub fn take_speed_rows(&mut self, scope: Scope, group: &[u64]) -> Vec<SpeedRow> {
        let mut untold: Vec<(u32, u64, &mut RelativeSpeed)> = (self.arena.iter_mut())
            .filter_map(|slot| slot.upstream.as_mut())
            .map(|upstream| {
                let speed = &mut upstream.speed;
                (speed.untold(scope), upstream.tag, speed)
            })
            .filter(|(count, _tag, _speed)| *count > 0)
            .collect();
        untold.sort_unstable_by_key(|(count, tag, _speed)| (std::cmp::Reverse(*count), *tag));
        (untold.into_iter().take(MAX_ROWS))
            .map(|(_count, tag, speed)| speed.take_row(scope, group, tag))
            .filter(|row| row.weight >= MIN_WEIGHT)
            .collect()
    }

    /// Applies a peer's statement; returns how many rows were dropped because they are invalid.
    ///
    /// Rows of upstreams without an entry are ignored.
    pub fn apply_speed_rows(&mut self, sender: &Sender<'_>, rows: &[SpeedRow]) -> usize {
        let mut dropped_count = 0;
        for row in rows.iter().take(MAX_ROWS) {
            let Ok(sums) = Sums::try_from(*row) else {
                dropped_count += 1;
                continue;
            };
            let key = self.find_tag(row.upstream);
            if let Some(upstream) = key.and_then(|key| self.get_mut(key)) {
                upstream.speed.apply(sender, sums);
            }
        }
        dropped_count
    }

    /// Lets the requests in all sums age and drops those of speakers that are no members any more;
    /// returns the upstreams whose standing changed.
    ///
    /// `members` holds the incarnations of all nodes, sorted.
    pub fn age_speeds(&mut self, elapsed_ms: u64, members: &[u64]) -> Vec<StandingChange> {
        let kept_share = kept_share(elapsed_ms);
        let upstreams = (self.arena.iter_mut()).filter_map(|slot| slot.upstream.as_mut());
        let changes = upstreams.filter_map(|upstream| {
            upstream.speed.drop_former_speakers(members);
            let standing = upstream.speed.decay(kept_share)?;
            Some(StandingChange {
                upstream: upstream.announcement.id.clone(),
                pool: upstream.announcement.pool.clone(),
                standing,
                factor: upstream.speed.factor(),
            })
        });
        changes.collect()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the share lies between 0 and 1"
)]
fn kept_share(elapsed_ms: u64) -> f32 {
    0.5_f64.powf(num::to_f64(elapsed_ms) / num::to_f64(HALF_LIFE_MS)) as f32
}

#[cfg(test)]
mod tests;
