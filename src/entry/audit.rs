//! `GET /v1/audit`: the audit trail, for operators.

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use serde::Serialize;

use super::operators::operator_or_first;
use super::refusal::{Refusal, json};
use super::routes::Asked;
use crate::audit::{Entry, STREAM};
use crate::coordination::log::{Log, Page, Record};

/// Records of the log in one answer; each holds the entries of some seconds of one node.
const PAGE_RECORDS: u32 = 200;

#[derive(Serialize)]
struct Part {
    /// The offset to go on from.
    next: u64,
    records: Vec<Row>,
}

#[derive(Serialize)]
struct Row {
    offset: u64,
    #[serde(flatten)]
    entry: Entry,
}

#[derive(Serialize)]
struct Unavailable {
    error: &'static str,
}

/// Answers a part of the trail, read from the log at once, so that every node tells the same.
pub(super) async fn trail(asked: Asked) -> Response<Body> {
    let node = &asked.node;
    let in_force = node.core.blackboard.active_configuration();
    if let Err(refusal) = operator_or_first(node, in_force.as_deref(), &asked.headers) {
        return refusal.response();
    }
    let from = match asked.parameter("from").map(|from| from.parse()) {
        None => 0,
        Some(Ok(from)) => from,
        Some(Err(_)) => return Refusal::OutOfRange.response(),
    };
    match node.log.read(STREAM, from, PAGE_RECORDS, 0).await {
        Ok(page) => json(StatusCode::OK, &part(from, &page)),
        Err(error) => {
            log::info!(error:% = error; "the audit trail cannot be read");
            let body = Unavailable {
                error: "log_unavailable",
            };
            json(StatusCode::SERVICE_UNAVAILABLE, &body)
        }
    }
}

fn part(from: u64, page: &Page) -> Part {
    let records = page.records.iter().enumerate();
    // A record whose append lost its answer may stand there twice, under one number.
    let records = records.filter(|(index, record)| {
        let same =
            |other: &Record| (&other.writer, other.sequence) == (&record.writer, record.sequence);
        record.offset >= from && !page.records[..*index].iter().any(same)
    });
    Part {
        next: page.next,
        records: records.flat_map(|(_, record)| rows(record)).collect(),
    }
}

fn rows(record: &Record) -> Vec<Row> {
    let offset = record.offset;
    let entries: Vec<Entry> = serde_json::from_str(&record.payload).unwrap_or_else(|error| {
        log::warn!(offset, error:% = error; "an audit record is unreadable");
        Vec::new()
    });
    let rows = entries.into_iter().map(|entry| Row { offset, entry });
    rows.collect()
}
