//! The leader of a failure domain: the only sender of orders to the engines of its domain.
//!
//! It does no I/O: it takes events with the time and returns actions. Every node of the domain
//! applies the entries of the log stream, but only the node with the lease produces actions.

mod domain;
mod drain;
mod engine;
mod engine_state;
mod floor_eviction;
mod intents;
mod load_requests;
mod orders;
mod plan;
mod publish;
mod replicas;
mod settings;

use std::sync::Arc;
use std::time::Duration;

use hgw_config::Document;
use hgw_types::{AdapterId, DomainId, MemSize, ModelId, Offset, RecordId, Term, Time, UpstreamId};
use hgw_wire::peer::Holding;
use indexmap::{IndexMap, IndexSet};

pub use settings::{LeaderSettings, SEND_WINDOW};

use crate::{
    DemandPlanner, DemandSettings, LeaderAction, LeaderEntry, LeaderEvent, WeightStoreShare,
};
use domain::Domain;
use engine::Engine;
use intents::Intents;
use load_requests::AvailableItems;
use orders::OrderInFlight;

/// The leader of one failure domain.
#[derive(Debug)]
pub struct Leader {
    settings: LeaderSettings,
    boot: u64,
    seq: u64,
    domain: Domain,
    intents: Intents,
    leaving: Vec<UpstreamId>,
    log_up: bool,
    /// Set while this node has the lease.
    term: Option<Term>,
    term_began: Time,
    /// When this term's first placement was published.
    first_published: Option<Time>,
    engines: IndexMap<UpstreamId, Engine>,
    orders_in_flight: IndexMap<RecordId, OrderInFlight>,
    /// The pending record that settles intents.
    settle_record: Option<RecordId>,
    weight_store: WeightStoreShare,
    demand: DemandPlanner,
    demand_due: Time,
    /// Loads requested by the demand planner that are not ready yet, with the time of the request.
    replicas: IndexMap<(UpstreamId, ModelId), Time>,
    /// Models with unmet requests in this domain, with the time of the last one.
    unmet_models: IndexMap<ModelId, Time>,
    /// Adapters that callers requested and no engine had, with the time of the last request.
    adapters: IndexMap<(ModelId, AdapterId), Time>,
    /// Since when a floor replica has found no memory on its engine.
    waiting_for_memory: IndexMap<(UpstreamId, ModelId), Time>,
    available: AvailableItems,
    planned_at: Option<Time>,
    placement: IndexMap<UpstreamId, Holding>,
    published_unreachable: Option<Vec<UpstreamId>>,
}

impl Leader {
    /// Creates a leader without the lease. `boot` is a random number of this process that makes its
    /// ids unique.
    pub fn new(settings: LeaderSettings, domain: DomainId, boot: u64) -> Leader {
        Leader {
            settings,
            boot,
            seq: 0,
            domain: Domain::new(domain),
            intents: Intents::default(),
            leaving: Vec::new(),
            log_up: true,
            term: None,
            term_began: Time::ZERO,
            first_published: None,
            engines: IndexMap::new(),
            orders_in_flight: IndexMap::new(),
            settle_record: None,
            weight_store: WeightStoreShare::default(),
            demand: DemandPlanner::new(DemandSettings::default(), boot),
            demand_due: Time::ZERO,
            replicas: IndexMap::new(),
            unmet_models: IndexMap::new(),
            adapters: IndexMap::new(),
            waiting_for_memory: IndexMap::new(),
            available: AvailableItems::default(),
            planned_at: None,
            placement: IndexMap::new(),
            published_unreachable: None,
        }
    }

    /// Handles one event and appends the resulting actions to `out`. `now` must not decrease.
    pub fn handle(&mut self, now: Time, event: LeaderEvent, out: &mut Vec<LeaderAction>) {
        let interval = match event {
            LeaderEvent::Tick => self.settings.plan_idle,
            _ => self.settings.plan_busy,
        };
        match event {
            LeaderEvent::Config { version, document } => self.configure(now, version, document),
            LeaderEvent::Floor(floor) => self.domain.set_floor(floor),
            LeaderEvent::LeaseAcquired(term) => self.begin_term(now, term),
            LeaderEvent::LeaseLost => self.end_term(),
            LeaderEvent::Apply { id, entry } => self.apply(now, id, entry, out),
            LeaderEvent::Restore(entries) => self.intents.restore(entries),
            LeaderEvent::Dropped(id) => self.dropped(now, id),
            LeaderEvent::State { upstream, asked, state } => {
                self.handle_state(now, &upstream, asked, state.as_ref());
            }
            LeaderEvent::OrderResult { order, result } => self.handle_result(now, order, &result),
            LeaderEvent::Demand(demand) => self.handle_demand(now, &demand),
            LeaderEvent::Leaving(leaving) => self.leaving = leaving,
            LeaderEvent::LogUp(up) => self.log_up = up,
            LeaderEvent::Tick => {}
        }
        if self.term.is_some() {
            self.step(now, interval, out);
        }
    }

