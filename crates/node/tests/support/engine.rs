use hgw_placement::OrderResult;
use hgw_types::{Generation, MemSize, Term, UpstreamId};
use hgw_wire::peer::Work;
use hgw_wire::upstream::{
    EngineState, HeldAdapter, HeldModel, LoadReport, Order, OrderKind, OrderOutcome,
};
use indexmap::{IndexMap, IndexSet};

/// Model engines and plain services, which do at once what they are told.
#[derive(Default)]
pub(crate) struct Engines {
    pub(crate) states: IndexMap<UpstreamId, EngineState>,
    pub(crate) dead: IndexSet<UpstreamId>,
    pub(crate) leaving: IndexSet<UpstreamId>,
    /// Orders that would have held more than the engine has.
    pub(crate) overcommits: u32,
}

impl Engines {
    pub(crate) fn add(&mut self, upstream: &UpstreamId, memory: MemSize) {
        let state = EngineState { generation: Generation(1), memory, ..EngineState::default() };
        self.states.insert(upstream.clone(), state);
    }

    pub(crate) fn state(&self, upstream: &UpstreamId) -> Option<EngineState> {
        self.states.get(upstream).filter(|_| !self.dead.contains(upstream)).cloned()
    }

    pub(crate) fn load(&self, upstream: &UpstreamId) -> Option<LoadReport> {
        let leaving = self.leaving.contains(upstream);
        (!self.dead.contains(upstream)).then(|| LoadReport { leaving, ..LoadReport::default() })
    }

    pub(crate) fn order(&mut self, upstream: &UpstreamId, order: &Order) -> Option<OrderResult> {
        if self.dead.contains(upstream) {
            return Some(OrderResult::Lost);
        }
        let state = self.states.get_mut(upstream)?;
        if order.fence < state.fence {
            let current = state.fence;
            return Some(OrderResult::Answered(OrderOutcome::OldFence { current }));
        }
        state.fence = Term(order.fence.0.max(state.fence.0));
        apply(state, &order.kind);
        let held: u64 = state
            .models
            .iter()
            .map(|m| m.size.0)
            .chain(state.adapters.iter().map(|a| a.size.0))
            .sum();
        self.overcommits += u32::from(held > state.memory.0);
        Some(OrderResult::Answered(OrderOutcome::Done))
    }
}

fn apply(state: &mut EngineState, kind: &OrderKind) {
    match kind.clone() {
        OrderKind::Load { model, version, size } => {
            state.models.push(HeldModel { model, version, size, ready: true, active: 0 });
        }
        OrderKind::Evict { model, version } => {
            state.models.retain(|m| m.model != model || m.version != version);
        }
        OrderKind::LoadAdapter { model, adapter, version, size } => {
            state.adapters.push(HeldAdapter { model, adapter, version, size, ready: true });
        }
        OrderKind::EvictAdapter { model, adapter, version } => {
            state
                .adapters
                .retain(|a| a.model != model || a.adapter != adapter || a.version != version);
        }
        OrderKind::Fence | OrderKind::Role { .. } => {}
    }
}

/// Tokens that a request says its caller has.
pub(crate) fn resumed(work: &Work) -> u32 {
    match work {
        Work::Model(work) => work.resume.len() as u32,
        Work::Plain(_) => 0,
    }
}

pub(crate) fn describe(kind: &OrderKind) -> String {
    match kind {
        OrderKind::Fence => "fence".to_owned(),
        OrderKind::Load { model, version, size } => format!("load {model}@{version} of {size}"),
        OrderKind::Evict { model, version } => format!("evict {model}@{version}"),
        OrderKind::LoadAdapter { model, adapter, version, .. } => {
            format!("load {model}:{adapter}@{version}")
        }
        OrderKind::EvictAdapter { model, adapter, version } => {
            format!("evict {model}:{adapter}@{version}")
        }
        OrderKind::Role { role } => format!("role {role:?}"),
    }
}
