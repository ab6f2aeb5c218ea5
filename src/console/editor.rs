//! Renders the page on which operators edit the configuration document.

mod writer;

use http::StatusCode;
use serde_json::Value;

use super::document_diff::{Change, Conflict, changes};
use super::fields;
use super::page::{Page, Response, hidden, status_message};
use super::respond::Route;
use super::session::Session;
use crate::document::{Fault, RawDocument};
use writer::Writer;

/// Longest value that the tables of changes and conflicts show; longer values are truncated.
const MAX_SHOWN_CHARS: usize = 200;

/// Contents of the edit page.
#[derive(Clone, Debug)]
pub struct Editor {
    /// Revision that the operator edits; 0 if no document is in force.
    pub base_revision: u64,
    /// Document of the base revision.
    pub base: RawDocument,
    /// The document as edited by the operator.
    pub document: RawDocument,
    /// Validation faults of `document`.
    pub faults: Vec<Fault>,
    /// Values that another operator changed differently.
    pub conflicts: Vec<Conflict>,
    /// Message above the form.
    pub notice: Notice,
}

/// Message above the form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The form shows the base revision unchanged.
    Unmodified,
    /// An entry has been added or removed.
    Edited,
    /// The document has been validated.
    Checked,
    /// The change has been accepted and is in force.
    Accepted,
    /// Another change was accepted first and has been merged with this one.
    Merged {
        /// Revision from which this change was made.
        made_from: u64,
    },
    /// Another change was accepted first, but this node has not read it from the log yet.
    NewerRevisionUnseen,
    /// The change has not been accepted: the log cannot be reached or read.
    NotAccepted,
    /// The log did not confirm the change; it may or may not have been accepted.
    Unknown,
    /// The post did not come from a page of the session, so nothing was applied.
    ForgeryCheckFailed,
}

impl Editor {
    /// Creates an editor that shows a revision unchanged.
    #[must_use]
    pub fn unmodified(base_revision: u64, base: RawDocument) -> Self {
        Self {
            base_revision,
            document: base.clone(),
            base,
            faults: Vec::new(),
            conflicts: Vec::new(),
            notice: Notice::Unmodified,
        }
    }

    /// Renders the page.
    #[must_use]
    pub fn page(&self, session: &Session) -> Response {
        let mut page = Page::new("Document", Some(session), None);
        self.write_notice(&mut page);
        self.write_faults(&mut page);
        self.write_conflicts(&mut page);
        let changes = changes(&self.base, &self.document);
        self.write_changes(&mut page, &changes);
        self.write_form(&mut page, session, &changes);
        Response::page(self.status(), page.finish())
    }

    fn status(&self) -> StatusCode {
        match self.notice {
            Notice::Merged { .. } | Notice::NewerRevisionUnseen => StatusCode::CONFLICT,
            Notice::NotAccepted | Notice::Unknown => StatusCode::SERVICE_UNAVAILABLE,
            Notice::ForgeryCheckFailed => StatusCode::FORBIDDEN,
            Notice::Checked if !self.faults.is_empty() => StatusCode::UNPROCESSABLE_ENTITY,
            _ => StatusCode::OK,
        }
    }

    fn write_notice(&self, page: &mut Page) {
        let revision = self.base_revision;
        let html = &mut page.html;
        match self.notice {
            Notice::Unmodified if revision == 0 => {
                status_message(html, "good", "No document is in force yet.");
            }
            Notice::Unmodified => {
                status_message(html, "good", &format!("Revision {revision} is in force."));
            }
            Notice::Accepted => status_message(
                html,
                "good",
                &format!("Your change has been accepted; revision {revision} is in force."),
            ),
            Notice::Edited => {}
            Notice::Checked if self.faults.is_empty() => {
                status_message(
                    html,
                    "good",
                    "The document is valid. Nothing has been applied yet.",
                );
            }
            Notice::Checked => {
                status_message(html, "bad", "The document has faults; nothing is applied.");
            }
            Notice::Merged { made_from } => status_message(
                html,
                "bad",
                &format!(
                    "Revision {revision} has replaced revision {made_from}, from which you began. \
                     Your changes stand below on top of it, and nothing is applied yet."
                ),
            ),
            Notice::NewerRevisionUnseen => status_message(
                html,
                "bad",
                "Another change came first, and is not known here yet. Check again to see both.",
            ),
            Notice::NotAccepted => status_message(
                html,
                "bad",
                "The log cannot be reached; your change has not been accepted. Apply it again later.",
            ),
            Notice::Unknown => status_message(
                html,
                "bad",
                "The log did not say whether your change has been accepted. Apply it again: it is \
                 accepted once at most, and you are told if it has been.",
            ),
            Notice::ForgeryCheckFailed => status_message(
                html,
                "bad",
                "This was not sent from a page of your session; nothing is applied. Check it and \
                 send it again.",
            ),
        }
    }

