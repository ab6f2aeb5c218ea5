use super::*;
use crate::gateway::log_position::tests::at;
use crate::platform::http::CallError;

fn body(end: u64, records: &[&[u8]]) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(end);
    body.put_u64(0);
    for record in records {
        body.put_u32(u32::try_from(record.len()).expect("short"));
        body.put_slice(record);
    }
    body.freeze()
}

#[test]
fn records_are_decoded_with_their_offsets() {
    let records = read_records(at(840), body(843, &[b"ab", b"", b"c"])).expect("whole");
    assert_eq!(records.next(), at(843));
    assert_eq!(records.end, at(843));
    assert_eq!(records.bodies, [&b"ab"[..], b"", b"c"]);
}

#[test]
fn truncated_response_is_rejected() {
    let whole = body(2, &[b"abc", b"def"]);
    for length in 0..whole.len() {
        let is_between_records = length == 16 || length == 23;
        let read = read_records(at(0), whole.slice(..length));
        assert_eq!(read.is_ok(), is_between_records, "{length} bytes");
    }
}

#[test]
fn keyed_records_are_decoded_with_and_without_a_value() {
    let with = KeyedRecord::read(at(4), Bytes::from_static(b"\x06config{}")).expect("whole");
    assert_eq!(with.key, "config");
    assert_eq!(with.value.as_deref(), Some(&b"{}"[..]));
    let without = KeyedRecord::read(at(4), Bytes::from_static(b"\x03i-1")).expect("whole");
    assert_eq!(without.value, None);
    KeyedRecord::read(at(4), Bytes::from_static(b"\x09i-1")).expect_err("cut short");
    KeyedRecord::read(at(4), Bytes::new()).expect_err("nothing there");
}

#[test]
fn rejections_are_without_effect_and_timeouts_may_have_one() {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    assert!(StoreError::Refused { status }.is_without_effect());
    assert!(StoreError::EndMismatch { end: at(4) }.is_without_effect());
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let lost = CallError::Timeout {
        address,
        timeout_ms: 5,
    };
    assert!(!StoreError::from(lost).is_without_effect());
}

proptest::proptest! {
    #[test]
    fn decoding_any_bytes_does_not_panic(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..200)) {
        let bytes = Bytes::from(bytes);
        let _records = read_records(at(0), bytes.clone());
        let _keyed = KeyedRecord::read(at(4), bytes);
    }
}

/// Guards against records of no use that stay until the store's own time is over: it names what to delete in the body.
#[tokio::test]
async fn trimmed_records_are_deleted() {
    let stand_in = teaselline_stand_ins::operators::Store::default();
    let door = stand_in.open().expect("a port is free");
    let store = Store::new(door.address());
    let mut last = LogPosition::default();
    for record in [b"a", b"b", b"c"] {
        let appended = store.append(Topic::Streams, record, None).await;
        last = appended.expect("the store takes records");
    }
    store
        .trim(Topic::Streams, last)
        .await
        .expect("the store deletes records");
    assert_eq!(stand_in.first("streams"), 2);
    let later = LogPosition {
        era: last.era + 1,
        ..last
    };
    assert!(store.trim(Topic::Streams, later).await.is_err());
    assert_eq!(stand_in.first("streams"), 2);
}

/// A page with two sound items, one before and one after an odd item.
fn page_with(odd: &[u8], truncated: bool) -> Bytes {
    let mut page = BytesMut::new();
    page.put_slice(br#"{"items":[{"key":"a","value":"YQ==","offset":1},"#);
    page.put_slice(odd);
    page.put_slice(br#",{"key":"z","value":"eg==","offset":3}],"truncated":"#);
    page.put_slice(if truncated { b"true" } else { b"false" });
    page.put_slice(br#","end":4}"#);
    page.freeze()
}

async fn read_page(page: Bytes) -> Result<LatestRecords, StoreError> {
    let stand_in = teaselline_stand_ins::operators::Store::default();
    let door = stand_in.open().expect("a port is free");
    stand_in.answer_newest_with(page);
    Store::new(door.address())
        .read_latest(Topic::Upstreams)
        .await
}

/// Guards against a node that reads no record at all because one item of a page is odd.
#[tokio::test]
async fn odd_item_of_a_page_spoils_no_other() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd_items: [&[u8]; 9] = [
        b"null",
        b"7",
        b"1e999",
        nested.as_bytes(),
        br#"{"key":"m","value":7,"offset":2}"#,
        br#"{"key":"m","value":"no base64","offset":2}"#,
        br#"{"key":"m","value":"bQ==","offset":1e999}"#,
        br#"{"key":"m","value":"bQ==","offset":-1}"#,
        b"{\"key\":7,\"value\":\"\xff\xfe\",\"offset\":2}",
    ];
    for odd in odd_items {
        let case = String::from_utf8_lossy(&odd[..odd.len().min(60)]).into_owned();
        let read = read_page(page_with(odd, false)).await;
        let items = read.expect(&case).items;
        let keys: Vec<&str> = items.iter().map(|item| item.key.as_str()).collect();
        assert_eq!(keys, ["a", "z"], "{case}");
    }
}

/// Guards against a node that takes a part of the records for all of them, and upstreams for gone.
#[tokio::test]
async fn truncated_page_without_a_key_to_continue_after_is_an_error() {
    let without_keys = br#"{"items":[7],"truncated":true,"end":4}"#;
    assert!(
        read_page(Bytes::from_static(without_keys)).await.is_err(),
        "a page without keys"
    );
    // The store answers with the same page again, which would never end.
    assert!(
        read_page(page_with(b"7", true)).await.is_err(),
        "a page that repeats"
    );
}
