//! Which software version began a stream: nodes tell each other, and ask.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use hgw_direct::{BegunStream, StreamKey, VersionKey, broadcasts_sends};
use serde::{Deserialize, Serialize};

use crate::shared::Node;

use super::datagrams::{Datagram, digest};
use super::try_call;

/// Timeout of a question: a node that lives answers within milliseconds, and the caller waits.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Replicas that are passed on with polls at the most.
const MAX_REPLICAS: usize = 41;

/// Asks for the version that began a stream.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct VersionQuestion {
    stream: StreamKey,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct VersionAnswer {
    version: Option<VersionKey>,
}

/// What other nodes know of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AskResult {
    Known(VersionKey),
    /// Nobody who answered knows it.
    Unknown,
    /// Nobody answered.
    NoAnswer,
}

/// Records that a stream has begun or was taken up here, and tells other nodes, which outlive this one.
pub(crate) fn record_stream(node: &Node, stream: BegunStream) {
    node.streams.borrow_mut().record(stream, node.now());
    let datagram = Datagram::StreamBegan(stream);
    if broadcasts_sends(node.state.borrow().nodes) {
        node.peer_socket.broadcast(node, &datagram);
    } else {
        node.peer_socket.send_to(stream.key.replicas(&replicas(node)).iter(), &datagram);
    }
}

/// Asks other nodes for the version that began a stream.
pub(crate) async fn ask_version(node: &Node, stream: StreamKey) -> AskResult {
    let question = VersionQuestion { stream };
    let calls = stream.asked(&replicas(node)).into_iter().map(|addr| async move {
        try_call::<_, VersionAnswer>(node, addr, "/streams", &question, ASK_TIMEOUT).await
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut result = AskResult::NoAnswer;
    while let Some(response) = calls.next().await {
        match response {
            Ok(VersionAnswer { version: Some(version) }) => return AskResult::Known(version),
            Ok(VersionAnswer { version: None }) => result = AskResult::Unknown,
            Err(_) => {}
        }
    }
    result
}

pub(super) fn answer(node: &Node, question: &VersionQuestion) -> VersionAnswer {
    VersionAnswer { version: node.streams.borrow().version(question.stream, node.now()) }
}

/// Other nodes that keep streams: all of few nodes, each of which keeps all streams, or else the replicas.
fn replicas(node: &Node) -> Vec<SocketAddr> {
    let own_addr = node.settings.borrow().peer_addr;
    let mut nodes = if broadcasts_sends(node.state.borrow().nodes) {
        node.peer_socket.addrs()
    } else {
        node.stream_replicas.borrow().clone()
    };
    nodes.retain(|addr| *addr != own_addr);
    nodes
}

/// Hash by which two nodes compare the replicas that they know.
pub(super) fn replicas_digest(node: &Node) -> u64 {
    digest(&node.stream_replicas.borrow())
}

/// The replicas, for a node that knows others.
pub(super) fn replicas_to_share(node: &Node, known: u64) -> Option<Vec<SocketAddr>> {
    let replicas = node.stream_replicas.borrow();
    let should_share = !replicas.is_empty() && replicas.len() <= MAX_REPLICAS;
    (should_share && digest(&replicas) != known).then(|| replicas.clone())
}
