//! Handles requests from other nodes.

use std::sync::Arc;

use super::Node;
use super::dependencies::PeerProtocol;
use super::messages::{Reply, Request};
use crate::keys::Incarnation;
use crate::peers::{Handler, HandlerResponse};
use crate::requests::peer_requests::Answer as CoreAnswer;

/// Handles peers' requests to this node.
#[derive(Debug)]
pub(super) struct PeerHandler(pub Arc<Node>);

impl Handler for PeerHandler {
    type Protocol = PeerProtocol;

    async fn handle(&self, _from: Incarnation, request: Request) -> HandlerResponse<PeerProtocol> {
        let node = &self.0;
        match node.core.answer(request) {
            Ok(CoreAnswer::Reply(reply)) => HandlerResponse::Reply(reply),
            Ok(CoreAnswer::Stream(items)) => HandlerResponse::Stream(Reply::Stream, items),
            Err(Request::Newest { newer_than }) => {
                let held = node.configuration.fold().with(|fold| fold.snapshot());
                HandlerResponse::Reply(Reply::Newest(
                    held.filter(|held| held.revision > newer_than),
                ))
            }
            Err(Request::Claim(claim)) => {
                let claimed = node.claim_here(*claim).await;
                HandlerResponse::Reply(claimed.map_or(Reply::WrongNode, Reply::Claimed))
            }
            Err(Request::Configuration(snapshot)) => {
                node.adopt_configuration(&snapshot);
                HandlerResponse::Reply(Reply::Done)
            }
            Err(Request::Notices(notices)) => {
                node.apply_notices(&notices);
                HandlerResponse::Reply(Reply::Done)
            }
            Err(Request::Placement(report)) => {
                node.apply_placement_report(&report);
                HandlerResponse::Reply(Reply::Done)
            }
            Err(_) => HandlerResponse::Reply(Reply::WrongNode),
        }
    }
}
