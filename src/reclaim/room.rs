//! Room on the hosts that take streams over, and which of them a stream looks at.

use super::links::SourceLinks;
use super::rates::{float, mix, whole};
use super::view::{ReclaimView, StreamOnHost, Target};
use crate::keys::{DomainKey, HostKey, ModelKey};
use crate::time::TimeMs;

/// Targets that a stream draws before it takes the best of them.
const DRAWS: u64 = 6;

/// Its multiples spread most evenly over 0 to 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Hosts under notice from which on a failure domain may be in a wave.
const WAVE_HOSTS_MIN: usize = 2;

/// Part of its hosts under notice from which on a failure domain is in a wave.
const WAVE_PART_MIN: f64 = 0.2;

/// What a stream may count on when it is placed, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tier {
    /// Room that is this node's part, for its whole length.
    Part,
    /// Room that other nodes may take at the same time.
    Contended,
    /// Room in a failure domain that is in a wave itself.
    InWave,
    /// No room: it will wait by priority.
    Queued,
}

/// What is left of one target.
#[derive(Clone, Copy, Debug)]
struct Row {
    under_notice: bool,
    in_wave: bool,
    part_slots: u32,
    part_kv_tokens: u64,
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
    /// All of them.
    members: Vec<usize>,
    /// Those outside failure domains in a wave, by this node's part of their free slots.
    by_part: Draws,
    /// The same by all their free slots.
    by_slots: Draws,
}

/// Targets with their weights summed up, for weighted draws.
#[derive(Debug)]
struct Draws {
    targets: Vec<usize>,
    weight_up_to: Vec<u64>,
}

/// Room on the targets, less what this plan has given away.
#[derive(Debug)]
pub(super) struct Room<'a> {
    view: &'a ReclaimView<'a>,
    rows: Vec<Row>,
    models: Vec<ModelTargets>,
    /// This node's part of all streams that have to move.
    part: f64,
    /// What other nodes leave of a target's link and processors.
    uncontended: f64,
}

impl<'a> Room<'a> {
    pub(super) fn new(view: &'a ReclaimView<'a>, links: &SourceLinks<'_>) -> Self {
        let waves = domains_in_wave(view);
        let turns = turns(view.node_rank, view.nodes);
        let rows = view.targets.iter().zip(turns).map(|(target, turn)| {
            let slots = f64::from(target.free_slots) * links.part;
            Row {
                under_notice: view.notice(target.host).is_some(),
                in_wave: waves.binary_search(&target.domain).is_ok(),
                part_slots: round_by_turn(slots, turn),
                part_kv_tokens: whole(float(target.kv_tokens_free) * links.part),
                slots: target.free_slots,
                kv_tokens: target.kv_tokens_free,
                waiting: target.queued,
                link_free_at_ms: TimeMs(0),
                compute_ms: 0,
            }
        });
        let rows: Vec<Row> = rows.collect();
        let usable = rows.iter().filter(|row| !row.under_notice).count();
        // Other nodes' streams reach the targets too. Were that left out, imports would be planned
        // up to the last millisecond of the notice and end after it.
        let sources_per_target = ratio(view.notices.len(), usable).min(1.0);
        Self {
            view,
            rows,
            models: Vec::new(),
            part: links.part,
            uncontended: 1.0 - (1.0 - links.part) * sources_per_target,
        }
    }

