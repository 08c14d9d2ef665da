//! Which node passes on to a failure domain what the holder of the orders tells.
//!
//! Load: a holder that answers each node itself sends what changes as often as there are nodes, most of it to other
//! failure domains: with three hundred nodes before three thousand engines 8.6 MB a second from one machine. Through
//! one node of each domain it crosses to a domain once.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;

/// Nodes of a failure domain from which one of them passes on to the others: for fewer the way by a third node costs
/// more time than it saves messages.
const FEWEST: usize = 5;

/// Nodes of a domain that may pass on. The second takes over from a first that is silent; with a third that holds
/// while both are. Beyond, each node asks the holder itself.
const CANDIDATES: usize = 3;

/// Part of the processor of the largest machine of a domain that one must have to pass on.
///
/// Load: a domain has two larger machines, one of which gives the orders, and the other is away. A third with a quarter of
/// their processor and a twentieth of their link passed on to its domain: that filled its link for seconds, and requests and
/// their ends waited behind it until after their callers had left.
const AS_LARGE: f64 = 0.5;

/// Nodes that may ask the same one as often as they like.
const FEW_CHILDREN: u32 = 10;

/// Longest that nodes hold back, as a multiple of what few nodes do: beyond, the word would be too old by the time of
/// the next.
const MOST_CROWD: u32 = 12;

/// The same where few ask one node, and there are many in all: what an engine holds changes several times in a tenth of
/// a second while demand moves, and is told whole each time. Asked every 40 ms by the heads of 33 nodes the keeper sent
/// 1.6 MB a second, where 0.3 carry the same.
const CROWD_OF_MANY: u32 = 4;

/// Time for which a node that did not answer is not asked again.
const SILENT_FOR: Millis = 3_000;

/// Time for which one is not asked that answers and knows nothing new itself.
const STALE_FOR: Millis = 2_000;

/// A node, as the others know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub node: String,
    /// Where other nodes reach it.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Share of a processor that its machine has.
    pub processor: f64,
}

/// The nodes of a domain that may pass on, the first first; none where the domain has few nodes.
///
/// Every node comes to the same order from the same list, without a word. Larger machines come first: the one that
/// passes on does more than others.
pub fn candidates(members: &[Member], domain: &str) -> Vec<Member> {
    let mut own: Vec<&Member> = members.iter().filter(|m| m.domain == domain).collect();
    if own.len() < FEWEST {
        return Vec::new();
    }
    let largest = own.iter().map(|m| m.processor).fold(0.0, f64::max);
    own.retain(|m| m.processor >= AS_LARGE * largest);
    let key = |m: &Member| xxh3_64(m.node.as_bytes());
    own.sort_by(|a, b| b.processor.total_cmp(&a.processor).then(key(a).cmp(&key(b))));
    own.into_iter().take(CANDIDATES).cloned().collect()
}

/// Whom a node asks for what is new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parent {
    /// The node that gives orders.
    Holder,
    /// A node of this one's domain that passes on.
    Head(SocketAddr),
}

/// Why a node is not asked for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassedOver {
    /// It does not answer.
    Silent,
    /// It answers, and has heard nothing new itself.
    Stale,
}

/// What a node knows of those of its domain that pass on.
#[derive(Debug, Clone, Default)]
pub struct Heads {
    candidates: Vec<Member>,
    passed_over: IndexMap<SocketAddr, (PassedOver, Millis)>,
}

impl Heads {
    /// These may pass on.
    pub fn know(&mut self, candidates: Vec<Member>) {
        self.candidates = candidates;
    }

    /// The nodes that may pass on, the first first.
    pub fn candidates(&self) -> &[Member] {
        &self.candidates
    }

    /// A node is not asked for a while, be it one that passes on or the holder.
    pub fn pass_over(&mut self, addr: SocketAddr, why: PassedOver, now: Millis) {
        self.passed_over.retain(|_, (_, until)| now < *until);
        let time = match why {
            PassedOver::Silent => SILENT_FOR,
            PassedOver::Stale => STALE_FOR,
        };
        self.passed_over.insert(addr, (why, now + time));
    }

    /// Whom the node at `me` asks, where the orders are given by the node at `holder`.
    ///
    /// A first that knows nothing new leaves it to the next, which may reach what the first does not, and the last of them
    /// to the holder: the store may turn away all that pass on in one domain. Where the holder knows no more, as the store
    /// is away for all, the first that answers is asked again.
    pub fn parent(&self, me: SocketAddr, holder: Option<SocketAddr>, now: Millis) -> Parent {
        let others = || self.candidates.iter().map(|c| c.addr).filter(|addr| Some(*addr) != holder);
        let state = |addr: &SocketAddr| {
            let (why, until) = self.passed_over.get(addr)?;
            (now < *until).then_some(*why)
        };
        let first = others().find(|addr| *addr == me || state(addr).is_none());
        let holder_knows = holder.is_some_and(|holder| state(&holder).is_none());
        let answers = || others().find(|addr| state(addr) == Some(PassedOver::Stale));
        let asked = first.or_else(|| if holder_knows { None } else { answers() });
        match asked {
            Some(addr) if addr != me => Parent::Head(addr),
            _ => Parent::Holder,
        }
    }
}

/// By how much a node holds back that asks another which so many ask, of so many nodes in all.
pub fn crowd(children: u32, nodes: u32) -> u32 {
    let of_all = nodes.div_ceil(FEW_CHILDREN).min(CROWD_OF_MANY);
    children.div_ceil(FEW_CHILDREN).max(of_all).clamp(1, MOST_CROWD)
}

/// Digest of candidates, by which two nodes find out whether they know the same.
pub fn digest(candidates: &[Member]) -> u64 {
    let names = candidates.iter().map(|c| format!("{} {}", c.node, c.addr));
    xxh3_64(names.collect::<Vec<_>>().join(",").as_bytes())
}
