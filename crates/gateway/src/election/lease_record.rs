//! Records of the lease log.

use std::net::SocketAddr;

use bytes::Bytes;
use hgw_direct::Era;
use serde::{Deserialize, Serialize};

use crate::eras;
use crate::protocol::{Cursor, Record};
use crate::shared::Node;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaseRecord {
    pub(super) kind: RecordKind,
    pub(super) node: String,
    /// Peer address of the node.
    pub(super) addr: SocketAddr,
    /// Era of the log that the record was written for, and its least age in milliseconds; none in
    /// the first era. In a log of another era the record is void: it comes from the backup, or was
    /// appended at an offset that both logs share by chance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) era: Option<(Era, u64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum RecordKind {
    /// The node becomes the leader. The position of the record is the fencing token.
    Claim,
    /// The leader extends its lease.
    Renewal,
    /// The leader gives up its lease.
    Release,
}

/// Parses a record; none if it is void or malformed.
pub(super) fn parse(record: &Record) -> Option<LeaseRecord> {
    let entry: LeaseRecord = serde_json::from_slice(&record.data).ok()?;
    let era = entry.era.map_or(Era::FIRST, |(era, _)| era);
    (era == record.position.era).then_some(entry)
}

/// Serializes a record for the log that ends at `at`.
pub(super) fn serialize(node: &Node, kind: RecordKind, at: Cursor) -> Bytes {
    let lasted = eras::to_report(node).filter(|(era, _)| *era == at.era).map_or(0, |(_, ms)| ms);
    let era = (at.era > Era::FIRST).then_some((at.era, lasted));
    let settings = node.settings.borrow();
    let entry = LeaseRecord { kind, node: settings.node.clone(), addr: settings.peer_addr, era };
    serde_json::to_vec(&entry).expect("a lease record is valid JSON").into()
}