    pub(super) fn target(&self, index: usize) -> &'a Target {
        &self.view.targets[index]
    }

    /// Bytes a second that this node's imports on a target may count on.
    pub(super) fn import_bytes_per_second(&self, index: usize) -> f64 {
        self.target(index).kv_bytes_per_second * self.uncontended
    }

    /// Tokens a second that this node's streams on a target may count on.
    pub(super) fn prefill_tokens_per_second(&self, index: usize) -> f64 {
        self.target(index).prefill_tokens_per_second * self.uncontended
    }

    /// When the imports planned so far for a target are through.
    pub(super) fn link_free_at_ms(&mut self, index: usize) -> &mut TimeMs {
        &mut self.rows[index].link_free_at_ms
    }

    /// How long a target computes the streams planned for it so far.
    pub(super) fn compute_ms(&mut self, index: usize) -> &mut u64 {
        &mut self.rows[index].compute_ms
    }

    /// Whether the targets have less room than the streams of all nodes need.
    ///
    /// The part is compared before it is rounded, which would be noise where slots are few.
    pub(super) fn is_scarce(&self, needed_here: usize) -> bool {
        let rows = self.rows.iter();
        let rows = rows.filter(|row| !row.under_notice && !row.in_wave);
        let slots: u64 = rows.map(|row| u64::from(row.slots)).sum();
        let needed_here = u64::try_from(needed_here).unwrap_or(u64::MAX);
        float(needed_here) > float(slots) * self.part
    }

    /// The position of a host that may still take streams over.
    pub(super) fn find(&self, host: HostKey) -> Option<usize> {
        let targets = self.view.targets;
        let found = targets.binary_search_by_key(&host, |target| target.host);
        found.ok().filter(|index| !self.rows[*index].under_notice)
    }

    /// A few targets with room for the stream, drawn by its hash and weighted by free slots.
    ///
    /// Many nodes plan from the same stale view. If each took the emptiest target, all would take
    /// the same one; one would see its queue jump while others stay empty. Draws differ from stream
    /// to stream but not from one call to the next.
    pub(super) fn candidates(&mut self, stream: &StreamOnHost, tier: Tier) -> Vec<usize> {
        let cached = stream.cached_on.and_then(|cached| self.find(cached.host));
        let model = self.model_index(stream.model);
        let hash = mix(self.view.node.0, u64::from(stream.stream.0));
        let known = &self.models[model];
        let draws = (0..DRAWS).filter_map(|draw| known.draw(mix(hash, draw), tier));
        let mut found: Vec<usize> = draws
            .filter(|index| self.fits(*index, stream, tier))
            .collect();
        if found.is_empty() {
            found.extend(self.scan(model, hash, stream, tier));
        }
        found.extend(cached.filter(|index| {
            known.members.binary_search(index).is_ok() && self.fits(*index, stream, tier)
        }));
        found
    }

    /// Takes room on a target away.
    pub(super) fn book(&mut self, index: usize, stream: &StreamOnHost, tier: Tier) {
        let row = &mut self.rows[index];
        let kv_tokens = whole_length(stream);
        row.waiting += u32::from(tier == Tier::Queued);
        row.slots = row.slots.saturating_sub(1);
        row.part_slots = row.part_slots.saturating_sub(1);
        row.kv_tokens = row.kv_tokens.saturating_sub(kv_tokens);
        row.part_kv_tokens = row.part_kv_tokens.saturating_sub(kv_tokens);
    }

    /// Streams waiting on a target.
    pub(super) fn waiting(&self, index: usize) -> u32 {
        self.rows[index].waiting
    }

    fn fits(&self, index: usize, stream: &StreamOnHost, tier: Tier) -> bool {
        let row = &self.rows[index];
        let now_tokens = u64::from(stream.context_tokens());
        let has_room = row.slots > 0 && row.kv_tokens >= now_tokens;
        match tier {
            _ if row.under_notice => false,
            Tier::Part => {
                has_room
                    && !row.in_wave
                    && row.part_slots > 0
                    && row.part_kv_tokens >= whole_length(stream)
            }
            Tier::Contended => has_room && !row.in_wave,
            Tier::InWave => has_room,
            Tier::Queued => true,
        }
    }

    fn scan(&self, model: usize, hash: u64, stream: &StreamOnHost, tier: Tier) -> Option<usize> {
        let targets = self.models[model].targets(tier);
        let (before, after) = targets.split_at(below(hash, targets.len()));
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
                let known = ModelTargets::new(model, self.view.targets, &self.rows);
                self.models.insert(index, known);
                index
            }
        }
    }
}

