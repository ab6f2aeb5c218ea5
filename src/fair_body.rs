//! A body whose reader lets other work of its thread run, however fast bytes arrive.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use http_body::{Body, Frame, SizeHint};
use tokio::task::coop;

/// A body that takes part in the runtime's budget.
///
/// A body is filled over a channel that takes none: a loop that reads frames which are always ready would neither let other
/// requests run nor see its own timers.
#[derive(Debug)]
pub(crate) struct FairBody<B> {
    body: B,
}

impl<B> FairBody<B> {
    /// Wraps a body.
    pub fn new(body: B) -> Self {
        Self { body }
    }
}

impl<B: Body + Unpin> Body for FairBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let budget = ready!(coop::poll_proceed(cx));
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if frame.is_ready() {
            budget.made_progress();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[cfg(test)]
mod tests;
