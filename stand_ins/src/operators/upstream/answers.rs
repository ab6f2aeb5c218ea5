//! How an upstream answers the requests of a channel.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::wire::{Received, chunk, line, receive, reset};
use super::{Arrival, Core, Fault, KILLER, Run, is_misfit};
use crate::server::now_ms;

/// Work of a plain call, and between two events of a stream.
const WORK_MS: u64 = 10;

impl Core {
    pub(super) async fn channel(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = receive(&mut socket, &mut buffer).await? {
            if *self.has_crashed.lock() || self.is_fallen() {
                return reset(socket);
            }
            self.note_arrival(&request);
            if !self.answer(&mut socket, &request).await? {
                return reset(socket);
            }
        }
        Ok(())
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
        });
    }

    /// Answers a request; tells whether the channel stays open.
    async fn answer(&self, socket: &mut TcpStream, request: &Received) -> io::Result<bool> {
        let id = request.header("request-attempt-id").unwrap_or_default();
        let is_other = request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id);
        let fault = *self.fault.lock();
        if is_other {
            socket
                .write_all(b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n")
                .await?;
            return Ok(true);
        }
        if fault == Fault::Sheds {
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n{}{}content-length: 0\r\n\r\n",
                self.said_lines(),
                line("retry-after", self.rest.lock().as_deref()),
            );
            socket.write_all(head.as_bytes()).await?;
            return Ok(true);
        }
        let Some(_place) = self.take_place() else {
            if self.falls_by_refusal() {
                return Ok(false);
            }
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n{}content-length: 0\r\n\r\n",
                self.said_lines(),
            );
            socket.write_all(head.as_bytes()).await?;
            return Ok(true);
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
            *self.has_crashed.lock() = true;
            return Ok(false);
        }
        let worked = self.work(socket, place, WORK_MS).await?;
        match fault {
            _ if !worked => Ok(false),
            Fault::Silent => {
                self.work(socket, place, 60_000).await?;
                Ok(false)
            }
            Fault::LosesAnswers if number.is_multiple_of(2) => Ok(false),
            Fault::Fails => {
                let head = self.head("500 Internal Server Error", id, "content-length: 4\r\n");
                socket.write_all(format!("{head}fail").as_bytes()).await?;
                Ok(true)
            }
            _ if request.path.contains("stream") => {
                self.stream(socket, request, place, fault).await
            }
            Fault::BreaksOff => {
                let head = self.head("200 OK", id, "content-length: 40\r\n");
                socket.write_all(format!("{head}half").as_bytes()).await?;
                Ok(false)
            }
            Fault::UnframedReset => {
                let head = self.head("200 OK", id, "");
                socket.write_all(format!("{head}half").as_bytes()).await?;
                tokio::time::sleep(Duration::from_millis(WORK_MS)).await;
                Ok(false)
            }
            _ => {
                let body = format!("{} {} for {id}", request.method, request.path);
                let length = format!("content-length: {}\r\n", body.len());
                let answer = format!("{}{body}", self.head("200 OK", id, &length));
                socket.write_all(answer.as_bytes()).await?;
                if fault == Fault::AnswersTwice {
                    tokio::time::sleep(Duration::from_millis(3)).await;
                    socket.write_all(answer.as_bytes()).await?;
                }
                Ok(true)
            }
        }
    }

    async fn stream(
        &self,
        socket: &mut TcpStream,
        request: &Received,
        place: usize,
        fault: Fault,
    ) -> io::Result<bool> {
        let id = request.header("request-attempt-id").unwrap_or_default();
        let number = |name| {
            request
                .header(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("last-event-id").unwrap_or(0);
        let is_misfit = is_misfit(&self.runs.lock(), place);
        let extra = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
        socket
            .write_all(self.head("200 OK", id, extra).as_bytes())
            .await?;
        for event in after + 1..=10 {
            // What two versions write does not fit together.
            let text = if is_misfit {
                format!("id: {event}\ndata: {event} of {id} by {}\n\n", self.version)
            } else {
                format!("id: {event}\ndata: {event} of {id}\n\n")
            };
            let breaks_off = match fault {
                Fault::BreaksOff => true,
                Fault::BreaksBegunStreams => after == 0,
                _ => false,
            };
            if breaks_off && event == 3 {
                let half = &text[..text.len() / 2];
                socket.write_all(chunk(half).as_bytes()).await?;
                return Ok(false);
            }
            socket.write_all(chunk(&text).as_bytes()).await?;
            if !self.work(socket, place, WORK_MS * 3).await? {
                return Ok(false);
            }
        }
        socket.write_all(b"0\r\n\r\n").await?;
        Ok(true)
    }

    fn head(&self, status: &str, id: &str, extra: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nrequest-attempt-id: {id}\r\nserver-seal: s.{}\r\n{}{extra}\r\n",
            self.id,
            self.said_lines()
        )
    }

    /// What all its answers say of it.
    fn said_lines(&self) -> String {
        let limit = line("server-limit", self.limit.lock().as_deref());
        let leaving = line("server-leaving", self.leaving.lock().as_deref());
        let brittle = self.brittle.lock().map(|refusals| refusals.to_string());
        limit + &leaving + &line("server-brittle", brittle.as_deref())
    }

    fn begin(&self, request: &Received, id: &str) -> usize {
        let mut runs = self.runs.lock();
        runs.push(Run {
            upstream: self.id.clone(),
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
        });
        runs.len() - 1
    }

    /// Works for a while; tells whether the channel was still open at the end.
    async fn work(&self, socket: &mut TcpStream, place: usize, work_ms: u64) -> io::Result<bool> {
        let mut byte = [0];
        let closed = tokio::time::timeout(Duration::from_millis(work_ms), socket.peek(&mut byte));
        let is_closed = match closed.await {
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
