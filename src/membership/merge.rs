//! Merging claims of other nodes into the view; of two claims about an incarnation, the greater
//! wins.

use super::member::{Member, MemberState};
use super::view::{Event, LocalRecord, View};
use super::wire::{Claim, Update};
use crate::keys::Incarnation;
use crate::time::TimeMs;

impl View {
    /// Merges a claim; returns whether the incarnation is unknown and its row must be requested.
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
            self.refute(now, index, claim.version);
            return;
        }
        member.version = claim.version;
        self.set_state(now, index, claim.state);
    }

    /// Merges a row, adding a member for an unknown incarnation.
    pub(super) fn merge_row(&mut self, now: TimeMs, row: Member) {
        self.requested_rows
            .retain(|(requested, _)| *requested != row.incarnation);
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
        self.local_records
            .insert(index, LocalRecord::new(&row, now));
        self.members.insert(index, row);
        self.record_change(incarnation, state);
        self.resolve_conflicts(now, incarnation);
    }

    /// Refutes a claim about this node by raising its version above the claimed one.
    fn refute(&mut self, now: TimeMs, own: usize, version: u32) {
        if self.members[own].state == MemberState::Gone {
            return;
        }
        self.members[own].version = version + 1;
        self.local_records[own].state_changed_ms = now;
        self.updates.push(self.own, self.members.len());
    }

    pub(super) fn set_state(&mut self, now: TimeMs, index: usize, state: MemberState) {
        let member = &mut self.members[index];
        let has_left = member.state == MemberState::Leaving && state == MemberState::Gone;
        let incarnation = member.incarnation;
        let before = std::mem::replace(&mut member.state, state);
        let local = &mut self.local_records[index];
        local.has_ended = has_left || (local.has_ended && state == MemberState::Gone);
        local.is_suspected_locally = false;
        local.state_changed_ms = now;
        if before != state && state == MemberState::Alive {
            // Restarts the silence timer. Otherwise the silence that led to the suspicion would
            // count a second time.
            local.last_seen_ms = now;
        }
        if before == state {
            self.updates.push(incarnation, self.members.len());
            return;
        }
        self.record_change(incarnation, state);
        if state != MemberState::Gone {
            self.resolve_conflicts(now, incarnation);
        }
    }

    fn record_change(&mut self, incarnation: Incarnation, state: MemberState) {
        self.watch_links.is_stale = true;
        self.updates.push(incarnation, self.members.len());
        self.output.events.push(match state {
            MemberState::Alive => Event::Alive(incarnation),
            MemberState::Suspected => Event::Suspected(incarnation),
            MemberState::Leaving => Event::Leaving(incarnation),
            MemberState::Gone => Event::Gone(incarnation),
        });
    }

    /// Resolves conflicts between `incarnation` and the members with its name or address.
    fn resolve_conflicts(&mut self, now: TimeMs, incarnation: Incarnation) {
        let Some(member) = self.get(incarnation) else {
            return;
        };
        let is_conflicting = |other: &&Member| {
            let has_same_address = other.heartbeat_address == member.heartbeat_address;
            other.incarnation != incarnation && (has_same_address || other.name == member.name)
        };
        let conflicting = self.members.iter().filter(is_conflicting);
        for other in conflicting
            .map(|other| other.incarnation)
            .collect::<Vec<_>>()
        {
            self.resolve_conflict(now, incarnation, other);
            self.resolve_conflict(now, other, incarnation);
        }
    }

    /// Marks `loser` as ended if `winner` replaces it.
    ///
    /// This node holds its own address, so any other incarnation with that address has ended. Two
    /// incarnations with the same name can be alive at once for some time; there a live one
    /// replaces a suspected one, without waiting for the suspicion of the replaced host to time
    /// out.
    fn resolve_conflict(&mut self, now: TimeMs, winner: Incarnation, loser: Incarnation) {
        let (Some(winning), Some(losing)) = (self.get(winner), self.get(loser)) else {
            return;
        };
        let is_neither_gone =
            winning.state != MemberState::Gone && losing.state != MemberState::Gone;
        let has_same_address = winning.heartbeat_address == losing.heartbeat_address;
        let is_displaced = has_same_address && winner == self.own;
        let is_replaced = winning.name == losing.name
            && winning.is_live()
            && losing.state == MemberState::Suspected;
        if is_neither_gone && loser != self.own && (is_displaced || is_replaced) {
            self.mark_ended(now, loser);
        }
    }

    fn mark_ended(&mut self, now: TimeMs, incarnation: Incarnation) {
        if let Some(index) = self.find(incarnation) {
            self.set_state(now, index, MemberState::Gone);
            self.local_records[index].has_ended = true;
        }
    }
}
