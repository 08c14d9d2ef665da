use std::time::Duration;

use hgw_types::{DomainId, NodeId};

/// A node as others know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// `IP:PORT` of its listener for peers.
    pub addr: String,
}

/// A member with its counter, as heartbeats carry it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// The member.
    pub member: Member,
    /// Counts up while it lives.
    pub count: u64,
    /// Whether it stops as planned.
    pub leaving: bool,
}

/// When a member was last known to live, for those who know the member: a tenth of a [`Beat`] in
/// bytes, so that a heartbeat tells of many members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pulse {
    /// The member, by [`short`](crate::short).
    pub short: u32,
    /// Time since the member was heard from, by whoever heard it last.
    pub age: Duration,
}

/// What membership is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Addresses, from the platform's list or a connection; no proof of life.
    Listed(Vec<Member>),
    /// A heartbeat arrived.
    Heard {
        /// Its sender.
        from: NodeId,
        /// What it carried, the sender's own beat first.
        beats: Vec<Beat>,
        /// What it carried of members that the receiver should know.
        pulses: Vec<Pulse>,
        /// Whether it is to be answered by one.
        ask: bool,
    },
    /// A connection to this peer stands, or something else was heard from it.
    Alive(NodeId),
    /// A use of this peer failed.
    Failed(NodeId),
    /// This peer has said that it stops as planned: it gets no new work, but still answers.
    Left(NodeId),
    /// This node begins its planned stop.
    Leave,
    /// Time has passed.
    Tick,
}

/// What membership asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat to a peer.
    Send {
        /// The peer.
        to: Member,
        /// The sender's own beat first.
        beats: Vec<Beat>,
        /// What is known of more members.
        pulses: Vec<Pulse>,
        /// Whether the peer is to answer with one.
        ask: bool,
    },
    /// This member counts as alive from now on.
    Up(Member),
    /// This member counts as dead, or leaves.
    Down(NodeId),
}
