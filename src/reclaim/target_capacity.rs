//! Tracks the free capacity of target hosts and draws candidates for each stream.

use super::links::SourceLinks;
use super::num::{ceil_to_u64, hash_pair, to_f64};
use super::view::{ReclaimView, StreamOnHost, Target};
use crate::keys::{DomainKey, HostKey, ModelKey};
use crate::time::TimeMs;

/// Number of targets drawn per stream, of which the best is chosen.
const CANDIDATE_DRAWS: u64 = 6;

/// Step of a low-discrepancy sequence: its multiples modulo 1 spread evenly from 0 to 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Least number of hosts under notice for a mass reclaim in a failure domain.
const MASS_RECLAIM_MIN_HOSTS: usize = 2;

/// Least fraction of a failure domain's hosts under notice for a mass reclaim.
const MASS_RECLAIM_MIN_SHARE: f64 = 0.2;

/// Certainty of the capacity for a stream on a target, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tier {
    /// Capacity within this node's share, for the maximum length of the stream.
    OwnShare,
    /// Capacity that other nodes may take at the same time.
    Contended,
    /// Capacity in a failure domain under mass reclaim.
    MassReclaim,
    /// No free capacity; the stream queues on the target by priority.
    Queued,
}

/// Remaining capacity and planned work of one target.
#[derive(Clone, Copy, Debug)]
struct TargetState {
    has_notice: bool,
    is_in_mass_reclaim: bool,
    share_slots: u32,
    share_kv_tokens: u64,
    slots: u32,
    kv_tokens: u64,
    waiting: u32,
    link_free_at_ms: TimeMs,
    compute_ms: u64,
}

/// The targets that serve one model.
#[derive(Debug)]
struct ModelTargets {
    model: ModelKey,
    /// All targets that serve the model and are not under notice.
    members: Vec<usize>,
    /// Targets outside mass reclaims, weighted by this node's share of their free slots.
    by_share: WeightedTargets,
    /// Targets outside mass reclaims, weighted by all their free slots.
    by_slots: WeightedTargets,
}

/// Targets with cumulative weights, for weighted draws.
#[derive(Debug)]
struct WeightedTargets {
    targets: Vec<usize>,
    cumulative_weights: Vec<u64>,
}

/// Free capacity of all targets, less what the current plan has reserved.
#[derive(Debug)]
pub(super) struct TargetCapacity<'a> {
    view: &'a ReclaimView<'a>,
    states: Vec<TargetState>,
    models: Vec<ModelTargets>,
    /// This node's fraction of all streams that have to move, from 0 to 1.
    node_share: f64,
    /// Fraction of a target's bandwidth and compute that other nodes leave unused.
    uncontended_fraction: f64,
}

impl<'a> TargetCapacity<'a> {
    pub(super) fn new(view: &'a ReclaimView<'a>, links: &SourceLinks<'_>) -> Self {
        let reclaimed = domains_in_mass_reclaim(view);
        let thresholds = rounding_thresholds(view.node_rank, view.nodes);
        let states = view
            .targets
            .iter()
            .zip(thresholds)
            .map(|(target, threshold)| {
                let slots = f64::from(target.free_slots) * links.node_share;
                TargetState {
                    has_notice: view.notice(target.host).is_some(),
                    is_in_mass_reclaim: reclaimed.binary_search(&target.domain).is_ok(),
                    share_slots: round_by_threshold(slots, threshold),
                    share_kv_tokens: ceil_to_u64(to_f64(target.kv_tokens_free) * links.node_share),
                    slots: target.free_slots,
                    kv_tokens: target.kv_tokens_free,
                    waiting: target.queued,
                    link_free_at_ms: TimeMs(0),
                    compute_ms: 0,
                }
            });
        let states: Vec<TargetState> = states.collect();
        let usable = states.iter().filter(|state| !state.has_notice).count();
        // Streams of other nodes share the targets. Without this allowance, imports would be
        // planned up to the last millisecond of the notice and would end after it.
        let sources_per_target = ratio(view.notices.len(), usable).min(1.0);
        Self {
            view,
            states,
            models: Vec::new(),
            node_share: links.node_share,
            uncontended_fraction: 1.0 - (1.0 - links.node_share) * sources_per_target,
        }
    }

