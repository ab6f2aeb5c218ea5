//! The memory that whole answers of upstreams take up while they are read.
//!
//! A faulty upstream may send a body without end, or stop within one. One answer may be long, but many
//! long ones at once would exceed the memory of a small host, so that they share a budget of the node.
//! An answer that finds no room is not read on until there is some; its connection holds the upstream.
//!
//! Long answers that have been read count until their callers have read them. Those whose callers read nothing are given up
//! while others wait.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::answer_shares::{AnswerId, AnswerShares, LONGEST_BYTES, Reservation};
use super::unread_answers::{UnreadAnswers, UnreadKey};
use crate::gateway::clock;
use crate::time::TimeMs;

/// Largest body of one answer.
const MAX_ANSWER_BYTES: usize = LONGEST_BYTES;

/// Part of each answer that is read whatever the others hold, so that short answers do not wait
/// beside long ones.
const EXEMPT_BYTES: usize = 64 * 1024;

/// Least that an answer of unknown length reserves at a time.
const LEAST_STEP_BYTES: usize = 64 * 1024;

/// Largest buffer into which parts of an answer of unknown length are gathered.
const MAX_BLOCK_BYTES: usize = 64 * 1024;

/// Least of such a buffer.
const MIN_BLOCK_BYTES: usize = 1024;

/// How often an answer that waits for others to be read looks whether one of them makes no progress.
const GIVE_UP_INTERVAL: Duration = Duration::from_millis(100);

/// The bytes that the answers of one node hold beyond their exempt parts.
#[derive(Debug)]
pub(crate) struct AnswerMemory {
    shares: Mutex<AnswerShares>,
    unread: Mutex<Unread>,
    max_unread_bytes: AtomicUsize,
    /// Wakes the answers that wait for room.
    has_left: Notify,
}

/// Answers that are being written, and what closes their connections.
#[derive(Debug, Default)]
struct Unread {
    answers: UnreadAnswers,
    /// Sorted by key.
    signals: Vec<(UnreadKey, CancellationToken)>,
}

impl Unread {
    fn signal(&self, key: UnreadKey) -> Result<usize, usize> {
        (self.signals).binary_search_by_key(&key, |(known, _signal)| *known)
    }
}

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnreadBody {
    /// The body exceeds the bound of one answer.
    #[error("the body is longer than {MAX_ANSWER_BYTES} bytes")]
    TooLong,
    /// The connection broke, or the body is not valid HTTP.
    #[error(transparent)]
    Broken(hyper::Error),
}

impl UnreadBody {
    /// Returns the reason as it is logged.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::TooLong => "body_too_long",
            Self::Broken(_error) => "body_broken",
        }
    }
}

impl AnswerMemory {
    /// Creates the account of a node whose unread answers may hold so many bytes.
    pub fn new(max_unread_bytes: usize) -> Self {
        Self {
            shares: Mutex::default(),
            unread: Mutex::default(),
            max_unread_bytes: AtomicUsize::new(max_unread_bytes),
            has_left: Notify::new(),
        }
    }

    /// Changes how many bytes unread answers may hold.
    pub fn set_max_unread_bytes(&self, max_unread_bytes: usize) {
        (self.max_unread_bytes).store(max_unread_bytes, Ordering::Relaxed);
    }

    /// Records an answer that is to be written; `given_up` is cancelled when others need its memory.
    ///
    /// Returns `None` for a short one.
    pub fn begin_write(&self, bytes: usize, given_up: CancellationToken) -> Option<UnreadKey> {
        if bytes <= EXEMPT_BYTES {
            return None;
        }
        let mut unread = self.unread.lock();
        let key = unread.answers.enter(bytes, clock::now());
        unread.signals.push((key, given_up));
        Some(key)
    }

    /// Records bytes that were passed to the system for an answer's caller.
    pub fn record_write(&self, key: UnreadKey, bytes: usize, now: TimeMs) {
        self.unread.lock().answers.record_write(key, bytes, now);
    }

    /// Records that an answer has been written, or that its connection has ended.
    pub fn end_write(&self, key: UnreadKey) {
        let mut unread = self.unread.lock();
        unread.answers.leave(key);
        if let Ok(index) = unread.signal(key) {
            unread.signals.remove(index);
        }
        drop(unread);
        self.has_left.notify_waiters();
    }

    /// Returns whether there is room for an answer beside those that are unread; gives one up if there is none.
    fn has_room_beside_unread(&self, answer_bytes: usize, now: TimeMs) -> bool {
        let max_bytes = self.max_unread_bytes.load(Ordering::Relaxed);
        let mut unread = self.unread.lock();
        if unread.answers.has_room(answer_bytes, max_bytes) {
            return true;
        }
        if let Some(key) = unread.answers.give_up(now)
            && let Ok(index) = unread.signal(key)
        {
            metrics::counter!("teaselline_answers_given_up_total").increment(1);
            unread.signals[index].1.cancel();
        }
        false
    }

    /// Begins to read an answer of the upstream with this tag.
    pub fn begin(&self, upstream: u64) -> Reading<'_> {
        Reading {
            memory: self,
            id: self.shares.lock().enter(upstream),
            reserved_bytes: 0,
            waits_for_unread: false,
        }
    }
}

