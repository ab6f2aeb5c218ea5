//! The operators' web console: HTML pages and forms, without scripts.
//!
//! The module does no I/O. [`respond::respond`] takes a request and a view of the state and returns
//! either a page or a proposal that the node submits to the log; [`respond::outcome_response`] turns the
//! outcome of the proposal into a page. The server keeps no state between requests, so that every
//! node can answer any request: the form carries the operator's input, and a signed cookie the
//! session.

pub mod document_diff;
pub mod editor;
mod fields;
pub mod form;
mod html;
pub mod live;
pub mod page;
pub mod respond;
pub mod session;
pub mod trail;

pub use live::LiveView;
pub use page::Response;
pub use respond::{
    Proposal, ProposalOutcome, Reply, Request, Route, View, outcome_response, respond,
};
pub use session::Session;
pub use trail::TrailRow;
