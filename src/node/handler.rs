//! Handles requests from other nodes.

use std::sync::Arc;

use super::Node;
use super::links::Fleet;
use super::messages::{Reply, Request};
use crate::keys::Incarnation;
use crate::peers::{Answer, Handler};
use crate::requests::answer::Answer as CoreAnswer;

/// Handles peers' requests to this node.
#[derive(Debug)]
pub(super) struct PeerHandler(pub Arc<Node>);

impl Handler for PeerHandler {
    type Protocol = Fleet;

    async fn handle(&self, _from: Incarnation, request: Request) -> Answer<Fleet> {
        let node = &self.0;
        match node.core.answer(request) {
            Ok(CoreAnswer::Reply(reply)) => Answer::Reply(reply),
            Ok(CoreAnswer::Stream(items)) => Answer::Stream(Reply::Stream, items),
            Err(Request::Newest { newer_than }) => {
                let held = node.configuration.followed().with(|fold| fold.snapshot());
                Answer::Reply(Reply::Newest(
                    held.filter(|held| held.revision > newer_than),
                ))
            }
            Err(Request::Claim(claim)) => {
                let claimed = node.claim_here(*claim).await;
                Answer::Reply(claimed.map_or(Reply::WrongNode, Reply::Claimed))
            }
            Err(Request::Configuration(snapshot)) => {
                node.adopt_configuration(&snapshot);
                Answer::Reply(Reply::Done)
            }
            Err(Request::Notices(notices)) => {
                node.apply_notices(&notices);
                Answer::Reply(Reply::Done)
            }
            Err(Request::Placement(report)) => {
                node.apply_placement_report(&report);
                Answer::Reply(Reply::Done)
            }
            Err(_) => Answer::Reply(Reply::WrongNode),
        }
    }
}