/// An answer that is being read; dropping it gives back what it has reserved.
#[derive(Debug)]
pub(crate) struct Reading<'a> {
    memory: &'a AnswerMemory,
    id: AnswerId,
    reserved_bytes: usize,
    /// Whether it waits for answers that callers have not read.
    waits_for_unread: bool,
}

impl Reading<'_> {
    /// Whether the answer is not read on because others hold the memory.
    pub fn is_waiting(&self) -> bool {
        self.waits_for_unread || self.memory.shares.lock().is_waiting(self.id)
    }

    /// Returns the bytes that all answers of the node have reserved.
    pub fn reserved_by_all_bytes(&self) -> usize {
        self.memory.shares.lock().reserved_bytes()
    }

    /// Reads a body to its end, once there is room for it.
    ///
    /// # Errors
    ///
    /// If the body is too long or breaks.
    pub async fn collect<B>(&mut self, body: B) -> Result<Bytes, UnreadBody>
    where
        B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        let mut body = body;
        let mut whole = Blocks::default();
        if let Some(length) = body.size_hint().exact() {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            self.grow_to(length, |needed| needed).await?;
            whole = Blocks::of_length(length);
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(UnreadBody::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let needed = whole.length + data.len();
            self.grow_to(needed, step).await?;
            whole.push(&data);
        }
        self.memory.shares.lock().record_whole(self.id);
        Ok(whole.joined())
    }

    /// Waits until the answer may hold so many bytes; `step` tells from what it lacks how much is reserved.
    async fn grow_to(
        &mut self,
        answer_bytes: usize,
        step: impl FnOnce(usize) -> usize,
    ) -> Result<(), UnreadBody> {
        if answer_bytes > MAX_ANSWER_BYTES {
            return Err(UnreadBody::TooLong);
        }
        let needed = answer_bytes.saturating_sub(EXEMPT_BYTES);
        if needed > self.reserved_bytes {
            self.wait_for_unread(answer_bytes).await;
            let reserved = step(needed);
            self.reserve(reserved).await;
        }
        Ok(())
    }

    /// Waits until answers that callers have not read leave room for this one.
    async fn wait_for_unread(&mut self, answer_bytes: usize) {
        self.waits_for_unread = true;
        loop {
            let has_left = self.memory.has_left.notified();
            tokio::pin!(has_left);
            has_left.as_mut().enable();
            if (self.memory).has_room_beside_unread(answer_bytes, clock::now()) {
                break;
            }
            // Without a word from another answer the next look is due after the interval.
            drop(tokio::time::timeout(GIVE_UP_INTERVAL, has_left).await);
        }
        self.waits_for_unread = false;
    }

    async fn reserve(&mut self, bytes: usize) {
        if self.memory.shares.lock().reserve(self.id, bytes) == Reservation::Waits {
            metrics::counter!("teaselline_answers_held_back_total").increment(1);
        }
        // The grant may have let others go on.
        self.memory.has_left.notify_waiters();
        loop {
            let has_left = self.memory.has_left.notified();
            tokio::pin!(has_left);
            // One that leaves between the question and the wait wakes this answer as well.
            has_left.as_mut().enable();
            if !self.is_waiting() {
                break;
            }
            has_left.await;
        }
        self.reserved_bytes = bytes;
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.memory.shares.lock().leave(self.id);
        self.memory.has_left.notify_waiters();
    }
}

/// Returns what an answer of unknown length reserves if it needs so many bytes.
fn step(needed: usize) -> usize {
    let reserved = needed.max(LEAST_STEP_BYTES).next_power_of_two();
    reserved.min(MAX_ANSWER_BYTES)
}

/// What has been read of a body. Its parts are slices of larger buffers, which they would keep, and may have some bytes each.
#[derive(Debug, Default)]
struct Blocks {
    blocks: Vec<BytesMut>,
    length: usize,
}

impl Blocks {
    /// Returns the single block of a body of this length.
    fn of_length(length: usize) -> Self {
        Self {
            blocks: vec![BytesMut::with_capacity(length)],
            length: 0,
        }
    }

    fn push(&mut self, data: &[u8]) {
        let room = self
            .blocks
            .last()
            .map_or(0, |last| last.capacity() - last.len());
        let (within, beyond) = data.split_at(room.min(data.len()));
        if let Some(last) = self.blocks.last_mut() {
            last.extend_from_slice(within);
        }
        self.length += data.len();
        if !beyond.is_empty() {
            let block_bytes = self.length.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
            let mut block = BytesMut::with_capacity(block_bytes.max(beyond.len()));
            block.extend_from_slice(beyond);
            self.blocks.push(block);
        }
    }

    fn joined(mut self) -> Bytes {
        if self.blocks.len() == 1 {
            return self.blocks.swap_remove(0).freeze();
        }
        let mut whole = BytesMut::with_capacity(self.length);
        for block in self.blocks {
            whole.extend_from_slice(&block);
        }
        whole.freeze()
    }
}

#[cfg(test)]
mod tests;
