//! Rendezvous hashing: which node comes first for a key.
//!
//! Nodes with the same view agree without a message, and when a node goes, only the keys that it came
//! first for change hands.

use std::cmp::Reverse;

use hgw_types::NodeId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The node that comes first for `key`.
pub fn first<'a>(key: &[u8], nodes: impl IntoIterator<Item = &'a NodeId>) -> Option<NodeId> {
    let seed = xxh3_64(key);
    nodes.into_iter().max_by_key(|node| (score(seed, node), Reverse(*node))).cloned()
}

/// All nodes, the one that comes first for `key` before the next one.
pub fn order<'a>(key: &[u8], nodes: impl IntoIterator<Item = &'a NodeId>) -> Vec<NodeId> {
    let seed = xxh3_64(key);
    let mut order: Vec<_> = nodes.into_iter().cloned().collect();
    order.sort_by_cached_key(|node| (Reverse(score(seed, node)), node.clone()));
    order
}

fn score(seed: u64, node: &NodeId) -> u64 {
    xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}
