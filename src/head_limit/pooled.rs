//! A client with pooled connections whose heads are bounded.

use std::task::{Context, Poll};

use bytes::Bytes;
use futures::TryFutureExt;
use futures::future::MapOk;
// The trait of connectors, which `gotham` exports.
use gotham::tower_service::Service;
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::client::legacy::{Builder, Client, Error};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::{CONNECTION_BUFFER_BYTES, HeadLimitedSocket, HeadReceipt};

/// Sends requests on pooled or new connections whose heads are bounded.
#[derive(Clone, Debug)]
pub(crate) struct PooledClient {
    client: Client<HeadLimitedConnector, Full<Bytes>>,
}

impl PooledClient {
    /// Creates a client without open connections.
    pub fn new(builder: &mut Builder, connector: HttpConnector) -> Self {
        let client = builder
            .http1_max_buf_size(CONNECTION_BUFFER_BYTES)
            .build(HeadLimitedConnector(connector));
        Self { client }
    }

    /// Sends a request and awaits the head of its response.
    ///
    /// # Errors
    ///
    /// If no connection can be opened, or the connection fails.
    pub async fn request(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let mut response = self.client.request(request).await?;
        if let Some(receipt) = response.extensions_mut().remove::<HeadReceipt>() {
            receipt.record();
        }
        Ok(response)
    }
}

type Connecting = <HttpConnector as Service<Uri>>::Future;

/// Opens connections whose heads are bounded.
#[derive(Clone, Debug)]
struct HeadLimitedConnector(HttpConnector);

impl Service<Uri> for HeadLimitedConnector {
    type Response = TokioIo<HeadLimitedSocket<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = MapOk<Connecting, fn(TokioIo<TcpStream>) -> Self::Response>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        self.0.call(req).map_ok(limit_heads)
    }
}

fn limit_heads(socket: TokioIo<TcpStream>) -> TokioIo<HeadLimitedSocket<TcpStream>> {
    TokioIo::new(HeadLimitedSocket::new(socket.into_inner()))
}

impl<S: Connection> Connection for HeadLimitedSocket<S> {
    fn connected(&self) -> Connected {
        self.socket.connected().extra(self.receipt())
    }
}

#[cfg(test)]
mod tests;
