//! Upstreams whose answers have framing without end between the pieces of a body.

use teaselline_stand_ins::operators::EndlessPart;

use super::endless_heads::{FAULTY_CALLS, FAULTY_STREAMS, endless_part_is_bounded};

/// Guards against the zeros or spaces of a chunk's size that keep a node from its other requests.
#[tokio::test(flavor = "multi_thread")]
async fn endless_chunk_size_holds_up_no_other_request() {
    for routes in [FAULTY_STREAMS, FAULTY_CALLS] {
        endless_part_is_bounded(EndlessPart::ChunkSize, routes).await;
        endless_part_is_bounded(EndlessPart::ChunkSizeSpaces, routes).await;
    }
}

/// Guards against an extension of a chunk that keeps a node from its other requests or stays open.
#[tokio::test(flavor = "multi_thread")]
async fn endless_chunk_extension_holds_up_no_other_request() {
    endless_part_is_bounded(EndlessPart::ChunkExtension, FAULTY_STREAMS).await;
    endless_part_is_bounded(EndlessPart::ChunkExtension, FAULTY_CALLS).await;
}

/// Guards against trailers that keep a node from its other requests or stay open.
#[tokio::test(flavor = "multi_thread")]
async fn endless_trailers_hold_up_no_other_request() {
    endless_part_is_bounded(EndlessPart::Trailers, FAULTY_STREAMS).await;
    endless_part_is_bounded(EndlessPart::Trailers, FAULTY_CALLS).await;
}
