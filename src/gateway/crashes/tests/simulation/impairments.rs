//! What ends upstreams, breaks connections and cuts or restarts nodes.

use super::*;

impl Simulation {
    /// Ends an upstream; its nodes notice it at once, or only by its restart.
    pub(super) fn crash(&mut self, upstream: usize, unnoticed_share: f64) {
        if !self.upstreams[upstream].is_up {
            return;
        }
        self.upstreams[upstream].is_up = false;
        self.last_impairment = self.now;
        self.after(DOWN_MS, Event::Up(upstream));
        let broken: Vec<u64> = (self.running.iter())
            .filter(|(_id, request)| request.upstream == upstream)
            .map(|(id, _request)| *id)
            .collect();
        for id in broken {
            let delay_ms = if self.random.random_bool(unnoticed_share) {
                self.random.random_range(500..DOWN_MS)
            } else {
                self.random.random_range(0..20)
            };
            let request = &self.running[&id];
            let broken = break_of(request);
            self.after(delay_ms, Event::Notice(id, broken));
        }
    }

    /// Breaks the connection of a request whose upstream runs on.
    pub(super) fn reset(&mut self, id: u64) {
        let Some(request) = self.running.get(&id) else {
            return;
        };
        let broken = Break {
            runs_on: true,
            ..break_of(request)
        };
        self.notice(id, &broken);
    }

    pub(super) fn lose(&mut self, step: u32) {
        let next_ms = match self.course.losses {
            Losses::None | Losses::Resets => return,
            Losses::Domain | Losses::TwoDomains => {
                self.lose_domain(u64::from(step));
                2_000
            }
            Losses::All => {
                (0..self.upstreams.len()).for_each(|upstream| self.crash(upstream, 0.1));
                1_000
            }
            Losses::OneByOne => {
                let upstream = self.random.random_range(0..self.upstreams.len());
                self.crash(upstream, 0.0);
                1_500
            }
            Losses::SameUpstream => {
                self.crash(0, 0.0);
                DOWN_MS + 1_000
            }
        };
        let last_step = match self.course.losses {
            Losses::None | Losses::Resets | Losses::Domain | Losses::All => 0,
            Losses::TwoDomains => 1,
            Losses::OneByOne => 30,
            Losses::SameUpstream => 12,
        };
        if step < last_step {
            self.after(next_ms, Event::Lose(step + 1));
        }
    }

    pub(super) fn lose_domain(&mut self, domain: u64) {
        let of_domain = |index: &usize| *index as u64 % DOMAINS == domain;
        let lost: Vec<usize> = (0..self.upstreams.len()).filter(of_domain).collect();
        for upstream in lost {
            self.crash(upstream, 0.1);
        }
    }

    /// Cuts a fifth of the nodes from the others, until the bad parts are blocked elsewhere.
    pub(super) fn cut(&mut self) {
        let until = self.now.after(15_000);
        for node in 0..self.nodes.len() / 5 {
            self.cut_until[node] = until;
            self.away_until[node] = until.after(CONTACT_MS);
        }
    }

    /// Starts a fifth of the nodes again.
    pub(super) fn start(&mut self) {
        let count = self.nodes.len();
        for node in count - count / 5..count {
            self.nodes[node] = Known::new(node as u64, count);
            self.away_until[node] = self.now.after(CONTACT_MS);
        }
    }
}
