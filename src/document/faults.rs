//! What can be wrong with a document, and where.

use std::fmt;

use miette::Diagnostic;
use thiserror::Error;

/// A place in the document, such as `teams[2].weight`; empty for the whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FaultPath(String);

impl FaultPath {
    /// The whole document.
    #[must_use]
    pub fn root() -> Self {
        Self::default()
    }

    /// A field of this place.
    #[must_use]
    pub fn field(&self, name: &str) -> Self {
        match self.0.as_str() {
            "" => Self(name.to_owned()),
            parent => Self(format!("{parent}.{name}")),
        }
    }

    /// An entry of this list, counted from 0.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        Self(format!("{}[{index}]", self.0))
    }

    /// The path as text.
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

/// A kind of single value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScalarKind {
    /// A text.
    Text,
    /// A whole number.
    Integer,
    /// Any number.
    Number,
    /// True or false.
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

/// What is wrong at one place.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FaultKind {
    /// The text is not JSON.
    #[error("this is not JSON: {reason}")]
    Syntax {
        /// What the JSON parser says, with line and column.
        reason: String,
    },
    /// A field that no document has, or a list or object in the wrong place.
    #[error("{reason}")]
    Shape {
        /// What the JSON parser says.
        reason: String,
    },
    /// A value is not there.
    #[error("this is missing; give {expected}")]
    Missing {
        /// What belongs here.
        expected: ScalarKind,
    },
    /// A value is of another kind.
    #[error("this is not {expected}")]
    WrongKind {
        /// What belongs here.
        expected: ScalarKind,
    },
    /// A number is too small or too large.
    #[error("this must lie between {least} and {most}")]
    OutOfRange {
        /// The smallest number allowed.
        least: f64,
        /// The largest number allowed.
        most: f64,
    },
    /// A name that a URL, a header or a metric could not carry.
    #[error(
        "a name has 1 to {most_bytes} lower-case letters, digits, `.`, `_` or `-`, and begins with \
         a letter or digit"
    )]
    Name {
        /// The longest name allowed.
        most_bytes: usize,
    },
    /// A text for people that is empty, too long or holds control characters.
    #[error("this must be 1 to {most_chars} printable characters")]
    Label {
        /// The longest text allowed.
        most_chars: usize,
    },
    /// A name that an earlier entry of the list has.
    #[error("the name is taken by {earlier}")]
    DuplicateName {
        /// The entry that has it.
        earlier: FaultPath,
    },
    /// A reference that an earlier entry of the same list has.
    #[error("this repeats {earlier}")]
    DuplicateReference {
        /// The entry that has it.
        earlier: FaultPath,
    },
    /// A name that its list does not hold.
    #[error("{list} has no entry of this name")]
    UnknownReference {
        /// The list that is searched.
        list: &'static str,
    },
    /// A list that must not be empty.
    #[error("at least one entry is needed")]
    Empty,
    /// A list with more entries than keys.
    #[error("at most {most} entries are allowed")]
    TooMany {
        /// The longest list allowed.
        most: usize,
    },
    /// The two weights of the measure do not add up.
    #[error("the two weights must add up to 1")]
    WeightsSum,
    /// Not a SHA-256.
    #[error("this must be the SHA-256 of the token, as 64 hexadecimal digits")]
    TokenHash,
    /// The SHA-256 of an empty token, which every request without a token would match.
    #[error("this is the SHA-256 of an empty token")]
    EmptyToken,
    /// One token for two teams or operators.
    #[error("the token is that of {earlier}")]
    DuplicateToken {
        /// The place of the same token.
        earlier: FaultPath,
    },
    /// A pool whose counts are all zero.
    #[error("the pool has no hosts in any failure domain")]
    NoHosts,
    /// A model that no pool of engines serves.
    #[error("no pool serves this model")]
    UnservedModel,
    /// A deadline that ends before the first token is due.
    #[error("the deadline must not be earlier than first_token_ms")]
    DeadlineBeforeFirstToken,
}

impl FaultKind {
    /// A short word for the kind, stable over releases.
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

/// One thing that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic)]
#[error("{path}: {kind}")]
pub struct Fault {
    /// Where.
    pub path: FaultPath,
    /// What.
    pub kind: FaultKind,
}

/// Everything that is wrong with a document; never empty.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic)]
#[error("the document has {} fault(s)", faults.len())]
#[diagnostic(
    code(teaselline::document),
    help("Correct each place that is listed; nothing of the document has been applied.")
)]
pub struct DocumentFaults {
    /// The faults, in the order in which they were found.
    #[related]
    pub faults: Vec<Fault>,
}

impl DocumentFaults {
    /// A list of one.
    #[must_use]
    pub fn one(path: FaultPath, kind: FaultKind) -> Self {
        let faults = vec![Fault { path, kind }];
        Self { faults }
    }
}
