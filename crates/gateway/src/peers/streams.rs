//! Which software version began a stream: nodes tell each other, and ask.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use hgw_direct::{BegunStream, StreamKey, VersionKey, broadcasts_sends};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::shared::Node;

use super::datagrams::Datagram;
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
    let replicas = match replicas(node) {
        Replicas::All(nodes) => nodes,
        Replicas::Chosen(nodes) => stream.key.replicas(&nodes),
    };
    node.peer_socket.send_to(replicas.iter(), &Datagram::StreamBegan(stream));
}

/// Asks other nodes for the version that began a stream.
pub(crate) async fn ask_version(node: &Node, stream: StreamKey) -> AskResult {
    let (Replicas::All(nodes) | Replicas::Chosen(nodes)) = replicas(node);
    let question = VersionQuestion { stream };
    let calls = stream.asked(&nodes).into_iter().map(|addr| async move {
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

/// Other nodes that keep streams.
enum Replicas {
    /// Each keeps all streams.
    All(Vec<SocketAddr>),
    /// Each keeps some.
    Chosen(Vec<SocketAddr>),
}

fn replicas(node: &Node) -> Replicas {
    let own_addr = node.settings.borrow().peer_addr;
    let without_own = |mut nodes: Vec<SocketAddr>| {
        nodes.retain(|addr| *addr != own_addr);
        nodes
    };
    if broadcasts_sends(node.state.borrow().nodes) {
        return Replicas::All(without_own(node.peer_socket.addrs()));
    }
    Replicas::Chosen(without_own(node.stream_replicas.borrow().clone()))
}

/// Hash by which two nodes compare the replicas that they know.
pub(super) fn replicas_digest(node: &Node) -> u64 {
    digest(&node.stream_replicas.borrow())
}

fn digest(replicas: &[SocketAddr]) -> u64 {
    let addrs: Vec<String> = replicas.iter().map(SocketAddr::to_string).collect();
    xxh3_64(addrs.join(",").as_bytes())
}

/// The replicas, for a node that knows others.
pub(super) fn replicas_to_share(node: &Node, known: u64) -> Option<Vec<SocketAddr>> {
    let replicas = node.stream_replicas.borrow();
    let should_share = !replicas.is_empty() && replicas.len() <= MAX_REPLICAS;
    (should_share && digest(&replicas) != known).then(|| replicas.clone())
}