    pub(super) fn target(&self, index: usize) -> &'a Target {
        &self.view.targets[index]
    }

    /// Returns the import bandwidth of a target that this node can rely on.
    pub(super) fn import_bytes_per_second(&self, index: usize) -> f64 {
        self.target(index).kv_bytes_per_second * self.uncontended_fraction
    }

    /// Returns the prefill rate of a target that this node can rely on.
    pub(super) fn prefill_tokens_per_second(&self, index: usize) -> f64 {
        self.target(index).prefill_tokens_per_second * self.uncontended_fraction
    }

    /// Returns the mutable time when the imports planned so far for a target are complete.
    pub(super) fn link_free_at_ms(&mut self, index: usize) -> &mut TimeMs {
        &mut self.states[index].link_free_at_ms
    }

    /// Returns the mutable prefill time of all streams planned so far for a target.
    pub(super) fn compute_ms(&mut self, index: usize) -> &mut u64 {
        &mut self.states[index].compute_ms
    }

    /// Whether the targets have fewer free slots than the streams of all nodes need.
    ///
    /// Compares the node's share before rounding, since rounding adds noise where slots are few.
    pub(super) fn is_scarce(&self, needed_slots: usize) -> bool {
        let states = self.states.iter();
        let states = states.filter(|state| !state.has_notice && !state.is_in_mass_reclaim);
        let slots: u64 = states.map(|state| u64::from(state.slots)).sum();
        let needed_slots = u64::try_from(needed_slots).unwrap_or(u64::MAX);
        to_f64(needed_slots) > to_f64(slots) * self.node_share
    }

    /// Returns the index of a target; `None` if it is unknown or under notice.
    pub(super) fn available_target(&self, host: HostKey) -> Option<usize> {
        let targets = self.view.targets;
        let found = targets.binary_search_by_key(&host, |target| target.host);
        found.ok().filter(|index| !self.states[*index].has_notice)
    }

    /// Returns a few targets with capacity for the stream, drawn by hash, weighted by free slots.
    ///
    /// Many nodes plan from the same stale view. If each chose the emptiest target, all would
    /// choose the same one, whose queue would grow while other targets stay idle. Draws differ
    /// between streams but are the same on each call for one stream.
    pub(super) fn candidates(&mut self, stream: &StreamOnHost, tier: Tier) -> Vec<usize> {
        let cached = stream
            .cached_on
            .and_then(|cached| self.available_target(cached.host));
        let model = self.model_index(stream.model);
        let hash = hash_pair(self.view.node.0, u64::from(stream.stream.0));
        let known = &self.models[model];
        let draws = (0..CANDIDATE_DRAWS).filter_map(|draw| known.draw(hash_pair(hash, draw), tier));
        let mut found: Vec<usize> = draws
            .filter(|index| self.fits(*index, stream, tier))
            .collect();
        if found.is_empty() {
            found.extend(self.first_fit(model, hash, stream, tier));
        }
        found.extend(cached.filter(|index| {
            known.members.binary_search(index).is_ok() && self.fits(*index, stream, tier)
        }));
        found
    }

    /// Reserves capacity for a stream on a target.
    pub(super) fn reserve(&mut self, index: usize, stream: &StreamOnHost, tier: Tier) {
        let state = &mut self.states[index];
        let kv_tokens = max_total_tokens(stream);
        state.waiting += u32::from(tier == Tier::Queued);
        state.slots = state.slots.saturating_sub(1);
        state.share_slots = state.share_slots.saturating_sub(1);
        state.kv_tokens = state.kv_tokens.saturating_sub(kv_tokens);
        state.share_kv_tokens = state.share_kv_tokens.saturating_sub(kv_tokens);
    }

    /// Returns the number of streams queued on a target, including those planned so far.
    pub(super) fn waiting(&self, index: usize) -> u32 {
        self.states[index].waiting
    }

    fn fits(&self, index: usize, stream: &StreamOnHost, tier: Tier) -> bool {
        let state = &self.states[index];
        let now_tokens = u64::from(stream.context_tokens());
        let has_room = state.slots > 0 && state.kv_tokens >= now_tokens;
        match tier {
            _ if state.has_notice => false,
            Tier::OwnShare => {
                has_room
                    && !state.is_in_mass_reclaim
                    && state.share_slots > 0
                    && state.share_kv_tokens >= max_total_tokens(stream)
            }
            Tier::Contended => has_room && !state.is_in_mass_reclaim,
            Tier::MassReclaim => has_room,
            Tier::Queued => true,
        }
    }

    fn first_fit(
        &self,
        model: usize,
        hash: u64,
        stream: &StreamOnHost,
        tier: Tier,
    ) -> Option<usize> {
        let targets = self.models[model].targets(tier);
        let (before, after) = targets.split_at(bounded_index(hash, targets.len()));
        let mut from_there = after.iter().chain(before).copied();
        from_there.find(|index| self.fits(*index, stream, tier))
    }

    fn model_index(&mut self, model: ModelKey) -> usize {
        match self
            .models
            .binary_search_by_key(&model, |known| known.model)
        {
            Ok(index) => index,
            Err(index) => {
                let known = ModelTargets::new(model, self.view.targets, &self.states);
                self.models.insert(index, known);
                index
            }
        }
    }
}

