//! Records of the claim's log.

use std::net::SocketAddr;

use bytes::Bytes;
use hgw_direct::Era;
use serde::{Deserialize, Serialize};

use crate::eras;
use crate::protocol::{Cursor, Record};
use crate::shared::Node;

/// A record of the claim's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Entry {
    pub(super) kind: EntryKind,
    pub(super) node: String,
    /// Where other nodes reach it.
    pub(super) addr: SocketAddr,
    /// The era of the log that it was meant for, and for how many milliseconds that had lasted at least; nothing in the
    /// first. In a log of another era it says nothing: it is of the copy from which the store has come back, or was
    /// appended where another log ended at the same offset by chance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) era: Option<(Era, u64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum EntryKind {
    /// From here on this node gives the orders; the record's place is its fencing number.
    Claim,
    /// It still does.
    Renewal,
    /// It gives no more.
    Release,
}

/// What a record says, where it was meant for the log in which it stands.
pub(super) fn valid(record: &Record) -> Option<Entry> {
    let entry: Entry = serde_json::from_slice(&record.data).ok()?;
    let era = entry.era.map_or(Era::FIRST, |(era, _)| era);
    (era == record.at.era).then_some(entry)
}

/// A record for the log that ends there.
pub(super) fn entry(node: &Node, kind: EntryKind, at: Cursor) -> Bytes {
    let lasted = eras::told(node).filter(|(era, _)| *era == at.era).map_or(0, |(_, ms)| ms);
    let era = (at.era > Era::FIRST).then_some((at.era, lasted));
    let settings = node.settings.borrow();
    let entry = Entry { kind, node: settings.node.clone(), addr: settings.peers, era };
    serde_json::to_vec(&entry).expect("an entry can be written as JSON").into()
}
