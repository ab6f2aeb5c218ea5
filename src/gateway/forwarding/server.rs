//! Sends the requests that peers forward to upstreams.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http::Response;
use http_body::Frame;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::{
    ForwardItem, ForwardReply, ForwardedHead, ForwardedRequest, Forwarding, connection_settings,
    fleet_key,
};
use crate::gateway::exchange::{self, CallerResponse};
use crate::gateway::state::Gateway;
use crate::keys::Incarnation;
use crate::peers::{Handler, HandlerResponse, Server};

/// Batches of events that wait for a peer that reads slowly.
const MAX_WAITING_BATCHES: usize = 16;

/// Longest body that goes to a peer within one message, which is a further copy of it. Messages have a
/// bound that is below the one of an answer.
const MAX_WHOLE_BYTES: usize = 1024 * 1024;

/// Length of the parts in which a longer one goes.
const PART_BYTES: usize = 64 * 1024;

/// Handles the requests that peers forward.
#[derive(Debug)]
struct ForwardHandler {
    node: Arc<Gateway>,
}

/// Serves peers until `end` is cancelled.
pub(crate) async fn serve(listener: TcpListener, node: Arc<Gateway>, end: CancellationToken) {
    let settings = node.settings();
    let server = Server::new(fleet_key(settings.store_address))
        .with_settings(connection_settings())
        .with_advertised_address(settings.gossip_listen)
        .with_request_count(Arc::clone(&node.in_flight));
    let handler = Arc::new(ForwardHandler { node });
    server.serve(listener, handler, end).await;
}

impl Handler for ForwardHandler {
    type Protocol = Forwarding;

    async fn handle(
        &self,
        from: Incarnation,
        request: ForwardedRequest,
    ) -> HandlerResponse<Forwarding> {
        log::debug!(peer:% = from, node = request.node.as_str(); "received a forwarded request");
        match exchange::answer_forwarded(&self.node, request).await {
            Ok(CallerResponse::Whole(response)) if response.body().len() > MAX_WHOLE_BYTES => {
                in_parts(response)
            }
            Ok(CallerResponse::Whole(response)) => {
                let head = ForwardedHead::new(response.status(), response.headers());
                HandlerResponse::Reply(ForwardReply::Whole(head, response.into_body().into()))
            }
            Ok(CallerResponse::Stream(head, events)) => {
                let head = ForwardedHead::new(head.status(), head.headers());
                streamed(head, events)
            }
            Err(refusal) => HandlerResponse::Reply(ForwardReply::refused(&refusal)),
        }
    }
}

/// Returns a reply whose body follows in parts, as fast as the peer reads them.
fn streamed<E: Send + 'static>(
    head: ForwardedHead,
    parts: impl Stream<Item = Result<Frame<Bytes>, E>> + Send + 'static,
) -> HandlerResponse<Forwarding> {
    let (sender, receiver) = mpsc::channel(MAX_WAITING_BATCHES);
    tokio::spawn(send_events(parts, sender));
    HandlerResponse::Stream(ForwardReply::Stream(head), receiver)
}

/// Returns the reply with a complete response that is too long for one message.
fn in_parts(response: Response<Bytes>) -> HandlerResponse<Forwarding> {
    let head = ForwardedHead::new(response.status(), response.headers());
    let body = response.into_body();
    let parts = (0..body.len()).step_by(PART_BYTES).map(move |from| {
        let to = body.len().min(from + PART_BYTES);
        Ok::<_, Infallible>(Frame::data(body.slice(from..to)))
    });
    streamed(head, stream::iter(parts))
}

/// Sends a stream's events and its end; a stream that is interrupted has no end.
///
/// The stream is dropped as soon as the peer disconnects, so that the upstream stops its work.
async fn send_events<E>(
    events: impl Stream<Item = Result<Frame<Bytes>, E>>,
    sender: mpsc::Sender<ForwardItem>,
) {
    let mut events = std::pin::pin!(events);
    loop {
        let next = tokio::select! {
            () = sender.closed() => return,
            next = events.next() => next,
        };
        let item = match next {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => ForwardItem::Events(bytes.into()),
                Err(_trailers) => continue,
            },
            // The stream has logged why.
            Some(Err(_interrupted)) => return,
            None => ForwardItem::End,
        };
        let is_end = item == ForwardItem::End;
        if sender.send(item).await.is_err() || is_end {
            return;
        }
    }
}
