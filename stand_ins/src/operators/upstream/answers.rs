//! How an upstream answers the requests of a channel.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::late_copy::{LateCopy, misdirection};
use super::wire::{After, Received, chunk, line, receive};
use super::{
    Arrival, ChannelEnd, Core, Crash, CrashPoint, Endless, Fault, Framing, KILLER, Run, is_misfit,
};
use crate::server::now_ms;

/// Before an answer breaks off.
const BREAK_AFTER_MS: u64 = 10;

/// Longer than any test.
const FOREVER_MS: u64 = 3_600_000;

/// The answer of an upstream that has taken over the address of another.
const BARE_MISDIRECTION: &str = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";

const RESET: After = After::Ends(ChannelEnd::Reset);

impl Core {
    /// Answers the requests of a channel until it ends or the upstream crashes.
    pub(super) async fn channel(
        &self,
        mut socket: TcpStream,
        mut crashes: watch::Receiver<Crash>,
    ) -> io::Result<()> {
        let end = tokio::select! {
            end = self.requests(&mut socket) => end?,
            _ = crashes.changed() => crashes.borrow().channels,
        };
        if end == ChannelEnd::None {
            std::future::pending::<()>().await;
        }
        end.apply(socket)
    }

    /// Answers the requests of a channel; returns how it is ended.
    async fn requests(&self, socket: &mut TcpStream) -> io::Result<ChannelEnd> {
        let mut buffer = Vec::new();
        let mut late_copy = LateCopy::default();
        while let Some(request) = self.next_request(socket, &mut buffer).await? {
            self.wait_while_still().await;
            if *self.has_crashed.borrow() || self.is_fallen() {
                return Ok(ChannelEnd::Reset);
            }
            self.note_arrival(&request);
            if self
                .refuse_or_repeat(socket, &request, &mut late_copy)
                .await?
            {
                continue;
            }
            let after = self.answer(socket, &request).await?;
            if let After::Ends(end) = after {
                return Ok(end);
            }
            self.keep_copy(&request, after, &mut late_copy);
        }
        Ok(ChannelEnd::Orderly)
    }

    /// Reads one request; none at the end of the channel, or when it was idle for too long.
    async fn next_request(
        &self,
        socket: &mut TcpStream,
        buffer: &mut Vec<u8>,
    ) -> io::Result<Option<Received>> {
        let idle_ms = *self.idle_ms.lock();
        let patience = Duration::from_millis(idle_ms.unwrap_or(FOREVER_MS));
        let received = tokio::time::timeout(patience, receive(socket, buffer));
        received.await.unwrap_or(Ok(None))
    }

    fn note_arrival(&self, request: &Received) {
        let is_turned_away = *self.fault.lock() == Fault::Sheds;
        let asked = self
            .rest
            .lock()
            .as_deref()
            .and_then(|rest| rest.parse().ok());
        let asked = asked.and_then(|rest_s| Duration::try_from_secs_f64(rest_s).ok());
        let asked = asked.and_then(|rest| u64::try_from(rest.as_millis()).ok());
        let id = request.header("request-attempt-id").unwrap_or_default();
        self.arrivals.lock().push(Arrival {
            request: id.to_owned(),
            at_ms: now_ms(),
            rest_ms: asked.filter(|_rest_ms| is_turned_away),
            parts: request.parts(),
        });
    }

