//! What ends a connection between two nodes.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use hgw_net::{PeerLimits, Settings};
use hgw_node::{Action, Event};
use hgw_types::{NodeId, Offset};
use hgw_wire::peer::Message;
use support::peers::{dialer, heard, is_down};
use support::relay::{Relay, settings, start};
use support::wait_for;

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
