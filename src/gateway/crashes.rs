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
//!
//! A blocked part is tested by single requests at growing intervals (`trials`), and the first answer
//! lifts its block: the requests that crashed may each have had a reason of its own.

mod archive;
pub(crate) mod archiving;
mod blocks;
pub(crate) mod breaks;
mod evidence;
mod judgement;
pub(crate) mod reports;
pub(crate) mod silent;
mod sound;
pub(crate) mod subjects;
pub(crate) mod trials;
pub(crate) mod verification;

use bincode::{Decode, Encode};

use blocks::Block;
use silent::SilentRequests;
use sound::SoundStarts;
use subjects::{Subject, Subjects};
use trials::Seat;

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

/// How a crash was noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// The connection of the request broke, or its upstream restarted meanwhile.
    Seen,
    /// The upstream fell silent, and another start followed at its address.
    Dark,
}

/// A crash with its time.
#[derive(Clone, Copy, Debug)]
struct Recorded {
    crash: Crash,
    kind: Kind,
    at: TimeMs,
    /// Whether a blocked subject crashed the upstream.
    is_explained: bool,
}

impl Recorded {
    fn new(crash: Crash, at: TimeMs) -> Self {
        Self {
            crash,
            kind: Kind::Seen,
            at,
            is_explained: false,
        }
    }

    fn sent_at(&self) -> TimeMs {
        TimeMs(self.at.0.saturating_sub(self.crash.ran_ms))
    }
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
    /// A request of this node is let through the block.
    Tested {
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
    silent: SilentRequests,
    seat: Seat,
    /// Subjects whose blocks requests of this node test, and which peers are not yet told.
    begun_trials: Vec<Subject>,
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
        self.record_as(crash, Kind::Seen, at, now)
    }

    /// Records a crash that the next start at a silent upstream's address shows; returns whether it is new.
    pub fn record_dark(&mut self, crash: Crash, now: TimeMs) -> bool {
        self.record_as(crash, Kind::Dark, now, now)
    }

    fn record_as(&mut self, crash: Crash, kind: Kind, at: TimeMs, now: TimeMs) -> bool {
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
        let recorded = Recorded {
            kind,
            ..Recorded::new(crash, at)
        };
        self.record_trials_of(&crash, recorded.sent_at());
        self.recorded.insert(index, recorded);
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
        self.silent.forget(content);
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

    /// Whether an upstream crashed under a part of a request, or one is blocked.
    pub fn is_suspected(&self, subjects: &Subjects) -> bool {
        let crashes =
            |part| (self.recorded.iter()).any(|known| known.crash.subjects.contains(part));
        subjects
            .parts()
            .any(|part| self.is_blocked(part) || crashes(part))
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
