//! The known nodes of the fleet, in a snapshot that is cheap to read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::RwLock;
use rand::rngs::SmallRng;

use crate::keys::Incarnation;
use crate::membership::{Member, MemberState, Membership};
use crate::time::TimeMs;

/// Maximum number of addresses in one response to a caller.
const MAX_ENTRIES: usize = 16;

/// Number of witnesses over which this node's requests are spread.
const OWN_WITNESS_COUNT: usize = 4;

/// The membership view, with a snapshot that is cheap to read on the request path.
#[derive(Debug)]
pub struct Directory {
    own: Incarnation,
    membership: Arc<Membership>,
    snapshot: RwLock<View>,
    round_robin: AtomicU64,
}

#[derive(Debug, Default)]
struct View {
    members: Vec<Member>,
    own_witnesses: Vec<Incarnation>,
}

impl Directory {
    /// Creates a directory over a membership view.
    #[must_use]
    pub fn new(membership: Arc<Membership>) -> Self {
        let own = membership.with_view(|view| view.own().incarnation);
        let directory = Self {
            own,
            membership,
            snapshot: RwLock::default(),
            round_robin: AtomicU64::new(0),
        };
        directory.refresh();
        directory
    }

    /// Updates the snapshot; must be called whenever a node joins, leaves or is suspected.
    pub fn refresh(&self) {
        let snapshot = self.membership.with_view(|view| {
            let mut own_witnesses: Vec<_> = (0..OWN_WITNESS_COUNT as u64)
                .filter_map(|sequence| view.witness(self.own, sequence))
                .collect();
            own_witnesses.dedup();
            View {
                members: view.members().to_vec(),
                own_witnesses,
            }
        });
        *self.snapshot.write() = snapshot;
    }

    /// Returns a node's member row, if the node is known.
    #[must_use]
    pub fn get(&self, incarnation: Incarnation) -> Option<Member> {
        let snapshot = self.snapshot.read();
        let members = &snapshot.members;
        let index = members
            .binary_search_by_key(&incarnation, |member| member.incarnation)
            .ok()?;
        Some(members[index].clone())
    }

    /// Returns all known nodes, including this one and those that are gone.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.snapshot.read().members.clone()
    }

    /// Returns all other nodes that are not gone.
    #[must_use]
    pub fn others(&self) -> Vec<Member> {
        let snapshot = self.snapshot.read();
        let is_reachable =
            |member: &&Member| member.incarnation != self.own && member.state != MemberState::Gone;
        snapshot
            .members
            .iter()
            .filter(is_reachable)
            .cloned()
            .collect()
    }

    /// Returns the addresses that callers should use, best first.
    #[must_use]
    pub fn entries(&self, now: TimeMs, rng: &mut SmallRng) -> Vec<SocketAddr> {
        let entries = self
            .membership
            .with_view(|view| view.entries(now, rng, MAX_ENTRIES));
        entries.into_iter().map(|entry| entry.address).collect()
    }

    /// Returns the live nodes, including this one.
    #[must_use]
    pub fn live(&self) -> Vec<Incarnation> {
        let snapshot = self.snapshot.read();
        let live = snapshot.members.iter().filter(|member| member.is_live());
        live.map(|member| member.incarnation).collect()
    }

    /// Returns a live node other than this one, in round-robin order.
    #[must_use]
    pub fn any_live_peer(&self) -> Option<Incarnation> {
        let snapshot = self.snapshot.read();
        let live: Vec<_> = snapshot
            .members
            .iter()
            .filter(|member| member.is_live() && member.incarnation != self.own)
            .map(|member| member.incarnation)
            .collect();
        self.next_in_turn(&live)
    }

    /// Returns a live witness for requests of `home`, in another failure domain if there is one.
    #[must_use]
    pub fn witness(&self, home: Incarnation) -> Option<Incarnation> {
        if home == self.own {
            return self.next_in_turn(&self.snapshot.read().own_witnesses);
        }
        let sequence = self.round_robin.fetch_add(1, Ordering::Relaxed);
        self.membership
            .with_view(|view| view.witness(home, sequence))
    }

    fn next_in_turn(&self, nodes: &[Incarnation]) -> Option<Incarnation> {
        let round_robin =
            usize::try_from(self.round_robin.fetch_add(1, Ordering::Relaxed)).unwrap_or_default();
        nodes.get(round_robin.checked_rem(nodes.len())?).copied()
    }
}
