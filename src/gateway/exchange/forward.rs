//! Hands a request to a peer that reaches the request's pool, and relays the peer's response.
//!
//! Only requests that no upstream has received are handed on. Once a peer may have sent the request
//! to an upstream, nobody sends it again.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Frame;
use rand::Rng;

use super::Executed;
use super::admission::Plan;
use super::attempts::Attempts;
use super::request_log::RequestLog;
use super::stream::StreamInterrupted;
use crate::gateway::clock;
use crate::gateway::forwarding::{
    self, ForwardItem, ForwardReply, ForwardedHead, ForwardedRequest, Forwarding,
};
use crate::gateway::patience::LateReading;
use crate::gateway::refusal::Refusal;
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::tag;
use crate::peers::{Items, PeerError};
use crate::time::TimeMs;

/// Peers that are asked to take a request.
const MAX_PEERS: usize = 2;

/// An event stream, or a long answer in parts, that a peer forwards.
pub(super) struct ForwardedStream {
    status: StatusCode,
    headers: HeaderMap,
    items: Items<Forwarding>,
    /// When the caller's request ends, whatever the peer does.
    deadline: TimeMs,
    late_reading: LateReading,
}

impl ForwardedStream {
    /// Returns the response head for the caller.
    pub fn head(&self) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        response
    }

    /// Returns when the stream ends, whatever the peer does.
    pub fn deadline(&self) -> TimeMs {
        self.deadline
    }

    /// Waits for the next part, at most until the request's deadline.
    async fn next(&mut self) -> NextItem {
        let left = Duration::from_millis(clock::now().until(self.deadline));
        match tokio::time::timeout(left, self.items.next()).await {
            Ok(Some(Ok(ForwardItem::Events(_))))
                if self.late_reading.is_over(self.deadline, clock::now()) =>
            {
                NextItem::Broken("late", String::new())
            }
            Ok(Some(Ok(ForwardItem::Events(events)))) => NextItem::Events(Bytes::from(events)),
            Ok(Some(Ok(ForwardItem::End))) => NextItem::End,
            Ok(Some(Err(error))) => NextItem::Broken("peer_failed", error.to_string()),
            Ok(None) => NextItem::Broken("peer_failed", "the stream has no end".to_owned()),
            Err(_elapsed) => NextItem::Broken("late", String::new()),
        }
    }
}

