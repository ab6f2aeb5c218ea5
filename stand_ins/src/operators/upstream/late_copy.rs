//! A copy of what one request got that an upstream sends where the answer to the next one is due.

use std::io;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::wire::{After, Received, line};
use super::{Core, Fault};

/// What the last request of a channel got, if it has still to be sent once more.
#[derive(Debug, Default)]
pub(super) struct LateCopy {
    text: Option<String>,
}

impl Core {
    /// Keeps a copy of what a request got, if chance has it so.
    pub(super) fn keep_copy(&self, request: &Received, after: After, late_copy: &mut LateCopy) {
        let chance = self.late_copies.lock();
        let is_kept = (chance.as_ref()).is_some_and(|(chance, share)| chance.happens(*share));
        if is_kept {
            late_copy.text = match after {
                After::Refused => Some(self.refusal(request)),
                After::Stays => Some(self.copied_answer(request)),
                After::Ends(_end) => None,
            };
        }
    }

    /// Refuses a request, or sends the late refusal of the one before; returns whether the request is refused.
    pub(super) async fn refuse_or_repeat(
        &self,
        socket: &mut TcpStream,
        request: &Received,
        late_copy: &mut LateCopy,
    ) -> io::Result<bool> {
        if let Some(copy) = late_copy.text.take() {
            socket.write_all(copy.as_bytes()).await?;
            return Ok(false);
        }
        let fault = *self.fault.lock();
        match fault {
            Fault::RepeatsRefusals => {
                let refusal = self.refusal(request);
                socket.write_all(refusal.as_bytes()).await?;
                late_copy.text = Some(refusal);
                Ok(true)
            }
            Fault::MisdirectsLate => {
                late_copy.text = Some(misdirection(request));
                Ok(false)
            }
            _ => Ok(false),
        }
    }

    /// The answer to a request that it does not run for want of room.
    pub(super) fn refusal(&self, request: &Received) -> String {
        format!(
            "HTTP/1.1 503 Service Unavailable\r\n{}not-executed: 1\r\n{}{}content-length: 0\r\n\r\n",
            echoed_id(request),
            self.said_lines(),
            line("retry-after", self.rest.lock().as_deref()),
        )
    }
}

/// The answer to a request that names another upstream.
pub(super) fn misdirection(request: &Received) -> String {
    format!(
        "HTTP/1.1 421 Misdirected Request\r\n{}not-executed: 1\r\ncontent-length: 0\r\n\r\n",
        echoed_id(request),
    )
}

fn echoed_id(request: &Received) -> String {
    line("request-attempt-id", request.header("request-attempt-id"))
}
