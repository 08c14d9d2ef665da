//! Datagrams between nodes, sent without an acknowledgement.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

use hgw_direct::flights::{EngineKey, Told};
use hgw_direct::sums::Scope;
use hgw_direct::{EngineId, Load, SendId, Start, tells_sends};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::meter;
use crate::shared::Node;

use super::{dark, flights};

/// Larger than any datagram here, and small enough to be sent without fragmentation.
const MOST: usize = 1_400;

/// Event at an engine, sent to other nodes.
///
/// Without these, several nodes choose the same idle engine at the same time, and the prompts queue
/// there. A lost datagram makes an engine look idle, or busy for at most two seconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Word {
    /// A request with a prompt of this many tokens was sent.
    Sent(EngineId, Start, SendId, u32),
    /// The response begins, with the number of running and waiting requests if the engine reported
    /// them.
    Answers(EngineId, Start, SendId, Option<(u32, u32)>),
    /// The request ended without a response.
    Ended(EngineId, Start, SendId),
    /// In-flight requests of a node, a domain or all nodes.
    Flights(Scope, Told),
    /// The sender cannot reach the engine.
    Lost(EngineKey),
    /// The engine is unreachable from this failure domain.
    Dark(EngineKey, String),
    /// The engine is reachable again from this failure domain.
    Back(EngineKey, String),
}

/// UDP socket and addresses of the other nodes.
#[derive(Debug, Default)]
pub(crate) struct Sends {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    others: RefCell<Vec<SocketAddr>>,
}

impl Sends {
    /// Replaces the known addresses.
    pub(crate) fn know(&self, peers: Vec<SocketAddr>) {
        *self.others.borrow_mut() = peers;
    }

    /// Adds an address. Returns the number of known addresses.
    pub(crate) fn meet(&self, peer: SocketAddr) -> usize {
        let mut peers = self.others.borrow_mut();
        if !peers.contains(&peer) {
            peers.push(peer);
        }
        peers.len()
    }

    /// Number of known addresses without `me`.
    pub(super) fn count_but(&self, own_addr: SocketAddr) -> usize {
        self.others.borrow().iter().filter(|addr| **addr != own_addr).count()
    }

    pub(super) fn knows(&self, node: SocketAddr) -> bool {
        self.others.borrow().contains(&node)
    }

    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        self.others.borrow().clone()
    }

    /// Hash by which two nodes compare their known addresses.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.others.borrow().hash(&mut hasher);
        hasher.finish()
    }

    /// Sends to all other nodes, unless there are too many to broadcast each request.
    pub(crate) fn tell(&self, node: &Node, datagram: &Word) {
        let nodes = node.state.borrow().nodes;
        let own_addr = node.settings.borrow().peers;
        if tells_sends(nodes) {
            let peers = self.others.borrow();
            self.tell_to(peers.iter().filter(|other| **other != own_addr), datagram);
        }
    }

    pub(super) fn tell_to<'a>(&self, peers: impl Iterator<Item = &'a SocketAddr>, datagram: &Word) {
        let socket = self.socket.borrow();
        let Some(socket) = socket.as_ref() else { return };
        let mut bytes = Vec::with_capacity(MOST);
        ciborium::into_writer(datagram, &mut bytes).expect("a datagram is valid CBOR");
        for peer in peers {
            // A full send buffer loses the datagram, as the network may.
            if socket.try_send_to(&bytes, *peer).is_err() {
                meter::word_lost();
            }
        }
    }
}

/// Receives datagrams until the process ends.
pub(crate) async fn listen(node: Node, socket: Rc<UdpSocket>) {
    *node.sends.socket.borrow_mut() = Some(Rc::clone(&socket));
    let mut buf = [0; MOST];
    loop {
        // An ICMP error of a stopped node is returned here; the socket remains usable.
        let Ok((length, from)) = socket.recv_from(&mut buf).await else { continue };
        match ciborium::from_reader(&buf[..length]) {
            Ok(Word::Flights(scope, told)) => flights::take_in(&node, from, scope, &told),
            Ok(Word::Lost(key)) => dark::take_in_lost(&node, from, key),
            Ok(Word::Dark(key, domain)) => dark::take_in_dark(&node, from, key, &domain, true),
            Ok(Word::Back(key, domain)) => dark::take_in_dark(&node, from, key, &domain, false),
            Ok(datagram) => take_in(&node, datagram),
            Err(_) => {}
        }
    }
}

fn take_in(node: &Node, datagram: Word) {
    let now = node.now();
    let ends_prefill = !matches!(datagram, Word::Sent(..));
    let mut state = node.state.borrow_mut();
    let engines = &mut state.engines;
    match datagram {
        Word::Sent(engine, start, id, tokens) => {
            let Some(engine) = engines.meet(&engine, start) else { return };
            engine.unread.told(id, tokens, now);
        }
        Word::Answers(engine, start, id, load) => {
            let Some(engine) = engines.meet(&engine, start) else { return };
            engine.unread.read(id, now);
            if let Some((running, waiting)) = load {
                engine.hear(Load { running, waiting, slots: engine.listed.slots }, now);
            }
        }
        Word::Flights(..) | Word::Lost(_) | Word::Dark(..) | Word::Back(..) => {}
        Word::Ended(engine, start, id) => {
            let Some(engine) = engines.meet(&engine, start) else { return };
            engine.unread.read(id, now);
        }
    }
    drop(state);
    node.handle_restarts();
    if ends_prefill {
        node.turns.next.notify_waiters();
    }
}
