use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use hgw_types::{AttemptId, NodeId};
use hgw_wire::peer::{Chunk, Frame, Message};
use indexmap::IndexMap;
use tokio::sync::{Semaphore, mpsc};

use crate::meter;
use crate::streams::{Credit, lock};

/// Time between two looks whether all frames have left; also the time for the last one to leave.
const FLUSH_LOOK: Duration = Duration::from_millis(10);

/// A frame that waits for a connection.
pub(crate) type Outbound = Frame;

/// Peers that are connected or being connected, as all threads reach them.
#[derive(Debug)]
pub(crate) struct PeerTable {
    queue: usize,
    links: Mutex<IndexMap<NodeId, Arc<Link>>>,
}

/// The way to one peer.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) peer: NodeId,
    pub(crate) tx: mpsc::Sender<Outbound>,
    rx: Mutex<Option<mpsc::Receiver<Outbound>>>,
    /// Chunks that the queue has room for. They may take half of it: an answer can wait for room,
    /// while a message that finds none costs the whole connection.
    chunk_room: Semaphore,
    /// Closed to end the connection, or the attempt to connect.
    open: Semaphore,
    /// Closed when the end has been reported.
    ended: Semaphore,
    stands: OnceLock<Stands>,
    /// Closed when the connection stands.
    standing: Semaphore,
    /// When the link was added.
    pub(crate) begun: Instant,
}

/// A connection that stands.
#[derive(Debug)]
pub(crate) struct Stands {
    pub(crate) since: Instant,
    /// Whether this node has connected to the peer, and not the peer to this node.
    pub(crate) dialed: bool,
}

/// A message cannot be sent.
#[derive(Debug)]
pub(crate) struct SendError;

impl Link {
    fn new(peer: &NodeId, queue: usize) -> Arc<Link> {
        let (tx, rx) = mpsc::channel(queue);
        Arc::new(Link {
            peer: peer.clone(),
            tx,
            rx: Mutex::new(Some(rx)),
            chunk_room: Semaphore::new((queue / 2).max(1)),
            open: Semaphore::new(0),
            ended: Semaphore::new(0),
            stands: OnceLock::new(),
            standing: Semaphore::new(0),
            begun: Instant::now(),
        })
    }

    /// The receiving side of the queue, for the one connection that empties it.
    pub(crate) fn take_queue(&self) -> Option<mpsc::Receiver<Outbound>> {
        lock(&self.rx).take()
    }

    /// Queues a chunk, waiting for room.
    pub(crate) async fn send_chunk(
        &self,
        attempt: AttemptId,
        chunk: Chunk,
    ) -> Result<(), SendError> {
        let permit = tokio::select! {
            permit = self.chunk_room.acquire() => permit,
            () = self.closed() => return Err(SendError),
        };
        permit.map_err(|_| SendError)?.forget();
        self.tx.send(Frame::Chunk(attempt, chunk)).await.map_err(|_| SendError)
    }

    /// Notes that a chunk has left the queue.
    pub(crate) fn chunk_left(&self) {
        self.chunk_room.add_permits(1);
    }

    /// Notes that the connection stands.
    pub(crate) fn establish(&self, dialed: bool) {
        // A link is established once: its queue can be taken only once.
        let _ = self.stands.set(Stands { since: Instant::now(), dialed });
        self.standing.close();
    }

    /// Waits until a connection stands.
    pub(crate) async fn established(&self) {
        // No permit is ever given: the wait ends, with an error, by `establish`.
        let _ = self.standing.acquire().await;
    }

    /// The connection, once it stands.
    pub(crate) fn stands(&self) -> Option<&Stands> {
        self.stands.get()
    }

    /// Ends the connection, or the attempt to connect.
    pub(crate) fn close(&self) {
        self.open.close();
    }

    /// Waits until the connection is to end.
    pub(crate) async fn closed(&self) {
        // No permit is ever given: the wait ends, with an error, by `close`.
        let _ = self.open.acquire().await;
    }

    /// Notes that the end has been reported to the control thread.
    pub(crate) fn end(&self) {
        self.ended.close();
    }

    /// Waits until the end has been reported.
    pub(crate) async fn wait_end(&self) {
        // No permit is ever given: the wait ends, with an error, by `end`.
        let _ = self.ended.acquire().await;
    }
}

impl PeerTable {
    pub(crate) fn new(queue: usize) -> Self {
        PeerTable { queue, links: Mutex::default() }
    }

    /// Adds a link unless there is one; messages queue on it until the connection stands.
    pub(crate) fn begin(&self, peer: &NodeId) -> Option<Arc<Link>> {
        let mut links = lock(&self.links);
        if links.contains_key(peer) {
            return None;
        }
        let link = Link::new(peer, self.queue);
        links.insert(peer.clone(), Arc::clone(&link));
        Some(link)
    }

    pub(crate) fn get(&self, peer: &NodeId) -> Option<Arc<Link>> {
        lock(&self.links).get(peer).map(Arc::clone)
    }

    /// Removes a link if it is still the one in the table.
    pub(crate) fn remove(&self, link: &Arc<Link>) {
        let mut links = lock(&self.links);
        if links.get(&link.peer).is_some_and(|now| Arc::ptr_eq(now, link)) {
            links.swap_remove(&link.peer);
        }
    }

    /// Queues a message. A full queue means a peer that does not read: its connection is closed,
    /// since a message left out would break the order that both sides rely on.
    pub(crate) fn send(&self, to: &NodeId, message: Box<Message>) -> Result<(), SendError> {
        let link = self.get(to).ok_or(SendError)?;
        link.tx.try_send(Frame::Message(message)).map_err(|_| {
            meter::ring_full("peer");
            link.close();
            SendError
        })
    }

    /// Queues credit for a peer whose chunks a caller has taken.
    pub(crate) fn give(&self, credit: Credit) {
        let Some(link) = self.get(&credit.peer) else { return };
        if link.tx.try_send(Frame::Credit(credit.attempt, credit.chunks)).is_err() {
            link.close();
        }
    }

    /// Waits until no frame waits for a connection that stands.
    pub(crate) async fn flushed(&self) {
        let busy = |link: &Arc<Link>| {
            link.stands().is_some() && link.tx.capacity() < link.tx.max_capacity()
        };
        loop {
            tokio::time::sleep(FLUSH_LOOK).await;
            if !lock(&self.links).values().any(busy) {
                return;
            }
        }
    }

    /// Closes the connection to a peer.
    pub(crate) fn close(&self, peer: &NodeId) {
        if let Some(link) = self.get(peer) {
            link.close();
        }
    }
}
