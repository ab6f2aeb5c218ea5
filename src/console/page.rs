//! The frame of every page, and answers to browsers.

use http::StatusCode;

use super::html::Html;
use super::respond::Route;
use super::session::Session;

/// Type of the pages.
const HTML: &str = "text/html; charset=utf-8";
/// Type of the style sheet.
const CSS: &str = "text/css; charset=utf-8";
/// The style of all pages.
const STYLE: &str = include_str!("style.css");
/// Headers of every answer. No script runs, nothing is taken from elsewhere, no other site shows
/// the pages in a frame, and no cache keeps them.
const HEADERS: [(&str, &str); 5] = [
    (
        "content-security-policy",
        "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
    ),
    ("x-content-type-options", "nosniff"),
    ("referrer-policy", "same-origin"),
    ("cross-origin-opener-policy", "same-origin"),
    ("cache-control", "no-store"),
];

/// An answer to a browser.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its type.
    pub content_type: &'static str,
    /// Its body.
    pub body: String,
    /// A cookie to set, as the header's value.
    pub cookie: Option<String>,
    /// Where the browser goes on.
    pub location: Option<String>,
}

impl Response {
    /// A page.
    pub(super) fn page(status: StatusCode, body: String) -> Self {
        Self {
            status,
            content_type: HTML,
            body,
            cookie: None,
            location: None,
        }
    }

    /// The style sheet.
    pub(super) fn style() -> Self {
        Self {
            content_type: CSS,
            ..Self::page(StatusCode::OK, STYLE.to_owned())
        }
    }

    /// Sends the browser on to another page.
    pub(super) fn go_to(location: impl Into<String>) -> Self {
        Self {
            location: Some(location.into()),
            ..Self::page(StatusCode::SEE_OTHER, String::new())
        }
    }

    /// Sets a cookie.
    pub(super) fn with_cookie(mut self, cookie: String) -> Self {
        self.cookie = Some(cookie);
        self
    }

    /// All headers, names in lower case.
    pub fn headers(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let cookie = self.cookie.as_deref().map(|value| ("set-cookie", value));
        let location = self.location.as_deref().map(|value| ("location", value));
        std::iter::once(("content-type", self.content_type))
            .chain(HEADERS)
            .chain(cookie)
            .chain(location)
    }
}

/// A page under construction, with its frame written.
#[derive(Debug)]
pub(super) struct Page {
    pub html: Html,
}

impl Page {
    /// Begins a page; without a session it has no navigation.
    pub fn begin(title: &str, session: Option<&Session>, refresh_s: Option<&str>) -> Self {
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

    /// Ends it.
    pub fn end(mut self) -> String {
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

/// A field of a form that is not shown.
pub(super) fn hidden(html: &mut Html, name: &str, value: &str) {
    html.open(
        "input",
        &[("type", "hidden"), ("name", name), ("value", value)],
    );
}

/// A note that assistive technology reads out.
pub(super) fn note(html: &mut Html, class: &str, text: &str) {
    html.element("p", &[("class", class), ("role", "status")], text);
}
