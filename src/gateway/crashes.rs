//! Detection of requests, and of parts of prompts, that crash the upstreams that run them.
//!
//! Callers send a bad request again, or new requests with the same bad part, to any node, and each
//! would crash an upstream. All nodes collect the crashes of all nodes, and refuse what is to blame.
//! A whole content is to blame once three upstreams crashed under it. A part of a prompt is to blame
//! once independent crashes under different requests show it (`evidence`) and no answer under it
//! went on since.
//!
//! A crash takes all requests at its upstream, and a bad part comes with sound ones. Nodes tell each
//! other of answers that went on under suspected parts, which clears them. Of several parts that may
//! explain the same crashes one under which no answer went on is blamed first, and of these the last,
//! which the fewest requests share. What a blocked subject explains is held against no other.

mod archive;
pub(crate) mod archiving;
pub(crate) mod breaks;
mod evidence;
pub(crate) mod reports;
mod sound;
pub(crate) mod subjects;
pub(crate) mod verification;

use bincode::{Decode, Encode};

use sound::SoundStarts;
use subjects::{Subject, Subjects};

use super::num;
use crate::time::TimeMs;

/// Time for which a crash counts, and after which a block ends unless its requests still come.
const RETENTION_MS: u64 = 600_000;

/// Most crashes that are kept; some 150 bytes each.
const MAX_CRASHES: usize = 1_024;

/// Most crashes under requests of one team.
const MAX_CRASHES_PER_TEAM: usize = 256;

/// Most subjects that are blocked.
const MAX_BLOCKS: usize = 256;

/// Most blocks that a node repeatedly reports to its peers.
const MAX_REPORTED_BLOCKS: usize = 48;

/// Time after a crash in which the reports on it, and on what it may be blamed on, arrive.
const SETTLE_MS: u64 = 500;

/// An answer that went on this long before the first crash speaks for a part.
const SOUND_BEFORE_MS: u64 = 60_000;

/// Interval at which a node lets one request through a block of a part under which answers went on
/// before. A part that crashes each upstream has none.
const TRIAL_INTERVAL_MS: u64 = 1_000;

/// Upper bound of the delay of a report on a part that crashed at another node but is sound here.
const TELL_DELAY_MS: f64 = 400.0;

/// A crash of an upstream under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Crash {
    pub subjects: Subjects,
    /// The upstream's tag, new at each of its starts.
    pub upstream: u64,
    /// Tag of the upstream's address.
    pub address: u64,
    /// Tag of the upstream's failure domain.
    pub domain: u64,
    /// Time from the send of the request to the crash.
    pub ran_ms: u64,
}

/// A subject that is blocked, for peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct AgedBlock {
    pub subject: Subject,
    /// Time since it was blocked.
    pub age_ms: u64,
    /// Time since a request with it was refused, or since it was blocked.
    pub idle_ms: u64,
}

/// A part under which an answer went on, for peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct AgedSound {
    pub subject: Subject,
    pub age_ms: u64,
}

/// What a request is refused for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blame {
    /// Its whole content.
    Content,
    /// A part of its prompt.
    Part,
}

/// A crash with its time.
#[derive(Clone, Copy, Debug)]
struct Recorded {
    crash: Crash,
    at: TimeMs,
    /// Whether a blocked subject crashed the upstream.
    is_explained: bool,
}

impl Recorded {
    fn new(crash: Crash, at: TimeMs) -> Self {
        Self {
            crash,
            at,
            is_explained: false,
        }
    }

    fn sent_at(&self) -> TimeMs {
        TimeMs(self.at.0.saturating_sub(self.crash.ran_ms))
    }
}

/// Evidence that is enough to block a part.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    /// Independent crashes.
    pieces: usize,
    /// Whether an answer under the part went on shortly before the first of them.
    was_sound: bool,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    subject: Subject,
    at: TimeMs,
    last_seen: TimeMs,
    /// When a request was last let through.
    tried_at: TimeMs,
}

