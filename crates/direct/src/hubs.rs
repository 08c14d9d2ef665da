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
const FEWEST: usize = 5;

/// Maximum number of hub candidates per domain. If none of them answers, each node asks the leader.
const CANDIDATES: usize = 3;

/// Minimum CPU share of a candidate, as a part of the largest in its domain. Small VMs would
/// saturate their links and delay requests.
const AS_LARGE: f64 = 0.5;

/// Number of nodes that may poll the same node at the full rate.
const FEW_CHILDREN: u32 = 10;

/// Maximum poll interval factor; with longer intervals updates would be outdated on arrival.
const MOST_CROWD: u32 = 12;

/// Maximum poll interval factor due to the total number of nodes. With many nodes engines change
/// often, and each change is sent to each hub.
const CROWD_OF_MANY: u32 = 4;

/// Time for which an unresponsive node is skipped.
const SILENT_FOR: Millis = 3_000;

/// Time for which a node that answers with outdated data is skipped.
const STALE_FOR: Millis = 2_000;

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
    let mut own: Vec<&Member> = members.iter().filter(|m| m.domain == domain).collect();
    if own.len() < FEWEST {
        return Vec::new();
    }
    let largest = own.iter().map(|m| m.cpu_share).fold(0.0, f64::max);
    own.retain(|m| m.cpu_share >= AS_LARGE * largest);
    let key = |m: &Member| xxh3_64(m.node.as_bytes());
    own.sort_by(|a, b| b.cpu_share.total_cmp(&a.cpu_share).then(key(a).cmp(&key(b))));
    own.into_iter().take(CANDIDATES).cloned().collect()
}

/// The node that is asked for updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parent {
    Leader,
    Hub(SocketAddr),
}

/// Why a node is skipped for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SkipReason {
    Unresponsive,
    /// It answers, but has not received anything new itself.
    Stale,
}

/// The hub candidates of this node's domain, and the nodes that are skipped.
#[derive(Debug, Clone, Default)]
pub struct Hubs {
    candidates: Vec<Member>,
    passed_over: IndexMap<SocketAddr, (SkipReason, Millis)>,
}

impl Hubs {
    pub fn set_candidates(&mut self, candidates: Vec<Member>) {
        self.candidates = candidates;
    }

    pub fn candidates(&self) -> &[Member] {
        &self.candidates
    }

    /// Skips a candidate or the leader for a while.
    pub fn skip(&mut self, addr: SocketAddr, why: SkipReason, now: Millis) {
        self.passed_over.retain(|_, (_, until)| now < *until);
        let time = match why {
            SkipReason::Unresponsive => SILENT_FOR,
            SkipReason::Stale => STALE_FOR,
        };
        self.passed_over.insert(addr, (why, now + time));
    }

    /// The node that the node at `me` asks, with the leader at `holder`.
    ///
    /// If all candidates are outdated the leader is asked, as the store may refuse a whole domain.
    /// If the leader is outdated too, the store is down for all nodes, and the first candidate that
    /// answers is asked.
    pub fn parent(&self, me: SocketAddr, holder: Option<SocketAddr>, now: Millis) -> Parent {
        let others = || self.candidates.iter().map(|c| c.addr).filter(|addr| Some(*addr) != holder);
        let state = |addr: &SocketAddr| {
            let (why, until) = self.passed_over.get(addr)?;
            (now < *until).then_some(*why)
        };
        let first = others().find(|addr| *addr == me || state(addr).is_none());
        let holder_knows = holder.is_some_and(|holder| state(&holder).is_none());
        let answers = || others().find(|addr| state(addr) == Some(SkipReason::Stale));
        let asked = first.or_else(|| if holder_knows { None } else { answers() });
        match asked {
            Some(addr) if addr != me => Parent::Hub(addr),
            _ => Parent::Leader,
        }
    }
}

/// Factor by which a node extends its poll interval if its parent has this many children, with this
/// many nodes in total.
pub fn poll_interval_factor(children: u32, nodes: u32) -> u32 {
    let of_all = nodes.div_ceil(FEW_CHILDREN).min(CROWD_OF_MANY);
    children.div_ceil(FEW_CHILDREN).max(of_all).clamp(1, MOST_CROWD)
}

/// Hash by which two nodes detect that they know the same candidates.
pub fn digest(candidates: &[Member]) -> u64 {
    let names = candidates.iter().map(|c| format!("{} {}", c.node, c.addr));
    xxh3_64(names.collect::<Vec<_>>().join(",").as_bytes())
}
