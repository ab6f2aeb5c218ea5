//! One attempt's stream: what has been generated, and the readers attached to it.

use std::{
    convert::Infallible,
    fmt::Write,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, Waker},
};

use bytes::{Bytes, BytesMut};
use http_body::Frame;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::text::TextKey;

/// Events written at once to a reader that is behind.
const MAX_EVENTS_PER_FRAME: u64 = 256;
const EVENT_BYTES: usize = 128;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The model stopped by itself.
    Stop,
    /// It reached `max_tokens`.
    Length,
    /// It was cancelled.
    Cancelled,
    /// Its cache was exported.
    Exported,
    /// It failed.
    Error,
}

impl Execution {
    /// The position after its last token.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.position + self.generated_tokens
    }

    /// Prompt tokens that an earlier attempt had computed: all, where there was a prefix.
    #[must_use]
    pub fn recomputed_tokens(&self) -> u64 {
        if self.position > 0 {
            self.computed_tokens
        } else {
            0
        }
    }
}

impl Finish {
    fn text(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
            Self::Cancelled => "cancelled",
            Self::Exported => "exported",
            Self::Error => "error",
        }
    }
}

/// One attempt that began to run.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The attempt's unique text.
    pub attempt: String,
    /// The xxh3-64 hash of the prompt.
    pub prompt_hash: u64,
    /// The position it began at.
    pub position: u64,
    /// When it left the queue.
    pub started_ms: u64,
    /// When it ended.
    pub ended_ms: Option<u64>,
    /// Tokens of prompt and prefix.
    pub prompt_tokens: u64,
    /// Of these, how many the cache or an import held.
    pub cached_tokens: u64,
    /// Of these, how many were computed.
    pub computed_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// How it ended; `None` while it runs or if the engine died.
    pub finish: Option<Finish>,
}

#[derive(Debug)]
pub(crate) struct Progress {
    pub ran: Execution,
    readers: Vec<Waker>,
}

#[derive(Debug)]
pub(crate) struct Stream {
    pub attempt: String,
    pub key: TextKey,
    /// The position it began at.
    pub start: u64,
    pub prompt_tokens: u64,
    /// The attempt as a JSON text.
    quoted: String,
    progress: Mutex<Progress>,
}

impl Stream {
    pub fn new(attempt: String, prompt: &str, seed: u64, start: u64, prompt_tokens: u64) -> Self {
        let ran = Execution {
            attempt: attempt.clone(),
            prompt_hash: twox_hash::XxHash3_64::oneshot(prompt.as_bytes()),
            position: start,
            started_ms: 0,
            ended_ms: None,
            prompt_tokens,
            cached_tokens: 0,
            computed_tokens: 0,
            generated_tokens: 0,
            finish: None,
        };
        Self {
            quoted: serde_json::Value::from(attempt.as_str()).to_string(),
            attempt,
            key: TextKey::new(prompt, seed),
            start,
            prompt_tokens,
            progress: Mutex::new(Progress {
                ran,
                readers: Vec::new(),
            }),
        }
    }

    /// Changes what has run and wakes the readers.
    pub fn advance<R>(&self, change: impl FnOnce(&mut Execution) -> R) -> R {
        let mut progress = self.progress.lock();
        let result = change(&mut progress.ran);
        let readers = std::mem::take(&mut progress.readers);
        drop(progress);
        readers.into_iter().for_each(Waker::wake);
        result
    }

    /// Ends the stream unless it has ended.
    pub fn end(&self, finish: Finish, now_ms: u64) {
        self.advance(|ran| {
            if ran.finish.is_none() {
                ran.finish = Some(finish);
                ran.ended_ms = Some(now_ms);
            }
        });
    }

    pub fn ended_ms(&self) -> Option<u64> {
        self.progress.lock().ran.ended_ms
    }

    /// The position after the last token.
    pub fn position(&self) -> u64 {
        self.progress.lock().ran.end()
    }

    pub fn execution(&self) -> Execution {
        self.progress.lock().ran.clone()
    }

    /// The token events from `from` up to `end`.
    fn write_tokens(&self, out: &mut BytesMut, from: u64, end: u64) {
        out.reserve((EVENT_BYTES + self.quoted.len()) * usize::try_from(end - from).unwrap_or(0));
        for position in from..end {
            let token = self.key.token(position);
            let token = std::str::from_utf8(&token).unwrap_or_default();
            let quoted = &self.quoted;
            write!(
                out,
                "id: {position}\nevent: token\ndata: {{\"attempt\":{quoted},\"position\":{position},\
                 \"token\":\"{token}\"}}\n\n"
            )
            .expect("a BytesMut grows as needed");
        }
    }

    fn write_end(&self, out: &mut BytesMut, ran: &Execution, finish: Finish) {
        let quoted = &self.quoted;
        let written = match finish {
            Finish::Error => write!(
                out,
                "event: error\ndata: {{\"attempt\":{quoted},\"error\":\"engine_fault\"}}\n\n"
            ),
            Finish::Stop | Finish::Length | Finish::Cancelled | Finish::Exported => write!(
                out,
                "event: done\ndata: {{\"attempt\":{quoted},\"tokens\":{},\
                 \"cached_prompt_tokens\":{},\"computed_prompt_tokens\":{},\"finish\":\"{}\"}}\n\n",
                ran.end(),
                ran.cached_tokens,
                ran.computed_tokens,
                finish.text()
            ),
        };
        written.expect("a BytesMut grows as needed");
    }
}

/// A reader of a stream, as the body of an answer.
#[derive(Debug)]
pub(crate) struct Events {
    stream: Arc<Stream>,
    next: u64,
    ended: bool,
    paused: Arc<watch::Sender<bool>>,
}

impl Events {
    pub fn new(stream: Arc<Stream>, from: u64, paused: Arc<watch::Sender<bool>>) -> Self {
        let next = from.max(stream.start);
        Self {
            stream,
            next,
            ended: false,
            paused,
        }
    }
}

impl http_body::Body for Events {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let stream = Arc::clone(&self.stream);
        let mut progress = stream.progress.lock();
        let until = progress.ran.end().min(self.next + MAX_EVENTS_PER_FRAME);
        let finish = progress.ran.finish.filter(|_| until >= progress.ran.end());
        if *self.paused.borrow() || (until <= self.next && finish.is_none()) {
            if !progress
                .readers
                .iter()
                .any(|reader| reader.will_wake(cx.waker()))
            {
                progress.readers.push(cx.waker().clone());
            }
            return Poll::Pending;
        }
        let mut out = BytesMut::new();
        if let Some(finish) = finish {
            stream.write_tokens(&mut out, self.next, until.max(self.next));
            stream.write_end(&mut out, &progress.ran, finish);
            self.ended = true;
        } else {
            drop(progress);
            stream.write_tokens(&mut out, self.next, until);
            self.next = until;
        }
        Poll::Ready(Some(Ok(Frame::data(out.freeze()))))
    }
}
