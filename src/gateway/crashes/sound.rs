//! Parts of prompts under which answers went on.

use rustc_hash::FxHashMap;

use super::subjects::Subject;
use super::{AgedSound, SOUND_BEFORE_MS};
use crate::time::TimeMs;

/// Most subjects that are remembered; some 50 bytes each.
const MAX_SUBJECTS: usize = 4_096;

/// Most reports that wait for their time.
const MAX_PLANNED: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Sound {
    at: TimeMs,
    /// The latest of these times that all nodes have been told.
    told: Option<TimeMs>,
}

/// When answers last went on under the subjects that this node has seen or was told of.
#[derive(Debug, Default)]
pub(super) struct SoundStarts {
    // A map, because each answer updates it and there are thousands of parts.
    subjects: FxHashMap<Subject, Sound>,
    /// Subjects to be reported to the peers, and when.
    planned: Vec<(Subject, TimeMs)>,
}

impl SoundStarts {
    /// Records an answer of this node that went on.
    pub fn record(&mut self, subject: Subject, at: TimeMs) {
        if self.subjects.len() >= MAX_SUBJECTS && !self.subjects.contains_key(&subject) {
            self.evict_older_half();
        }
        let sound = self.subjects.entry(subject);
        let sound = sound.or_insert(Sound { at, told: None });
        sound.at = sound.at.max(at);
    }

    /// Records an answer that all nodes have been told of.
    pub fn record_told(&mut self, subject: Subject, at: TimeMs) {
        self.record(subject, at);
        if let Some(sound) = self.subjects.get_mut(&subject) {
            sound.told = sound.told.max(Some(at));
        }
        self.planned
            .retain(|(planned, _due_at)| *planned != subject);
    }

    /// Returns when an answer last went on under a subject.
    pub fn at(&self, subject: Subject) -> Option<TimeMs> {
        self.subjects.get(&subject).map(|sound| sound.at)
    }

    /// Returns the latest of these times that all nodes have been told.
    pub fn told(&self, subject: Subject) -> Option<TimeMs> {
        self.subjects.get(&subject).and_then(|sound| sound.told)
    }

    /// Plans a report on a subject that has just crashed, if it was sound here and no peer knows.
    pub fn plan(&mut self, subject: Subject, due_at: TimeMs, now: TimeMs) {
        let Some(sound) = self.subjects.get(&subject) else {
            return;
        };
        let is_recent = now.since(sound.at) < SOUND_BEFORE_MS;
        let is_told = (sound.told).is_some_and(|told| now.since(told) < SOUND_BEFORE_MS / 2);
        if is_recent && !is_told {
            self.plan_again(subject, due_at);
        }
    }

    /// Plans a report on a subject, whether or not the peers were told before.
    pub fn plan_again(&mut self, subject: Subject, due_at: TimeMs) {
        let is_planned = (self.planned.iter()).any(|(planned, _due_at)| *planned == subject);
        if !is_planned && self.planned.len() < MAX_PLANNED {
            self.planned.push((subject, due_at));
        }
    }

    /// Returns the planned reports that are due, and counts them as told.
    pub fn take_due(&mut self, now: TimeMs) -> Vec<AgedSound> {
        let due: Vec<Subject> = (self.planned.iter())
            .filter(|(_subject, due_at)| *due_at <= now)
            .map(|(subject, _due_at)| *subject)
            .collect();
        let mut reports = Vec::new();
        for subject in due {
            let Some(at) = self.at(subject) else { continue };
            self.record_told(subject, at);
            let age_ms = now.since(at);
            reports.push(AgedSound { subject, age_ms });
        }
        self.planned.retain(|(_subject, due_at)| *due_at > now);
        reports
    }

    fn evict_older_half(&mut self) {
        let mut times: Vec<TimeMs> = self.subjects.values().map(|sound| sound.at).collect();
        times.sort_unstable();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        self.subjects.retain(|_subject, sound| sound.at > median);
    }
}
