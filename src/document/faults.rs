//! Validation faults of a document, each with its path.

use std::fmt;

use miette::Diagnostic;
use thiserror::Error;

/// A path in the document, such as `teams[2].weight`; empty for the whole document.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FaultPath(String);

impl FaultPath {
    /// Returns the path of the whole document.
    #[must_use]
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns the path of a field of this object.
    #[must_use]
    pub fn field(&self, name: &str) -> Self {
        match self.0.as_str() {
            "" => Self(name.to_owned()),
            parent => Self(format!("{parent}.{name}")),
        }
    }

    /// Returns the path of an entry of this list, counted from 0.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        Self(format!("{}[{index}]", self.0))
    }

    /// Returns the path as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for FaultPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.as_str() {
            "" => f.write_str("(document)"),
            path => f.write_str(path),
        }
    }
}

/// Type of a scalar value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScalarKind {
    /// A string.
    Text,
    /// An integer.
    Integer,
    /// An integer or a fraction.
    Number,
    /// A boolean.
    Boolean,
}

impl fmt::Display for ScalarKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "a text",
            Self::Integer => "a whole number",
            Self::Number => "a number",
            Self::Boolean => "true or false",
        })
    }
}

/// Type of a fault.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FaultKind {
    /// The text is not JSON.
    #[error("this is not JSON: {reason}")]
    Syntax {
        /// Message of the JSON parser, with line and column.
        reason: String,
    },
    /// An unknown field, or a list or an object in the wrong place.
    #[error("{reason}")]
    Shape {
        /// Message of the JSON parser.
        reason: String,
    },
    /// A value is missing.
    #[error("this is missing; give {expected}")]
    Missing {
        /// What belongs here.
        expected: ScalarKind,
    },
    /// A value has the wrong type.
    #[error("this is not {expected}")]
    WrongKind {
        /// What belongs here.
        expected: ScalarKind,
    },
    /// A number is out of range.
    #[error("this must lie between {least} and {most}")]
    OutOfRange {
        /// Smallest allowed number.
        least: f64,
        /// Largest allowed number.
        most: f64,
    },
    /// A name that is not valid in a URL, a header or a metric label.
    #[error(
        "a name has 1 to {most_bytes} lower-case letters, digits, `.`, `_` or `-`, and begins with \
         a letter or digit"
    )]
    Name {
        /// Maximum length of a name.
        most_bytes: usize,
    },
    /// A display text that is empty, too long or contains control characters.
    #[error("this must be 1 to {most_chars} printable characters")]
    Label {
        /// Maximum length of a display text.
        most_chars: usize,
    },
    /// A name that duplicates the name of an earlier entry of the list.
    #[error("the name is taken by {earlier}")]
    DuplicateName {
        /// Path of the earlier entry.
        earlier: FaultPath,
    },
    /// A reference that duplicates an earlier entry of the same list.
    #[error("this repeats {earlier}")]
    DuplicateReference {
        /// Path of the earlier entry.
        earlier: FaultPath,
    },
    /// A reference to a name that does not exist in its list.
    #[error("{list} has no entry of this name")]
    UnknownReference {
        /// The referenced list.
        list: &'static str,
    },
    /// An empty list where at least one entry is required.
    #[error("at least one entry is needed")]
    Empty,
    /// A list with more entries than available keys.
    #[error("at most {most} entries are allowed")]
    TooMany {
        /// Maximum number of entries.
        most: usize,
    },
    /// The two weights of the measure do not add up to 1.
    #[error("the two weights must add up to 1")]
    WeightsSum,
    /// A value that is not a SHA-256 hash.
    #[error("this must be the SHA-256 of the token, as 64 hexadecimal digits")]
    TokenHash,
    /// The SHA-256 hash of an empty token, which every request without a token would match.
    #[error("this is the SHA-256 of an empty token")]
    EmptyToken,
    /// A token that another team or operator already has.
    #[error("the token is that of {earlier}")]
    DuplicateToken {
        /// Path of the earlier occurrence of the token.
        earlier: FaultPath,
    },
    /// A pool whose host counts are all zero.
    #[error("the pool has no hosts in any failure domain")]
    NoHosts,
    /// A model that no engine pool serves.
    #[error("no pool serves this model")]
    UnservedModel,
    /// A deadline that is shorter than the target for the first token.
    #[error("the deadline must not be earlier than first_token_ms")]
    DeadlineBeforeFirstToken,
}

impl FaultKind {
    /// Returns the code of the kind, which is stable across releases.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Syntax { .. } => "syntax",
            Self::Shape { .. } => "shape",
            Self::Missing { .. } => "missing",
            Self::WrongKind { .. } => "wrong-kind",
            Self::OutOfRange { .. } => "out-of-range",
            Self::Name { .. } => "name",
            Self::Label { .. } => "label",
            Self::DuplicateName { .. } => "duplicate-name",
            Self::DuplicateReference { .. } => "duplicate-reference",
            Self::UnknownReference { .. } => "unknown-reference",
            Self::Empty => "empty",
            Self::TooMany { .. } => "too-many",
            Self::WeightsSum => "weights-sum",
            Self::TokenHash => "token-hash",
            Self::EmptyToken => "empty-token",
            Self::DuplicateToken { .. } => "duplicate-token",
            Self::NoHosts => "no-hosts",
            Self::UnservedModel => "unserved-model",
            Self::DeadlineBeforeFirstToken => "deadline-before-first-token",
        }
    }
}

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic)]
#[error("{path}: {kind}")]
pub struct Fault {
    /// Path of the invalid value.
    pub path: FaultPath,
    /// Type of the fault.
    pub kind: FaultKind,
}

/// All faults of a document; never empty.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic)]
#[error("the document has {} fault(s)", faults.len())]
#[diagnostic(
    code(teaselline::document),
    help("Correct each place that is listed; nothing of the document has been applied.")
)]
pub struct DocumentFaults {
    /// Faults in the order of detection.
    #[related]
    pub faults: Vec<Fault>,
}

impl DocumentFaults {
    /// Creates a list with one fault.
    #[must_use]
    pub fn one(path: FaultPath, kind: FaultKind) -> Self {
        let faults = vec![Fault { path, kind }];
        Self { faults }
    }
}
