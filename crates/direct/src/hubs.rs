//! Selects the nodes that fetch updates from the leader and pass them on within their failure
//! domain.
//!
//! The leader then sends each update once per domain, not once per node.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;

/// Minimum number of nodes in a domain that uses a hub; for fewer the additional hop costs more
/// than it saves.
const MIN_NODES: usize = 5;

/// Maximum number of hub candidates per domain: the second takes over from a first that does not
/// respond, and a third while both do not. If none of them responds, each node polls the leader.
const MAX_CANDIDATES: usize = 3;

/// Minimum CPU share of a candidate, relative to the largest in its domain. Small VMs would
/// saturate their links and delay requests: behind a hub with a twentieth of the largest one's link,
/// requests waited until after their callers had left.
const MIN_CPU_RATIO: f64 = 0.5;

/// Number of children of one node, or of nodes in total, per step of the poll interval factor.
const CHILDREN_PER_STEP: u32 = 10;

/// Maximum poll interval factor; with longer intervals updates would be outdated on arrival.
const MAX_INTERVAL_FACTOR: u32 = 12;

/// Maximum poll interval factor due to the total number of nodes. While demand moves,
/// an engine's loaded models change several times in a tenth of a second and are sent in full each
/// time: to hubs that polled every 40 ms for 33 nodes the leader sent 1.6 MB/s instead of 0.3.
const MAX_FACTOR_BY_NODES: u32 = 4;

/// Maximum number of nodes to which the leader sends a long engine list before it knows the hubs,
/// which takes one read of the store.
const MAX_CHILDREN_WITHOUT_HUBS: u32 = 40;

/// Time for which an unresponsive node is skipped.
const UNRESPONSIVE_SKIP: Millis = 3_000;

/// Time for which a node that responds with outdated data is skipped.
const STALE_SKIP: Millis = 2_000;

/// A node as known to the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node.
    pub node: String,
    /// Address for other nodes.
    pub addr: SocketAddr,
    pub domain: String,
    /// CPUs of its VM that it may use; can be a fraction.
    #[serde(rename = "processor")]
    pub cpu_share: f64,
}

/// The hub candidates of a domain in order of preference; empty if the domain has too few nodes.
///
/// The order depends on the list of members only, so that all nodes agree without communication.
pub fn candidates(members: &[Member], domain: &str) -> Vec<Member> {
    let mut in_domain: Vec<&Member> = members.iter().filter(|m| m.domain == domain).collect();
    if in_domain.len() < MIN_NODES {
        return Vec::new();
    }
    let largest = in_domain.iter().map(|m| m.cpu_share).fold(0.0, f64::max);
    in_domain.retain(|m| m.cpu_share >= MIN_CPU_RATIO * largest);
    let name_hash = |m: &Member| xxh3_64(m.node.as_bytes());
    in_domain
        .sort_by(|a, b| b.cpu_share.total_cmp(&a.cpu_share).then(name_hash(a).cmp(&name_hash(b))));
    in_domain.into_iter().take(MAX_CANDIDATES).cloned().collect()
}

/// The registered nodes, with the hub candidates of each domain.
#[derive(Debug, Clone, Default)]
pub struct NodeDirectory {
    /// Domain of each node.
    domains: IndexMap<SocketAddr, String>,
    candidates: IndexMap<String, Vec<Member>>,
}

impl NodeDirectory {
    pub fn new(members: &[Member]) -> NodeDirectory {
        let mut by_domain: IndexMap<&str, Vec<Member>> = IndexMap::new();
        for member in members {
            by_domain.entry(&member.domain).or_default().push(member.clone());
        }
        let candidates = by_domain
            .iter()
            .map(|(domain, members)| ((*domain).to_owned(), candidates(members, domain)));
        NodeDirectory {
            domains: members.iter().map(|m| (m.addr, m.domain.clone())).collect(),
            candidates: candidates.collect(),
        }
    }

    /// Whether no node is known yet.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Failure domain of a node.
    pub fn domain(&self, node: SocketAddr) -> Option<&str> {
        self.domains.get(&node).map(String::as_str)
    }

    /// The nodes of all other domains.
    pub fn outside(&self, domain: &str) -> Vec<SocketAddr> {
        let others = self.domains.iter().filter(|(_, other)| *other != domain);
        others.map(|(addr, _)| *addr).collect()
    }

    /// The hub candidates of a domain in order of preference.
    pub fn candidates(&self, domain: &str) -> &[Member] {
        self.candidates.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Whether the node may be the hub of its domain: one of the candidates, or any node of a domain
    /// without.
    pub fn may_be_hub(&self, node: SocketAddr) -> bool {
        let domain = self.domains.get(&node).map(String::as_str).unwrap_or_default();
        let candidates = self.candidates(domain);
        candidates.is_empty() || candidates.iter().any(|c| c.addr == node)
    }
}

/// What a node tells the nodes that poll it of hub candidates.
#[derive(Debug, Clone, Copy)]
pub struct CandidateSource<'a> {
    pub is_leader: bool,
    /// Failure domain of this node.
    pub domain: &'a str,
    pub directory: &'a NodeDirectory,
    pub hubs: &'a Hubs,
}

