//! Taking in what others say: of two claims about a run, the greater holds.

use super::member::{Member, MemberState};
use super::view::{Event, Track, View};
use super::wire::{Claim, Update};
use crate::keys::Incarnation;
use crate::time::TimeMs;

impl View {
    /// Takes in a claim about a run that may be unknown; tells whether its row is needed.
    pub(super) fn merge(&mut self, now: TimeMs, update: Update) -> bool {
        match self.find(update.incarnation) {
            None => update.claim.state != MemberState::Gone,
            Some(index) => {
                self.merge_known(now, index, update.claim);
                false
            }
        }
    }

    fn merge_known(&mut self, now: TimeMs, index: usize, claim: Claim) {
        if claim <= self.claim(index) {
            return;
        }
        let member = &mut self.members[index];
        if member.incarnation == self.own {
            self.contradict(now, index, claim.version);
            return;
        }
        member.version = claim.version;
        self.set_state(now, index, claim.state);
    }

    /// Takes in a row.
    pub(super) fn merge_row(&mut self, now: TimeMs, row: Member) {
        self.wanted.retain(|(wanted, _)| *wanted != row.incarnation);
        let claim = Claim {
            version: row.version,
            state: row.state,
        };
        match self.find(row.incarnation) {
            Some(index) => self.merge_known(now, index, claim),
            None => self.insert(now, row),
        }
    }

    fn insert(&mut self, now: TimeMs, row: Member) {
        if row.state == MemberState::Gone {
            return;
        }
        let (incarnation, state) = (row.incarnation, row.state);
        let Err(index) = self
            .members
            .binary_search_by_key(&incarnation, |held| held.incarnation)
        else {
            return;
        };
        self.tracks.insert(index, Track::new(&row, now));
        self.members.insert(index, row);
        self.changed(incarnation, state);
        self.settle_rivals(now, incarnation);
    }

    /// Contradicts what is said of this node, by a higher version.
    fn contradict(&mut self, now: TimeMs, own: usize, version: u32) {
        if self.members[own].state == MemberState::Gone {
            return;
        }
        self.members[own].version = version + 1;
        self.tracks[own].changed_ms = now;
        self.updates.push(self.own, self.members.len());
    }

    pub(super) fn set_state(&mut self, now: TimeMs, index: usize, state: MemberState) {
        let member = &mut self.members[index];
        let left = member.state == MemberState::Leaving && state == MemberState::Gone;
        let incarnation = member.incarnation;
        let before = std::mem::replace(&mut member.state, state);
        let track = &mut self.tracks[index];
        track.ended = left || (track.ended && state == MemberState::Gone);
        track.doubted = false;
        track.changed_ms = now;
        if before != state && state == MemberState::Alive {
            // It starts anew; the silence that led to the suspicion doesn't count twice.
            track.heard_ms = now;
        }
        if before == state {
            self.updates.push(incarnation, self.members.len());
            return;
        }
        self.changed(incarnation, state);
        if state != MemberState::Gone {
            self.settle_rivals(now, incarnation);
        }
    }

    fn changed(&mut self, incarnation: Incarnation, state: MemberState) {
        self.links.stale = true;
        self.updates.push(incarnation, self.members.len());
        self.output.events.push(match state {
            MemberState::Alive => Event::Alive(incarnation),
            MemberState::Suspected => Event::Suspected(incarnation),
            MemberState::Leaving => Event::Leaving(incarnation),
            MemberState::Gone => Event::Gone(incarnation),
        });
    }

    /// Ends runs that can't go on beside `incarnation`, or `incarnation` beside them.
    fn settle_rivals(&mut self, now: TimeMs, incarnation: Incarnation) {
        let Some(this) = self.get(incarnation) else {
            return;
        };
        let is_rival = |other: &&Member| {
            let same_address = other.heartbeat_address == this.heartbeat_address;
            other.incarnation != incarnation && (same_address || other.name == this.name)
        };
        let rivals = self.members.iter().filter(is_rival);
        for rival in rivals.map(|rival| rival.incarnation).collect::<Vec<_>>() {
            self.settle(now, incarnation, rival);
            self.settle(now, rival, incarnation);
        }
    }

    /// Ends `loser` if `winner` takes its place.
    ///
    /// A node knows that it holds its address itself, so any other run there has ended. Two runs of
    /// one name can go on beside each other for a while, so there one that is live wins over one
    /// that is suspected, and no time is lost waiting for the host that has been replaced.
    fn settle(&mut self, now: TimeMs, winner: Incarnation, loser: Incarnation) {
        let (Some(win), Some(lose)) = (self.get(winner), self.get(loser)) else {
            return;
        };
        let both_here = win.state != MemberState::Gone && lose.state != MemberState::Gone;
        let same_address = win.heartbeat_address == lose.heartbeat_address;
        let displaced = same_address && winner == self.own;
        let replaced =
            win.name == lose.name && win.is_live() && lose.state == MemberState::Suspected;
        if both_here && loser != self.own && (displaced || replaced) {
            self.end_run(now, loser);
        }
    }

    fn end_run(&mut self, now: TimeMs, incarnation: Incarnation) {
        if let Some(index) = self.find(incarnation) {
            self.set_state(now, index, MemberState::Gone);
            self.tracks[index].ended = true;
        }
    }
}
