//! Judges which contents and parts are to blame for the crashes that are known.

use super::subjects::{self, Subject};
use super::{Blame, Change, Crashes, Recorded, SOUND_BEFORE_MS, evidence};
use crate::time::TimeMs;

/// Evidence that is enough to block a part.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    /// Independent crashes.
    pieces: usize,
    /// Whether an answer under the part went on shortly before the first of them.
    was_sound: bool,
}

impl Crashes {
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

    pub(super) fn judge_content(&mut self, content: Subject, now: TimeMs) {
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

    /// Whether the same part is blocked on another route or model; one crash is enough then.
    fn is_blocked_elsewhere(&self, part: Subject) -> bool {
        let mut blocks = self.blocks.iter().map(|block| block.subject);
        blocks.any(|blocked| blocked != part && subjects::is_same_part(blocked, part))
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
    pub(super) fn mark_explained(&mut self) {
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
}
