//! Datagrams received, and the search for members and views that are missing.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use twox_hash::XxHash3_64;

use super::member::{Member, MemberState};
use super::view::View;
use super::wire::{self, MAX_UPDATES, MAX_WANTED, Message, Packet, ROWS_BYTES, Summary, Update};
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// How long a row that was asked for is waited for before it is asked for again.
const WANTED_MS: u64 = 1_000;

/// Seeds asked at once by a node that knows nobody.
const SEEDS_ASKED: usize = 2;

impl View {
    pub(super) fn receive(&mut self, now: TimeMs, from: SocketAddr, packet: Packet) {
        let sender = self.sender_address(from, &packet);
        let mut wanted = Vec::new();
        let claims = std::iter::once(packet.own_update()).chain(packet.updates.iter().copied());
        for update in claims.collect::<Vec<_>>() {
            if self.merge(now, update) {
                wanted.push(update.incarnation);
            }
        }
        self.hear(now, &packet);
        self.tell(now, sender, packet.own_update());
        self.obey(now, sender, packet.from, packet.message, &mut wanted);
        self.want(now, sender, wanted);
    }

    /// Where to answer: where the sender says that it listens, if that is known.
    fn sender_address(&self, from: SocketAddr, packet: &Packet) -> SocketAddr {
        match &packet.message {
            Message::Join(row) => row.heartbeat_address,
            _ => self
                .get(packet.from)
                .map_or(from, |member| member.heartbeat_address),
        }
    }

    /// Notes that the sender is alive, unless the datagram is an old one.
    fn hear(&mut self, now: TimeMs, packet: &Packet) {
        let Some(index) = self.find(packet.from) else {
            return;
        };
        if packet.sequence <= self.tracks[index].sequence {
            return;
        }
        self.tracks[index].sequence = packet.sequence;
        self.tracks[index].heard_ms = now;
        self.tracks[index].load_ms = Some(now);
        self.members[index].load = packet.load;
        self.heard_any_ms = now;
        self.lift_doubts(now);
    }

    /// Tells a sender what is said of it, so that it can contradict.
    fn tell(&mut self, now: TimeMs, sender: SocketAddr, said: Update) {
        let Some(index) = self.find(said.incarnation) else {
            return;
        };
        let known = self.update(index);
        let told_ms = self.tracks[index].told_ms;
        if known.claim > said.claim && now.since(told_ms) >= self.settings.interval_ms {
            self.tracks[index].told_ms = now;
            self.send_with(sender, Message::Heartbeat, vec![known]);
        }
    }

    fn obey(
        &mut self,
        now: TimeMs,
        sender: SocketAddr,
        from: Incarnation,
        message: Message,
        wanted: &mut Vec<Incarnation>,
    ) {
        match message {
            Message::Heartbeat | Message::Answer(None) => {}
            Message::Join(row) => {
                wanted.clear();
                self.merge_row(now, row);
                self.send_all_rows(sender, from);
            }
            Message::Probe(origin) => self.send(sender, Message::Answer(origin)),
            Message::Answer(Some(origin)) => {
                self.send_if_known(origin, Message::Heard(from));
            }
            Message::ProbeFor(target) => {
                self.send_if_known(target, Message::Probe(Some(from)));
            }
            Message::Heard(target) => {
                if let Some(index) = self.find(target) {
                    self.tracks[index].heard_ms = now;
                }
            }
            Message::Digest(digest) if digest == self.digest() => {}
            Message::Digest(_) => self.send_summary(sender),
            Message::Summary(summary) => self.compare(now, sender, &summary, wanted),
            Message::Want(incarnations) => self.send_rows(sender, &incarnations),
            Message::Rows(rows) => {
                for row in rows {
                    self.merge_row(now, row);
                }
            }
        }
    }

