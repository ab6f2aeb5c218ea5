use std::net::Ipv4Addr;

use tokio::net::TcpListener;

use super::*;
use crate::gateway::upstreams::tests::announced;
use crate::gateway::upstreams::{Change, UpstreamTable};

/// Keep-Alive time of the upstream, and until when a connection to it is kept.
const IDLE_TIMEOUT_MS: u64 = 1_700;
const KEPT_MS: u64 = IDLE_TIMEOUT_MS - IDLE_MARGIN_MS;

fn upstream() -> UpstreamKey {
    let mut table = UpstreamTable::default();
    let change = Change::Present(announced("e", "engines", "d"));
    let key = table.apply(change, false, TimeMs(1));
    key.expect("the upstream is new")
}

/// Opens a connection and waits until it takes a request.
async fn open(
    pool: &ConnectionPool,
    address: SocketAddr,
    may_repeat: bool,
    now: TimeMs,
) -> Connection {
    let opened = pool.open(upstream(), address, may_repeat, now).await;
    let mut connection = opened.expect("the upstream accepts connections");
    let ready = connection.sender.ready().await;
    ready.expect("the connection is open");
    connection
}

/// Guards against a call that is sent while its upstream closes the connection for idleness: one that was opened and put back
/// unused counted as idle from then on.
#[tokio::test]
async fn connection_that_is_put_back_unused_is_kept_no_longer() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let pool = ConnectionPool::default();
    let kept_at = TimeMs(1_000);
    let first = open(&pool, address, true, kept_at).await;
    assert!(!first.is_reused);
    pool.keep(upstream(), first.sender, Some(IDLE_TIMEOUT_MS), kept_at);
    let unused = open(&pool, address, true, kept_at.after(KEPT_MS - 1)).await;
    assert!(unused.is_reused);
    pool.put_back(upstream(), unused, kept_at.after(KEPT_MS - 1));
    let next = open(&pool, address, true, kept_at.after(KEPT_MS)).await;
    assert!(!next.is_reused, "the connection is kept beyond its time");
}

/// Guards against a call that may run once on a connection that was idle for too long for it and was put back unused.
#[tokio::test]
async fn connection_that_is_put_back_unused_stays_too_old_for_calls_that_may_run_once() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let pool = ConnectionPool::default();
    let kept_at = TimeMs(1_000);
    let late = kept_at.after(MAX_ONCE_IDLE_MS);
    let first = open(&pool, address, true, kept_at).await;
    pool.keep(upstream(), first.sender, None, kept_at);
    let unused = open(&pool, address, true, late).await;
    assert!(unused.is_reused);
    pool.put_back(upstream(), unused, late);
    assert!(!open(&pool, address, false, late).await.is_reused);
}
