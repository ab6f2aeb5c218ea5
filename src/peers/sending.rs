//! Sending of replies and items under HTTP/2 flow control.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use h2::{Reason, SendStream};
use tokio::sync::mpsc;

use super::codec;
use super::traffic::KindTraffic;
use crate::in_flight::{self, InFlight};

/// Size at which batched items are sent.
const BATCH_BYTES: usize = 16 * 1024;

/// Maximum number of items received from the handler's channel at once.
const BATCH_ITEMS: usize = 256;

/// The caller reset the stream or disconnected during the response.
pub(super) struct CallerDisconnected;

pub(super) async fn send_items<T: bincode::Encode>(
    sending: &mut Sending<'_>,
    mut items: mpsc::Receiver<T>,
    mut frames: BytesMut,
    traffic: &KindTraffic,
) {
    let mut batch = Vec::with_capacity(BATCH_ITEMS);
    loop {
        tokio::select! {
            biased;
            _ = std::future::poll_fn(|cx| sending.stream.poll_reset(cx)) => return,
            _ = items.recv_many(&mut batch, BATCH_ITEMS) => {}
        }
        let is_last = batch.is_empty();
        for item in batch.drain(..) {
            if let Err(error) = codec::encode_frame(&item, &mut frames) {
                log::error!(kind = traffic.kind, cause:err = error; "encoding an item failed; the stream is reset");
                sending.stream.send_reset(Reason::INTERNAL_ERROR);
                return;
            }
            traffic.record_sent(1, 0);
            if frames.len() >= BATCH_BYTES {
                let chunk = frames.split().freeze();
                traffic.record_sent(0, chunk.len());
                if sending.send(chunk, false).await.is_err() {
                    return;
                }
            }
        }
        let chunk = frames.split().freeze();
        traffic.record_sent(0, chunk.len());
        if is_last {
            // A disconnect at the end of the stream needs no handling.
            let _ = sending.send(chunk, true).await;
            return;
        }
        if !chunk.is_empty() && sending.send(chunk, false).await.is_err() {
            return;
        }
    }
}

/// One response, whose request counts as in flight until its bytes are written to the connection.
///
/// `h2` copies small payloads into its own buffer; these count as written once they are there.
pub(super) struct Sending<'a> {
    stream: SendStream<Bytes>,
    in_flight: &'a Arc<InFlight>,
}

impl<'a> Sending<'a> {
    pub(super) fn new(stream: SendStream<Bytes>, in_flight: &'a Arc<InFlight>) -> Self {
        Self { stream, in_flight }
    }

    /// Sends bytes as flow control permits; fails if the caller resets the stream or disconnects.
    pub(super) async fn send(
        &mut self,
        bytes: Bytes,
        end_of_stream: bool,
    ) -> Result<(), CallerDisconnected> {
        // Flow control grants bytes that the connection writes later.
        let mut bytes = in_flight::holding(bytes, Arc::clone(self.in_flight));
        while self.stream.capacity() < bytes.len() {
            self.stream.reserve_capacity(bytes.len());
            // A reset by the caller also completes this future.
            let granted = std::future::poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            let granted = match granted {
                Some(Ok(granted)) => granted.min(bytes.len()),
                Some(Err(_)) | None => return Err(CallerDisconnected),
            };
            if granted < bytes.len() {
                let part = bytes.split_to(granted);
                self.stream
                    .send_data(part, false)
                    .map_err(|_reset| CallerDisconnected)?;
            }
        }
        let sent = self.stream.send_data(bytes, end_of_stream);
        sent.map_err(|_reset| CallerDisconnected)
    }
}
