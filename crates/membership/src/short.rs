use hgw_types::NodeId;
use xxhash_rust::xxh3::xxh3_64;

/// A short stand-in for a node id in [`Pulse`](crate::Pulse). Where two known members share one, the
/// pulses of both are ignored: one could hide the other's death.
pub fn short(node: &NodeId) -> u32 {
    (xxh3_64(node.as_str().as_bytes()) >> 32) as u32
}