impl ModelTargets {
    fn new(model: ModelKey, targets: &[Target], states: &[TargetState]) -> Self {
        let serve = targets.iter().zip(states).enumerate();
        let serve = serve.filter(|(_, (target, state))| {
            !state.has_notice && target.models.binary_search(&model).is_ok()
        });
        let members: Vec<usize> = serve.map(|(index, _)| index).collect();
        let outside_mass_reclaim = members
            .iter()
            .copied()
            .filter(|index| !states[*index].is_in_mass_reclaim);
        Self {
            model,
            by_share: WeightedTargets::new(outside_mass_reclaim.clone(), |index| {
                states[index].share_slots
            }),
            by_slots: WeightedTargets::new(outside_mass_reclaim, |index| states[index].slots),
            members,
        }
    }

    /// Returns the targets that can offer capacity of a tier.
    fn targets(&self, tier: Tier) -> &[usize] {
        match tier {
            Tier::OwnShare => &self.by_share.targets,
            Tier::Contended => &self.by_slots.targets,
            Tier::MassReclaim | Tier::Queued => &self.members,
        }
    }

    fn draw(&self, hash: u64, tier: Tier) -> Option<usize> {
        match tier {
            Tier::OwnShare => self.by_share.draw(hash),
            Tier::Contended => self.by_slots.draw(hash),
            Tier::MassReclaim | Tier::Queued => {
                let members = &self.members;
                members.get(bounded_index(hash, members.len())).copied()
            }
        }
    }
}

impl WeightedTargets {
    fn new(targets: impl Iterator<Item = usize>, weight: impl Fn(usize) -> u32) -> Self {
        let targets: Vec<usize> = targets.filter(|index| weight(*index) > 0).collect();
        let sums = targets.iter().scan(0, |sum, index| {
            *sum += u64::from(weight(*index));
            Some(*sum)
        });
        Self {
            cumulative_weights: sums.collect(),
            targets,
        }
    }

    fn draw(&self, hash: u64) -> Option<usize> {
        let total = *self.cumulative_weights.last()?;
        let drawn = hash % total;
        let position = self.cumulative_weights.partition_point(|sum| *sum <= drawn);
        self.targets.get(position).copied()
    }
}

fn domains_in_mass_reclaim(view: &ReclaimView<'_>) -> Vec<DomainKey> {
    let mut noticed: Vec<DomainKey> = view.notices.iter().map(|notice| notice.domain).collect();
    noticed.sort_unstable();
    let groups = noticed.chunk_by(|a, b| a == b);
    let reclaimed = groups.filter(|group| {
        let domain = group[0];
        let targets = view.targets.iter();
        let staying =
            targets.filter(|target| target.domain == domain && view.notice(target.host).is_none());
        let hosts = staying.count() + group.len();
        group.len() >= MASS_RECLAIM_MIN_HOSTS && ratio(group.len(), hosts) >= MASS_RECLAIM_MIN_SHARE
    });
    reclaimed.map(|group| group[0]).collect()
}

/// Yields this node's rounding threshold for each target, from 0 to 1.
///
/// Steps of the golden ratio spread the thresholds of one node evenly over the targets; the rank
/// spreads the thresholds of all nodes evenly on one target.
fn rounding_thresholds(node_rank: u32, nodes: u32) -> impl Iterator<Item = f64> {
    let first = f64::from(node_rank) / f64::from(nodes.max(1));
    (0_u32..).map(move |index| (first + f64::from(index) * GOLDEN_RATIO).fract())
}

/// Rounds up if the fraction exceeds the threshold, so that the sum over all nodes is right.
///
/// With a ninth of four slots each, nine nodes that all round down use none of the slots; random
/// rounding assigns some targets to too many nodes. Either leaves overloaded next to idle targets
/// after a mass reclaim.
fn round_by_threshold(amount: f64, threshold: f64) -> u32 {
    let bounded_index = amount.floor();
    let up = u64::from(threshold < amount - bounded_index);
    u32::try_from(ceil_to_u64(bounded_index) + up).unwrap_or(u32::MAX)
}

fn max_total_tokens(stream: &StreamOnHost) -> u64 {
    u64::from(stream.context_tokens()) + u64::from(stream.remaining_tokens_max)
}

fn bounded_index(hash: u64, bound: usize) -> usize {
    let bound = u64::try_from(bound).unwrap_or(u64::MAX).max(1);
    usize::try_from(hash % bound).unwrap_or(0)
}

fn ratio(count: usize, total: usize) -> f64 {
    let to_u32 = |count| u32::try_from(count).unwrap_or(u32::MAX);
    f64::from(to_u32(count)) / f64::from(to_u32(total).max(1))
}
