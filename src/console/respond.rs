//! Answers the console's requests.

use http::{HeaderMap, Method, StatusCode};

use super::difference;
use super::editor::{Editor, Notice};
use super::form::{self, Action, Form};
use super::live::LiveView;
use super::page::{Page, Response, note};
use super::session::{self, Session};
use super::trail::{self, TrailRow};
use crate::blackboard::ActiveConfiguration;
use crate::document::{Document, DocumentFaults, Fault, RawDocument};
use crate::peers::FleetKey;
use crate::time::TimeMs;

/// Pages and actions of the console.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The page that shows the system as it is.
    Live,
    /// The form of the document.
    Document,
    /// A post of that form.
    Change,
    /// The audit trail.
    Trail,
    /// The form to sign in.
    SignInForm,
    /// A post of that form.
    SignIn,
    /// Ends the session.
    SignOut,
    /// The style sheet.
    Style,
}

impl Route {
    /// The route of a request; `None` if the console has none.
    #[must_use]
    pub fn of(method: &Method, path: &str) -> Option<Self> {
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

    /// Its path.
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

/// A request of a browser.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The route.
    pub route: Route,
    /// The headers.
    pub headers: &'a HeaderMap,
    /// The body, at most as long as the node takes.
    pub body: &'a [u8],
}

/// What the console shows.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The document in force.
    pub in_force: Option<&'a ActiveConfiguration>,
    /// The system as it is; needed for [`Route::Live`] only.
    pub live: &'a LiveView,
    /// The newest part of the trail, newest first; needed for [`Route::Trail`] only.
    pub trail: &'a [TrailRow],
}

/// What follows a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// An answer.
    Page(Response),
    /// A valid document that the log has to accept; [`conclude`] turns its verdict into an answer.
    Propose(Box<Proposal>),
}

/// A valid document that an operator wants to put in force.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The revision that it changes.
    pub base_revision: u64,
    /// That revision's document, for joining if another change came first.
    pub base: RawDocument,
    /// What the operator typed.
    pub typed: RawDocument,
    /// The same as JSON text.
    pub text: String,
    /// The operator's session.
    pub session: Session,
}

/// What became of a proposal.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// It is in force.
    Accepted {
        /// Its revision.
        revision: u64,
    },
    /// Another change came first.
    Stale,
    /// The node finds faults in it.
    Invalid(DocumentFaults),
    /// The log could not be reached and has not accepted it.
    NotAccepted,
    /// It cannot be told whether the log has accepted it.
    Unknown,
}

/// Answers a request.
#[must_use]
pub fn respond(request: Request<'_>, view: View<'_>, key: &FleetKey, now: TimeMs) -> Reply {
    let document = view.in_force.map(|in_force| &in_force.document);
    let session = session::session(request.headers, document, key, now);
    let page = match (request.route, session) {
        (Route::Style, _) => Response::style(),
        (Route::SignInForm, _) => sign_in_page(StatusCode::OK, None),
        (Route::SignIn, _) => sign_in(request, document, key, now),
        (Route::SignOut, Some(session)) => sign_out(request, &session),
        (Route::Live, Some(session)) => view.live.page(&session),
        (Route::Trail, Some(session)) => trail::page(view.trail, &session),
        (Route::Document, Some(session)) => fresh(view).page(&session),
        (Route::Change, Some(session)) => return change(request, view, session),
        // The form is lost when the session has ended meanwhile, unless the browser goes back.
        (Route::Change, None) => sign_in_page(StatusCode::UNAUTHORIZED, Some(ENDED)),
        (_, None) => Response::go_to(Route::SignInForm.path()),
    };
    Reply::Page(page)
}

/// Turns what became of a proposal into an answer.
#[must_use]
pub fn conclude(proposal: &Proposal, verdict: Verdict, view: View<'_>) -> Response {
    let mut editor = Editor {
        base_revision: proposal.base_revision,
        base: proposal.base.clone(),
        document: proposal.typed.clone(),
        faults: Vec::new(),
        conflicts: Vec::new(),
        notice: Notice::Checked,
    };
    match verdict {
        Verdict::Accepted { revision } => {
            editor.base_revision = revision;
            editor.base = proposal.typed.clone();
            editor.notice = Notice::Accepted;
        }
        Verdict::Stale if in_force(view).0 > proposal.base_revision => {
            editor = raced(&editor, view);
        }
        Verdict::Stale => editor.notice = Notice::RaceUnseen,
        Verdict::Invalid(faults) => editor.faults = faults.faults,
        Verdict::NotAccepted => editor.notice = Notice::NotAccepted,
        Verdict::Unknown => editor.notice = Notice::Unknown,
    }
    editor.page(&proposal.session)
}

