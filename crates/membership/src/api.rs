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

/// What membership is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// First addresses, from the platform's list; no proof of life.
    Listed(Vec<Member>),
    /// A heartbeat arrived.
    Heard {
        /// Its sender.
        from: NodeId,
        /// What it carried, the sender's own beat first.
        beats: Vec<Beat>,
    },
    /// A connection to this peer stands, or something else was heard from it.
    Alive(NodeId),
    /// A use of this peer failed.
    Failed(NodeId),
    /// This node begins its planned stop.
    Leave,
    /// Time has passed.
    Tick,
}

/// What membership asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send these beats to a peer.
    Send {
        /// The peer.
        to: Member,
        /// The sender's own beat first.
        beats: Vec<Beat>,
    },
    /// This member counts as alive from now on.
    Up(Member),
    /// This member counts as dead, or leaves.
    Down(NodeId),
}
