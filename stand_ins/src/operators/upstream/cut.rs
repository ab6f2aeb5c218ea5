//! Answers that end after some of their bytes.

use std::io;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::wire::{After, Received};
use super::{ChannelEnd, Core};

/// Where an answer ends before its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerCut {
    /// Bytes of it that are sent.
    pub after_bytes: usize,
    /// How the channel ends then.
    pub end: ChannelEnd,
    /// Whether a 100 (Continue) comes before it, whole.
    pub follows_continue: bool,
}

impl Core {
    /// Sends the first bytes of the answer to a request, of a stream up to the end of its first event.
    pub(super) async fn cut_answer(
        &self,
        socket: &mut TcpStream,
        request: &Received,
        cut: AnswerCut,
    ) -> io::Result<After> {
        if cut.follows_continue {
            socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let answer = self.begun_answer(request);
        let sent = &answer.as_bytes()[..cut.after_bytes.min(answer.len())];
        socket.write_all(sent).await?;
        Ok(After::Ends(cut.end))
    }
}