impl ModelTargets {
    fn new(model: ModelKey, targets: &[Target], rows: &[Row]) -> Self {
        let serve = targets.iter().zip(rows).enumerate();
        let serve = serve.filter(|(_, (target, row))| {
            !row.under_notice && target.models.binary_search(&model).is_ok()
        });
        let members: Vec<usize> = serve.map(|(index, _)| index).collect();
        let quiet = members
            .iter()
            .copied()
            .filter(|index| !rows[*index].in_wave);
        Self {
            model,
            by_part: Draws::new(quiet.clone(), |index| rows[index].part_slots),
            by_slots: Draws::new(quiet, |index| rows[index].slots),
            members,
        }
    }

    /// The targets that may fit a tier.
    fn targets(&self, tier: Tier) -> &[usize] {
        match tier {
            Tier::Part => &self.by_part.targets,
            Tier::Contended => &self.by_slots.targets,
            Tier::InWave | Tier::Queued => &self.members,
        }
    }

    fn draw(&self, hash: u64, tier: Tier) -> Option<usize> {
        match tier {
            Tier::Part => self.by_part.draw(hash),
            Tier::Contended => self.by_slots.draw(hash),
            Tier::InWave | Tier::Queued => {
                let members = &self.members;
                members.get(below(hash, members.len())).copied()
            }
        }
    }
}

impl Draws {
    fn new(targets: impl Iterator<Item = usize>, weight: impl Fn(usize) -> u32) -> Self {
        let targets: Vec<usize> = targets.filter(|index| weight(*index) > 0).collect();
        let sums = targets.iter().scan(0, |sum, index| {
            *sum += u64::from(weight(*index));
            Some(*sum)
        });
        Self {
            weight_up_to: sums.collect(),
            targets,
        }
    }

    fn draw(&self, hash: u64) -> Option<usize> {
        let in_all = *self.weight_up_to.last()?;
        let drawn = hash % in_all;
        let position = self.weight_up_to.partition_point(|sum| *sum <= drawn);
        self.targets.get(position).copied()
    }
}

fn domains_in_wave(view: &ReclaimView<'_>) -> Vec<DomainKey> {
    let mut noticed: Vec<DomainKey> = view.notices.iter().map(|notice| notice.domain).collect();
    noticed.sort_unstable();
    let groups = noticed.chunk_by(|a, b| a == b);
    let waves = groups.filter(|group| {
        let domain = group[0];
        let targets = view.targets.iter();
        let staying =
            targets.filter(|target| target.domain == domain && view.notice(target.host).is_none());
        let hosts = staying.count() + group.len();
        group.len() >= WAVE_HOSTS_MIN && ratio(group.len(), hosts) >= WAVE_PART_MIN
    });
    waves.map(|group| group[0]).collect()
}

/// This node's turn on each target, from 0 to 1, evenly spread over targets and over nodes.
///
/// Steps of the golden ratio spread a node's turns over targets, its rank spreads the nodes' turns
/// on one target.
fn turns(node_rank: u32, nodes: u32) -> impl Iterator<Item = f64> {
    let first = f64::from(node_rank) / f64::from(nodes.max(1));
    (0_u32..).map(move |index| (first + f64::from(index) * GOLDEN_RATIO).fract())
}

/// Rounds down or up by turn, so that over all nodes the sum is right.
///
/// With a ninth of four slots each, nine nodes that all round down use none of them; rounding at
/// random gives some targets to too many nodes. Either way one would see full and empty targets
/// side by side after a wave.
fn round_by_turn(amount: f64, turn: f64) -> u32 {
    let below = amount.floor();
    let up = u64::from(turn < amount - below);
    u32::try_from(whole(below) + up).unwrap_or(u32::MAX)
}

fn whole_length(stream: &StreamOnHost) -> u64 {
    u64::from(stream.context_tokens()) + u64::from(stream.remaining_tokens_max)
}

fn below(hash: u64, bound: usize) -> usize {
    let bound = u64::try_from(bound).unwrap_or(u64::MAX).max(1);
    usize::try_from(hash % bound).unwrap_or(0)
}

fn ratio(part: usize, whole: usize) -> f64 {
    let count = |count| u32::try_from(count).unwrap_or(u32::MAX);
    f64::from(count(part)) / f64::from(count(whole).max(1))
}
