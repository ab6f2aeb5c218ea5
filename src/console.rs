//! The operators' console of forms.
//!
//! All of it is pure: [`respond::respond`] takes a request and a view of the state and gives a
//! page, or a proposal that the node has to put before the log; [`respond::conclude`] turns the
//! log's verdict into a page. Nothing is kept between requests, so that every node can answer any
//! of them: what an operator has typed travels in the form, and a session in a signed cookie.

pub mod difference;
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
pub use respond::{Proposal, Reply, Request, Route, Verdict, View, conclude, respond};
pub use session::Session;
pub use trail::TrailRow;
