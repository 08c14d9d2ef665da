//! The peers' thread: makes connections, takes them, and keeps one for each pair.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hgw_events::{Event, emit};
use hgw_wire::peer::Hello;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

use super::connection;
use super::handshake::{self, HandshakeError, Identity, Proven};
use super::table::{Link, PeerTable};
use crate::PeerLimits;
use crate::attempts::Attempts;
use crate::inbox::Inbox;
use crate::lifecycle::Lifecycle;
use crate::streams::{Streams, lock};

/// Pause after the system refused to give a connection that waits.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Longest time for which two dials are taken to cross.
const CROSSING: Duration = Duration::from_millis(500);

/// Least time between two log lines on refused connections: strangers can make any number of them.
const REFUSAL_LOG: Duration = Duration::from_secs(1);

/// What the peers' thread is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// Connect to the peer of this link.
    Connect(Arc<Link>, String),
}

/// What all connections to peers share.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) me: Identity,
    pub(crate) table: Arc<PeerTable>,
    pub(crate) streams: Arc<Streams>,
    pub(crate) attempts: Arc<Attempts>,
    pub(crate) inbox: Inbox,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) limits: PeerLimits,
    /// When a refused connection was last logged.
    pub(crate) refusal_logged: Mutex<Option<Instant>>,
    /// Least time between two reports of progress of an attempt.
    pub(crate) progress: Duration,
}

/// Serves peers for as long as the thread's runtime lives.
pub(crate) async fn run(
    peers: Arc<Peers>,
    listener: TcpListener,
    mut commands: mpsc::Receiver<Command>,
) {
    peers.lifecycle.spawn(accept(Arc::clone(&peers), listener));
    while let Some(Command::Connect(link, addr)) = commands.recv().await {
        peers.lifecycle.spawn(connect(Arc::clone(&peers), link, addr));
    }
}

async fn accept(peers: Arc<Peers>, listener: TcpListener) {
    let unproven = Arc::new(Semaphore::new(peers.limits.unproven));
    loop {
        let Ok((tcp, addr)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Strangers beyond the limit are turned away: each one that waits costs memory.
        let Ok(permit) = Arc::clone(&unproven).try_acquire_owned() else { continue };
        let (peers, lifecycle) = (Arc::clone(&peers), peers.lifecycle.clone());
        lifecycle.spawn(async move {
            match prove_incoming(&peers, tcp).await {
                Ok(proven) => {
                    drop(permit);
                    join(&peers, proven).await;
                }
                Err(e) => peers.refused(&addr, &e),
            }
        });
    }
}

async fn prove_incoming(peers: &Peers, tcp: TcpStream) -> Result<Proven, HandshakeError> {
    let limit = peers.limits.handshake;
    let proof = handshake::accept(&peers.me, tcp, peers.limits.frame);
    tokio::time::timeout(limit, proof).await.map_err(|_| HandshakeError::Timeout(limit))?
}

/// Dials, and serves the connection unless the peer has connected meanwhile.
async fn connect(peers: Arc<Peers>, link: Arc<Link>, addr: String) {
    let limit = peers.limits.handshake;
    let dial = handshake::dial(&peers.me, &link.peer, &addr, peers.limits.frame);
    let dialed = tokio::select! {
        dialed = tokio::time::timeout(limit, dial) => {
            dialed.unwrap_or(Err(HandshakeError::Timeout(limit)))
        }
        () = link.closed() => Err(HandshakeError::Unexpected),
        // The peer's own connection serves this link: ours is not to be finished.
        () = link.established() => return,
    };
    if matches!(dialed, Err(HandshakeError::Wait)) {
        // The peer's own connection is under way, and takes the queue when it comes.
        let _ = tokio::time::timeout(limit, link.established()).await;
    }
    let Some(queue) = link.take_queue() else {
        return;
    };
    match dialed {
        Ok(proven) => {
            link.establish(true);
            connection::serve(&peers, link, queue, proven).await;
        }
        Err(e) => {
            peers.unreachable(&link, &addr, &e);
            drop(queue);
            connection::finish(&peers, &link).await;
        }
    }
}

/// Serves a connection that the peer has made, if it is the one to keep.
async fn join(peers: &Peers, mut proven: Proven) {
    let link = choose(peers, &proven.peer).await;
    let Some((link, queue)) = link.and_then(|link| link.take_queue().map(|queue| (link, queue)))
    else {
        // An error means that the dialer has given up already.
        let _ = proven.turn_away().await;
        return;
    };
    link.establish(false);
    match proven.welcome().await {
        Ok(()) => connection::serve(peers, link, queue, proven).await,
        Err(_) => connection::finish(peers, &link).await,
    }
}

/// The link for an incoming connection, or nothing where the connection is one too many.
///
/// When two nodes dial each other at once, both must keep the same connection: the one dialed by
/// the node with the lower id. Otherwise each would close the one that the other keeps. A dial that
/// takes much longer than two that cross is one that cannot get through, and gives way. A peer that
/// dials while a connection has stood for longer than a handshake has lost that one.
async fn choose(peers: &Peers, peer: &Hello) -> Option<Arc<Link>> {
    let wins = peers.me.node < peer.node;
    loop {
        let Some(link) = peers.table.get(&peer.node) else {
            if let Some(link) = peers.table.begin(&peer.node) {
                return Some(link);
            }
            continue;
        };
        match link.stands() {
            None if wins && link.begun.elapsed() < CROSSING => return None,
            None => return Some(link),
            Some(stands)
                if wins && stands.dialed && stands.since.elapsed() < peers.limits.handshake =>
            {
                return None;
            }
            Some(_) => {
                link.close();
                link.wait_end().await;
            }
        }
    }
}

impl Peers {
    fn unreachable(&self, link: &Link, addr: &str, reason: &HandshakeError) {
        let node = &self.me.node;
        let fields: [(&str, &dyn Display); 4] =
            [("node", node), ("peer", &link.peer), ("addr", &addr), ("reason", reason)];
        emit(Event::PeerUnreachable, &fields);
    }

    /// Logs a refused connection, unless another one was logged a short time ago.
    fn refused(&self, addr: &SocketAddr, reason: &HandshakeError) {
        let mut logged = lock(&self.refusal_logged);
        if logged.is_some_and(|at| at.elapsed() < REFUSAL_LOG) {
            return;
        }
        *logged = Some(Instant::now());
        let node = &self.me.node;
        emit(Event::PeerRefused, &[("node", node), ("peer", addr), ("reason", reason)]);
    }
}
