//! Defines the responses to browsers and the layout that all pages share.

use http::StatusCode;

use super::html::Html;
use super::respond::Route;
use super::session::Session;

/// Content type of the pages.
const HTML_TYPE: &str = "text/html; charset=utf-8";
/// Content type of the style sheet.
const CSS_TYPE: &str = "text/css; charset=utf-8";
/// The style sheet of all pages.
const STYLE_SHEET: &str = include_str!("style.css");
/// Security headers of every response.
///
/// They block scripts, resources of other origins, framing by other sites, and caching.
const SECURITY_HEADERS: [(&str, &str); 5] = [
    (
        "content-security-policy",
        "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
    ),
    ("x-content-type-options", "nosniff"),
    ("referrer-policy", "same-origin"),
    ("cross-origin-opener-policy", "same-origin"),
    ("cache-control", "no-store"),
];

/// A response to a browser.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of the `content-type` header.
    pub content_type: &'static str,
    /// The body; empty for a redirect.
    pub body: String,
    /// Value of the `set-cookie` header, if the response sets a cookie.
    pub cookie: Option<String>,
    /// Target of a redirect, as the value of the `location` header.
    pub location: Option<String>,
}

impl Response {
    /// Creates a response with an HTML page.
    pub(super) fn page(status: StatusCode, body: String) -> Self {
        Self {
            status,
            content_type: HTML_TYPE,
            body,
            cookie: None,
            location: None,
        }
    }

    /// Creates the response with the style sheet.
    pub(super) fn style_sheet() -> Self {
        Self {
            content_type: CSS_TYPE,
            ..Self::page(StatusCode::OK, STYLE_SHEET.to_owned())
        }
    }

    /// Creates a redirect that the browser follows with GET (status 303).
    pub(super) fn see_other(location: impl Into<String>) -> Self {
        Self {
            location: Some(location.into()),
            ..Self::page(StatusCode::SEE_OTHER, String::new())
        }
    }

    /// Adds a `set-cookie` header with the value `cookie`.
    pub(super) fn with_cookie(mut self, cookie: String) -> Self {
        self.cookie = Some(cookie);
        self
    }

    /// Returns all headers, with names in lower case.
    pub fn headers(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let cookie = self.cookie.as_deref().map(|value| ("set-cookie", value));
        let location = self.location.as_deref().map(|value| ("location", value));
        std::iter::once(("content-type", self.content_type))
            .chain(SECURITY_HEADERS)
            .chain(cookie)
            .chain(location)
    }
}

/// A page under construction, whose head and navigation are written.
#[derive(Debug)]
pub(super) struct Page {
    pub html: Html,
}

impl Page {
    /// Starts a page.
    ///
    /// A page without a session has no navigation. With `refresh_s`, the browser reloads the page
    /// at this interval.
    pub fn new(title: &str, session: Option<&Session>, refresh_s: Option<&str>) -> Self {
        let mut html = Html::default();
        html.open("!doctype html", &[]);
        html.open("html", &[("lang", "en")]);
        html.open("head", &[]);
        html.open("meta", &[("charset", "utf-8")]);
        html.open(
            "meta",
            &[("name", "viewport"), ("content", "width=device-width")],
        );
        if let Some(seconds) = refresh_s {
            html.open("meta", &[("http-equiv", "refresh"), ("content", seconds)]);
        }
        html.element("title", &[], &format!("{title} – teaselline"));
        html.open(
            "link",
            &[("rel", "stylesheet"), ("href", Route::Style.path())],
        );
        html.close("head");
        html.open("body", &[]);
        html.element(
            "a",
            &[("href", "#main"), ("class", "skip")],
            "Skip to the content",
        );
        if let Some(session) = session {
            navigation(&mut html, session);
        }
        html.open("main", &[("id", "main")]);
        html.element("h1", &[], title);
        Self { html }
    }

    /// Closes the open elements and returns the markup.
    pub fn finish(mut self) -> String {
        self.html.close("main");
        self.html.close("body");
        self.html.close("html");
        self.html.into_string()
    }
}

fn navigation(html: &mut Html, session: &Session) {
    html.open("nav", &[("aria-label", "Console")]);
    html.element("a", &[("href", Route::Live.path())], "Live");
    html.element("a", &[("href", Route::Document.path())], "Document");
    html.element("a", &[("href", Route::Trail.path())], "Audit trail");
    html.open(
        "form",
        &[("method", "post"), ("action", Route::SignOut.path())],
    );
    hidden(html, "form_token", &session.form_token);
    html.element("span", &[], &session.operator);
    html.element("button", &[("type", "submit")], "Sign out");
    html.close("form");
    html.close("nav");
}

/// Writes a hidden form field.
pub(super) fn hidden(html: &mut Html, name: &str, value: &str) {
    html.open(
        "input",
        &[("type", "hidden"), ("name", name), ("value", value)],
    );
}

/// Writes a status message that assistive technology announces.
pub(super) fn status_message(html: &mut Html, class: &str, text: &str) {
    html.element("p", &[("class", class), ("role", "status")], text);
}
