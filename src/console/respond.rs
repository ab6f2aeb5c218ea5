//! Routes the console's requests and builds the responses.

use http::{HeaderMap, Method, StatusCode};

use super::document_diff;
use super::editor::{Editor, Notice};
use super::form::{self, Action, Form};
use super::live::LiveView;
use super::page::{Page, Response, status_message};
use super::session::{self, Session};
use super::trail::{self, TrailRow};
use crate::blackboard::ActiveConfiguration;
use crate::document::{Document, DocumentFaults, Fault, RawDocument};
use crate::peers::FleetKey;
use crate::time::TimeMs;

/// Pages and actions of the console.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The page with the current state of the system.
    Live,
    /// The page with the edit form of the document.
    Document,
    /// Submission of the edit form.
    Change,
    /// The page of the audit trail.
    Trail,
    /// The sign-in page.
    SignInForm,
    /// Submission of the sign-in form.
    SignIn,
    /// Sign-out, which deletes the session cookie.
    SignOut,
    /// The style sheet.
    Style,
}

impl Route {
    /// Returns the route of a request, or `None` if no route matches.
    #[must_use]
    pub fn from_request(method: &Method, path: &str) -> Option<Self> {
        let routes = match *method {
            Method::GET => &[
                Self::Live,
                Self::Document,
                Self::Trail,
                Self::SignInForm,
                Self::Style,
            ][..],
            Method::POST => &[Self::Change, Self::SignIn, Self::SignOut][..],
            _ => &[][..],
        };
        routes.iter().copied().find(|route| route.path() == path)
    }

    /// Returns the path of the route.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Live => "/console",
            Self::Document | Self::Change => "/console/document",
            Self::Trail => "/console/trail",
            Self::SignInForm | Self::SignIn => "/console/sign-in",
            Self::SignOut => "/console/sign-out",
            Self::Style => "/console/style.css",
        }
    }
}

/// A request from a browser.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The route.
    pub route: Route,
    /// The headers.
    pub headers: &'a HeaderMap,
    /// The body, whose length the node has already limited.
    pub body: &'a [u8],
}

/// The state from which the console renders pages.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The document in force with its revision; `None` before the first document.
    pub active_configuration: Option<&'a ActiveConfiguration>,
    /// The current state of the system; read for [`Route::Live`] only.
    pub live: &'a LiveView,
    /// The latest entries of the audit trail, newest first; read for [`Route::Trail`] only.
    pub trail: &'a [TrailRow],
}

/// Result of a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A response to send to the browser.
    Page(Response),
    /// A valid document to submit to the log; [`outcome_response`] turns its outcome into a response.
    Propose(Box<Proposal>),
}

/// A valid document that an operator proposes.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Revision from which the document was edited.
    pub base_revision: u64,
    /// Document of the base revision, for a merge if another change is accepted first.
    pub base: RawDocument,
    /// The proposed document as the operator entered it.
    pub document: RawDocument,
    /// The proposed document as JSON text.
    pub text: String,
    /// The operator's session.
    pub session: Session,
}

/// Outcome of a proposal.
#[derive(Clone, Debug)]
pub enum ProposalOutcome {
    /// The document was accepted and is in force.
    Accepted {
        /// Revision of the accepted document.
        revision: u64,
    },
    /// Rejected: a revision newer than the base revision is in force.
    Stale,
    /// Rejected: the node's validation found faults.
    Invalid(DocumentFaults),
    /// Not accepted: the log cannot be reached or read, and the proposal may be repeated.
    NotAccepted,
    /// The log may or may not have accepted the document.
    Unknown,
}

/// Handles a request and returns a page or a proposal.
///
/// Without a valid session, only the sign-in routes and the style sheet are served; all other
/// requests lead to the sign-in page.
#[must_use]
pub fn respond(request: Request<'_>, view: View<'_>, key: &FleetKey, now: TimeMs) -> Reply {
    let document = view.active_configuration.map(|in_force| &in_force.document);
    let session = session::authenticate(request.headers, document, key, now);
    let page = match (request.route, session) {
        (Route::Style, _) => Response::style_sheet(),
        (Route::SignInForm, _) => sign_in_page(StatusCode::OK, None),
        (Route::SignIn, _) => sign_in(request, document, key, now),
        (Route::SignOut, Some(session)) => sign_out(request, &session),
        (Route::Live, Some(session)) => view.live.page(&session),
        (Route::Trail, Some(session)) => trail::page(view.trail, &session),
        (Route::Document, Some(session)) => unmodified_editor(view).page(&session),
        (Route::Change, Some(session)) => return change(request, view, session),
        // The session expired after the form was opened. The response cannot keep the operator's
        // input; the message asks the operator to go back to the form in the browser.
        (Route::Change, None) => sign_in_page(StatusCode::UNAUTHORIZED, Some(SESSION_ENDED)),
        (_, None) => Response::see_other(Route::SignInForm.path()),
    };
    Reply::Page(page)
}

/// Returns the page that reports the outcome of a proposal.
#[must_use]
pub fn outcome_response(proposal: &Proposal, verdict: ProposalOutcome, view: View<'_>) -> Response {
    let mut editor = Editor {
        base_revision: proposal.base_revision,
        base: proposal.base.clone(),
        document: proposal.document.clone(),
        faults: Vec::new(),
        conflicts: Vec::new(),
        notice: Notice::Checked,
    };
    match verdict {
        ProposalOutcome::Accepted { revision } => {
            editor.base_revision = revision;
            editor.base = proposal.document.clone();
            editor.notice = Notice::Accepted;
        }
        ProposalOutcome::Stale if active_document(view).0 > proposal.base_revision => {
            editor = merge_with_active(&editor, view);
        }
        ProposalOutcome::Stale => editor.notice = Notice::NewerRevisionUnseen,
        ProposalOutcome::Invalid(faults) => editor.faults = faults.faults,
        ProposalOutcome::NotAccepted => editor.notice = Notice::NotAccepted,
        ProposalOutcome::Unknown => editor.notice = Notice::Unknown,
    }
    editor.page(&proposal.session)
}

