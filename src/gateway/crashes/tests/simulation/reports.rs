//! The datagrams of the simulated nodes.

use super::*;

impl Simulation {
    pub(super) fn broadcast(&mut self, from: usize, reports: Vec<<Known as Judge>::Report>) {
        for report in reports {
            self.reports += 1;
            let report = Rc::new(report);
            for to in (0..self.nodes.len()).filter(|to| *to != from) {
                if self.random.random_bool(LOSS) {
                    continue;
                }
                let delay_ms = self.random.random_range(1..MAX_DELAY_MS);
                self.after(delay_ms, Event::Deliver(from, to, Rc::clone(&report)));
            }
        }
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, report: &<Known as Judge>::Report) {
        if self.cut_until[from] <= self.now && self.cut_until[to] <= self.now {
            self.nodes[to].receive(report, self.now);
        }
    }

    /// Has each node hear the statuses of two others.
    pub(super) fn status(&mut self) {
        self.after(STATUS_INTERVAL_MS, Event::Status);
        for to in 0..self.nodes.len() {
            for _ in 0..2 {
                let from = self.random.random_range(0..self.nodes.len());
                let reports = self.nodes[from].repeated(self.now);
                for report in reports {
                    self.deliver(from, to, &report);
                }
            }
        }
    }

    pub(super) fn tick(&mut self) {
        self.after(TICK_INTERVAL_MS, Event::Tick);
        let group = usize::try_from(self.now.0 / TICK_INTERVAL_MS).unwrap_or(0) % TICK_GROUPS;
        for node in (group..self.nodes.len()).step_by(TICK_GROUPS) {
            let reports = self.nodes[node].tick(self.now);
            self.broadcast(node, reports);
        }
    }
}