const ENDED: &str = "Your session has ended. Sign in, then go back twice in your browser: what you \
                     have typed is still there.";
const REFUSED: &str = "This token is not that of an operator.";
const ELSEWHERE: &str = "This did not come from a page of this node.";

fn sign_in(
    request: Request<'_>,
    document: Option<&Document>,
    key: &FleetKey,
    now: TimeMs,
) -> Response {
    if !session::is_same_site(request.headers) {
        return sign_in_page(StatusCode::FORBIDDEN, Some(ELSEWHERE));
    }
    let form = Form::parse(request.body);
    let token = form.get("token").unwrap_or_default();
    match session::sign_in(token, document, key, now) {
        Some(cookie) => Response::go_to(Route::Document.path()).with_cookie(cookie),
        None => sign_in_page(StatusCode::UNAUTHORIZED, Some(REFUSED)),
    }
}

fn sign_in_page(status: StatusCode, remark: Option<&str>) -> Response {
    let mut page = Page::begin("Sign in", None, None);
    let html = &mut page.html;
    if let Some(remark) = remark {
        note(html, "bad", remark);
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
    Response::page(status, page.end())
}

fn sign_out(request: Request<'_>, session: &Session) -> Response {
    if is_ours(request, &Form::parse(request.body), session) {
        Response::go_to(Route::SignInForm.path()).with_cookie(session::sign_out())
    } else {
        Response::go_to(Route::Live.path())
    }
}

fn is_ours(request: Request<'_>, form: &Form, session: &Session) -> bool {
    session::is_same_site(request.headers)
        && session::has_form_token(session, form.get("form_token"))
}

fn fresh(view: View<'_>) -> Editor {
    let (revision, document) = in_force(view);
    Editor::fresh(revision, document)
}

fn in_force(view: View<'_>) -> (u64, RawDocument) {
    match view.in_force {
        // A document in force has been read before, so its text can be read again.
        Some(in_force) => {
            let document = RawDocument::read(&in_force.text).unwrap_or_default();
            (in_force.revision, document)
        }
        None => (0, RawDocument::default()),
    }
}

fn change(request: Request<'_>, view: View<'_>, session: Session) -> Reply {
    let form = Form::parse(request.body);
    let action = Action::of(&form);
    let mut editor = posted(&form, view);
    if !is_ours(request, &form, &session) {
        editor.notice = Notice::NotOurs;
        return Reply::Page(editor.page(&session));
    }
    action.edit(&mut editor.document);
    editor.notice = match action {
        Action::Check | Action::Apply => Notice::Checked,
        Action::Add(_) | Action::Remove { .. } => Notice::Edited,
    };
    let (revision, _) = in_force(view);
    if editor.base_revision < revision && editor.notice == Notice::Checked {
        return Reply::Page(raced(&editor, view).page(&session));
    }
    if editor.notice == Notice::Checked {
        editor.faults = faults(&editor.document);
    }
    if action == Action::Apply && editor.faults.is_empty() {
        return Reply::Propose(Box::new(Proposal {
            base_revision: editor.base_revision,
            base: editor.base,
            text: editor.document.to_text(),
            typed: editor.document,
            session,
        }));
    }
    Reply::Page(editor.page(&session))
}

/// The form as it was posted.
fn posted(form: &Form, view: View<'_>) -> Editor {
    let (revision, document) = in_force(view);
    let given = form.get("base_revision").and_then(|text| text.parse().ok());
    let base = form.get("base_document").map(RawDocument::read);
    let (base_revision, base) = match (given, base) {
        (Some(given), Some(Ok(base))) => (given, base),
        _ => (revision, document),
    };
    Editor {
        document: form::document_from(form),
        ..Editor::fresh(base_revision, base)
    }
}

/// Joins what was typed with the revision that has come first.
fn raced(editor: &Editor, view: View<'_>) -> Editor {
    let (revision, theirs) = in_force(view);
    let (document, conflicts) = difference::join(&editor.base, &editor.document, &theirs);
    Editor {
        faults: faults(&document),
        document,
        conflicts,
        base: theirs,
        base_revision: revision,
        notice: Notice::Raced {
            made_from: editor.base_revision,
        },
    }
}

fn faults(document: &RawDocument) -> Vec<Fault> {
    match Document::try_from(document) {
        Ok(_) => Vec::new(),
        Err(found) => found.faults,
    }
}

#[cfg(test)]
mod tests;