/// A change of a subject's state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Blocked {
        subject: Subject,
        blame: Blame,
        pieces: usize,
    },
    /// A peer has blocked the subject.
    Heard {
        subject: Subject,
    },
    Cleared {
        subject: Subject,
    },
}

/// The crashes of all nodes, and what is blocked for them.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// In the order of their times.
    recorded: Vec<Recorded>,
    /// Sorted by subject.
    blocks: Vec<Block>,
    sound: SoundStarts,
    /// When the parts of the latest crashes are judged.
    judge_at: Option<TimeMs>,
    /// Changes that are not yet logged.
    changes: Vec<Change>,
    /// Crashes and blocks dropped for want of room.
    dropped: u64,
}

impl Crashes {
    /// Records a crash of this node or of a peer; returns whether it is new.
    pub fn record(&mut self, crash: Crash, at: TimeMs, now: TimeMs) -> bool {
        self.expire(now);
        let is_known = self.recorded.iter().any(|known| {
            known.crash.upstream == crash.upstream
                && known.crash.subjects.content == crash.subjects.content
        });
        if is_known || now.since(at) >= RETENTION_MS {
            return false;
        }
        self.make_room(crash.subjects.team);
        let index = self.recorded.partition_point(|known| known.at <= at);
        self.recorded.insert(index, Recorded::new(crash, at));
        self.mark_explained();
        self.judge_content(crash.subjects.content, now);
        self.judge_at.get_or_insert(now.after(SETTLE_MS));
        true
    }

    /// Records a crash that a peer reports; plans reports on parts of it that are sound here.
    ///
    /// `draw` is uniform between 0 and 1, `nodes` the number of nodes.
    pub fn record_reported(&mut self, crash: Crash, draw: f64, nodes: usize, now: TimeMs) {
        if self.record(crash, now, now) {
            let due_at = now.after(tell_delay_ms(draw, nodes));
            for part in crash.subjects.parts() {
                self.sound.plan(part, due_at, now);
            }
        }
    }

    /// Records a whole answer to a request; returns what to report to the peers.
    pub fn record_answer(&mut self, subjects: &Subjects, now: TimeMs) -> Vec<AgedSound> {
        let content = subjects.content;
        let told = self.sound.told(content);
        let is_suspected = (self.recorded.iter()).any(|known| {
            known.crash.subjects.content == content && told.is_none_or(|told| told < known.at)
        });
        let mut reports = Vec::new();
        if is_suspected || self.is_blocked(content) {
            self.sound.record_told(content, now);
            reports.push(AgedSound {
                subject: content,
                age_ms: 0,
            });
        }
        self.lift_if_sound(content);
        reports.extend(self.record_sound(subjects, now));
        reports
    }

    /// Records an answer that went on; returns what to report to the peers.
    ///
    /// Only what clears a part of crashes is reported.
    pub fn record_sound(&mut self, subjects: &Subjects, now: TimeMs) -> Vec<AgedSound> {
        let mut reports = Vec::new();
        for subject in subjects.parts() {
            let told = self.sound.told(subject);
            self.sound.record(subject, now);
            let is_suspected = (self.recorded.iter()).any(|known| {
                known.crash.subjects.contains(subject) && told.is_none_or(|told| told < known.at)
            });
            if is_suspected || self.is_blocked(subject) {
                self.sound.record_told(subject, now);
                reports.push(AgedSound { subject, age_ms: 0 });
            }
            self.lift_if_sound(subject);
        }
        reports
    }

    /// Records an answer that went on at a peer.
    pub fn record_told(&mut self, told: AgedSound, now: TimeMs) {
        let at = TimeMs(now.0.saturating_sub(told.age_ms));
        self.sound.record_told(told.subject, at);
        self.lift_if_sound(told.subject);
    }

