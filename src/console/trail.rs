//! Renders the page of the audit trail.

use http::StatusCode;

use super::page::{Page, Response, status_message};
use super::session::Session;

/// One entry of the audit trail, formatted for display.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrailRow {
    /// Time of the entry, in UTC.
    pub at: String,
    /// The actor: an operator, or the role and name of a node.
    pub actor: String,
    /// The action and its target.
    pub action: String,
    /// Revision of the document, or empty.
    pub revision: String,
    /// Fencing token of an order, or empty.
    pub fencing_token: String,
    /// The outcome, with its detail.
    pub outcome: String,
}

/// Renders `rows`, which are sorted newest first.
pub(super) fn page(rows: &[TrailRow], session: &Session) -> Response {
    let mut page = Page::new("Audit trail", Some(session), None);
    if rows.is_empty() {
        status_message(&mut page.html, "good", "The trail is empty.");
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
            row.actor,
            row.action,
            row.revision,
            row.fencing_token,
            row.outcome,
        ]
    });
    let cells: Vec<_> = cells.collect();
    page.html
        .table("Changes and orders, newest first", &columns, &cells);
    Response::page(StatusCode::OK, page.finish())
}