impl<'a> CandidateSource<'a> {
    /// The hub candidates of a domain; none if they are not known.
    ///
    /// Only the leader reads the directory again and again. A node that read it while there was no leader, or that has
    /// led, would tell old candidates, and nodes that poll it would poll it for good.
    pub fn candidates(&self, domain: &str) -> Option<&'a [Member]> {
        if self.is_leader && !self.directory.is_empty() {
            return Some(self.directory.candidates(domain));
        }
        (self.domain == domain).then(|| self.hubs.candidates())
    }
}

/// Decides to which nodes the leader sends an engine list that takes several messages: to those that
/// pass it on.
///
/// After a start of all nodes each polls the leader once. If it sent the list to all of them, it would
/// respond to none in time.
#[derive(Debug, Clone, Copy)]
pub struct LongListDistribution {
    pub leader: SocketAddr,
    /// Whether the leader has read which nodes there are.
    pub knows_hubs: bool,
    /// Number of nodes that poll the leader.
    pub children: u32,
}

impl LongListDistribution {
    /// Whether the list is sent to a node. `redirect` are the hub candidates that the node does not
    /// know yet and learns from the response.
    pub fn sends_to(&self, node: SocketAddr, redirect: Option<&[Member]>) -> bool {
        if !self.knows_hubs {
            return self.children <= MAX_CHILDREN_WITHOUT_HUBS;
        }
        let mut hubs = redirect.unwrap_or_default().iter().filter(|c| c.addr != self.leader);
        hubs.next().is_none_or(|first| first.addr == node)
    }
}

/// The node that is polled for updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parent {
    Leader,
    Hub(SocketAddr),
}

/// Why a node is skipped for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SkipReason {
    Unresponsive,
    /// It responds, but has not received anything new itself.
    Stale,
}

/// The hub candidates of this node's domain, and the nodes that are skipped.
#[derive(Debug, Clone, Default)]
pub struct Hubs {
    candidates: Vec<Member>,
    skipped: IndexMap<SocketAddr, (SkipReason, Millis)>,
}

impl Hubs {
    pub fn set_candidates(&mut self, candidates: Vec<Member>) {
        self.candidates = candidates;
    }

    pub fn candidates(&self) -> &[Member] {
        &self.candidates
    }

    /// Skips a candidate or the leader for a while.
    pub fn skip(&mut self, addr: SocketAddr, reason: SkipReason, now: Millis) {
        self.skipped.retain(|_, (_, until)| now < *until);
        let time = match reason {
            SkipReason::Unresponsive => UNRESPONSIVE_SKIP,
            SkipReason::Stale => STALE_SKIP,
        };
        self.skipped.insert(addr, (reason, now + time));
    }

    /// The node that the node at `own_addr` polls, with the leader at `leader`.
    ///
    /// If all candidates are outdated, the leader is polled: the store may be unreachable from a
    /// whole domain. If the leader is outdated too, the store is down for all nodes, and the first
    /// candidate that responds is polled.
    pub fn parent(&self, own_addr: SocketAddr, leader: Option<SocketAddr>, now: Millis) -> Parent {
        let candidates =
            || self.candidates.iter().map(|c| c.addr).filter(|addr| Some(*addr) != leader);
        let state = |addr: &SocketAddr| {
            let (reason, until) = self.skipped.get(addr)?;
            (now < *until).then_some(*reason)
        };
        let first = candidates().find(|addr| *addr == own_addr || state(addr).is_none());
        let leader_is_current = leader.is_some_and(|leader| state(&leader).is_none());
        let stale = || candidates().find(|addr| state(addr) == Some(SkipReason::Stale));
        let hub = first.or_else(|| if leader_is_current { None } else { stale() });
        match hub {
            Some(addr) if addr != own_addr => Parent::Hub(addr),
            _ => Parent::Leader,
        }
    }
}

/// Factor by which a node extends its poll interval if its parent has this many children, with this
/// many nodes in total.
pub fn poll_interval_factor(children: u32, nodes: u32) -> u32 {
    let by_nodes = nodes.div_ceil(CHILDREN_PER_STEP).min(MAX_FACTOR_BY_NODES);
    children.div_ceil(CHILDREN_PER_STEP).max(by_nodes).clamp(1, MAX_INTERVAL_FACTOR)
}

/// Hash by which two nodes detect that they know the same candidates.
pub fn digest(candidates: &[Member]) -> u64 {
    let names = candidates.iter().map(|c| format!("{} {}", c.node, c.addr));
    xxh3_64(names.collect::<Vec<_>>().join(",").as_bytes())
}
