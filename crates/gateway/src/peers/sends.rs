//! What nodes tell each other of the requests that they send, at once and without an answer.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

use hgw_direct::aggregation::ReportScope;
use hgw_direct::in_flight::{EngineKey, InFlightUpdate};
use hgw_direct::{EngineId, Load, SendId, StartTime, broadcasts_sends};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::meter;
use crate::shared::Node;

use super::{dark, flights};

/// Bytes of a datagram: more than a word has, and no more than networks carry whole.
const MOST: usize = 1_400;

/// What became of a request at an engine.
///
/// Load: several nodes send to the same engine within a tenth of a second, each for want of knowing of the others, and
/// the prompts wait there together. A word takes a millisecond and some forty bytes. One that is lost
/// makes an engine look idle, or full for two seconds at the most.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Word {
    /// It was sent there, with a prompt of so many tokens.
    Sent(EngineId, StartTime, SendId, u32),
    /// Its answer begins, and says how many requests run and wait there.
    Answers(EngineId, StartTime, SendId, Option<(u32, u32)>),
    /// It has ended without an answer.
    Ended(EngineId, StartTime, SendId),
    /// What a node, a domain, or all together have at engines.
    Flights(ReportScope, InFlightUpdate),
    /// A node could not reach an engine.
    Lost(EngineKey),
    /// An engine cannot be reached from a domain.
    Dark(EngineKey, String),
    /// It can be again.
    Back(EngineKey, String),
}

/// The other nodes, and the socket by which they are told.
#[derive(Debug, Default)]
pub(crate) struct Sends {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    others: RefCell<Vec<SocketAddr>>,
}

impl Sends {
    /// All other nodes are at these addresses.
    pub(crate) fn know(&self, others: Vec<SocketAddr>) {
        *self.others.borrow_mut() = others;
    }

    /// A node is at this address, which may just have come; gives how many are known.
    pub(crate) fn meet(&self, other: SocketAddr) -> usize {
        let mut others = self.others.borrow_mut();
        if !others.contains(&other) {
            others.push(other);
        }
        others.len()
    }

    /// How many nodes but this one are known.
    pub(super) fn count_but(&self, me: SocketAddr) -> usize {
        self.others.borrow().iter().filter(|addr| **addr != me).count()
    }

    /// Whether a node is among them.
    pub(super) fn knows(&self, node: SocketAddr) -> bool {
        self.others.borrow().contains(&node)
    }

    /// The nodes' addresses.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        self.others.borrow().clone()
    }

    /// Tells whether two nodes know the same addresses.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.others.borrow().hash(&mut hasher);
        hasher.finish()
    }

    /// Tells the other nodes, where they are few.
    pub(crate) fn tell(&self, node: &Node, word: &Word) {
        let nodes = node.state.borrow().nodes;
        let me = node.settings.borrow().peers;
        if broadcasts_sends(nodes) {
            let others = self.others.borrow();
            self.tell_to(others.iter().filter(|other| **other != me), word);
        }
    }

    /// Tells these nodes.
    pub(super) fn tell_to<'a>(&self, others: impl Iterator<Item = &'a SocketAddr>, word: &Word) {
        let socket = self.socket.borrow();
        let Some(socket) = socket.as_ref() else { return };
        let mut bytes = Vec::with_capacity(MOST);
        ciborium::into_writer(word, &mut bytes).expect("a word can be written");
        for other in others {
            // Where the socket takes no more the word is lost, like one that is lost on its way.
            if socket.try_send_to(&bytes, *other).is_err() {
                meter::word_lost();
            }
        }
    }
}

/// Listens to other nodes until the process ends.
pub(crate) async fn listen(node: Node, socket: Rc<UdpSocket>) {
    *node.sends.socket.borrow_mut() = Some(Rc::clone(&socket));
    let mut buf = [0; MOST];
    loop {
        // A node that is gone shows as an error of the socket, which goes on.
        let Ok((length, from)) = socket.recv_from(&mut buf).await else { continue };
        match ciborium::from_reader(&buf[..length]) {
            Ok(Word::Flights(scope, told)) => flights::take_in(&node, from, scope, &told),
            Ok(Word::Lost(key)) => dark::take_in_lost(&node, from, key),
            Ok(Word::Dark(key, domain)) => dark::take_in_dark(&node, from, key, &domain, true),
            Ok(Word::Back(key, domain)) => dark::take_in_dark(&node, from, key, &domain, false),
            Ok(word) => take_in(&node, word),
            Err(_) => {}
        }
    }
}

fn take_in(node: &Node, word: Word) {
    let now = node.now();
    let reads_less = !matches!(word, Word::Sent(..));
    let mut state = node.state.borrow_mut();
    let engines = &mut state.engines;
    match word {
        Word::Sent(engine, start, id, tokens) => {
            let Some(engine) = engines.observe_start(&engine, start) else { return };
            engine.prefill_backlog.add_from_peer(id, tokens, now);
        }
        Word::Answers(engine, start, id, load) => {
            let Some(engine) = engines.observe_start(&engine, start) else { return };
            engine.prefill_backlog.finish(id, now);
            if let Some((running, waiting)) = load {
                engine.record_peer_load(Load { running, waiting, slots: engine.info.slots }, now);
            }
        }
        Word::Flights(..) | Word::Lost(_) | Word::Dark(..) | Word::Back(..) => {}
        Word::Ended(engine, start, id) => {
            let Some(engine) = engines.observe_start(&engine, start) else { return };
            engine.prefill_backlog.finish(id, now);
        }
    }
    drop(state);
    node.look_for_starts();
    if reads_less {
        node.turns.next.notify_waiters();
    }
}
