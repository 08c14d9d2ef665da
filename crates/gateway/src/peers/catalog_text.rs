//! Fetches the text of the configuration from other nodes.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use hgw_events::{Event, emit};
use hgw_http1::{BodyDecoder, Request};
use tokio::time::{Instant, timeout};

use crate::follow::{self, TextSource};
use crate::shared::Node;

use super::{MAX_MESSAGE_BYTES, RESPONSE_TIMEOUT, poll_response};

/// Fetches the configuration from the node that this one polls; returns it with that node's address.
pub(crate) async fn fetch_catalog(node: &Node) -> Option<(Bytes, SocketAddr)> {
    let (_, addr) = node.parent()?;
    Some((fetch_text(node, addr).await?, addr))
}

/// Fetches a newer configuration from a node that polls this one. This node cannot read it from the
/// store if a restore from a backup lost that version and the node started afterwards.
pub(super) fn fetch_newer_catalog(node: &Node, from: SocketAddr, newest: u64) {
    if newest <= poll_response::catalog_version(node) || node.is_fetching_catalog.replace(true) {
        return;
    }
    let node = Node::clone(node);
    tokio::task::spawn_local(async move {
        // After a failure the next poll of that node tries again.
        if let Some(text) = fetch_text(&node, from).await {
            follow::adopt(&node, text, TextSource::Peer(from));
        }
        node.is_fetching_catalog.set(false);
    });
}

/// Fetches the text from a node. Logs how much of it had arrived if that fails.
async fn fetch_text(node: &Node, addr: SocketAddr) -> Option<Bytes> {
    let mut text = BytesMut::new();
    let asked_at = Instant::now();
    let result = timeout(RESPONSE_TIMEOUT, read_text(node, addr, &mut text)).await;
    let reason = match result {
        Ok(Ok(())) if text.is_empty() => "the other node has none".to_owned(),
        Ok(Ok(())) => return Some(text.freeze()),
        Ok(Err(e)) => e.to_string(),
        Err(_) => "timeout".to_owned(),
    };
    emit(
        Event::ConfigFetchFailed,
        &[
            ("node", &node.settings.borrow().node),
            ("peer", &addr),
            ("has", &poll_response::catalog_version(node)),
            ("known", &node.reported_catalog()),
            ("bytes", &text.len()),
            ("ms", &asked_at.elapsed().as_millis()),
            ("reason", &reason),
        ],
    );
    None
}

async fn read_text(
    node: &Node,
    addr: SocketAddr,
    text: &mut BytesMut,
) -> Result<(), hgw_http1::Error> {
    let mut conn = node.pool.get(addr, node.conn_timeouts()).await?;
    let head = conn.round_trip(&Request::post("/catalog", "peer", Bytes::new())).await?;
    let mut body = BodyDecoder::new(head.framing);
    while let Some(bytes) = conn.read_chunk(&mut body).await? {
        if head.status != 200 || text.len() + bytes.len() > MAX_MESSAGE_BYTES {
            return Err(hgw_http1::Error::Malformed { what: "not a configuration" });
        }
        text.extend_from_slice(&bytes);
    }
    node.pool.put(addr, conn);
    Ok(())
}