    /// Looks for members that are missing, and compares views, when either is due.
    pub(super) fn seek(&mut self, now: TimeMs, rng: &mut SmallRng) {
        let alone = self.live().all(|member| member.incarnation == self.own);
        let ended = self.own().state == MemberState::Gone;
        let due = now >= self.next_sync_ms;
        match (alone, due) {
            _ if ended => {}
            (true, _) if self.ticks % self.settings.suspect_after == 1 => {
                self.join(rng, SEEDS_ASKED);
            }
            (false, true) => {
                self.join(rng, 1);
                self.send_digest(rng);
                self.probe_one_gone(rng);
            }
            _ => {}
        }
        if due {
            // Spread out, so that nodes that were started together don't compare together.
            let interval_ms = self.settings.sync_interval_ms;
            let wait_ms = rng.random_range(interval_ms / 2..=interval_ms + interval_ms / 2);
            self.next_sync_ms = now.after(wait_ms);
        }
    }

    /// Joins at seeds where no live member is known.
    ///
    /// After a region was cut off for so long that both sides have given each other up, this and
    /// the probes of members that are gone bring them together again.
    fn join(&mut self, rng: &mut SmallRng, count: usize) {
        let known = |seed: &SocketAddr| {
            let mut live = self.members.iter().filter(|member| member.is_live());
            live.any(|member| member.heartbeat_address == *seed)
        };
        let unknown = self.seeds.iter().copied().filter(|seed| !known(seed));
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
        let silent: Vec<usize> = gone.filter(|index| !self.tracks[*index].ended).collect();
        if let Some(index) = silent.choose(rng) {
            self.probe(*index);
        }
    }

    /// A number that is equal in equal views; members that are gone don't count, since nodes forget
    /// them at different times.
    fn digest(&self) -> u64 {
        let here = self.indices(|state| state != MemberState::Gone);
        here.map(|index| digest_of(&self.update(index)))
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

    /// Takes in another's view of a range, and tells it what it doesn't know.
    fn compare(
        &mut self,
        now: TimeMs,
        sender: SocketAddr,
        summary: &Summary,
        wanted: &mut Vec<Incarnation>,
    ) {
        for update in &summary.entries {
            if self.merge(now, *update) {
                wanted.push(update.incarnation);
            }
        }
        let news: Vec<Update> = (0..self.members.len())
            .map(|index| self.update(index))
            .filter(|own| (summary.first..=summary.last).contains(&own.incarnation))
            .filter(|own| is_news(own, &summary.entries))
            .collect();
        for news in news.chunks(MAX_UPDATES) {
            self.send_with(sender, Message::Heartbeat, news.to_vec());
        }
    }

    /// Asks for rows, unless they have been asked for just now.
    fn want(&mut self, now: TimeMs, sender: SocketAddr, mut wanted: Vec<Incarnation>) {
        self.wanted
            .retain(|(_, asked_ms)| now.since(*asked_ms) < WANTED_MS);
        wanted.retain(|wanted| self.wanted.iter().all(|(asked, _)| asked != wanted));
        wanted.truncate(MAX_WANTED);
        if !wanted.is_empty() {
            self.wanted
                .extend(wanted.iter().map(|wanted| (*wanted, now)));
            self.send(sender, Message::Want(wanted));
        }
    }

    fn send_all_rows(&mut self, to: SocketAddr, except: Incarnation) {
        let here = self.indices(|state| state != MemberState::Gone);
        let incarnations = here.map(|index| self.members[index].incarnation);
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
    /// What the sender says of itself.
    fn own_update(&self) -> Update {
        Update {
            incarnation: self.from,
            claim: self.claim,
        }
    }
}

fn digest_of(update: &Update) -> u64 {
    let mut bytes = [0; 13];
    bytes[..8].copy_from_slice(&update.incarnation.0.to_be_bytes());
    bytes[8..12].copy_from_slice(&update.claim.version.to_be_bytes());
    bytes[12] = update.claim.state as u8;
    XxHash3_64::oneshot(&bytes)
}

/// Whether a claim is more than what `entries`, sorted, hold.
fn is_news(own: &Update, entries: &[Update]) -> bool {
    match entries.binary_search_by_key(&own.incarnation, |entry| entry.incarnation) {
        Ok(index) => own.claim > entries[index].claim,
        Err(_) => own.claim.state != MemberState::Gone,
    }
}
