//! The account of one listener's callers, and the places that they hold in it.

use std::sync::Arc;

use parking_lot::Mutex;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::ledger::{EntryKey, Growth, Ledger};
use super::log_pace::LogPace;
use super::shares::CallerShares;
use crate::time::TimeMs;

/// What the callers of one listener hold.
#[derive(Debug)]
pub(crate) struct CallerAccount {
    state: Mutex<State>,
    /// Wakes requests that wait for the memory of others that leave.
    has_left: Notify,
}

#[derive(Debug)]
struct State {
    shares: CallerShares,
    ledger: Ledger,
    /// Sorted by key.
    signals: Vec<(EntryKey, CancellationToken)>,
    log_pace: LogPace,
}

/// What had to go for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evictee {
    /// A connection that has just been accepted, since all others are served.
    Newcomer,
    /// A connection, for a new one.
    Connection,
    /// A request that was arriving, for its memory.
    Request,
}

impl Evictee {
    fn label(self) -> &'static str {
        match self {
            Self::Newcomer => "newcomer",
            Self::Connection => "connection",
            Self::Request => "request",
        }
    }
}

/// A request has to go, since others need its memory or its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the memory for callers' requests is full")]
pub(crate) struct Evicted;

impl State {
    fn place(&mut self, key: EntryKey) -> CancellationToken {
        let signal = CancellationToken::new();
        self.signals.push((key, signal.clone()));
        signal
    }

    fn evict(&self, keys: &[EntryKey]) {
        for key in keys {
            let found = self
                .signals
                .binary_search_by_key(key, |(known, _signal)| *known);
            if let Ok(index) = found {
                self.signals[index].1.cancel();
            }
        }
    }

    /// Counts and logs what had to go.
    fn record(&mut self, what: Evictee, count: usize) {
        if count == 0 {
            return;
        }
        metrics::counter!("teaselline_callers_evicted_total", "what" => what.label())
            .increment(count as u64);
        if let Some(evicted) = self.log_pace.record(count, Instant::now()) {
            let (connections, bytes) = self.ledger.held();
            log::warn!(event = "callers_evicted", what = what.label(), evicted, connections, bytes; "callers hold all connections or memory that they may; those that arrive slowly are refused or closed for others");
        }
    }

    fn close(&mut self, key: EntryKey) {
        self.ledger.close(key);
        let found = self
            .signals
            .binary_search_by_key(&key, |(known, _signal)| *known);
        if let Ok(index) = found {
            self.signals.remove(index);
        }
    }
}

impl CallerAccount {
    /// Creates the account of callers who may hold these shares.
    pub fn new(shares: CallerShares) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                shares,
                ledger: Ledger::default(),
                signals: Vec::new(),
                log_pace: LogPace::default(),
            }),
            has_left: Notify::new(),
        })
    }

    /// Changes what the callers may hold.
    pub fn set_shares(&self, shares: CallerShares) {
        self.state.lock().shares = shares;
    }

    /// Gives a connection that was accepted a place, for which another one may have to go; `None` if all are served.
    pub fn open(self: &Arc<Self>, now: TimeMs) -> Option<Place> {
        let mut state = self.state.lock();
        let shares = state.shares;
        let Some((key, victim)) = state.ledger.open(shares, now) else {
            state.record(Evictee::Newcomer, 1);
            return None;
        };
        let signal = state.place(key);
        if let Some(victim) = victim {
            state.evict(&[victim]);
            state.record(Evictee::Connection, 1);
        }
        Some(self.placed(key, signal))
    }

    /// Gives a request a place that is no connection of its own.
    pub fn begin(self: &Arc<Self>, now: TimeMs) -> Place {
        let mut state = self.state.lock();
        let key = state.ledger.begin(now);
        let signal = state.place(key);
        self.placed(key, signal)
    }

    /// Returns the number of connections, and the bytes that requests hold.
    pub fn held(&self) -> (usize, usize) {
        self.state.lock().ledger.held()
    }

    fn placed(self: &Arc<Self>, key: EntryKey, evicted: CancellationToken) -> Place {
        Place {
            account: Arc::clone(self),
            key,
            evicted,
        }
    }
}

/// The place of a connection or of a request; dropping it gives back what it holds.
#[derive(Debug)]
pub(crate) struct Place {
    account: Arc<CallerAccount>,
    key: EntryKey,
    evicted: CancellationToken,
}

impl Place {
    /// Records that the first byte of a request has arrived.
    pub fn arrive(&self, now: TimeMs) {
        self.account.state.lock().ledger.arrive(self.key, now);
    }

    /// Records that the request has arrived to its end; nothing waits for its answer after `deadline`.
    ///
    /// # Errors
    ///
    /// If the request has to go.
    pub fn serve(&self, deadline: TimeMs) -> Result<(), Evicted> {
        let mut state = self.account.state.lock();
        state.ledger.serve(self.key, deadline);
        if state.ledger.is_leaving(self.key) {
            return Err(Evicted);
        }
        Ok(())
    }

    /// Records that the connection waits for its next request.
    pub fn keep(&self, now: TimeMs) {
        self.account.state.lock().ledger.keep(self.key, now);
    }

    /// Waits until the place has to be given up.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Adds bytes that have been read already, for which others may have to go.
    ///
    /// # Errors
    ///
    /// If the request has to go.
    pub fn add(&self, bytes: usize) -> Result<(), Evicted> {
        let mut state = self.account.state.lock();
        let shares = state.shares;
        match state.ledger.grow(self.key, bytes, shares) {
            Growth::Granted { leaving } => {
                state.evict(&leaving);
                state.record(Evictee::Request, leaving.len());
                Ok(())
            }
            Growth::Refused => {
                state.evict(&[self.key]);
                state.record(Evictee::Request, 1);
                Err(Evicted)
            }
        }
    }

    /// Adds bytes, and waits until those that go for them have given back theirs.
    ///
    /// # Errors
    ///
    /// If the request has to go.
    pub async fn reserve(&self, bytes: usize) -> Result<(), Evicted> {
        self.add(bytes)?;
        loop {
            let has_left = self.account.has_left.notified();
            tokio::pin!(has_left);
            // One that leaves between the question and the wait wakes this request as well.
            has_left.as_mut().enable();
            if !self.is_over() {
                return Ok(());
            }
            tokio::select! {
                () = self.evicted() => return Err(Evicted),
                () = has_left => {}
            }
        }
    }

    /// Gives back bytes.
    pub fn release(&self, bytes: usize) {
        self.account.state.lock().ledger.release(self.key, bytes);
        self.account.has_left.notify_waiters();
    }

    fn is_over(&self) -> bool {
        let state = self.account.state.lock();
        state.ledger.is_over(state.shares)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.account.state.lock().close(self.key);
        self.account.has_left.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
