//! Connections between nodes: who gets in, which one is kept, and what ends them.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hgw_net::{PeerLimits, Running, Settings};
use hgw_node::{Action, Event};
use hgw_types::NodeId;
use hgw_wire::peer::{Frame, Hello, Message, PROTOCOL};
use support::peers::{dialer, heard, is_down, say};
use support::relay::{Relay, settings, start};
use support::{HANG, wait_for};
use tokio_tungstenite::tungstenite::Message as Payload;

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

#[test]
fn a_dial_that_cannot_get_through_gives_way() {
    // One node dials an address that takes connections and says nothing, as after a VM was
    // replaced. The other node, whose id is higher and whose dial would lose a race, dials it the
    // right way meanwhile: that connection is kept, and what waited for the first one goes over it.
    let mute = TcpListener::bind("127.0.0.1:0").unwrap();
    let limits = PeerLimits { handshake: HANG, ..PeerLimits::default() };
    let own = Settings { peer: limits, ..settings("a") };
    let (a, a_seen) = dialer(own, "b", mute.local_addr().unwrap().to_string());
    let (b, b_seen) = dialer(settings("b"), "a", a.addrs().peers.to_string());
    a.stop();
    // The first tries come while the two dials may still be taken to cross.
    b.stop();
    while is_up_within(&b_seen).is_none() {
        b.stop();
    }
    assert_eq!(wait_for(&b_seen, heard), 1);
    wait_for(&a_seen, |event| matches!(event, Event::PeerUp { .. }).then_some(()));
    a.kill();
    b.kill();
}

/// Whether the peer comes up before it is reported as down.
fn is_up_within(seen: &mpsc::Receiver<Event>) -> Option<()> {
    wait_for(seen, |event| match event {
        Event::PeerUp { .. } => Some(Some(())),
        Event::PeerDown { .. } => Some(None),
        _ => None,
    })
}
