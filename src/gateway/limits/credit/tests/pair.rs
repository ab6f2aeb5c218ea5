//! One owner and one node whose messages a test passes on.

use super::*;

pub(super) const OWNER: u64 = 1;
pub(super) const NODE: u64 = 2;
pub(super) const RATE_PER_S: f64 = 1_000_000.0;

/// An owner and a node that serve a team of two nodes.
pub(super) struct Pair {
    pub team: Team,
    pub owner: (CreditLeases, Quotas),
    pub node: (CreditLeases, Quotas),
}

impl Pair {
    pub fn new(team: Team) -> Self {
        let start = |incarnation| {
            let mut quotas = Quotas::new(Some(WINDOW), incarnation, TimeMs(0));
            quotas.set_visibility(visibility(2));
            quotas.record_contact(OWNER + NODE - incarnation, at(0));
            (CreditLeases::new(incarnation, at(0)), quotas)
        };
        Self {
            team,
            owner: start(OWNER),
            node: start(NODE),
        }
    }

    pub fn arrive(&mut self, cost: f64, now: TimeMs) -> (Arrival, Option<CreditAsk>) {
        let (leases, quotas) = &mut self.node;
        let (_ticket, arrival) = leases.arrive(&self.team, cost, quotas, now);
        (arrival, leases.next_ask(&self.team, quotas, now))
    }

    pub fn answer(&mut self, ask: CreditAsk, now: TimeMs) -> Option<CreditGrant> {
        let ask = CheckedAsk::try_from(ask).expect("valid amounts");
        let (leases, quotas) = &mut self.owner;
        leases.answer(&ask, &self.team, quotas, 0.5, now)
    }

    pub fn apply(&mut self, grant: CreditGrant, now: TimeMs) -> Option<Vec<(Ticket, Verdict)>> {
        let grant = CheckedGrant::try_from(grant).expect("valid amounts");
        let (leases, quotas) = &mut self.node;
        leases.apply_grant(&grant, &self.team, quotas, now)
    }

    pub fn update(&mut self, teams: &[Team], now: TimeMs) {
        let (leases, quotas) = &mut self.owner;
        leases.update(teams, |_team| true, quotas, now);
        let (leases, quotas) = &mut self.node;
        leases.update(teams, |_team| false, quotas, now);
    }

    pub fn outstanding(&self, now: TimeMs) -> f64 {
        let standing = self.owner.0.standing(self.team.tag, now);
        standing
            .and_then(|standing| standing.outstanding)
            .unwrap_or(0.0)
    }

    pub fn held(&self, now: TimeMs) -> f64 {
        let standing = self.node.0.standing(self.team.tag, now);
        standing.map_or(0.0, |standing| standing.held)
    }
}

/// Returns whether the verdicts admit `count` requests and nothing else.
pub(super) fn admits(settled: Option<&[(Ticket, Verdict)]>, count: usize) -> bool {
    let settled = settled.unwrap_or_default();
    settled.len() == count
        && settled
            .iter()
            .all(|(_ticket, verdict)| *verdict == Verdict::Admitted)
}
