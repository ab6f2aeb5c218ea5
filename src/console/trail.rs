//! The page of the audit trail.

use http::StatusCode;

use super::page::{Page, Response, note};
use super::session::Session;

/// One line of the trail, as text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrailRow {
    /// When it happened.
    pub at: String,
    /// Who did it: an operator or a node.
    pub who: String,
    /// What was done.
    pub what: String,
    /// The document's revision.
    pub revision: String,
    /// The fencing number of an order.
    pub fencing: String,
    /// What became of it.
    pub outcome: String,
}

/// The trail, newest first.
pub(super) fn page(rows: &[TrailRow], session: &Session) -> Response {
    let mut page = Page::begin("Audit trail", Some(session), None);
    if rows.is_empty() {
        note(&mut page.html, "good", "The trail is empty.");
    }
    let columns = [
        "When",
        "Who",
        "What",
        "Revision",
        "Fencing number",
        "Outcome",
    ];
    let cells = rows.iter().map(|row| {
        let row = row.clone();
        vec![
            row.at,
            row.who,
            row.what,
            row.revision,
            row.fencing,
            row.outcome,
        ]
    });
    let cells: Vec<_> = cells.collect();
    page.html
        .table("Changes and orders, newest first", &columns, &cells);
    Response::page(StatusCode::OK, page.end())
}
