//! Tests of two nodes on real UDP sockets.

use std::sync::Arc;

use super::*;
use crate::keys::Incarnation;
use crate::membership::{Member, MemberState, Settings};
use crate::peers::FleetKey;

struct Node {
    incarnation: Incarnation,
    membership: Arc<Membership>,
    shutdown: CancellationToken,
    done: tokio::task::JoinHandle<io::Result<()>>,
}

async fn start(number: u64, seeds: Vec<std::net::SocketAddr>) -> (Node, std::net::SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let incarnation = Incarnation(number);
    let own = Member {
        incarnation,
        name: format!("entry-{number}"),
        caller_address: address,
        peer_address: address,
        heartbeat_address: address,
        domain_name: "hala-a".to_owned(),
        region: "bratislava".to_owned(),
        state: MemberState::Alive,
        load: MemberLoad::default(),
        version: 0,
    };
    let key = FleetKey::try_from(b"a key for tests, only".as_slice()).unwrap();
    let settings = Settings {
        interval_ms: 20,
        ..Settings::default()
    };
    let view = View::new(own, seeds, key, settings).unwrap();
    let membership = Arc::new(Membership::new(view, Clock::new()));
    let shutdown = CancellationToken::new();
    let running = Arc::clone(&membership);
    let until = shutdown.clone();
    let load = || MemberLoad {
        open_streams: 42,
        ..MemberLoad::default()
    };
    let done = tokio::spawn(async move { running.run(socket, load, |_| {}, until).await });
    let node = Node {
        incarnation,
        membership,
        shutdown,
        done,
    };
    (node, address)
}

async fn eventually(condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let bounded = tokio::time::timeout(Duration::from_secs(20), polling);
    bounded
        .await
        .expect("the condition does not hold within 20 s");
}

fn sees(node: &Node, other: &Node, state: MemberState) -> bool {
    let seen = |view: &mut View| view.get(other.incarnation).cloned();
    let seen = node.membership.with_view(seen);
    seen.is_some_and(|seen| seen.state == state && seen.load.open_streams == 42)
}

#[tokio::test]
async fn join_leave_and_end_reach_the_other_node() {
    let (first, address) = start(1, Vec::new()).await;
    let (mut second, _) = start(2, vec![address]).await;
    eventually(|| sees(&first, &second, MemberState::Alive)).await;
    eventually(|| sees(&second, &first, MemberState::Alive)).await;
    second.membership.leave();
    eventually(|| sees(&first, &second, MemberState::Leaving)).await;
    second.shutdown.cancel();
    (&mut second.done).await.unwrap().unwrap();
    eventually(|| sees(&first, &second, MemberState::Gone)).await;
    first.shutdown.cancel();
    first.done.await.unwrap().unwrap();
}