    /// The open intents, which a snapshot of the log stream must contain.
    pub fn snapshot(&self) -> Vec<LeaderEntry> {
        self.intents.snapshot()
    }

    /// Ready items of each engine that accept requests.
    pub fn placement(&self) -> &IndexMap<UpstreamId, Holding> {
        &self.placement
    }

    /// Whether the state of every engine has been read, or the engine found unreachable, since the
    /// lease was acquired.
    pub fn is_complete(&self) -> bool {
        self.term.is_some() && self.engines.values().all(|e| !e.configured || e.is_known())
    }

    /// Unreachable engines.
    pub fn unreachable(&self) -> Vec<UpstreamId> {
        let unreachable = self.engines.iter().filter(|(_, e)| e.configured && e.unreachable);
        unreachable.map(|(id, _)| id.clone()).collect()
    }

    /// Reserved memory of an engine, while this node is leader.
    pub fn reserved(&self, engine: &UpstreamId) -> Option<MemSize> {
        self.engines.get(engine).map(|e| e.ledger.reserved())
    }

    fn configure(&mut self, now: Time, version: Offset, document: Arc<Document>) {
        self.domain.set_document(version, document);
        if self.term.is_some() {
            self.sync_engines(now);
        }
    }

    fn begin_term(&mut self, now: Time, term: Term) {
        self.end_term();
        self.term = Some(term);
        self.term_began = now;
        self.weight_store = WeightStoreShare::new(now);
        self.sync_engines(now);
    }

    /// Clears the state of the term. The next leader accounts for orders that were sent before.
    fn end_term(&mut self) {
        self.term = None;
        self.first_published = None;
        self.demand = DemandPlanner::new(DemandSettings::default(), self.boot);
        self.engines.clear();
        self.orders_in_flight.clear();
        self.settle_record = None;
        self.replicas.clear();
        self.unmet_models.clear();
        self.adapters.clear();
        self.waiting_for_memory.clear();
        self.planned_at = None;
        self.placement.clear();
        self.published_unreachable = None;
    }

    /// Updates the engines from the configuration. An engine removed from the configuration is
    /// kept, since orders to it may still take effect if it is added again.
    fn sync_engines(&mut self, now: Time) {
        self.weight_store.configure(self.domain.document(), self.domain.id());
        let configured: IndexSet<UpstreamId> =
            self.domain.engines().map(|(id, _)| id.clone()).collect();
        for (id, engine) in &mut self.engines {
            engine.configured = configured.contains(id);
        }
        for id in &configured {
            let Some(upstream) = self.domain.upstream(id) else { continue };
            if let Some(engine) = self.engines.get_mut(id) {
                engine.reconfigure(now, upstream);
                continue;
            }
            let mut engine = Engine::new(now, upstream);
            let expires_at = self.term_began + settings::successor_wait(engine.late_order_bound);
            for (order, kind) in self.intents.of_engine(id) {
                engine.ledger.inherit(order, &kind, expires_at);
            }
            self.engines.insert(id.clone(), engine);
        }
    }

    /// Runs all steps in the order of their dependencies.
    ///
    /// Planning looks at all engines while events arrive many times a second, so it runs at most
    /// once per `interval`.
    fn step(&mut self, now: Time, interval: Duration, out: &mut Vec<LeaderAction>) {
        self.poll(now, out);
        self.close_orders(now, out);
        self.retry_orders(now, out);
        if self.planned_at.is_some_and(|t| now.since(t) < interval) {
            return;
        }
        self.planned_at = Some(now);
        self.plan_demand(now);
        self.plan_loads(now, out);
        self.plan_retirement(now);
        self.evict_drained(now, out);
        self.publish(now, out);
    }

    fn next_id(&mut self) -> RecordId {
        self.seq += 1;
        RecordId { boot: self.boot, seq: self.seq }
    }
}
