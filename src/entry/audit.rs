//! `GET /v1/audit`: the audit trail, for operators.

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use serde::Serialize;

use super::operators::operator_or_fleet_key;
use super::refusal::{Refusal, json};
use super::routes::RequestContext;
use crate::audit::{Entry, STREAM};
use crate::coordination::log::{Log, Page, Record};

/// Maximum log records per response; each holds one node's entries of a few seconds.
const PAGE_RECORDS: u32 = 200;

#[derive(Serialize)]
struct TrailPage {
    /// Offset of the next page.
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

/// Returns a page of the trail.
///
/// Reads the log directly, so that every node returns the same page.
pub(super) async fn trail(context: RequestContext) -> Response<Body> {
    let node = &context.node;
    let in_force = node.core.blackboard.active_configuration();
    if let Err(refusal) = operator_or_fleet_key(node, in_force.as_deref(), &context.headers) {
        return refusal.response();
    }
    let from = match context.parameter("from").map(|from| from.parse()) {
        None => 0,
        Some(Ok(from)) => from,
        Some(Err(_)) => return Refusal::OutOfRange.response(),
    };
    match node.log.read(STREAM, from, PAGE_RECORDS, 0).await {
        Ok(page) => json(StatusCode::OK, &trail_page(from, &page)),
        Err(error) => {
            log::info!(error:% = error; "the audit trail cannot be read");
            let body = Unavailable {
                error: "log_unavailable",
            };
            json(StatusCode::SERVICE_UNAVAILABLE, &body)
        }
    }
}

fn trail_page(from: u64, page: &Page) -> TrailPage {
    let records = page.records.iter().enumerate();
    // A record can occur twice under one sequence number if the response to its first append was
    // lost.
    let records = records.filter(|(index, record)| {
        let is_duplicate =
            |other: &Record| (&other.writer, other.sequence) == (&record.writer, record.sequence);
        record.offset >= from && !page.records[..*index].iter().any(is_duplicate)
    });
    TrailPage {
        next: page.next,
        records: records.flat_map(|(_, record)| rows(record)).collect(),
    }
}

fn rows(record: &Record) -> Vec<Row> {
    let offset = record.offset;
    let entries: Vec<Entry> = serde_json::from_str(&record.payload).unwrap_or_else(|error| {
        log::warn!(offset, error:% = error; "an audit record is malformed; its entries are skipped");
        Vec::new()
    });
    let rows = entries.into_iter().map(|entry| Row { offset, entry });
    rows.collect()
}
