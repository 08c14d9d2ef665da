//! The peers' thread: makes connections, takes them, and keeps one for each pair.

use std::sync::Arc;
use std::time::Duration;

use hgw_wire::peer::Hello;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

use super::connection;
use super::handshake::{self, HandshakeError, Identity, Proven};
use super::table::{Link, PeerTable};
use crate::PeerLimits;
use crate::attempts::Attempts;
use crate::inbox::Inbox;
use crate::streams::Streams;

/// Pause after the system refused to give a connection that waits.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

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
    pub(crate) limits: PeerLimits,
    /// Least time between two reports of progress of an attempt.
    pub(crate) progress: Duration,
}

/// Serves peers for as long as the thread's runtime lives.
pub(crate) async fn run(
    peers: Arc<Peers>,
    listener: TcpListener,
    mut commands: mpsc::Receiver<Command>,
) {
    tokio::spawn(accept(Arc::clone(&peers), listener));
    while let Some(Command::Connect(link, addr)) = commands.recv().await {
        tokio::spawn(connect(Arc::clone(&peers), link, addr));
    }
}

async fn accept(peers: Arc<Peers>, listener: TcpListener) {
    let unproven = Arc::new(Semaphore::new(peers.limits.unproven));
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Strangers beyond the limit are turned away: each one that waits costs memory.
        let Ok(permit) = Arc::clone(&unproven).try_acquire_owned() else { continue };
        let peers = Arc::clone(&peers);
        tokio::spawn(async move {
            match prove_incoming(&peers, tcp).await {
                Ok(proven) => {
                    drop(permit);
                    join(&peers, proven).await;
                }
                Err(e) => log::warn!("a connection to the peers' listener was refused: {e}"),
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
    };
    // Without the queue, the peer's own connection serves this link: ours is one too many.
    let Some(queue) = link.take_queue() else {
        return;
    };
    match dialed {
        Ok(proven) => {
            link.establish(true);
            connection::serve(&peers, link, queue, proven).await;
        }
        Err(e) => {
            log::info!("no connection to {} at {addr}: {e}", link.peer);
            drop(queue);
            connection::finish(&peers, &link).await;
        }
    }
}

/// Serves a connection that the peer has made, if it is the one to keep.
async fn join(peers: &Peers, proven: Proven) {
    let Some(link) = choose(peers, &proven.peer).await else { return };
    let Some(queue) = link.take_queue() else { return };
    link.establish(false);
    connection::serve(peers, link, queue, proven).await;
}

/// The link for an incoming connection, or nothing where the connection is one too many.
///
/// When two nodes dial each other at once, both must keep the same connection: the one dialed by
/// the node with the lower id. Otherwise each would close the one that the other keeps. A peer that
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
            None if wins => return None,
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
