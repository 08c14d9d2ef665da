//! What goes to the platform and comes back, as JSON over HTTP.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /streams/{name}/records` | the body is one record; answered with [`Appended`] |
//! | `GET /streams/{name}/records?from=N&max=M&wait_ms=W` | a [`Batch`]; waits up to W for the first record |
//! | `GET /vms` | a [`VmList`], which lags |
//!
//! Status 410 answers a read from before the oldest record kept, with [`Trimmed`]; 429 and 503 say
//! that nothing was done.

use hgw_types::{DomainId, NodeId, Offset};
use serde::{Deserialize, Serialize};

/// Most records that a node asks for at once. Fewer in an answer are all that stood at the time.
pub const MAX_BATCH: usize = 256;

/// Answer to an append. Offsets start at 1 in each stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Where the record stands.
    pub offset: Offset,
}

/// Answer to a read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Records in order, possibly none.
    pub records: Vec<Stored>,
    /// Where to read on.
    pub next: Offset,
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Where it stands.
    pub offset: Offset,
    /// Its bytes, in base64 (standard alphabet, padded).
    pub data: String,
}

/// Answer to a read that starts before the oldest record kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trimmed {
    /// The oldest record kept, or the next one to be written where none is kept.
    pub first: Offset,
}

/// The platform's lagging list of VMs of the system.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs, in no particular order.
    pub vms: Vec<Vm>,
    /// Upstreams that the platform is about to stop, by upstream id.
    #[serde(default)]
    pub leaving_upstreams: Vec<hgw_types::UpstreamId>,
}

/// A VM of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The node on it.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// `IP:PORT` of its listener for peers.
    pub addr: String,
    /// Whether it is about to be stopped.
    pub leaving: bool,
}
