//! Sends a reply and its items, as fast as the caller takes them.

use bytes::{Bytes, BytesMut};
use h2::{Reason, SendStream};
use tokio::sync::mpsc;

use super::codec;
use super::traffic::KindTraffic;

/// Items are put together up to this size before they are sent.
const BATCH_BYTES: usize = 16 * 1024;

/// Items are taken from the handler's channel up to this number at once.
const BATCH_ITEMS: usize = 256;

/// The caller went away while it was being answered.
pub(super) struct CallerGone;

pub(super) async fn send_items<T: bincode::Encode>(
    sending: &mut SendStream<Bytes>,
    mut items: mpsc::Receiver<T>,
    mut frames: BytesMut,
    traffic: &KindTraffic,
) {
    let mut batch = Vec::with_capacity(BATCH_ITEMS);
    loop {
        tokio::select! {
            biased;
            _ = std::future::poll_fn(|cx| sending.poll_reset(cx)) => return,
            _ = items.recv_many(&mut batch, BATCH_ITEMS) => {}
        }
        let last = batch.is_empty();
        for item in batch.drain(..) {
            if let Err(error) = codec::encode_frame(&item, &mut frames) {
                log::error!(kind = traffic.kind, cause:err = error; "an item can't be encoded");
                sending.send_reset(Reason::INTERNAL_ERROR);
                return;
            }
            traffic.sent(1, 0);
            if frames.len() >= BATCH_BYTES {
                let chunk = frames.split().freeze();
                traffic.sent(0, chunk.len());
                if send(sending, chunk, false).await.is_err() {
                    return;
                }
            }
        }
        let chunk = frames.split().freeze();
        traffic.sent(0, chunk.len());
        if last {
            // Whether the caller is still there makes no difference at the end.
            let _ = send(sending, chunk, true).await;
            return;
        }
        if !chunk.is_empty() && send(sending, chunk, false).await.is_err() {
            return;
        }
    }
}

/// Sends bytes as fast as the caller takes them.
pub(super) async fn send(
    sending: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end_of_stream: bool,
) -> Result<(), CallerGone> {
    while sending.capacity() < bytes.len() {
        sending.reserve_capacity(bytes.len());
        // A reset by the caller also ends this wait.
        let granted = std::future::poll_fn(|cx| sending.poll_capacity(cx)).await;
        let granted = match granted {
            Some(Ok(granted)) => granted.min(bytes.len()),
            Some(Err(_)) | None => return Err(CallerGone),
        };
        if granted < bytes.len() {
            let part = bytes.split_to(granted);
            sending
                .send_data(part, false)
                .map_err(|_reset| CallerGone)?;
        }
    }
    let sent = sending.send_data(bytes, end_of_stream);
    sent.map_err(|_reset| CallerGone)
}
