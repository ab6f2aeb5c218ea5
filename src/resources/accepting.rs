//! Accepts connections, and waits while the system has none to give.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::log_pace::LogPace;

/// Delay after a failed accept, mostly caused by a lack of file descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A listener whose failures are retried.
#[derive(Debug)]
pub(crate) struct Accepting {
    listener: TcpListener,
    log_pace: LogPace,
}

impl Accepting {
    /// Accepts on this listener.
    pub fn new(listener: TcpListener) -> Self {
        Self {
            listener,
            log_pace: LogPace::default(),
        }
    }

    /// Returns the next connection and the address that it comes from.
    pub async fn next(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok(accepted) => return accepted,
                Err(error) => self.record_failure(&error),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn record_failure(&mut self, error: &io::Error) {
        metrics::counter!("teaselline_accepts_failed_total").increment(1);
        if let Some(failures) = self.log_pace.record(1, Instant::now()) {
            log::warn!(event = "accept_failed", error:% = error, failures; "cannot accept connections; retrying");
        }
    }
}
