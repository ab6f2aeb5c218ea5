//! The nodes that this one knows, as the rest of the node reads them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::RwLock;
use rand::rngs::SmallRng;

use crate::keys::Incarnation;
use crate::membership::{Member, MemberState, Membership};
use crate::time::TimeMs;

/// Addresses in one answer to a caller.
const ENTRIES_LIMIT: usize = 16;

/// Witnesses that this node's requests are spread over.
const OWN_WITNESSES: usize = 4;

/// The membership view, with a copy that is cheap to read on the request path.
#[derive(Debug)]
pub struct Directory {
    own: Incarnation,
    membership: Arc<Membership>,
    copy: RwLock<View>,
    turn: AtomicU64,
}

#[derive(Debug, Default)]
struct View {
    members: Vec<Member>,
    own_witnesses: Vec<Incarnation>,
}

impl Directory {
    /// A directory over a membership view.
    #[must_use]
    pub fn new(membership: Arc<Membership>) -> Self {
        let own = membership.with_view(|view| view.own().incarnation);
        let directory = Self {
            own,
            membership,
            copy: RwLock::default(),
            turn: AtomicU64::new(0),
        };
        directory.refresh();
        directory
    }

    /// Copies the view; to be called whenever a node comes, goes or is suspected.
    pub fn refresh(&self) {
        let copy = self.membership.with_view(|view| {
            let mut own_witnesses: Vec<_> = (0..OWN_WITNESSES as u64)
                .filter_map(|sequence| view.witness(self.own, sequence))
                .collect();
            own_witnesses.dedup();
            View {
                members: view.members().to_vec(),
                own_witnesses,
            }
        });
        *self.copy.write() = copy;
    }

    /// What is known of a node.
    #[must_use]
    pub fn get(&self, incarnation: Incarnation) -> Option<Member> {
        let copy = self.copy.read();
        let members = &copy.members;
        let index = members
            .binary_search_by_key(&incarnation, |member| member.incarnation)
            .ok()?;
        Some(members[index].clone())
    }

    /// All nodes known.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.copy.read().members.clone()
    }

    /// All other nodes that may be asked something.
    #[must_use]
    pub fn others(&self) -> Vec<Member> {
        let copy = self.copy.read();
        let asked =
            |member: &&Member| member.incarnation != self.own && member.state != MemberState::Gone;
        copy.members.iter().filter(asked).cloned().collect()
    }

    /// The addresses that callers should use, best first.
    #[must_use]
    pub fn entries(&self, now: TimeMs, rng: &mut SmallRng) -> Vec<SocketAddr> {
        let entries = self
            .membership
            .with_view(|view| view.entries(now, rng, ENTRIES_LIMIT));
        entries.into_iter().map(|entry| entry.address).collect()
    }

    /// The live nodes, this one included.
    #[must_use]
    pub fn live(&self) -> Vec<Incarnation> {
        let copy = self.copy.read();
        let live = copy.members.iter().filter(|member| member.is_live());
        live.map(|member| member.incarnation).collect()
    }

    /// A live node other than this one.
    #[must_use]
    pub fn any_live(&self) -> Option<Incarnation> {
        let copy = self.copy.read();
        let live: Vec<_> = copy
            .members
            .iter()
            .filter(|member| member.is_live() && member.incarnation != self.own)
            .map(|member| member.incarnation)
            .collect();
        self.take_turn(&live)
    }

    /// A live node that can witness requests of `home`, in another failure domain if there is one.
    #[must_use]
    pub fn witness(&self, home: Incarnation) -> Option<Incarnation> {
        if home == self.own {
            return self.take_turn(&self.copy.read().own_witnesses);
        }
        let sequence = self.turn.fetch_add(1, Ordering::Relaxed);
        self.membership
            .with_view(|view| view.witness(home, sequence))
    }

    fn take_turn(&self, nodes: &[Incarnation]) -> Option<Incarnation> {
        let turn = usize::try_from(self.turn.fetch_add(1, Ordering::Relaxed)).unwrap_or_default();
        nodes.get(turn.checked_rem(nodes.len())?).copied()
    }
}
