//! Passes asks and grants between the nodes, and follows changes of ownership.

use std::net::SocketAddr;

use rand::Rng as _;

use super::{CheckedAsk, CheckedGrant, CreditAsk, CreditGrant, OwnershipChange};
use crate::gateway::messages::Message;
use crate::gateway::state::{Gateway, Recipients};
use crate::time::TimeMs;

/// Sends an ask, if there is one, to the team's owner.
pub(super) fn send_ask(node: &Gateway, owner: SocketAddr, ask: Option<CreditAsk>) {
    if let Some(ask) = ask {
        metrics::counter!("teaselline_credit_asks_total").increment(1);
        node.send_message(Recipients::Address(owner), Message::CreditAsk(ask));
    }
}

/// Answers a peer's ask for credit.
pub(crate) fn apply_ask(node: &Gateway, ask: CreditAsk, from: SocketAddr, now: TimeMs) {
    let checked = match CheckedAsk::try_from(ask) {
        Ok(checked) => checked,
        Err(error) => {
            log::warn!(event = "credit_message_rejected", peer:% = from, error:err = error; "dropped an ask for credit");
            return;
        }
    };
    let catalog = node.catalog();
    let found = catalog.teams.iter().find(|team| team.tag == ask.team);
    let Some(team) = found.filter(|team| team.rate_per_s.is_some()) else {
        log::debug!(peer:% = from, team = ask.team; "dropped an ask for credit of a team without a limit here");
        return;
    };
    let visibility = node.peers.lock().visibility(now);
    let (grant, is_new) = {
        let mut credit = node.credit.lock();
        let mut quotas = node.quotas.lock();
        quotas.set_visibility(visibility);
        let is_new = !credit.leases.has_ledger(team.tag);
        let draw = rand::rng().random_range(0.0..1.0);
        let grant = (credit.leases).answer(&checked, team, &mut quotas, draw, now);
        (grant, is_new)
    };
    if is_new {
        log_taken(&team.name);
    }
    if let Some(grant) = grant {
        let is_denied = grant.quiet_ms > 0;
        let name = if is_denied { "denied" } else { "granted" };
        metrics::counter!("teaselline_credit_grants_total", "result" => name).increment(1);
        node.send_message(Recipients::Address(from), Message::CreditGrant(grant));
    }
}

fn log_taken(team: &str) {
    log::info!(event = "credit_ownership_taken", team; "this node grants the credit of a team's limit");
}

/// Applies the answer of a team's owner.
pub(crate) fn apply_grant(node: &Gateway, grant: CreditGrant, from: SocketAddr, now: TimeMs) {
    let checked = match CheckedGrant::try_from(grant) {
        Ok(checked) => checked,
        Err(error) => {
            log::warn!(event = "credit_message_rejected", peer:% = from, error:err = error; "dropped a grant of credit");
            return;
        }
    };
    let catalog = node.catalog();
    let found = catalog.teams.iter().find(|team| team.tag == grant.team);
    let Some(team) = found.filter(|team| team.rate_per_s.is_some()) else {
        log::debug!(peer:% = from, team = grant.team; "dropped credit of a team without a limit here");
        return;
    };
    let owner = node.peers.lock().quota_collector(team.tag, now);
    let ask = {
        let mut credit = node.credit.lock();
        let mut quotas = node.quotas.lock();
        let was_unanswered = credit.leases.is_unanswered(team.tag);
        let Some(settled) = credit.leases.apply_grant(&checked, team, &mut quotas, now) else {
            metrics::counter!("teaselline_credit_grants_ignored_total").increment(1);
            return;
        };
        if was_unanswered && !credit.leases.is_unanswered(team.tag) {
            log::info!(event = "credit_owner_answers", team = team.name.as_str(), owner:% = from; "the owner of a team's limit answers; this node spends leased credit");
        }
        let abandoned = credit.deliver(&settled);
        if abandoned > 0.0 {
            quotas.refund(team, abandoned, now);
            log::debug!(team = team.name.as_str(), cost = abandoned; "callers left before the owner's answer; their requests are refunded");
        }
        credit.leases.next_ask(team, &mut quotas, now)
    };
    if let Some(owner) = owner {
        send_ask(node, owner, ask);
    }
}

/// Removes what has ended and logs which teams this node has begun or ceased to own.
pub(crate) fn update(node: &Gateway, now: TimeMs) {
    let catalog = node.catalog();
    let peers = node.peers.lock();
    let changes = {
        let mut credit = node.credit.lock();
        let is_owner = |team| peers.quota_collector(team, now).is_none();
        credit.remove_abandoned(now);
        let mut quotas = node.quotas.lock();
        let leases = &mut credit.leases;
        leases.update(&catalog.teams, is_owner, &mut quotas, now)
    };
    drop(peers);
    for change in changes {
        let (OwnershipChange::Taken { team } | OwnershipChange::Lost { team }) = change;
        let found = catalog.teams.iter().find(|known| known.tag == team);
        let name = found.map_or("", |known| known.name.as_str());
        match change {
            OwnershipChange::Taken { .. } => log_taken(name),
            OwnershipChange::Lost { .. } => {
                log::info!(event = "credit_ownership_lost", team = name; "another node grants the credit of a team's limit");
            }
        }
    }
}
