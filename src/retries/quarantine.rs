//! Where and when a suspect request may run.
//!
//! All nodes agree on the one host for a suspect by hashing, so copies of it sent to many nodes
//! never run in two places. Each host has one node that lets suspects onto it one at a time, so a
//! second death names the one that killed. Nodes whose views of hosts or nodes differ for a moment
//! can break this rule; it takes a suspect and a change of membership within the same second.

use bincode::{Decode, Encode};

use super::strikes::{Death, Fingerprint, Strikes, Verdict};
use crate::keys::{HostKey, Incarnation};
use crate::time::TimeMs;

/// How long a suspect may hold its host before the host is given to another.
///
/// A node that dies while its suspect runs never releases the host.
const GRANT_MS: u64 = 30_000;
/// When to ask again while the host is taken.
const ASK_AGAIN_MS: u64 = 250;

/// A node asks whether its suspect may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuarantineAsk {
    /// The suspect.
    pub fingerprint: Fingerprint,
    /// Where it would run: the result of [`quarantine_host`].
    pub host: HostKey,
    /// The node that asks.
    pub asker: Incarnation,
}

/// The answer of the host's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum QuarantineAnswer {
    /// Nothing is held against the request any longer; it may run anywhere.
    Clear,
    /// It may run on this host.
    Run(Grant),
    /// Ask again at this time.
    Wait {
        /// When.
        ask_again_ms: TimeMs,
    },
    /// It was present at two deaths and is refused as failed.
    Refuse,
}

/// Leave to run on a host that no other suspect uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Grant {
    /// The host.
    pub host: HostKey,
    /// The suspect has to have passed, or be cancelled, by then.
    pub until_ms: TimeMs,
}

/// Suspects that run on hosts of which this node is the owner.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    runs: Vec<Run>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    ask: QuarantineAsk,
    until_ms: TimeMs,
}

impl Quarantine {
    /// Decides whether a suspect may run now.
    pub fn ask(&mut self, ask: QuarantineAsk, strikes: &Strikes, now: TimeMs) -> QuarantineAnswer {
        self.runs.retain(|run| run.until_ms > now);
        let host_taken =
            |run: &Run| run.ask.host == ask.host || run.ask.fingerprint == ask.fingerprint;
        match strikes.verdict(ask.fingerprint, now) {
            Verdict::Clear => QuarantineAnswer::Clear,
            Verdict::Convicted => QuarantineAnswer::Refuse,
            Verdict::Suspect { not_before_ms } if not_before_ms > now => QuarantineAnswer::Wait {
                ask_again_ms: not_before_ms,
            },
            Verdict::Suspect { .. } if self.runs.iter().any(host_taken) => QuarantineAnswer::Wait {
                ask_again_ms: now.after(ASK_AGAIN_MS),
            },
            Verdict::Suspect { .. } => {
                let until_ms = now.after(GRANT_MS);
                self.runs.push(Run { ask, until_ms });
                QuarantineAnswer::Run(Grant {
                    host: ask.host,
                    until_ms,
                })
            }
        }
    }

    /// Gives a host back, with the host's death if the suspect ended in it.
    ///
    /// The death comes with the release rather than by the exchange of strikes, so that no copy of
    /// the suspect that waits here is let go in between.
    pub fn release(
        &mut self,
        ask: &QuarantineAsk,
        death: Option<Death>,
        strikes: &mut Strikes,
        now: TimeMs,
    ) {
        match death {
            Some(death) => strikes.note_death(death, &[ask.fingerprint], now),
            None => strikes.note_passed(ask.fingerprint, now),
        }
        self.runs.retain(|run| run.ask != *ask);
    }

    /// Gives a host back of which nothing was learnt, such as after a cancelled or refused attempt.
    pub fn abandon(&mut self, ask: &QuarantineAsk) {
        self.runs.retain(|run| run.ask != *ask);
    }
}

/// The one host on which a suspect may run, of those that could serve it.
///
/// If it cannot be reached the suspect waits for news of its death rather than going to the next.
#[must_use]
pub fn quarantine_host(
    fingerprint: Fingerprint,
    usable: impl IntoIterator<Item = HostKey>,
    died_with: &[HostKey],
) -> Option<HostKey> {
    let usable = usable.into_iter();
    usable
        .filter(|host| !died_with.contains(host))
        .max_by_key(|host| rank(fingerprint.0, host.0))
}

/// The node that lets suspects onto a host.
#[must_use]
pub fn owner(host: HostKey, nodes: impl IntoIterator<Item = Incarnation>) -> Option<Incarnation> {
    nodes.into_iter().max_by_key(|node| rank(host.0, node.0))
}

fn rank(thing: u64, place: u64) -> u64 {
    twox_hash::XxHash3_64::oneshot_with_seed(thing, &place.to_le_bytes())
}

#[cfg(test)]
mod tests;