/// The next part of a stream that a peer forwards.
enum NextItem {
    Events(Bytes),
    End,
    /// The stream ends early, for this reason with this detail.
    Broken(&'static str, String),
}

/// What became of a request that one peer was asked to take.
enum Taken {
    Executed(Executed),
    /// The peer refused it for a reason that holds at all nodes.
    Refused(Refusal),
    /// The peer did not take it; another node may.
    Declined(String),
    /// An upstream may have executed it.
    MayHaveRun(String),
}

/// Hands a request to peers that reach its pool, one after the other, while this node can relay an answer.
///
/// Returns `None` if no peer reaches the pool: then the upstreams are gone, not the links of this
/// node.
pub(super) async fn forward(
    node: &Gateway,
    plan: &Plan,
    attempts: &mut Attempts,
    request_log: &mut RequestLog,
) -> Option<Result<Executed, Refusal>> {
    let mut tried = Vec::new();
    while tried.len() < MAX_PEERS {
        let now = clock::now();
        if !plan.may_send(node, now) {
            return Some(Err(attempts.stopped()));
        }
        let target = {
            let draw = rand::rng().random();
            let peers = node.peers.lock();
            peers.forward_target(tag(&plan.pool), &tried, draw, now)
        };
        let Some(target) = target else { break };
        tried.push(target.incarnation);
        request_log.record_forward(&target.name);
        let replied = ask(node, plan, attempts, target.address).await;
        let taken = taken(replied, plan.deadline);
        count(&taken);
        match taken {
            Taken::Executed(executed) => {
                attempts.record_send();
                attempts.record_execution();
                return Some(Ok(executed));
            }
            Taken::Refused(refusal) => return Some(Err(refusal)),
            Taken::Declined(detail) => {
                request_log.record_failed_attempt("peer_refused", &detail, clock::now());
            }
            Taken::MayHaveRun(detail) => {
                let now = clock::now();
                attempts.record_send();
                attempts.record_execution();
                request_log.record_failed_attempt("peer_failed", &detail, now);
                return Some(Err(attempts.final_refusal(plan, now)));
            }
        }
    }
    (!tried.is_empty()).then(|| Err(attempts.final_refusal(plan, clock::now())))
}

/// Asks a peer to take a request; over another connection if it ended the first one unread.
async fn ask(
    node: &Gateway,
    plan: &Plan,
    attempts: &Attempts,
    peer: SocketAddr,
) -> Result<(ForwardReply, Items<Forwarding>), PeerError> {
    match send(node, plan, attempts, peer).await {
        Err(error) if error.is_unread() && plan.may_send(node, clock::now()) => {
            send(node, plan, attempts, peer).await
        }
        replied => replied,
    }
}

async fn send(
    node: &Gateway,
    plan: &Plan,
    attempts: &Attempts,
    peer: SocketAddr,
) -> Result<(ForwardReply, Items<Forwarding>), PeerError> {
    let request = forwarded_request(node, plan, attempts);
    let left_ms = clock::now().until(plan.deadline);
    node.forwarding.open(peer, request, left_ms).await
}

fn forwarded_request(node: &Gateway, plan: &Plan, attempts: &Attempts) -> ForwardedRequest {
    ForwardedRequest {
        node: node.settings().name.clone(),
        method: plan.method.as_str().to_owned(),
        uri: plan.uri.to_string(),
        headers: forwarding::encode_headers(&plan.headers),
        key: plan.head.key.clone(),
        body: plan.body.to_vec(),
        time_left_ms: clock::now().until(plan.deadline),
        is_counted: attempts.is_counted(),
        begun: plan.begun,
    }
}

/// Interprets a peer's reply.
fn taken(replied: Result<(ForwardReply, Items<Forwarding>), PeerError>, deadline: TimeMs) -> Taken {
    let (reply, items) = match replied {
        Ok(replied) => replied,
        Err(error) if error.is_not_handled() => return Taken::Declined(error.to_string()),
        Err(error) => return Taken::MayHaveRun(error.to_string()),
    };
    match reply {
        ForwardReply::Whole(head, body) => match whole_response(&head, body) {
            Some(response) => Taken::Executed(Executed::Whole(response)),
            None => Taken::MayHaveRun("the peer's reply is not valid HTTP".to_owned()),
        },
        ForwardReply::Stream(head) => match head.decode() {
            Some((status, headers)) => {
                let stream = ForwardedStream {
                    status,
                    headers,
                    items,
                    deadline,
                    late_reading: LateReading::default(),
                };
                Taken::Executed(Executed::Forwarded(Box::new(stream)))
            }
            None => Taken::MayHaveRun("the peer's reply is not valid HTTP".to_owned()),
        },
        ForwardReply::NotRun {
            reason,
            is_served_elsewhere: true,
            ..
        } => Taken::Declined(reason),
        ForwardReply::NotRun { retry_after_ms, .. } => {
            Taken::Refused(Refusal::RefusedByPeer { retry_after_ms })
        }
        ForwardReply::MayHaveRun { reason } => Taken::MayHaveRun(reason),
    }
}

fn whole_response(head: &ForwardedHead, body: Vec<u8>) -> Option<Response<Bytes>> {
    let (status, headers) = head.decode()?;
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Some(response)
}

fn count(taken: &Taken) {
    let outcome = match taken {
        Taken::Executed(_) => "answered",
        Taken::Refused(_) => "refused",
        Taken::Declined(_) => "declined",
        Taken::MayHaveRun(_) => "failed",
    };
    metrics::counter!("teaselline_forwards_total", "outcome" => outcome).increment(1);
}

/// Relays a peer's event stream to the caller until its end.
pub(super) fn relay(
    stream: ForwardedStream,
    mut request_log: RequestLog,
) -> impl Stream<Item = Result<Frame<Bytes>, StreamInterrupted>> {
    async_stream::try_stream! {
        let mut stream = stream;
        loop {
            match stream.next().await {
                NextItem::Events(events) => {
                    request_log.record_event(clock::now());
                    yield Frame::data(events);
                }
                NextItem::End => break,
                NextItem::Broken(reason, detail) => {
                    request_log.record_failed_attempt(reason, &detail, clock::now());
                    request_log.finish_interrupted(reason, clock::now());
                    Err(StreamInterrupted { reason })?;
                }
            }
        }
        request_log.finish_answered(stream.status, clock::now());
    }
}
