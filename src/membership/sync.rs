//! Handling of received datagrams, discovery of members and anti-entropy.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use twox_hash::XxHash3_64;

use super::member::{Member, MemberState};
use super::view::View;
use super::wire::{
    self, MAX_REQUESTED_ROWS, MAX_UPDATES, Message, Packet, ROWS_BYTES, Summary, Update,
};
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// Time after which a row that has not arrived is requested again.
const ROW_REQUEST_TIMEOUT_MS: u64 = 1_000;

/// Number of seeds that a node without live peers joins at once.
const JOIN_SEED_COUNT: usize = 2;

impl View {
    pub(super) fn receive(&mut self, now: TimeMs, from: SocketAddr, packet: Packet) {
        let sender = self.sender_address(from, &packet);
        let mut missing = Vec::new();
        let claims = std::iter::once(packet.own_update()).chain(packet.updates.iter().copied());
        for update in claims.collect::<Vec<_>>() {
            if self.merge(now, update) {
                missing.push(update.incarnation);
            }
        }
        self.record_contact(now, &packet);
        self.send_correction(now, sender, packet.own_update());
        self.handle_message(now, sender, packet.from, packet.message, &mut missing);
        self.request_rows(now, sender, missing);
    }

    /// Returns the address for responses: the sender's heartbeat address if it is known.
    fn sender_address(&self, from: SocketAddr, packet: &Packet) -> SocketAddr {
        match &packet.message {
            Message::Join(row) => row.heartbeat_address,
            _ => self
                .get(packet.from)
                .map_or(from, |member| member.heartbeat_address),
        }
    }

    /// Records that the sender is alive, unless the datagram is older than one already received.
    fn record_contact(&mut self, now: TimeMs, packet: &Packet) {
        let Some(index) = self.find(packet.from) else {
            return;
        };
        if packet.sequence <= self.local_records[index].last_sequence {
            return;
        }
        self.local_records[index].last_sequence = packet.sequence;
        self.local_records[index].last_seen_ms = now;
        self.local_records[index].load_received_ms = Some(now);
        self.members[index].load = packet.load;
        self.last_received_ms = now;
        self.revert_local_suspicions(now);
    }

    /// Sends the sender a greater claim that this node holds about it, so that it can refute it.
    fn send_correction(&mut self, now: TimeMs, sender: SocketAddr, reported: Update) {
        let Some(index) = self.find(reported.incarnation) else {
            return;
        };
        let known = self.update(index);
        let corrected_ms = self.local_records[index].corrected_ms;
        if known.claim > reported.claim && now.since(corrected_ms) >= self.settings.interval_ms {
            self.local_records[index].corrected_ms = now;
            self.send_with(sender, Message::Heartbeat, vec![known]);
        }
    }

    fn handle_message(
        &mut self,
        now: TimeMs,
        sender: SocketAddr,
        from: Incarnation,
        message: Message,
        missing: &mut Vec<Incarnation>,
    ) {
        match message {
            Message::Heartbeat | Message::ProbeAck(None) => {}
            Message::Join(row) => {
                missing.clear();
                self.merge_row(now, row);
                self.send_all_rows(sender, from);
            }
            Message::Probe(origin) => self.send(sender, Message::ProbeAck(origin)),
            Message::ProbeAck(Some(origin)) => {
                self.send_if_known(origin, Message::IndirectAck(from));
            }
            Message::IndirectProbe(target) => {
                self.send_if_known(target, Message::Probe(Some(from)));
            }
            Message::IndirectAck(target) => {
                if let Some(index) = self.find(target) {
                    self.local_records[index].last_seen_ms = now;
                }
            }
            Message::Digest(digest) if digest == self.digest() => {}
            Message::Digest(_) => self.send_summary(sender),
            Message::Summary(summary) => self.apply_summary(now, sender, &summary, missing),
            Message::RowRequest(incarnations) => self.send_rows(sender, &incarnations),
            Message::Rows(rows) => {
                for row in rows {
                    self.merge_row(now, row);
                }
            }
        }
    }

    /// Joins seeds and starts a view comparison when either is due.
    pub(super) fn discover_and_sync(&mut self, now: TimeMs, rng: &mut SmallRng) {
        let is_alone = self.live().all(|member| member.incarnation == self.own);
        let has_ended = self.own().state == MemberState::Gone;
        let is_due = now >= self.next_sync_ms;
        match (is_alone, is_due) {
            _ if has_ended => {}
            (true, _) if self.ticks % self.settings.suspect_after_intervals == 1 => {
                self.join(rng, JOIN_SEED_COUNT);
            }
            (false, true) => {
                self.join(rng, 1);
                self.send_digest(rng);
                self.probe_one_gone(rng);
            }
            _ => {}
        }
        if is_due {
            // Jitter: nodes that were started together should not synchronize at the same time.
            let interval_ms = self.settings.sync_interval_ms;
            let wait_ms = rng.random_range(interval_ms / 2..=interval_ms + interval_ms / 2);
            self.next_sync_ms = now.after(wait_ms);
        }
    }

    /// Sends join messages to up to `count` seeds whose addresses belong to no live member.
    ///
    /// After a partition between regions that lasted until both sides marked each other as gone,
    /// these messages and the probes of gone members merge the two sides.
    fn join(&mut self, rng: &mut SmallRng, count: usize) {
        let is_live = |seed: &SocketAddr| {
            let mut live = self.members.iter().filter(|member| member.is_live());
            live.any(|member| member.heartbeat_address == *seed)
        };
        let unknown = self.seeds.iter().copied().filter(|seed| !is_live(seed));
        for seed in unknown.choose_multiple(rng, count) {
            let own = self.own().clone();
            self.send(seed, Message::Join(own));
        }
    }