    /// Returns the planned reports on sound parts that are due.
    pub fn take_due(&mut self, now: TimeMs) -> Vec<AgedSound> {
        self.sound.take_due(now)
    }

    /// Records a block that a peer reports; plans to contradict it if the subject is sound here.
    pub fn record_block(&mut self, told: AgedBlock, draw: f64, nodes: usize, now: TimeMs) {
        if told.idle_ms >= RETENTION_MS {
            return;
        }
        let at = TimeMs(now.0.saturating_sub(told.age_ms));
        if self.sound.at(told.subject).is_some_and(|sound| sound > at) {
            let due_at = now.after(tell_delay_ms(draw, nodes));
            self.sound.plan_again(told.subject, due_at);
            return;
        }
        let last_seen = TimeMs(now.0.saturating_sub(told.idle_ms));
        let subject = told.subject;
        if self.block(subject, at, last_seen) {
            self.changes.push(Change::Heard { subject });
        }
    }

    /// Returns what a request is refused for, if it is blocked. A refused request renews the block.
    pub fn refusal(&mut self, subjects: &Subjects, now: TimeMs) -> Option<Blame> {
        self.judge_if_due(now);
        let content = std::iter::once((subjects.content, Blame::Content));
        let parts = subjects.parts().map(|part| (part, Blame::Part));
        for (subject, blame) in content.chain(parts) {
            if let Ok(index) = self.find(subject)
                && now.since(self.blocks[index].last_seen) < RETENTION_MS
            {
                self.blocks[index].last_seen = now;
                if blame == Blame::Part && self.begins_trial(index, now) {
                    continue;
                }
                return Some(blame);
            }
        }
        None
    }

    /// Whether a request would be refused, without a trial; records nothing.
    pub fn is_any_blocked(&self, subjects: &Subjects, now: TimeMs) -> bool {
        let mut all = std::iter::once(subjects.content).chain(subjects.parts());
        all.any(|subject| {
            let found = self.find(subject).ok();
            found.is_some_and(|index| now.since(self.blocks[index].last_seen) < RETENTION_MS)
        })
    }

    /// Whether a request may show that a blocked part is sound after all.
    fn begins_trial(&mut self, index: usize, now: TimeMs) -> bool {
        let block = &mut self.blocks[index];
        let was_sound = self.sound.at(block.subject).is_some();
        let is_due = was_sound && now.since(block.tried_at) >= TRIAL_INTERVAL_MS;
        if is_due {
            block.tried_at = now;
        }
        is_due
    }

    /// Judges the parts of the latest crashes, once the reports on them have arrived.
    pub fn judge_if_due(&mut self, now: TimeMs) {
        if self.judge_at.is_none_or(|judge_at| now < judge_at) {
            return;
        }
        self.judge_at = None;
        self.expire(now);
        while let Some((subject, pieces)) = self.worst_part() {
            self.block(subject, now, now);
            let blame = Blame::Part;
            self.changes.push(Change::Blocked {
                subject,
                blame,
                pieces,
            });
        }
    }

    /// Returns the blocks that peers are told repeatedly, so that a node that starts knows them.
    pub fn reported_blocks(&self, now: TimeMs) -> Vec<AgedBlock> {
        let mut reported: Vec<AgedBlock> = (self.blocks.iter())
            .map(|block| AgedBlock {
                subject: block.subject,
                age_ms: now.since(block.at),
                idle_ms: now.since(block.last_seen),
            })
            .filter(|block| block.idle_ms < RETENTION_MS)
            .collect();
        reported.sort_unstable_by_key(|block| block.idle_ms);
        reported.truncate(MAX_REPORTED_BLOCKS);
        reported
    }

    /// Returns the number of blocked subjects.
    pub fn blocked_count(&self, now: TimeMs) -> usize {
        let blocks = self.blocks.iter();
        let live = blocks.filter(|block| now.since(block.last_seen) < RETENTION_MS);
        live.count()
    }

