use std::convert::Infallible;

use futures::{FutureExt as _, StreamExt as _};
use http_body::Frame;
use http_body_util::StreamBody;

use super::*;

/// Of unread answers, more than these tests hold.
const MAX_UNREAD_BYTES: usize = 1024 * 1024 * 1024;

/// A body of blocks of a mebibyte that ends after `blocks` of them.
fn body(blocks: usize) -> impl Body<Data = Bytes, Error = hyper::Error> + Unpin {
    let block = Bytes::from(vec![b'x'; 1024 * 1024]);
    let frames = futures::stream::repeat(block).take(blocks);
    let frames = frames.map(|block| Ok::<_, Infallible>(Frame::data(block)));
    Box::pin(StreamBody::new(frames).map_err(|never| match never {}))
}

#[tokio::test]
async fn answer_within_its_bound_is_read_whole() {
    let memory = AnswerMemory::new(MAX_UNREAD_BYTES);
    let whole = memory
        .begin(1)
        .collect(body(16))
        .await
        .expect("it is not too long");
    assert_eq!(whole.len(), MAX_ANSWER_BYTES);
}

#[tokio::test]
async fn answer_without_end_is_too_long() {
    let memory = AnswerMemory::new(MAX_UNREAD_BYTES);
    let unread = memory.begin(1).collect(body(usize::MAX)).await;
    assert!(matches!(unread, Err(UnreadBody::TooLong)), "{unread:?}");
}

/// Guards against many long answers that together exceed the host's memory, against short ones that wait beside long ones, and
/// against answers that are thrown away because others hold the memory.
#[tokio::test]
async fn long_answers_share_the_memory_and_short_ones_are_exempt() {
    let memory = AnswerMemory::new(MAX_UNREAD_BYTES);
    let mut first = memory.begin(1);
    let whole = first.collect(body(16)).await;
    assert!(whole.is_ok(), "{whole:?}");
    let mut second = memory.begin(1);
    let waiting = second.collect(body(15));
    tokio::pin!(waiting);
    let polled = futures::poll!(&mut waiting);
    assert!(polled.is_pending(), "{polled:?}");
    let mut short = memory.begin(1);
    let grown = short.grow_to(EXEMPT_BYTES, step).now_or_never();
    let grown = grown.expect("it does not wait");
    grown.expect("a short answer is exempt");
    drop(first);
    let whole = waiting.await.expect("it is not too long");
    assert_eq!(whole.len(), 15 * 1024 * 1024);
}

/// Guards against a body of a stated length that is refused only after it has filled the memory.
#[tokio::test]
async fn answer_whose_stated_length_is_too_long_is_not_read() {
    let memory = AnswerMemory::new(MAX_UNREAD_BYTES);
    let length = MAX_ANSWER_BYTES + 1;
    let unread = memory.begin(1).grow_to(length, |needed| needed).await;
    assert!(matches!(unread, Err(UnreadBody::TooLong)), "{unread:?}");
    assert_eq!(memory.shares.lock().reserved_bytes(), 0);
}

/// Guards against parts of some bytes that each hold a buffer of their own.
#[test]
fn small_parts_are_gathered_in_blocks() {
    let mut blocks = Blocks::default();
    for number in 0..200_000_u32 {
        blocks.push(&number.to_be_bytes());
    }
    let capacity: usize = blocks.blocks.iter().map(BytesMut::capacity).sum();
    assert!(blocks.blocks.len() < 40, "{} blocks", blocks.blocks.len());
    assert!(capacity <= 800_000 + MAX_BLOCK_BYTES, "{capacity}");
    let whole = blocks.joined();
    let numbers: Vec<u8> = (0..200_000_u32).flat_map(u32::to_be_bytes).collect();
    assert_eq!(whole, numbers);
}

/// Guards against memory that stays taken after an answer that was not read to its end.
#[tokio::test]
async fn memory_is_given_back_when_an_answer_ends_or_fails() {
    let memory = AnswerMemory::new(MAX_UNREAD_BYTES);
    for blocks in [1, 16, 17, usize::MAX] {
        drop(memory.begin(1).collect(body(blocks)).await);
        assert_eq!(memory.shares.lock().reserved_bytes(), 0);
    }
}