    fn send_digest(&mut self, rng: &mut SmallRng) {
        let own = self.own_index();
        let others = self.indices(|state| state == MemberState::Alive);
        if let Some(other) = others.filter(|index| *index != own).choose(rng) {
            let to = self.members[other].heartbeat_address;
            let digest = self.digest();
            self.send(to, Message::Digest(digest));
        }
    }

    fn probe_one_gone(&mut self, rng: &mut SmallRng) {
        let gone = self.indices(|state| state == MemberState::Gone);
        let timed_out: Vec<usize> = gone
            .filter(|index| !self.local_records[*index].has_ended)
            .collect();
        if let Some(index) = timed_out.choose(rng) {
            self.probe(*index);
        }
    }

    /// Returns a hash that is equal for equal views.
    ///
    /// Gone members are excluded, since nodes remove them at different times.
    fn digest(&self) -> u64 {
        let present = self.indices(|state| state != MemberState::Gone);
        present
            .map(|index| claim_hash(&self.update(index)))
            .fold(0, u64::wrapping_add)
    }

    fn send_summary(&mut self, to: SocketAddr) {
        let all: Vec<Update> = (0..self.members.len())
            .map(|index| self.update(index))
            .collect();
        let pages: Vec<&[Update]> = all.chunks(MAX_UPDATES).collect();
        let mut first = Incarnation(0);
        for (number, entries) in pages.iter().enumerate() {
            let is_last = number + 1 == pages.len();
            let last = match entries.last() {
                Some(entry) if !is_last => entry.incarnation,
                _ => Incarnation(u64::MAX),
            };
            let entries = entries.to_vec();
            let summary = Summary {
                first,
                last,
                entries,
            };
            self.send(to, Message::Summary(summary));
            first = Incarnation(last.0.saturating_add(1));
        }
    }

    /// Merges a summary and sends the claims of its range that its sender lacks.
    fn apply_summary(
        &mut self,
        now: TimeMs,
        sender: SocketAddr,
        summary: &Summary,
        missing: &mut Vec<Incarnation>,
    ) {
        for update in &summary.entries {
            if self.merge(now, *update) {
                missing.push(update.incarnation);
            }
        }
        let newer: Vec<Update> = (0..self.members.len())
            .map(|index| self.update(index))
            .filter(|own| (summary.first..=summary.last).contains(&own.incarnation))
            .filter(|own| is_newer(own, &summary.entries))
            .collect();
        for newer in newer.chunks(MAX_UPDATES) {
            self.send_with(sender, Message::Heartbeat, newer.to_vec());
        }
    }

    /// Requests rows, except those that were requested less than `ROW_REQUEST_TIMEOUT_MS` ago.
    fn request_rows(&mut self, now: TimeMs, sender: SocketAddr, mut missing: Vec<Incarnation>) {
        self.requested_rows
            .retain(|(_, requested_ms)| now.since(*requested_ms) < ROW_REQUEST_TIMEOUT_MS);
        missing.retain(|missing| {
            self.requested_rows
                .iter()
                .all(|(requested, _)| requested != missing)
        });
        missing.truncate(MAX_REQUESTED_ROWS);
        if !missing.is_empty() {
            self.requested_rows
                .extend(missing.iter().map(|missing| (*missing, now)));
            self.send(sender, Message::RowRequest(missing));
        }
    }

    fn send_all_rows(&mut self, to: SocketAddr, except: Incarnation) {
        let present = self.indices(|state| state != MemberState::Gone);
        let incarnations = present.map(|index| self.members[index].incarnation);
        let incarnations: Vec<Incarnation> = incarnations.filter(|key| *key != except).collect();
        self.send_rows(to, &incarnations);
    }

    fn send_rows(&mut self, to: SocketAddr, incarnations: &[Incarnation]) {
        let mut page: Vec<Member> = Vec::new();
        let mut page_bytes = 0;
        for index in incarnations
            .iter()
            .filter_map(|key| self.find(*key))
            .collect::<Vec<_>>()
        {
            let mut row = self.members[index].clone();
            row.state = self.claim(index).state;
            let row_bytes = wire::row_bytes(&row);
            if page_bytes + row_bytes > ROWS_BYTES {
                self.send(to, Message::Rows(std::mem::take(&mut page)));
                page_bytes = 0;
            }
            page_bytes += row_bytes;
            page.push(row);
        }
        if !page.is_empty() {
            self.send(to, Message::Rows(page));
        }
    }

    fn send_if_known(&mut self, to: Incarnation, message: Message) {
        if let Some(index) = self.find(to) {
            let to = self.members[index].heartbeat_address;
            self.send(to, message);
        }
    }
}

impl Packet {
    /// Returns the sender's claim about itself.
    fn own_update(&self) -> Update {
        Update {
            incarnation: self.from,
            claim: self.claim,
        }
    }
}

fn claim_hash(update: &Update) -> u64 {
    let mut bytes = [0; 13];
    bytes[..8].copy_from_slice(&update.incarnation.0.to_be_bytes());
    bytes[8..12].copy_from_slice(&update.claim.version.to_be_bytes());
    bytes[12] = update.claim.state as u8;
    XxHash3_64::oneshot(&bytes)
}

/// Returns whether a claim is greater than the one in `entries`, which are sorted by incarnation.
fn is_newer(own: &Update, entries: &[Update]) -> bool {
    match entries.binary_search_by_key(&own.incarnation, |entry| entry.incarnation) {
        Ok(index) => own.claim > entries[index].claim,
        Err(_) => own.claim.state != MemberState::Gone,
    }
}
