//! Connections between nodes: who gets in, which one is kept, and what ends them.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hgw_net::{PeerLimits, Running, Settings};
use hgw_node::{Action, Event};
use hgw_types::{NodeId, Offset};
use hgw_wire::peer::{Frame, Hello, Message, PROTOCOL};
use support::relay::{Relay, settings, start};
use support::wait_for;
use tokio_tungstenite::tungstenite::Message as Payload;

/// A node that connects to `to` when it is told to stop, and says something at once.
fn dialer(settings: Settings, to: &str, addr: String) -> (Running, mpsc::Receiver<Event>) {
    let (mut relay, seen) = Relay::new("");
    let peer: NodeId = to.parse().unwrap();
    relay.hook = Box::new(move |event, out| {
        if matches!(event, Event::Stop) {
            out.push(Action::Connect { peer: peer.clone(), addr: addr.clone() });
            out.push(say(&peer, 1));
        }
        matches!(event, Event::Stop)
    });
    (start(settings, relay), seen)
}

fn say(to: &NodeId, have: u64) -> Action {
    let message = Message::AskConfig { have: Offset(have) };
    Action::Send { to: to.clone(), message: Box::new(message) }
}

fn is_down(event: Event) -> Option<NodeId> {
    match event {
        Event::PeerDown { peer } => Some(peer),
        Event::PeerUp { peer, .. } => panic!("{peer} got in"),
        _ => None,
    }
}

fn heard(event: Event) -> Option<u64> {
    match event {
        Event::Message { message, .. } => match *message {
            Message::AskConfig { have } => Some(have.0),
            _ => None,
        },
        _ => None,
    }
}

#[test]
fn a_node_with_another_secret_does_not_get_in() {
    // Two nodes have different secrets. The dialer finds the listener's proof wrong and closes;
    // neither machine hears of a peer, and the message that waited is not sent.
    let (listener, seen) = Relay::new("");
    let listener = start(settings("b"), listener);
    let other = Settings { secret: "another".into(), ..settings("a") };
    let (node, events) = dialer(other, "b", listener.addrs().peers.to_string());
    node.stop();
    assert_eq!(wait_for(&events, is_down).as_str(), "b");
    node.kill();
    listener.kill();
    listener.wait();
    assert!(seen.iter().all(|event| is_down(event).is_none()));
}

#[test]
fn a_node_that_is_not_the_one_expected_does_not_get_messages() {
    // An address has passed to another node of the system. What was meant for the first one must
    // not reach the second: the dialer closes and hears that its peer is down.
    let (listener, seen) = Relay::new("");
    let listener = start(settings("c"), listener);
    let (node, events) = dialer(settings("a"), "b", listener.addrs().peers.to_string());
    node.stop();
    assert_eq!(wait_for(&events, is_down).as_str(), "b");
    node.kill();
    listener.kill();
    listener.wait();
    assert!(seen.iter().all(|event| heard(event).is_none()));
}

/// A stranger at the peers' listener that sends `frames`, and what it gets until it is cut off.
fn stranger(addr: SocketAddr, frames: Vec<Frame>) -> Vec<Frame> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    rt.block_on(async {
        let tcp = tokio::net::TcpStream::connect(addr).await.unwrap();
        let opened = tokio_tungstenite::client_async(format!("ws://{addr}/"), tcp).await;
        let (mut socket, _) = opened.unwrap();
        for frame in frames {
            let mut buf = Vec::new();
            ciborium::into_writer(&frame, &mut buf).unwrap();
            // The node may have closed already.
            let _ = socket.send(Payload::Binary(buf.into())).await;
        }
        let mut got = Vec::new();
        while let Some(Ok(payload)) = socket.next().await {
            if let Payload::Binary(bytes) = payload {
                got.push(ciborium::from_reader(&bytes[..]).unwrap());
            }
        }
        got
    })
}

fn hello(protocol: u32, proof: Bytes) -> Frame {
    Frame::Hello(Hello {
        protocol,
        node: "x".parse().unwrap(),
        domain: "d".parse().unwrap(),
        addr: "127.0.0.1:1".into(),
        nonce: vec![1; 32].into(),
        proof,
    })
}

/// What a stranger sends, and how many frames it gets before it is cut off.
fn check_stranger(frames: Vec<Frame>, answers: usize) {
    let (relay, seen) = Relay::new("");
    let limits = PeerLimits { handshake: Duration::from_millis(300), ..PeerLimits::default() };
    let node = start(Settings { peer: limits, ..settings("n") }, relay);
    let got = stranger(node.addrs().peers, frames);
    assert_eq!(got.len(), answers, "{got:?}");
    node.kill();
    node.wait();
    assert!(
        seen.iter().all(|event| !matches!(event, Event::PeerUp { .. } | Event::Message { .. }))
    );
}

