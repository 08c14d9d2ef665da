use bytes::Bytes;
use derive_more::Display;
use hgw_types::{DomainId, NodeId, Offset, RecordId};

/// An operator's call at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct CallId(pub u64);

/// What an operator asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Publish a configuration.
    Apply {
        /// Names the change; asking again with the same id never publishes twice.
        id: Option<RecordId>,
        /// The version that it was made from.
        base: Offset,
        /// The document as JSON.
        document: Bytes,
    },
    /// What became of a change.
    Outcome(RecordId),
    /// The configuration in force here.
    Get,
    /// Which nodes are at which version, and how this one is.
    Status,
    /// The whole state of this process, as JSON.
    State,
}

/// What an operator is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorReply {
    /// What became of a change.
    Apply {
        /// The change.
        id: RecordId,
        /// What became of it.
        outcome: ApplyOutcome,
    },
    /// The configuration in force here.
    Config {
        /// Its version.
        version: Offset,
        /// The document as JSON.
        document: Bytes,
    },
    /// How this node and the ones that it knows are.
    Status {
        /// Whether this node is ready for callers.
        ready: bool,
        /// Whether the log could be read last time.
        log_up: bool,
        /// All nodes known, this one first.
        members: Vec<MemberStatus>,
    },
    /// The whole state of this process, as JSON.
    State(String),
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// In the log, read back, and in force from this version on.
    Accepted(Offset),
    /// Not in force: its base is not the version in force.
    Superseded {
        /// The version in force.
        current: Offset,
    },
    /// Not in force: these faults were found in it.
    Invalid(Vec<String>),
    /// Not known yet; to be asked again by the change's id.
    Unknown,
    /// It was not published, as the log cannot be reached.
    NotPublished,
}

/// A node as this one knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// The node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it counts as alive here.
    pub alive: bool,
    /// Version of its configuration, as last heard.
    pub config: Offset,
}
