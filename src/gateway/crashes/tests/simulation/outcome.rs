//! What a simulated day came to.

use super::*;

impl Simulation {
    pub(super) fn outcome(&self) -> Outcome {
        let fifth_of = |crashes: &Vec<TimeMs>| crashes.get(4).or(crashes.last()).copied();
        let fifths: BTreeMap<u64, TimeMs> = (self.crashes.iter())
            .filter_map(|(bad, crashes)| fifth_of(crashes).map(|at| (*bad, at)))
            .collect();
        let late_sends = fifths.iter().map(|(bad, fifth)| {
            let has_five = self.crashes[bad].len() >= 5;
            let is_late = |sent: &&(u64, TimeMs, bool)| {
                has_five && sent.0 == *bad && sent.2 && sent.1 > fifth.after(CONTACT_MS)
            };
            self.sends.iter().filter(is_late).count()
        });
        let from = fifths
            .values()
            .max()
            .copied()
            .unwrap_or(self.last_impairment);
        let calm_end = TimeMs(START_MS + CALM_MS - 1_000);
        Outcome {
            nodes: self.nodes.len(),
            bad_crashes: self.crashes.values().map(Vec::len).sum(),
            late_sends: u32::try_from(late_sends.max().unwrap_or(0)).unwrap_or(u32::MAX),
            calm: self.begun_between(TimeMs(START_MS), calm_end),
            later: self.begun_between(from.after(2 * CONTACT_MS), TimeMs(u64::MAX)),
            blocked_requests: self.blocked_requests,
            reports: self.reports,
        }
    }

    pub(super) fn begun_between(&self, from: TimeMs, to: TimeMs) -> Begun {
        let of_span = (self.related.iter()).filter(|(at, _begun)| *at >= from && *at < to);
        of_span.fold(Begun::default(), |sum, (_at, has_begun)| Begun {
            sent: sum.sent + 1,
            begun: sum.begun + u32::from(*has_begun),
        })
    }
}