fn message() -> Frame {
    Frame::Message(Box::new(Message::Leaving))
}

support::cases! {
    check_stranger:
    a_stranger_that_says_nothing(vec![], 0);
    a_stranger_without_a_hello(vec![message()], 0);
    a_stranger_with_another_protocol(vec![hello(PROTOCOL + 1, Bytes::new())], 0);
    a_stranger_with_a_wrong_proof(
        vec![hello(PROTOCOL, Bytes::new()), hello(PROTOCOL, vec![7; 32].into()), message()], 1,
    );
    a_stranger_with_a_short_proof(
        vec![hello(PROTOCOL, Bytes::new()), hello(PROTOCOL, Bytes::new()), message()], 1,
    );
    a_stranger_with_a_huge_hello(vec![hello(PROTOCOL, vec![7; 1 << 20].into())], 0);
}

#[test]
fn a_proof_sent_back_to_its_maker_is_refused() {
    // A stranger without the secret plays the node's own proof back to it. Proofs name the side
    // that made them, so the stranger does not get in.
    let (relay, seen) = Relay::new("");
    let node = start(settings("n"), relay);
    let addr = node.addrs().peers;
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    rt.block_on(async {
        let tcp = tokio::net::TcpStream::connect(addr).await.unwrap();
        let opened = tokio_tungstenite::client_async(format!("ws://{addr}/"), tcp).await;
        let (mut socket, _) = opened.unwrap();
        let mut buf = Vec::new();
        ciborium::into_writer(&hello(PROTOCOL, Bytes::new()), &mut buf).unwrap();
        socket.send(Payload::Binary(buf.into())).await.unwrap();
        let Some(Ok(Payload::Binary(theirs))) = socket.next().await else { panic!("no hello") };
        let Ok(Frame::Hello(theirs)) = ciborium::from_reader(&theirs[..]) else {
            panic!("no hello")
        };
        let mut buf = Vec::new();
        let Frame::Hello(mine) = hello(PROTOCOL, theirs.proof) else { unreachable!() };
        ciborium::into_writer(&Frame::Hello(Hello { node: theirs.node, ..mine }), &mut buf)
            .unwrap();
        socket.send(Payload::Binary(buf.into())).await.unwrap();
        while let Some(Ok(payload)) = socket.next().await {
            assert!(!matches!(payload, Payload::Binary(_)), "the stranger got in");
        }
    });
    node.kill();
    node.wait();
    assert!(seen.iter().all(|event| !matches!(event, Event::PeerUp { .. })));
}

#[test]
fn two_nodes_that_dial_each_other_keep_one_connection() {
    // Both nodes dial at once, many times over. Each pair of connections must shrink to one, kept
    // by both sides: a message sent at once, over whichever connection, arrives once.
    for round in 0..20 {
        let a = hgw_net::bind(settings("a")).unwrap();
        let b = hgw_net::bind(settings("b")).unwrap();
        let (a_addr, b_addr) = (a.advertised(), b.advertised());
        let (a, a_seen) = both(a, "b", b_addr);
        let (b, b_seen) = both(b, "a", a_addr);
        a.stop();
        b.stop();
        assert_eq!(wait_for(&a_seen, heard), 1, "round {round}");
        assert_eq!(wait_for(&b_seen, heard), 1, "round {round}");
        a.kill();
        b.kill();
        let (_, _) = (a.wait(), b.wait());
        for seen in [a_seen, b_seen] {
            let rest = seen.iter().filter_map(heard).count();
            assert_eq!(rest, 0, "round {round}: a message came twice");
        }
    }
}

fn both(node: hgw_net::Bound, to: &str, addr: String) -> (Running, mpsc::Receiver<Event>) {
    let (mut relay, seen) = Relay::new("");
    let peer: NodeId = to.parse().unwrap();
    relay.hook = Box::new(move |event, out| {
        if matches!(event, Event::Stop) {
            out.push(Action::Connect { peer: peer.clone(), addr: addr.clone() });
            out.push(say(&peer, 1));
        }
        matches!(event, Event::Stop)
    });
    (node.start(Box::new(relay)).unwrap(), seen)
}