const SESSION_ENDED: &str = "Your session has ended. Sign in, then go back twice in your browser: \
                             what you have typed is still there.";
const TOKEN_REFUSED: &str = "This token is not that of an operator.";
const CROSS_ORIGIN_POST: &str = "This did not come from a page of this node.";

fn sign_in(
    request: Request<'_>,
    document: Option<&Document>,
    key: &FleetKey,
    now: TimeMs,
) -> Response {
    if !session::is_same_origin(request.headers) {
        return sign_in_page(StatusCode::FORBIDDEN, Some(CROSS_ORIGIN_POST));
    }
    let form = Form::parse(request.body);
    let token = form.get("token").unwrap_or_default();
    match session::sign_in(token, document, key, now) {
        Some(cookie) => Response::see_other(Route::Document.path()).with_cookie(cookie),
        None => sign_in_page(StatusCode::UNAUTHORIZED, Some(TOKEN_REFUSED)),
    }
}

fn sign_in_page(status: StatusCode, message: Option<&str>) -> Response {
    let mut page = Page::new("Sign in", None, None);
    let html = &mut page.html;
    if let Some(message) = message {
        status_message(html, "bad", message);
    }
    html.open(
        "form",
        &[("method", "post"), ("action", Route::SignIn.path())],
    );
    let label = "Your bearer token; before there is any document, the fleet key";
    html.element("label", &[("for", "token")], label);
    let token = [
        ("type", "password"),
        ("id", "token"),
        ("name", "token"),
        ("autocomplete", "current-password"),
        ("required", "required"),
    ];
    html.open("input", &token);
    html.element("button", &[("type", "submit")], "Sign in");
    html.close("form");
    Response::page(status, page.finish())
}

fn sign_out(request: Request<'_>, session: &Session) -> Response {
    if is_from_session_page(request, &Form::parse(request.body), session) {
        Response::see_other(Route::SignInForm.path()).with_cookie(session::delete_cookie())
    } else {
        Response::see_other(Route::Live.path())
    }
}

fn is_from_session_page(request: Request<'_>, form: &Form, session: &Session) -> bool {
    session::is_same_origin(request.headers)
        && session::has_form_token(session, form.get("form_token"))
}

fn unmodified_editor(view: View<'_>) -> Editor {
    let (revision, document) = active_document(view);
    Editor::unmodified(revision, document)
}

fn active_document(view: View<'_>) -> (u64, RawDocument) {
    match view.active_configuration {
        // The text parsed when the document came into force, so it parses again here.
        Some(in_force) => {
            let document = RawDocument::read(&in_force.text).unwrap_or_default();
            (in_force.revision, document)
        }
        None => (0, RawDocument::default()),
    }
}

fn change(request: Request<'_>, view: View<'_>, session: Session) -> Reply {
    let form = Form::parse(request.body);
    let action = Action::from_form(&form);
    let mut editor = editor_from_form(&form, view);
    if !is_from_session_page(request, &form, &session) {
        editor.notice = Notice::ForgeryCheckFailed;
        return Reply::Page(editor.page(&session));
    }
    action.edit(&mut editor.document);
    editor.notice = match action {
        Action::Check | Action::Apply => Notice::Checked,
        Action::Add(_) | Action::Remove { .. } => Notice::Edited,
    };
    let (revision, _) = active_document(view);
    if editor.base_revision < revision && editor.notice == Notice::Checked {
        return Reply::Page(merge_with_active(&editor, view).page(&session));
    }
    if editor.notice == Notice::Checked {
        editor.faults = validation_faults(&editor.document);
    }
    if action == Action::Apply && editor.faults.is_empty() {
        return Reply::Propose(Box::new(Proposal {
            base_revision: editor.base_revision,
            base: editor.base,
            text: editor.document.to_text(),
            document: editor.document,
            session,
        }));
    }
    Reply::Page(editor.page(&session))
}

/// Restores the editor from a posted form.
///
/// If the form has no valid base revision and document, those in force are used.
fn editor_from_form(form: &Form, view: View<'_>) -> Editor {
    let (revision, document) = active_document(view);
    let given = form.get("base_revision").and_then(|text| text.parse().ok());
    let base = form.get("base_document").map(RawDocument::read);
    let (base_revision, base) = match (given, base) {
        (Some(given), Some(Ok(base))) => (given, base),
        _ => (revision, document),
    };
    Editor {
        document: form::document_from_form(form),
        ..Editor::unmodified(base_revision, base)
    }
}

/// Merges the operator's changes with the newer revision in force.
fn merge_with_active(editor: &Editor, view: View<'_>) -> Editor {
    let (revision, theirs) = active_document(view);
    let (document, conflicts) = document_diff::merge(&editor.base, &editor.document, &theirs);
    Editor {
        faults: validation_faults(&document),
        document,
        conflicts,
        base: theirs,
        base_revision: revision,
        notice: Notice::Merged {
            made_from: editor.base_revision,
        },
    }
}

fn validation_faults(document: &RawDocument) -> Vec<Fault> {
    match Document::try_from(document) {
        Ok(_) => Vec::new(),
        Err(found) => found.faults,
    }
}

#[cfg(test)]
mod tests;
