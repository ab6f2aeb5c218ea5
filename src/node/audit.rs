//! Records this node's actions in the audit trail.

use super::Node;
use super::change::ChangeError;
use super::messages::HostNotice;
use crate::audit::{Act, Actor, Entry, Outcome};
use crate::coordination::configuration::SubmitError;
use crate::requests::suspects::Measure;

/// Role that records termination notices.
const NOTICES_ROLE: &str = "notices";
/// Role that records the stop of the node itself.
const NODE_ROLE: &str = "node";
/// Role that records the quarantine and rejection of requests that crash upstreams.
const SUSPICION_ROLE: &str = "suspicion";

impl Node {
    /// Records the result of an operator's change.
    pub(super) fn record_change(
        &self,
        operator: String,
        base_revision: u64,
        changed: &Result<u64, ChangeError>,
    ) {
        let outcome = match changed {
            Ok(_) => Outcome::Done,
            Err(ChangeError::Faults(_) | ChangeError::Stale { .. }) => Outcome::Refused,
            Err(ChangeError::NotWritten(_)) => Outcome::Failed,
            Err(ChangeError::Unknown(_)) => Outcome::Unknown,
        };
        let detail = match changed {
            Ok(_) => format!("made from revision {base_revision}"),
            Err(ChangeError::Unknown(SubmitError::Unresolved { change_id, .. })) => {
                format!("made from revision {base_revision}: change {change_id} is unresolved")
            }
            Err(error) => format!("made from revision {base_revision}: {error}"),
        };
        let actor = Actor::Operator(operator);
        let entry = self.entry(actor, Act::ChangeConfiguration, "configuration", outcome);
        let entry = match changed {
            Ok(revision) => entry.revision(*revision),
            Err(_) => entry.revision(self.revision()),
        };
        self.audit.record(entry.detail(&detail));
    }

    /// Records notices that this node received from the platform.
    ///
    /// Notices forwarded by peers are recorded by the node that received them from the platform.
    pub(super) fn record_notices(&self, notices: &[HostNotice]) {
        for notice in notices {
            let actor = Actor::Controller(NOTICES_ROLE.to_owned());
            let entry = self.entry(actor, Act::ClearHost, &notice.host, Outcome::Done);
            let detail = format!("it goes at {} ms", notice.leave_at_ms.0);
            let entry = entry.revision(self.revision()).detail(&detail);
            self.audit.record(entry);
        }
    }

    /// Records that this node was requested to stop.
    pub(super) fn record_stop(&self) {
        let actor = Actor::Controller(NODE_ROLE.to_owned());
        let entry = self.entry(actor, Act::StopNode, &self.name, Outcome::Done);
        self.audit.record(entry.revision(self.revision()));
    }

    /// Records this node's quarantines and rejections of requests that crash upstreams.
    pub(super) fn record_measures(&self) {
        for (id, measure) in self.core.suspicion.take_measures() {
            let act = match measure {
                Measure::Quarantined => Act::QuarantineContent,
                Measure::Refused => Act::BlockContent,
            };
            let actor = Actor::Controller(SUSPICION_ROLE.to_owned());
            let entry = self.entry(actor, act, &id.to_string(), Outcome::Done);
            self.audit.record(entry.revision(self.revision()));
        }
    }

    fn entry(&self, actor: Actor, act: Act, target: &str, outcome: Outcome) -> Entry {
        let now = self.core.clock.now();
        Entry::new(now, self.core.own, actor, act, target, outcome)
    }
}
