//! The proxy's faults.

use std::time::Duration;

use teaselline_stand_ins::{
    Service, ServiceSettings,
    proxy::{ProxySettings, TcpProxy, UdpProxy},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};

use crate::client::call;

const A_WHILE: Duration = Duration::from_millis(60);

// Symptom: a call took effect, but its caller waits for ever. Sequence: the way back falls silent,
// the call arrives and runs, the answer does not. Cause: the connection is half open.
#[tokio::test]
async fn a_half_open_connection_carries_calls_but_no_answers() {
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let proxy = TcpProxy::start(ProxySettings::new(service.address()))
        .await
        .unwrap();
    proxy.change(|knobs| knobs.to_caller.silent = true);
    let mut answer = std::pin::pin!(call(proxy.address(), "POST", "/x", "body"));
    timeout(A_WHILE, &mut answer).await.unwrap_err();
    assert_eq!(service.executions().len(), 1);
    proxy.change(|knobs| knobs.to_caller.silent = false);
    assert_eq!(answer.await.unwrap().status, 200);
}

#[tokio::test]
async fn a_cut_resets_both_ends_and_a_refusal_new_connections() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = TcpProxy::start(ProxySettings::new(target.local_addr().unwrap()))
        .await
        .unwrap();
    let mut caller = TcpStream::connect(proxy.address()).await.unwrap();
    caller.write_all(b"x").await.unwrap();
    let (mut accepted, _) = target.accept().await.unwrap();
    assert_eq!(accepted.read_u8().await.unwrap(), b'x');
    proxy.cut();
    for socket in [&mut caller, &mut accepted] {
        assert_eq!(
            socket.read_u8().await.unwrap_err().kind(),
            std::io::ErrorKind::ConnectionReset
        );
    }
    proxy.change(|knobs| knobs.refuse = true);
    assert!(call(proxy.address(), "GET", "/healthz", "").await.is_none());
}

#[tokio::test]
async fn a_delay_holds_bytes_back_and_random_cuts_follow_the_seed() {
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let proxy = TcpProxy::start(ProxySettings::new(service.address()))
        .await
        .unwrap();
    proxy.change(|knobs| knobs.to_target.delay_ms = 600_000);
    let held = timeout(A_WHILE, call(proxy.address(), "GET", "/healthz", "")).await;
    assert!(held.is_err() && service.executions().is_empty());
    let mut runs = Vec::new();
    for _ in 0..2 {
        let proxy = TcpProxy::start(ProxySettings::new(service.address()))
            .await
            .unwrap();
        proxy.change(|knobs| knobs.to_target.cut_probability = 0.5);
        let mut arrived = Vec::new();
        for _ in 0..12 {
            arrived.push(call(proxy.address(), "GET", "/healthz", "").await.is_some());
        }
        assert!(arrived.contains(&true) && arrived.contains(&false));
        runs.push(arrived);
    }
    assert_eq!(runs[0], runs[1]);
}

#[tokio::test]
async fn datagrams_are_carried_or_lost() {
    let target = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let settings = ProxySettings::new(target.local_addr().unwrap());
    let proxy = UdpProxy::start(settings).await.unwrap();
    let caller = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut buffer = [0; 8];
    caller.send_to(b"ping", proxy.address()).await.unwrap();
    let (length, from) = target.recv_from(&mut buffer).await.unwrap();
    assert_eq!(&buffer[..length], b"ping");
    target.send_to(b"pong", from).await.unwrap();
    let (length, from) = caller.recv_from(&mut buffer).await.unwrap();
    assert_eq!((&buffer[..length], from), (&b"pong"[..], proxy.address()));
    proxy.change(|knobs| knobs.to_target.drop_probability = 1.0);
    caller.send_to(b"lost", proxy.address()).await.unwrap();
    timeout(A_WHILE, target.recv_from(&mut buffer))
        .await
        .unwrap_err();
}
