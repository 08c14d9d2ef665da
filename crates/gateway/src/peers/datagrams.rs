//! Datagrams between nodes, sent without an acknowledgement.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

use hgw_direct::aggregation::ReportScope;
use hgw_direct::in_flight::{EngineKey, InFlightUpdate};
use hgw_direct::unreachable::ReachabilityReport;
use hgw_direct::{
    BegunStream, CrashReport, EngineId, LimitState, Load, SendId, StartTime, broadcasts_sends,
};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::crashes;
use crate::meter;
use crate::shared::Node;

use super::{in_flight, limits, unreachable};

/// Larger than any datagram here, and small enough to be sent without fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Event at an engine, sent to other nodes.
///
/// Without these, several nodes choose the same idle engine at the same time, and the prompts queue
/// there. A lost datagram makes an engine look idle, or busy for at most two seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// A request with a prompt of this many tokens was sent.
    Sent(EngineId, StartTime, SendId, u32),
    /// The response begins, with the number of running and waiting requests if the engine reported
    /// them.
    #[serde(rename = "Answers")]
    ResponseStarted(EngineId, StartTime, SendId, Option<(u32, u32)>),
    /// The request ended without a response.
    Ended(EngineId, StartTime, SendId),
    /// The tokens of memory that a request holds at an engine; 0 once it has ended. Previous releases
    /// do not know it.
    Held(EngineId, StartTime, SendId, u32),
    /// In-flight requests of a node, a domain or all nodes.
    #[serde(rename = "Flights")]
    InFlight(ReportScope, InFlightUpdate),
    /// What the sender has seen of a request under which an engine ended.
    Crash(CrashReport),
    /// The same of a part of prompts, which releases before do not know.
    PartCrash(CrashReport),
    /// The limit that an engine named, or no longer names, in a response to the sender.
    EngineLimit(LimitState),
    /// The requests a second that an engine may have to reject before it fails, as it told the sender.
    EngineBrittle(LimitState),
    /// A brittle engine rejected a request of the sender.
    EngineRejected(EngineKey),
    /// An engine has said in a response to the sender that it leaves.
    EngineLeaving(EngineKey),
    /// A stream has begun at a software version.
    #[serde(rename = "Began")]
    StreamBegan(BegunStream),
    /// The sender cannot reach the engine.
    #[serde(rename = "Lost")]
    Unreachable(EngineKey),
    /// The engines are unreachable from this failure domain.
    #[serde(rename = "AllDark")]
    UnreachableFrom(Vec<EngineKey>, String),
    /// The engines are reachable again from this failure domain.
    #[serde(rename = "AllBack")]
    ReachableFrom(Vec<EngineKey>, String),
}

/// Hash by which two nodes compare the addresses that they know.
pub(super) fn digest(nodes: &[SocketAddr]) -> u64 {
    let mut hasher = DefaultHasher::new();
    nodes.hash(&mut hasher);
    hasher.finish()
}

/// UDP socket and addresses of the other nodes.
#[derive(Debug, Default)]
pub(crate) struct PeerSocket {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    peers: RefCell<Vec<SocketAddr>>,
}

impl PeerSocket {
    /// Replaces the known addresses.
    pub(crate) fn set_peers(&self, peers: Vec<SocketAddr>) {
        *self.peers.borrow_mut() = peers;
    }

    /// Adds an address. Returns the number of known addresses.
    pub(crate) fn add_peer(&self, peer: SocketAddr) -> usize {
        let mut peers = self.peers.borrow_mut();
        if !peers.contains(&peer) {
            peers.push(peer);
        }
        peers.len()
    }

    /// Number of known addresses without `own_addr`.
    pub(super) fn count_without(&self, own_addr: SocketAddr) -> usize {
        self.peers.borrow().iter().filter(|addr| **addr != own_addr).count()
    }

