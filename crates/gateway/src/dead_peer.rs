//! Ends connections whose peers are dead.
//!
//! The kernel's user timeout also ends the connection of a live peer that reads nothing for as long: it does not count
//! that the peer acknowledges the probes of its closed window. So this node looks itself, where the kernel tells.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::PeerSilence;
use hgw_events::{Event, emit};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::meter;
use crate::shared::Node;
use crate::tcp_diagnostics::ConnectionAddrs;

/// Silence after which a peer counts as dead: without it, one that has become unreachable would be served
/// until its request ends.
pub(crate) const DEAD_CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between two looks at a connection.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the peer of one connection.
pub(crate) struct PeerWatch {
    node: Node,
    /// None where the kernel does not tell: there the user timeout of the socket remains.
    addrs: Option<ConnectionAddrs>,
}

impl PeerWatch {
    pub(crate) fn new(node: &Node, stream: &TcpStream) -> PeerWatch {
        let addrs = ConnectionAddrs::of(stream).ok();
        let addrs = addrs.filter(|addrs| node.tcp_diagnostics.contact(*addrs).is_some());
        // Without the user timeout, keep-alive probes end a connection on which nothing is left to send.
        let addrs = addrs.filter(|_| SockRef::from(stream).set_tcp_user_timeout(None).is_ok());
        PeerWatch { node: Rc::clone(node), addrs }
    }

    /// Serves the connection until that ends or its peer is dead.
    pub(crate) async fn serve(self, serving: impl Future<Output = ()>) {
        let Some(addrs) = self.addrs else { return serving.await };
        tokio::select! {
            () = serving => {}
            () = until_dead(&self.node, addrs) => log_dead(&self.node, addrs),
        }
    }
}

async fn until_dead(node: &Node, addrs: ConnectionAddrs) {
    let mut silence = PeerSilence::default();
    loop {
        sleep(LOOK_INTERVAL).await;
        let contact = node.tcp_diagnostics.contact(addrs);
        if contact.is_some_and(|seen| silence.record(seen, DEAD_CALLER_TIMEOUT, node.now())) {
            return;
        }
    }
}

fn log_dead(node: &Node, addrs: ConnectionAddrs) {
    meter::dead_peer();
    let name = &node.settings.borrow().node;
    emit(Event::PeerDead, &[("node", name), ("peer", &addrs.peer)]);
}