    fn write_faults(&self, page: &mut Page) {
        if self.faults.is_empty() {
            return;
        }
        let html = &mut page.html;
        html.open("section", &[("aria-labelledby", "faults")]);
        let title = format!("Faults ({})", self.faults.len());
        html.element("h2", &[("id", "faults")], &title);
        html.open("ul", &[]);
        for fault in &self.faults {
            html.open("li", &[]);
            let target = format!("#{}", fault.path.as_str());
            html.element("a", &[("href", &target)], &fault.path.to_string());
            html.text(&format!(": {}", fault.kind));
            html.close("li");
        }
        html.close("ul");
        html.close("section");
    }

    fn write_conflicts(&self, page: &mut Page) {
        if self.conflicts.is_empty() {
            return;
        }
        let in_force = format!("Revision {}", self.base_revision);
        let columns = ["Place", in_force.as_str(), "Yours, kept below"];
        let rows = self.conflicts.iter().map(|conflict| {
            let path = conflict.path.to_string();
            vec![
                path,
                display_text(conflict.theirs.as_ref()),
                display_text(conflict.mine.as_ref()),
            ]
        });
        let rows: Vec<_> = rows.collect();
        page.html.table("Changed by both of you", &columns, &rows);
    }

    fn write_changes(&self, page: &mut Page, changes: &[Change]) {
        match (changes.is_empty(), self.notice) {
            (true, Notice::Merged { .. }) => {
                let text = "It holds everything that you changed; there is nothing left to apply.";
                return status_message(&mut page.html, "good", text);
            }
            (true, _) => return,
            (false, _) => {}
        }
        let in_force = match self.base_revision {
            0 => String::from("Nothing in force"),
            revision => format!("Revision {revision}"),
        };
        let columns = ["Place", in_force.as_str(), "Yours"];
        let rows = changes.iter().map(|change| {
            let (before, after) = (change.before.as_ref(), change.after.as_ref());
            vec![
                change.path.clone(),
                display_text(before),
                display_text(after),
            ]
        });
        let rows: Vec<_> = rows.collect();
        page.html
            .table("What your document changes", &columns, &rows);
    }

    fn write_form(&self, page: &mut Page, session: &Session, changes: &[Change]) {
        let action = Route::Change.path();
        let html = &mut page.html;
        html.open(
            "form",
            &[
                ("method", "post"),
                ("action", action),
                ("autocomplete", "off"),
            ],
        );
        // The return key activates the first button of a form. A hidden check button comes first,
        // so that the return key cannot apply the document or remove an entry.
        let check = [("type", "submit"), ("name", "action"), ("value", "check")];
        let hidden_check = [
            check[0],
            check[1],
            check[2],
            ("class", "first"),
            ("tabindex", "-1"),
        ];
        html.element("button", &hidden_check, "Check");
        hidden(html, "form_token", &session.form_token);
        hidden(html, "base_revision", &self.base_revision.to_string());
        hidden(html, "base_document", &self.base.to_text());
        let mut document = self.document.clone();
        fields::document(&mut Writer::new(html, self), &mut document);
        html.open("div", &[("class", "actions")]);
        html.element("button", &check, "Check and show the difference");
        let checked = matches!(
            self.notice,
            Notice::Checked | Notice::Merged { .. } | Notice::NotAccepted | Notice::Unknown
        );
        if checked && self.faults.is_empty() && !changes.is_empty() {
            let apply = [("type", "submit"), ("name", "action"), ("value", "apply")];
            html.element("button", &apply, "Put in force");
        }
        html.close("div");
        html.close("form");
    }
}

fn display_text(value: Option<&Value>) -> String {
    let text = match value {
        None => String::from("–"),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    };
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}

#[cfg(test)]
mod tests;
