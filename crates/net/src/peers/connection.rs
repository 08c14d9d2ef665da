//! A connection that stands: frames in and out, pings, and its end.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use hgw_events::{Event as LogEvent, emit};
use hgw_node::Event;
use hgw_types::{AttemptId, NodeId};
use hgw_wire::peer::{Chunk, Frame, Message, Outcome};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message as Payload;

use super::codec;
use super::handshake::{Proven, Socket};
use super::manager::Peers;
use super::table::{Link, Outbound};
use crate::meter;
use crate::streams::Pushed;

/// Frames written before one flush.
const WRITE_BATCH: usize = 64;

/// When frames passed, in microseconds since the connection stood.
struct Activity {
    start: Instant,
    heard: AtomicU64,
    sent: AtomicU64,
}

impl Activity {
    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }
}

/// Serves a connection until it ends, and reports both.
pub(super) async fn serve(
    peers: &Peers,
    link: Arc<Link>,
    queue: mpsc::Receiver<Outbound>,
    proven: Proven,
) {
    let peer = link.peer.clone();
    let up =
        Event::PeerUp { peer: peer.clone(), domain: proven.peer.domain, addr: proven.peer.addr };
    peers.inbox.deliver(up).await;
    let activity =
        Activity { start: Instant::now(), heard: AtomicU64::new(0), sent: AtomicU64::new(0) };
    let (sink, source) = proven.socket.split();
    tokio::select! {
        () = read(peers, &link, source, &activity) => {}
        () = write(&link, sink, queue, &activity) => {}
        () = watch(peers, &link, &activity) => {
            emit(LogEvent::PeerSilent, &[("node", &peers.me.node), ("peer", &peer)]);
        }
        () = link.closed() => {}
    }
    finish(peers, &link).await;
}

/// Takes the link out of use and reports its end.
pub(super) async fn finish(peers: &Peers, link: &Arc<Link>) {
    peers.table.remove(link);
    drop(link.take_queue());
    // Attempts that wait for credit of this peer get none any more.
    link.close();
    peers.inbox.deliver(Event::PeerDown { peer: link.peer.clone() }).await;
    link.end();
}

async fn read(peers: &Peers, link: &Link, mut source: SplitStream<Socket>, activity: &Activity) {
    while let Some(Ok(payload)) = source.next().await {
        let bytes = match payload {
            Payload::Binary(bytes) => bytes,
            Payload::Close(_) => return,
            _ => continue,
        };
        activity.heard.store(activity.now(), Ordering::Relaxed);
        let Some(frame) = codec::decode(&bytes) else { return };
        meter::peer_bytes("in", meter::kind_of(&frame), bytes.len());
        if !take(peers, link, frame).await {
            return;
        }
    }
}

/// Handles one frame; false where the peer broke the protocol.
async fn take(peers: &Peers, link: &Link, frame: Frame) -> bool {
    match frame {
        Frame::Ping(n) => link.tx.try_send(Frame::Pong(n)).is_ok(),
        Frame::Pong(_) => true,
        Frame::Hello(_) => false,
        Frame::Credit(attempt, n) => {
            peers.attempts.credit(attempt, n);
            true
        }
        Frame::Chunk(attempt, chunk) => take_chunk(peers, &link.peer, attempt, chunk),
        Frame::Message(message) => {
            let message = Box::new(checked(peers, *message));
            peers.inbox.deliver(Event::Message { from: link.peer.clone(), message }).await;
            true
        }
    }
}

fn take_chunk(peers: &Peers, peer: &NodeId, attempt: AttemptId, chunk: Chunk) -> bool {
    let Some(stream) = peers.streams.of_attempt(attempt) else { return true };
    match stream.push(attempt, chunk, Some(peer)) {
        // Chunks of one attempt come in order on one connection, and never more than was credited.
        Pushed::Gap | Pushed::Full(_) => return false,
        Pushed::Detached => return true,
        Pushed::Taken => {}
    }
    if let Some(tokens) = stream.progress(attempt, peers.progress) {
        peers.inbox.offer(Event::Progress { attempt, tokens });
    }
    true
}

/// Turns a report of a whole answer, of which not all has come here, into one of a broken one.
fn checked(peers: &Peers, message: Message) -> Message {
    match message {
        Message::Ended { attempt, outcome: Outcome::Whole(n), answer, delay_us }
            if answer.is_none() && !peers.streams.is_whole(attempt, n) =>
        {
            let outcome = Outcome::Broken("chunks were lost between nodes".into());
            Message::Ended { attempt, outcome, answer, delay_us }
        }
        other => other,
    }
}

async fn write(
    link: &Link,
    mut sink: SplitSink<Socket, Payload>,
    mut queue: mpsc::Receiver<Outbound>,
    activity: &Activity,
) {
    let mut batch = Vec::with_capacity(WRITE_BATCH);
    while queue.recv_many(&mut batch, WRITE_BATCH).await > 0 {
        for frame in batch.drain(..) {
            let bytes = codec::encode(&frame);
            if matches!(frame, Frame::Chunk(..)) {
                link.chunk_left();
            }
            meter::peer_bytes("out", meter::kind_of(&frame), bytes.len());
            if sink.feed(Payload::Binary(bytes)).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
        activity.sent.store(activity.now(), Ordering::Relaxed);
    }
}

/// Returns when the connection has gone silent.
///
/// Something between two nodes may lose track of a connection: both ends see it open, and nothing
/// passes. Requests on it would hang until their deadlines. A ping after a short time without any
/// frame, sooner when frames of ours went out meanwhile, and a bound for its answer, find it.
async fn watch(peers: &Peers, link: &Link, activity: &Activity) {
    let limits = &peers.limits;
    let mut pinged: Option<u64> = None;
    let mut number = 0;
    loop {
        tokio::time::sleep(limits.ping_busy.min(limits.silence / 2)).await;
        let now = activity.now();
        let heard = activity.heard.load(Ordering::Relaxed);
        if let Some(at) = pinged {
            if heard >= at {
                pinged = None;
            } else if u128::from(now - at) >= limits.silence.as_micros() {
                return;
            } else {
                continue;
            }
        }
        let quiet = u128::from(now.saturating_sub(heard));
        let sent_since = activity.sent.load(Ordering::Relaxed) > heard;
        let due = if sent_since { limits.ping_busy } else { limits.ping_idle };
        if quiet >= due.as_micros() {
            number += 1;
            pinged = Some(now);
            if link.tx.try_send(Frame::Ping(number)).is_err() {
                return;
            }
        }
    }
}