/// Forwards connections to `to` until told to stop, without closing them.
struct Proxy {
    addr: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl Proxy {
    fn new(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let silent = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&silent);
        thread::spawn(move || {
            for from in listener.incoming() {
                let (from, to) = (from.unwrap(), TcpStream::connect(to).unwrap());
                let (flag, other) = (Arc::clone(&flag), Arc::clone(&flag));
                let (back_from, back_to) = (to.try_clone().unwrap(), from.try_clone().unwrap());
                thread::spawn(move || forward(from, to, &flag));
                thread::spawn(move || forward(back_from, back_to, &other));
            }
        });
        Proxy { addr, silent }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buf = [0; 4096];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
        if !silent.load(Ordering::Relaxed) && to.write_all(&buf[..n]).is_err() {
            return;
        }
    }
}

#[test]
fn a_silent_connection_between_nodes_is_closed_and_reported() {
    // Something between two nodes loses track of their connection: both ends see it open, and
    // nothing passes. The pings find it; the machine hears that the peer is down and may dial anew,
    // over which messages pass again.
    let limits = PeerLimits {
        ping_busy: Duration::from_millis(50),
        ping_idle: Duration::from_millis(100),
        silence: Duration::from_millis(200),
        ..PeerLimits::default()
    };
    let (listener, seen) = Relay::new("");
    let listener = start(settings("b"), listener);
    let proxy = Proxy::new(listener.addrs().peers);
    let own = Settings { peer: limits, ..settings("a") };
    let (node, events) = dialer(own, "b", proxy.addr.to_string());
    node.stop();
    assert_eq!(wait_for(&seen, heard), 1);
    wait_for(&events, |event| matches!(event, Event::PeerUp { .. }).then_some(()));
    proxy.silent.store(true, Ordering::Relaxed);
    assert_eq!(wait_for(&events, is_down).as_str(), "b");
    proxy.silent.store(false, Ordering::Relaxed);
    node.stop();
    assert_eq!(wait_for(&seen, heard), 1);
    node.kill();
    listener.kill();
}

#[test]
fn a_frame_over_the_limit_costs_the_connection() {
    // A peer that knows the secret sends a frame larger than this node takes. The node closes the
    // connection before it has read the frame; its memory stays bounded, and both sides hear of it.
    let (listener, seen) = Relay::new("");
    let limits = PeerLimits { frame: 4096, ..PeerLimits::default() };
    let listener = start(Settings { peer: limits, ..settings("b") }, listener);
    let (mut relay, events) = Relay::new("");
    let (peer, addr): (NodeId, _) = ("b".parse().unwrap(), listener.addrs().peers.to_string());
    relay.hook = Box::new(move |event, out| {
        if matches!(event, Event::Stop) {
            let document = vec![b'x'; 100_000].into();
            let message = Message::Config { version: Offset(1), document };
            out.push(Action::Connect { peer: peer.clone(), addr: addr.clone() });
            out.push(Action::Send { to: peer.clone(), message: Box::new(message) });
        }
        matches!(event, Event::Stop)
    });
    let node = start(settings("a"), relay);
    node.stop();
    let is_end = |event: Event| match event {
        Event::Message { .. } => panic!("the frame was taken"),
        Event::PeerDown { peer } => Some(peer),
        _ => None,
    };
    assert_eq!(wait_for(&seen, is_end).as_str(), "a");
    assert_eq!(wait_for(&events, is_end).as_str(), "b");
    node.kill();
    listener.kill();
}

#[test]
fn a_connection_is_reported_to_both_sides_and_closed_on_request() {
    let (listener, seen) = Relay::new("");
    let listener = start(settings("b"), listener);
    let (mut relay, events) = Relay::new("");
    let (peer, addr): (NodeId, _) = ("b".parse().unwrap(), listener.addrs().peers.to_string());
    relay.hook = Box::new(move |event, out| {
        match event {
            Event::Stop => out.push(Action::Connect { peer: peer.clone(), addr: addr.clone() }),
            Event::PeerUp { peer, .. } => out.push(Action::Disconnect { peer: peer.clone() }),
            _ => return false,
        }
        true
    });
    let node = start(settings("a"), relay);
    node.stop();
    let up = |event| match event {
        Event::PeerUp { peer, domain, addr } => Some(format!("{peer} {domain} {addr}")),
        _ => None,
    };
    let (a, b) = (node.addrs().peers, listener.addrs().peers);
    assert_eq!(wait_for(&events, up), format!("b domain {b}"));
    assert_eq!(wait_for(&seen, up), format!("a domain {a}"));
    assert_eq!(wait_for(&events, is_down).as_str(), "b");
    assert_eq!(wait_for(&seen, is_down).as_str(), "a");
    node.kill();
    listener.kill();
}
