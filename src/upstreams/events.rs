//! Reads the events of one stream and detects an engine that stops sending.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep_until};

use super::error::{LostCause, UpstreamError};
use super::sse::{DecodeError, Decoder, EVENT_LIMIT_BYTES};
use super::wire::EngineEvent;
use super::{CallTimeouts, EventStream};

/// Events of one stream, decoded from the body of the engine's response.
///
/// Dropping the value closes the connection; the engine continues the stream until it is
/// cancelled.
#[derive(Debug)]
pub struct Events {
    body: Incoming,
    decoder: Decoder,
    silence_timeout: Duration,
    last_received_at: Instant,
    // Reset only when it fires: resetting the timer on every token costs more than the rest of the read.
    timer: Pin<Box<Sleep>>,
    is_ended: bool,
}

impl Events {
    pub(super) fn new(body: Incoming, attempt: &str, patience: CallTimeouts) -> Self {
        let silence_timeout = Duration::from_millis(patience.data_timeout_ms);
        let last_received_at = Instant::now();
        Self {
            body,
            decoder: Decoder::new(Arc::from(attempt)),
            silence_timeout,
            last_received_at,
            timer: Box::pin(sleep_until(last_received_at + silence_timeout)),
            is_ended: false,
        }
    }

    /// Sets the maximum time without data from the engine, and returns the stream.
    ///
    /// Before the first token a stream may be queued and send no data for longer than between tokens.
    #[must_use]
    pub fn with_data_timeout_ms(mut self, silence_ms: u64) -> Self {
        self.set_data_timeout_ms(silence_ms);
        self
    }

    /// Sets the maximum time without data from the engine.
    pub fn set_data_timeout_ms(&mut self, silence_ms: u64) {
        self.silence_timeout = Duration::from_millis(silence_ms);
        self.timer
            .as_mut()
            .reset(self.last_received_at + self.silence_timeout);
    }

    fn take_buffered(&mut self) -> Option<Result<EngineEvent, UpstreamError>> {
        if self.is_ended {
            return None;
        }
        match self.decoder.next_event() {
            Ok(Some(event)) => {
                self.is_ended = !matches!(event, EngineEvent::Token { .. });
                Some(Ok(event))
            }
            Ok(None) => None,
            Err(error) => Some(self.fail(lost_cause(error))),
        }
    }

    fn fail(&mut self, cause: LostCause) -> Result<EngineEvent, UpstreamError> {
        self.is_ended = true;
        Err(UpstreamError::Lost(cause))
    }

    async fn read_next(&mut self) -> Option<Result<EngineEvent, UpstreamError>> {
        while !self.is_ended {
            match poll_fn(|context| self.poll_read(context)).await {
                Ok(bytes) => self.decoder.push(&bytes),
                Err(cause) => return Some(self.fail(cause)),
            }
            if let Some(event) = self.take_buffered() {
                return Some(event);
            }
        }
        None
    }

    fn poll_read(&mut self, context: &mut Context<'_>) -> Poll<Result<Bytes, LostCause>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                self.last_received_at = Instant::now();
                Poll::Ready(Ok(frame.into_data().unwrap_or_default()))
            }
            Poll::Ready(Some(Err(cause))) => Poll::Ready(Err(LostCause::Body(cause))),
            Poll::Ready(None) => Poll::Ready(Err(LostCause::Truncated)),
            Poll::Pending => self.poll_timeout(context),
        }
    }

    /// Fails the stream if no data has arrived for longer than the timeout.
    ///
    /// A connection whose peer disappears without closing it (a cut cable, a lost host) stays open,
    /// and the caller would wait until its deadline. The timeout ends the attempt as lost, so that
    /// another upstream can continue it.
    fn poll_timeout<T>(&mut self, context: &mut Context<'_>) -> Poll<Result<T, LostCause>> {
        while self.timer.as_mut().poll(context).is_ready() {
            let timeout_at = self.last_received_at + self.silence_timeout;
            if timeout_at <= Instant::now() {
                let waited_ms = u64::try_from(self.silence_timeout.as_millis()).unwrap_or(u64::MAX);
                return Poll::Ready(Err(LostCause::TimedOut { waited_ms }));
            }
            self.timer.as_mut().reset(timeout_at);
        }
        Poll::Pending
    }
}

impl EventStream for Events {
    async fn next(&mut self) -> Option<Result<EngineEvent, UpstreamError>> {
        match self.take_buffered() {
            Some(event) => Some(event),
            None => self.read_next().await,
        }
    }

    fn next_ready(&mut self) -> Option<Result<EngineEvent, UpstreamError>> {
        self.take_buffered()
    }
}

fn lost_cause(error: DecodeError) -> LostCause {
    match error {
        DecodeError::TooLarge => LostCause::TooLarge {
            limit_bytes: EVENT_LIMIT_BYTES,
        },
        DecodeError::Data(error) => LostCause::Protocol(error),
    }
}