    pub(super) fn contains(&self, node: SocketAddr) -> bool {
        self.peers.borrow().contains(&node)
    }

    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        self.peers.borrow().clone()
    }

    pub(crate) fn digest(&self) -> u64 {
        digest(&self.peers.borrow())
    }

    /// Sends to all other nodes, unless there are too many to broadcast each request.
    pub(crate) fn broadcast(&self, node: &Node, datagram: &Datagram) {
        let nodes = node.state.borrow().nodes;
        let own_addr = node.settings.borrow().peer_addr;
        if broadcasts_sends(nodes) {
            let peers = self.peers.borrow();
            self.send_to(peers.iter().filter(|other| **other != own_addr), datagram);
        }
    }

    pub(super) fn send_to<'a>(
        &self,
        peers: impl Iterator<Item = &'a SocketAddr>,
        datagram: &Datagram,
    ) {
        let socket = self.socket.borrow();
        let Some(socket) = socket.as_ref() else { return };
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        ciborium::into_writer(datagram, &mut bytes).expect("a datagram is valid CBOR");
        for peer in peers {
            // A full send buffer loses the datagram, as the network may.
            if socket.try_send_to(&bytes, *peer).is_err() {
                meter::message_dropped();
            }
        }
    }
}

/// Receives datagrams until the process ends.
pub(crate) async fn receive(node: Node, socket: Rc<UdpSocket>) {
    *node.peer_socket.socket.borrow_mut() = Some(Rc::clone(&socket));
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        // An ICMP error of a stopped node is returned here; the socket remains usable.
        let Ok((length, from)) = socket.recv_from(&mut buf).await else { continue };
        match ciborium::from_reader(&buf[..length]) {
            Ok(Datagram::InFlight(scope, update)) => {
                in_flight::apply_report(&node, from, scope, &update)
            }
            Ok(Datagram::Unreachable(key)) => unreachable::handle_unreachable(&node, from, key),
            Ok(Datagram::UnreachableFrom(engines, domain)) => {
                let report = ReachabilityReport { engines, is_unreachable: true };
                unreachable::handle_hub_report(&node, from, report, &domain)
            }
            Ok(Datagram::ReachableFrom(engines, domain)) => {
                let report = ReachabilityReport { engines, is_unreachable: false };
                unreachable::handle_hub_report(&node, from, report, &domain)
            }
            Ok(Datagram::StreamBegan(stream)) => {
                node.streams.borrow_mut().record(stream, node.now());
            }
            Ok(Datagram::Crash(report) | Datagram::PartCrash(report)) => {
                // Anyone on the network can send one, and it can have a request refused.
                if node.peer_socket.contains(from) {
                    crashes::apply_broadcast(&node, report);
                }
            }
            Ok(
                news @ (Datagram::EngineLimit(_)
                | Datagram::EngineBrittle(_)
                | Datagram::EngineRejected(_)
                | Datagram::EngineLeaving(_)),
            ) => limits::handle_engine_news(&node, from, &news),
            Ok(datagram) => apply_request_event(&node, datagram),
            Err(_) => {}
        }
    }
}

fn apply_request_event(node: &Node, datagram: Datagram) {
    let now = node.now();
    let ends_prefill = !matches!(datagram, Datagram::Sent(..) | Datagram::Held(..));
    let mut state = node.state.borrow_mut();
    let engines = &mut state.engines;
    match datagram {
        Datagram::Sent(engine, start, id, tokens) => {
            let Some(engine) = engines.observe_start(&engine, start) else { return };
            engine.prefill_backlog.add_from_peer(id, tokens, now);
        }
        Datagram::ResponseStarted(engine, start, id, load) => {
            let Some(engine) = engines.observe_start(&engine, start) else { return };
            engine.prefill_backlog.finish(id, now);
            if let Some((running, waiting)) = load {
                engine.record_peer_load(
                    Load { running, waiting, slots: engine.info.slots, ..Load::default() },
                    now,
                );
            }
        }
        Datagram::Held(engine, start, id, tokens) => {
            let Some(engine) = engines.observe_start(&engine, start) else { return };
            engine.held_tokens.set_from_peer(id, tokens, now);
        }
        Datagram::InFlight(..)
        | Datagram::StreamBegan(_)
        | Datagram::Crash(_)
        | Datagram::PartCrash(_)
        | Datagram::EngineLimit(_)
        | Datagram::EngineBrittle(_)
        | Datagram::EngineRejected(_)
        | Datagram::EngineLeaving(_)
        | Datagram::Unreachable(_)
        | Datagram::UnreachableFrom(..)
        | Datagram::ReachableFrom(..) => {}
        Datagram::Ended(engine, start, id) => {
            let Some(engine) = engines.observe_start(&engine, start) else { return };
            engine.prefill_backlog.finish(id, now);
        }
    }
    drop(state);
    node.handle_restarts();
    if ends_prefill {
        node.room_queue.notify_room();
    }
}
