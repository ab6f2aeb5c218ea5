//! The place of one connection in the account of callers, and of the requests on it.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Request, Response, Version};
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::resources::{self, ArrivalError, CallerAccount, Evicted, Place, UnreadBody};
use crate::time::{Clock, TimeMs};

/// Callers resume answers for as long as they are kept.
const NO_DEADLINE: TimeMs = TimeMs(u64::MAX);

/// One connection of a caller.
#[derive(Debug)]
pub(super) struct Caller {
    account: Arc<CallerAccount>,
    place: Arc<Place>,
    clock: Clock,
    unread_body: UnreadBody,
    /// Requests whose responses are not yet passed on.
    open: Mutex<usize>,
}

impl Caller {
    /// Creates the state of a connection that was accepted; `None` if it cannot be served.
    pub fn accept(account: &Arc<CallerAccount>, clock: Clock) -> Option<Arc<Self>> {
        let place = account.open(clock.now())?;
        Some(Arc::new(Self {
            account: Arc::clone(account),
            place: Arc::new(place),
            clock,
            unread_body: UnreadBody::default(),
            open: Mutex::new(0),
        }))
    }

    /// Returns whether the body of the last request on an HTTP/1 connection has not been read to its end.
    pub fn unread_body(&self) -> UnreadBody {
        self.unread_body.clone()
    }

    /// Waits until the connection has to be closed for others.
    pub async fn evicted(&self) {
        self.place.evicted().await;
    }

    /// Records a request whose head has been read.
    pub fn begin(self: &Arc<Self>, request: &Request<Incoming>) -> OpenRequest {
        let now = self.clock.now();
        self.count_begun(now);
        self.unread_body.begin(!request.body().is_end_stream());
        let place = if request.version() == Version::HTTP_2 {
            Arc::new(self.account.begin(now))
        } else {
            Arc::clone(&self.place)
        };
        OpenRequest {
            caller: Arc::clone(self),
            place,
        }
    }

    fn count_begun(&self, now: TimeMs) {
        let mut open = self.open.lock();
        if *open == 0 {
            self.place.arrive(now);
        }
        *open += 1;
    }

    fn count_ended(&self) {
        let mut open = self.open.lock();
        *open -= 1;
        if *open == 0 {
            self.place.keep(self.clock.now());
        }
    }
}

/// A request of a connection, until its response has been passed on.
#[derive(Debug)]
pub(super) struct OpenRequest {
    caller: Arc<Caller>,
    place: Arc<Place>,
}

impl OpenRequest {
    /// Returns what the request's body is charged to.
    pub fn arrival(&self) -> Arrival {
        Arrival {
            connection: Arc::clone(&self.caller),
            place: Arc::clone(&self.place),
        }
    }

    /// Returns the response with the request held until it has been passed on.
    pub fn held_by(self, response: Response<Body>) -> Response<Body> {
        response.map(|body| {
            Body::new(HeldBody {
                body,
                _request: self,
            })
        })
    }
}

/// The body of a response, which holds its request until it is dropped.
struct HeldBody {
    body: Body,
    _request: OpenRequest,
}

impl http_body::Body for HeldBody {
    type Data = <Body as http_body::Body>::Data;
    type Error = <Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.caller.count_ended();
    }
}

/// The place to which the body of a request is charged.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    connection: Arc<Caller>,
    place: Arc<Place>,
}

impl Arrival {
    /// Reads the body of the request to its end.
    ///
    /// # Errors
    ///
    /// If the body is longer than `max_bytes`, breaks off, or has to go for others.
    pub async fn read(&self, body: Body, max_bytes: usize) -> Result<Bytes, ArrivalError> {
        let body = resources::read_body(body, &self.place, max_bytes, NO_DEADLINE).await?;
        self.finish()?;
        Ok(body)
    }

    /// Records that the request has arrived to its end.
    ///
    /// # Errors
    ///
    /// If the request has to go for others.
    pub fn finish(&self) -> Result<(), Evicted> {
        self.connection.unread_body.end();
        self.connection.place.serve(NO_DEADLINE)?;
        self.place.serve(NO_DEADLINE)
    }
}