    /// Returns the number of crashes that are kept.
    pub fn len(&self) -> usize {
        self.recorded.len()
    }

    /// Returns the number of crashes and blocks that were dropped for want of room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn is_blocked(&self, subject: Subject) -> bool {
        self.find(subject).is_ok()
    }

    /// Whether an upstream crashed under a part of a request, or one is blocked.
    pub fn is_suspected(&self, subjects: &Subjects) -> bool {
        let crashes =
            |part| (self.recorded.iter()).any(|known| known.crash.subjects.contains(part));
        subjects
            .parts()
            .any(|part| self.is_blocked(part) || crashes(part))
    }

    /// Whether the same part is blocked on another route or model; one crash is enough then.
    fn is_blocked_elsewhere(&self, part: Subject) -> bool {
        let mut blocks = self.blocks.iter().map(|block| block.subject);
        blocks.any(|blocked| blocked != part && subjects::is_same_part(blocked, part))
    }

    fn find(&self, subject: Subject) -> Result<usize, usize> {
        (self.blocks).binary_search_by_key(&subject, |block| block.subject)
    }

    /// Blocks a subject; returns whether it was not blocked before.
    fn block(&mut self, subject: Subject, at: TimeMs, last_seen: TimeMs) -> bool {
        match self.find(subject) {
            Ok(index) => {
                let block = &mut self.blocks[index];
                block.last_seen = block.last_seen.max(last_seen);
                false
            }
            Err(index) => {
                let block = Block {
                    subject,
                    at,
                    last_seen,
                    tried_at: at,
                };
                self.blocks.insert(index, block);
                self.drop_oldest_block();
                self.mark_explained();
                true
            }
        }
    }

    fn drop_oldest_block(&mut self) {
        if self.blocks.len() <= MAX_BLOCKS {
            return;
        }
        let oldest = self.blocks.iter().map(|block| block.last_seen).min();
        self.blocks.retain(|block| Some(block.last_seen) != oldest);
        self.dropped += 1;
    }

    /// Ends the block of a subject under which an answer went on later.
    fn lift_if_sound(&mut self, subject: Subject) {
        let Ok(index) = self.find(subject) else {
            return;
        };
        let blocked_at = self.blocks[index].at;
        if self.sound.at(subject).is_some_and(|at| at > blocked_at) {
            self.blocks.remove(index);
            self.changes.push(Change::Cleared { subject });
            self.mark_explained();
        }
    }

    fn judge_content(&mut self, content: Subject, now: TimeMs) {
        let sound_at = self.sound.at(content);
        let crashes: Vec<&Recorded> = (self.recorded.iter())
            .filter(|known| known.crash.subjects.content == content)
            .filter(|known| sound_at.is_none_or(|sound_at| known.at > sound_at))
            .collect();
        let pieces = evidence::upstreams(&crashes);
        if pieces >= evidence::PIECES_TO_BLOCK && self.block(content, now, now) {
            let blame = Blame::Content;
            self.changes.push(Change::Blocked {
                subject: content,
                blame,
                pieces,
            });
        }
    }

    /// Returns the part that the unexplained crashes show to be bad, and its pieces of evidence.
    fn worst_part(&self) -> Option<(Subject, usize)> {
        let mut candidates: Vec<(Subject, usize)> = Vec::new();
        for known in self.recorded.iter().filter(|known| !known.is_explained) {
            let parts = known.crash.subjects.parts().enumerate();
            candidates.extend(parts.map(|(position, part)| (part, position)));
        }
        candidates.sort_unstable();
        let often = (candidates.chunk_by(|one, other| one == other))
            .filter(|crashes| {
                crashes.len() >= evidence::PIECES_TO_BLOCK
                    || self.is_blocked_elsewhere(crashes[0].0)
            })
            .filter_map(|crashes| crashes.first());
        // A part under which answers went on is blamed only where no other one qualifies.
        let bad = often.filter_map(|(part, position)| {
            let evidence = self.evidence(*part)?;
            Some((!evidence.was_sound, *position, evidence.pieces, *part))
        });
        bad.max()
            .map(|(_is_unproved, _position, pieces, part)| (part, pieces))
    }

    /// Returns the evidence against a part, if it is enough to block it.
    fn evidence(&self, part: Subject) -> Option<Evidence> {
        let sound_at = self.sound.at(part);
        let crashes: Vec<&Recorded> = (self.recorded.iter())
            .filter(|known| !known.is_explained && known.crash.subjects.contains(part))
            .filter(|known| sound_at.is_none_or(|sound_at| known.at > sound_at))
            .collect();
        let first_at = crashes.first()?.at;
        let was_sound = sound_at.is_some_and(|at| first_at.since(at) < SOUND_BEFORE_MS);
        if !was_sound && self.is_blocked_elsewhere(part) {
            let pieces = evidence::upstreams(&crashes);
            return Some(Evidence { pieces, was_sound });
        }
        let needed = if was_sound {
            evidence::PIECES_TO_BLOCK_SOUND
        } else {
            evidence::PIECES_TO_BLOCK
        };
        let pieces = evidence::pieces(&crashes);
        (pieces >= needed).then_some(Evidence { pieces, was_sound })
    }

    /// Marks the crashes of upstreams that ran another request with a blocked subject.
    fn mark_explained(&mut self) {
        if self.blocks.is_empty() {
            for known in &mut self.recorded {
                known.is_explained = false;
            }
            return;
        }
        let by_part: Vec<u64> = (self.recorded.iter())
            .filter(|known| {
                known
                    .crash
                    .subjects
                    .parts()
                    .any(|part| self.is_blocked(part))
            })
            .map(|known| known.crash.upstream)
            .collect();
        let by_content: Vec<(u64, Subject)> = (self.recorded.iter())
            .map(|known| (known.crash.upstream, known.crash.subjects.content))
            .filter(|(_upstream, content)| self.is_blocked(*content))
            .collect();
        for known in &mut self.recorded {
            let crash = known.crash;
            let is_other = |(upstream, content): &(u64, Subject)| {
                *upstream == crash.upstream && *content != crash.subjects.content
            };
            known.is_explained =
                by_part.contains(&crash.upstream) || by_content.iter().any(is_other);
        }
    }

    fn expire(&mut self, now: TimeMs) {
        (self.recorded).retain(|known| now.since(known.at) < RETENTION_MS);
        (self.blocks).retain(|block| now.since(block.last_seen) < RETENTION_MS);
    }

    /// Drops the oldest crash of a team that has too many, or of all.
    fn make_room(&mut self, team: u64) {
        let is_of_team = |known: &Recorded| known.crash.subjects.team == team;
        let of_team = self.recorded.iter().filter(|known| is_of_team(known));
        let oldest = match of_team.count() {
            count if count >= MAX_CRASHES_PER_TEAM => self.recorded.iter().position(is_of_team),
            _ if self.recorded.len() >= MAX_CRASHES => Some(0),
            _ => None,
        };
        if let Some(oldest) = oldest {
            self.recorded.remove(oldest);
            self.dropped += 1;
        }
    }
}

/// Returns a delay after which few nodes have reported, however many could.
///
/// Nodes that hear the report meanwhile do not repeat it. Delays that grow with the logarithm of the
/// draw keep the number of early reports nearly independent of the number of nodes.
fn tell_delay_ms(draw: f64, nodes: usize) -> u64 {
    let nodes = num::to_f64(nodes.max(2) as u64);
    let part = 1.0 + draw.max(f64::MIN_POSITIVE).ln() / nodes.ln();
    num::round_to_u64(TELL_DELAY_MS * part.max(0.0))
}

#[cfg(test)]
mod tests;
