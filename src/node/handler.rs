//! Answers the requests of other nodes.

use std::sync::Arc;

use super::Node;
use super::links::Fleet;
use super::messages::{Reply, Request};
use crate::keys::Incarnation;
use crate::peers::{Handler, HandlerResponse};
use crate::requests::answer::Answer as CoreAnswer;

/// The node, as peers see it.
#[derive(Debug)]
pub(super) struct PeerHandler(pub Arc<Node>);

impl Handler for PeerHandler {
    type Protocol = Fleet;

    async fn handle(&self, _from: Incarnation, request: Request) -> HandlerResponse<Fleet> {
        let node = &self.0;
        match node.core.answer(request) {
            Ok(CoreAnswer::Reply(reply)) => HandlerResponse::Reply(reply),
            Ok(CoreAnswer::Stream(items)) => HandlerResponse::Stream(Reply::Stream, items),
            Err(Request::Newest { than }) => {
                let held = node.configuration.fold().with(|fold| fold.snapshot());
                HandlerResponse::Reply(Reply::Newest(held.filter(|held| held.revision > than)))
            }
            Err(Request::Claim(ask)) => {
                let claimed = node.claim_here(*ask).await;
                HandlerResponse::Reply(claimed.map_or(Reply::WrongNode, Reply::Claimed))
            }
            Err(Request::Configuration(snapshot)) => {
                node.adopt_configuration(&snapshot);
                HandlerResponse::Reply(Reply::Done)
            }
            Err(Request::Notices(notices)) => {
                node.take_notices(&notices);
                HandlerResponse::Reply(Reply::Done)
            }
            Err(Request::Placement(news)) => {
                node.take_placement_news(&news);
                HandlerResponse::Reply(Reply::Done)
            }
            Err(_) => HandlerResponse::Reply(Reply::WrongNode),
        }
    }
}
