//! The list of engines, as the keeper passes it on: read from the store by one node and not by all.

use hgw_direct::{Engine, EngineId, Standing};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::shared::Node;

/// Engines that are gone and still told of: what lags behind more is told the whole list.
const MOST_GONE: usize = 1_000;

/// An engine of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Passed {
    pub(crate) engine: EngineId,
    pub(crate) service: String,
    pub(crate) addr: std::net::SocketAddr,
    pub(crate) domain: String,
    pub(crate) slots: u32,
    pub(crate) leaving: bool,
    pub(crate) cold: bool,
    pub(crate) held: Vec<hgw_direct::Held>,
}

/// What changed in the list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListNews {
    pub(crate) version: u64,
    /// Whether `engines` are all there are.
    pub(crate) whole: bool,
    pub(crate) engines: Vec<Passed>,
    pub(crate) gone: Vec<EngineId>,
}

/// The list as it was passed on last.
#[derive(Debug, Default)]
pub(super) struct Listing {
    version: u64,
    known: IndexMap<EngineId, (u64, Signature)>,
    gone: Vec<(u64, EngineId)>,
}

/// What makes an entry worth telling again.
type Signature = (bool, bool, u32, std::net::SocketAddr);

fn signature(engine: &Engine) -> Signature {
    let listed = &engine.listed;
    (listed.standing != Standing::Ready, listed.cold_ms > 0, listed.slots, listed.addr)
}

impl Listing {
    /// Looks at the list; tells whether it has changed.
    pub(super) fn look(&mut self, node: &Node) -> bool {
        let state = node.state.borrow();
        let before = self.version;
        for engine in state.engines.iter() {
            let (id, now) = (&engine.listed.id, signature(engine));
            if self.known.get(id).is_none_or(|(_, then)| *then != now) {
                self.version += 1;
                self.known.insert(id.clone(), (self.version, now));
            }
        }
        let lost: Vec<EngineId> =
            self.known.keys().filter(|id| state.engines.get(id).is_none()).cloned().collect();
        for id in lost {
            self.version += 1;
            self.known.shift_remove(&id);
            self.gone.push((self.version, id));
        }
        self.version != before
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// What changed since a version.
    pub(super) fn since(&self, node: &Node, since: u64) -> ListNews {
        let state = node.state.borrow();
        let whole = since == 0 || self.gone.len() > MOST_GONE;
        let newer = self.known.iter().filter(|(_, (version, _))| whole || *version > since);
        let engines = newer.filter_map(|(id, _)| state.engines.get(id).map(passed)).collect();
        let gone = self.gone.iter().filter(|(version, _)| *version > since);
        let gone = gone.map(|(_, id)| id.clone()).collect();
        ListNews { version: self.version, whole, engines, gone }
    }
}

fn passed(engine: &Engine) -> Passed {
    let listed = &engine.listed;
    Passed {
        engine: listed.id.clone(),
        service: listed.service.0.clone(),
        addr: listed.addr,
        domain: listed.domain.clone(),
        slots: listed.slots,
        leaving: listed.standing != Standing::Ready,
        cold: listed.cold_ms > 0,
        held: listed.held.clone(),
    }
}