    /// Answers a request that is for another upstream, or that a fault keeps from running; `None` for any other.
    async fn turn_away(
        &self,
        socket: &mut TcpStream,
        request: &Received,
        fault: Fault,
    ) -> io::Result<Option<After>> {
        let is_other = request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.start_id());
        let (answer, after) = match fault {
            _ if is_other => (misdirection(request), After::Stays),
            Fault::Misdirects => (BARE_MISDIRECTION.to_owned(), After::Stays),
            Fault::Sheds => (self.refusal(request), After::Refused),
            _ => return Ok(None),
        };
        socket.write_all(answer.as_bytes()).await?;
        Ok(Some(after))
    }

    /// Answers a request; returns what becomes of the channel.
    async fn answer(&self, socket: &mut TcpStream, request: &Received) -> io::Result<After> {
        let id = request.header("request-attempt-id").unwrap_or_default();
        let fault = *self.fault.lock();
        if let Some(after) = self.turn_away(socket, request, fault).await? {
            return Ok(after);
        }
        let Some(_place) = self.take_place() else {
            if self.falls_by_refusal() {
                return Ok(RESET);
            }
            let answer = self.refusal(request);
            socket.write_all(answer.as_bytes()).await?;
            return Ok(After::Refused);
        };
        let place = self.begin(request, id);
        let number = {
            let mut requests = self.requests.lock();
            *requests += 1;
            *requests
        };
        if request
            .body
            .windows(KILLER.len())
            .any(|part| part == KILLER.as_bytes())
        {
            self.has_crashed.send_replace(true);
            return Ok(RESET);
        }
        let work_ms = *self.work_ms.lock();
        let worked = self.work(socket, place, work_ms).await?;
        if let Some(crash) = self.crash_of(request) {
            return self.crash_at(socket, request, place, crash).await;
        }
        let cut = *self.answer_cut.lock();
        if let Some(cut) = cut {
            return self.cut_answer(socket, request, cut).await;
        }
        match fault {
            _ if !worked => Ok(RESET),
            Fault::Silent => {
                self.work(socket, place, 60_000).await?;
                Ok(RESET)
            }
            Fault::LosesAnswers if number.is_multiple_of(2) => Ok(RESET),
            Fault::LosesAllAnswers => Ok(RESET),
            Fault::RunsAndRefuses(status) => self.failure(socket, id, status, "").await,
            Fault::RunsAndDenies(status) => {
                self.failure(socket, id, status, "not-executed: 1\r\n")
                    .await
            }
            Fault::Fails => {
                self.failure(socket, id, "500 Internal Server Error", "")
                    .await
            }
            Fault::Endless(endless) => self.endless(socket, id, place, endless).await,
            _ if request.path.contains("stream") => {
                self.stream(socket, request, place, fault).await
            }
            Fault::BreaksOff => {
                let head = self.head("200 OK", id, "content-length: 40\r\n");
                socket.write_all(format!("{head}half").as_bytes()).await?;
                Ok(RESET)
            }
            Fault::UnframedReset => {
                let head = self.head("200 OK", id, "");
                socket.write_all(format!("{head}half").as_bytes()).await?;
                tokio::time::sleep(Duration::from_millis(BREAK_AFTER_MS)).await;
                Ok(RESET)
            }
            _ => {
                let framing = *self.framing.lock();
                let answer = self.whole_answer(request, framing);
                socket.write_all(answer.as_bytes()).await?;
                if fault == Fault::AnswersTwice {
                    tokio::time::sleep(Duration::from_millis(3)).await;
                    socket.write_all(answer.as_bytes()).await?;
                }
                Ok(framing.after())
            }
        }
    }

    /// Sends a whole answer with this status and further lines in its head.
    async fn failure(
        &self,
        socket: &mut TcpStream,
        id: &str,
        status: &str,
        lines: &str,
    ) -> io::Result<After> {
        let head = self.head(status, id, &format!("{lines}content-length: 4\r\n"));
        socket.write_all(format!("{head}fail").as_bytes()).await?;
        Ok(After::Stays)
    }

    /// Sends an answer that does not end until the channel is closed.
    async fn endless(
        &self,
        socket: &mut TcpStream,
        id: &str,
        place: usize,
        endless: Endless,
    ) -> io::Result<After> {
        let Endless {
            part,
            piece_bytes,
            pause_ms,
        } = endless;
        let head_lines = part.head_lines();
        let head = head_lines.map_or_else(String::new, |lines| self.head("200 OK", id, lines));
        let filler = part.filler();
        let block = filler.repeat(piece_bytes / filler.len() + 2);
        let mut from = 0;
        let begin = head + part.begin();
        let mut written = socket.write_all(begin.as_bytes()).await;
        while written.is_ok() {
            written = socket
                .write_all(&block.as_bytes()[from..from + piece_bytes])
                .await;
            from = (from + piece_bytes) % filler.len();
            if pause_ms > 0 {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        self.runs.lock()[place].left_at_ms = Some(now_ms());
        Ok(RESET)
    }

    async fn stream(
        &self,
        socket: &mut TcpStream,
        request: &Received,
        place: usize,
        fault: Fault,
    ) -> io::Result<After> {
        let id = request.header("request-attempt-id").unwrap_or_default();
        let number = |name| {
            request
                .header(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("last-event-id").unwrap_or(0);
        let is_misfit = is_misfit(&self.runs.lock(), place);
        let framing = *self.framing.lock();
        let head = self.head("200 OK", id, framing.stream_lines());
        socket.write_all(head.as_bytes()).await?;
        for event in after + 1..=10 {
            // What two versions write does not fit together.
            let text = if is_misfit {
                format!("id: {event}\ndata: {event} of {id} by {}\n\n", self.version)
            } else {
                format!("id: {event}\ndata: {event} of {id}{}\n\n", self.filler())
            };
            let breaks_off = match fault {
                Fault::BreaksOff => true,
                Fault::BreaksBegunStreams => after == 0,
                _ => false,
            };
            if breaks_off && event == 3 {
                let half = &text[..text.len() / 2];
                socket.write_all(framing.piece(half).as_bytes()).await?;
                return Ok(RESET);
            }
            socket.write_all(framing.piece(&text).as_bytes()).await?;
            let pause_ms = *self.event_pause_ms.lock();
            if !self.work(socket, place, pause_ms).await? {
                return Ok(RESET);
            }
        }
        socket.write_all(framing.stream_end().as_bytes()).await?;
        Ok(framing.after())
    }

    /// Sends what comes before a crash, and crashes.
    async fn crash_at(
        &self,
        socket: &mut TcpStream,
        request: &Received,
        place: usize,
        crash: Crash,
    ) -> io::Result<After> {
        if crash.point != CrashPoint::BeforeHead {
            let answer = self.begun_answer(request);
            let (head, rest) = answer.split_once("\r\n\r\n").unwrap_or_default();
            let sent = match crash.point {
                CrashPoint::InsideBody => &rest[..rest.len() / 2],
                CrashPoint::BeforeHead | CrashPoint::BeforeBody => "",
            };
            let sent = format!("{head}\r\n\r\n{sent}");
            socket.write_all(sent.as_bytes()).await?;
        }
        self.runs.lock()[place].crashed_at_ms = Some(now_ms());
        self.crash(crash);
        Ok(After::Ends(crash.channels))
    }

    /// An answer up to the end of its body, or of its first event.
    pub(super) fn begun_answer(&self, request: &Received) -> String {
        let framing = *self.framing.lock();
        if !request.path.contains("stream") {
            return self.whole_answer(request, framing);
        }
        let id = request.header("request-attempt-id").unwrap_or_default();
        let after: Option<u64> = (request.header("last-event-id")).and_then(|id| id.parse().ok());
        let number = after.unwrap_or(0) + 1;
        let head = self.head("200 OK", id, framing.stream_lines());
        let event = format!("id: {number}\ndata: {number} of {id}\n\n");
        head + &framing.piece(&event)
    }

    /// An answer up to its end, that of a stream with one event.
    pub(super) fn copied_answer(&self, request: &Received) -> String {
        let begun = self.begun_answer(request);
        if request.path.contains("stream") {
            let framing = *self.framing.lock();
            return begun + framing.stream_end();
        }
        begun
    }

    fn whole_answer(&self, request: &Received, framing: Framing) -> String {
        let id = request.header("request-attempt-id").unwrap_or_default();
        let filler = self.filler();
        let body = format!("{} {} for {id}{filler}", request.method, request.path);
        let head = self.head("200 OK", id, &framing.whole_lines(&body));
        head + &framing.whole_body(&body)
    }

    fn filler(&self) -> String {
        "x".repeat(*self.filler_bytes.lock())
    }

    fn head(&self, status: &str, id: &str, extra: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nrequest-attempt-id: {id}\r\nserver-seal: s.{}\r\n{}{extra}\r\n",
            self.start_id(),
            self.said_lines()
        )
    }

    /// What all its answers say of it.
    pub(super) fn said_lines(&self) -> String {
        let limit = line("server-limit", self.limit.lock().as_deref());
        let leaving = line("server-leaving", self.leaving.lock().as_deref());
        let brittle = self.brittle.lock().map(|refusals| refusals.to_string());
        let idle_s = self.idle_ms.lock().map(|idle_ms| idle_ms / 1_000);
        let idle = idle_s.filter(|seconds| *seconds > 0);
        let idle = idle.map(|seconds| format!("timeout={seconds}"));
        let brittle = line("server-brittle", brittle.as_deref());
        limit + &leaving + &brittle + &line("keep-alive", idle.as_deref())
    }

    fn begin(&self, request: &Received, id: &str) -> usize {
        let mut runs = self.runs.lock();
        runs.push(Run {
            upstream: self.start_id(),
            version: self.version.clone(),
            request: id.to_owned(),
            path: request.path.clone(),
            team: request.header("tenant").map(str::to_owned),
            resumed_after: request
                .header("last-event-id")
                .and_then(|text| text.parse().ok()),
            resumes: request.header("resumes").map(str::to_owned),
            copied_from: request.header("kv-fetch").map(str::to_owned),
            at_ms: now_ms(),
            left_at_ms: None,
            parts: request.parts(),
            crashed_at_ms: None,
        });
        runs.len() - 1
    }

    /// Works for a while; tells whether the channel was still open at the end.
    async fn work(&self, socket: &mut TcpStream, place: usize, work_ms: u64) -> io::Result<bool> {
        let mut byte = [0];
        let closed = tokio::time::timeout(Duration::from_millis(work_ms), socket.peek(&mut byte));
        let closed = closed.await;
        self.wait_while_still().await;
        let is_closed = match closed {
            Err(_elapsed) => false,
            Ok(Ok(length)) => length == 0,
            Ok(Err(_error)) => true,
        };
        if is_closed {
            self.runs.lock()[place].left_at_ms = Some(now_ms());
        }
        Ok(!is_closed)
    }
}

impl Framing {
    fn whole_lines(self, body: &str) -> String {
        match self {
            Self::Usual => format!("content-length: {}\r\n", body.len()),
            Self::Chunked => String::from("transfer-encoding: chunked\r\n"),
            Self::ChannelEnd => String::from("connection: close\r\n"),
        }
    }

    fn whole_body(self, body: &str) -> String {
        match self {
            Self::Usual | Self::ChannelEnd => body.to_owned(),
            Self::Chunked => self.piece(body) + self.stream_end(),
        }
    }

    fn stream_lines(self) -> &'static str {
        match self {
            Self::Usual | Self::Chunked => {
                "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
            }
            Self::ChannelEnd => "content-type: text/event-stream\r\nconnection: close\r\n",
        }
    }

    /// A piece of a stream.
    fn piece(self, text: &str) -> String {
        match self {
            Self::Usual | Self::Chunked => chunk(text),
            Self::ChannelEnd => text.to_owned(),
        }
    }

    fn stream_end(self) -> &'static str {
        match self {
            Self::Usual | Self::Chunked => "0\r\n\r\n",
            Self::ChannelEnd => "",
        }
    }

    fn after(self) -> After {
        match self {
            Self::Usual | Self::Chunked => After::Stays,
            Self::ChannelEnd => After::Ends(ChannelEnd::Orderly),
        }
    }
}
