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

use crate::{DemandPlanner, DemandSettings, LeaderAction, LeaderEntry, LeaderEvent, Shares};
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
    gained: Time,
    /// When this term's first placement was published.
    first_published: Option<Time>,
    engines: IndexMap<UpstreamId, Engine>,
    orders_in_flight: IndexMap<RecordId, OrderInFlight>,
    /// The pending record that settles intents.
    settling: Option<RecordId>,
    shares: Shares,
    demand: DemandPlanner,
    demand_due: Time,
    /// Loads requested by the demand planner that are not ready yet, with the time of the request.
    replicas: IndexMap<(UpstreamId, ModelId), Time>,
    /// Models with unmet requests in this domain, with the time of the last one.
    missing: IndexMap<ModelId, Time>,
    /// Adapters that callers requested and no engine had, with the time of the last request.
    adapters: IndexMap<(ModelId, AdapterId), Time>,
    /// Since when a floor replica has found no memory on its engine.
    no_room: IndexMap<(UpstreamId, ModelId), Time>,
    available: AvailableItems,
    planned: Option<Time>,
    placement: IndexMap<UpstreamId, Holding>,
    published_lost: Option<Vec<UpstreamId>>,
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
            gained: Time::ZERO,
            first_published: None,
            engines: IndexMap::new(),
            orders_in_flight: IndexMap::new(),
            settling: None,
            shares: Shares::default(),
            demand: DemandPlanner::new(DemandSettings::default(), boot),
            demand_due: Time::ZERO,
            replicas: IndexMap::new(),
            missing: IndexMap::new(),
            adapters: IndexMap::new(),
            no_room: IndexMap::new(),
            available: AvailableItems::default(),
            planned: None,
            placement: IndexMap::new(),
            published_lost: None,
        }
    }

    /// Handles one event and appends the resulting actions to `out`. `now` must not decrease.
    pub fn handle(&mut self, now: Time, event: LeaderEvent, out: &mut Vec<LeaderAction>) {
        let every = match event {
            LeaderEvent::Tick => self.settings.plan_idle,
            _ => self.settings.plan_busy,
        };
        match event {
            LeaderEvent::Config { version, document } => self.configure(now, version, document),
            LeaderEvent::Floor(floor) => self.domain.set_floor(floor),
            LeaderEvent::LeaseAcquired(term) => self.gain(now, term),
            LeaderEvent::LeaseLost => self.lose(),
            LeaderEvent::Apply { id, entry } => self.apply(now, id, entry, out),
            LeaderEvent::Restore(entries) => self.intents.restore(entries),
            LeaderEvent::Dropped(id) => self.dropped(now, id),
            LeaderEvent::State { upstream, asked, state } => {
                self.take_state(now, &upstream, asked, state.as_ref());
            }
            LeaderEvent::Answer { order, result } => self.answered(now, order, &result),
            LeaderEvent::Demand(demand) => self.take_demand(now, &demand),
            LeaderEvent::Leaving(leaving) => self.leaving = leaving,
            LeaderEvent::LogUp(up) => self.log_up = up,
            LeaderEvent::Tick => {}
        }
        if self.term.is_some() {
            self.step(now, every, out);
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
    pub fn lost(&self) -> Vec<UpstreamId> {
        let lost = self.engines.iter().filter(|(_, e)| e.configured && e.lost);
        lost.map(|(id, _)| id.clone()).collect()
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

    fn gain(&mut self, now: Time, term: Term) {
        self.lose();
        self.term = Some(term);
        self.gained = now;
        self.shares = Shares::new(now);
        self.sync_engines(now);
    }

    /// Clears the state of the term. The next leader accounts for orders that were sent before.
    fn lose(&mut self) {
        self.term = None;
        self.first_published = None;
        self.demand = DemandPlanner::new(DemandSettings::default(), self.boot);
        self.engines.clear();
        self.orders_in_flight.clear();
        self.settling = None;
        self.replicas.clear();
        self.missing.clear();
        self.adapters.clear();
        self.no_room.clear();
        self.planned = None;
        self.placement.clear();
        self.published_lost = None;
    }

    /// Updates the engines from the configuration. An engine removed from the configuration is
    /// kept, since orders to it may still take effect if it is added again.
    fn sync_engines(&mut self, now: Time) {
        self.shares.configure(self.domain.document(), self.domain.id());
        let wanted: IndexSet<UpstreamId> =
            self.domain.engines().map(|(id, _)| id.clone()).collect();
        for (id, engine) in &mut self.engines {
            engine.configured = wanted.contains(id);
        }
        for id in &wanted {
            let Some(upstream) = self.domain.upstream(id) else { continue };
            if let Some(engine) = self.engines.get_mut(id) {
                engine.reconfigure(now, upstream);
                continue;
            }
            let mut engine = Engine::new(now, upstream);
            let dead_at = self.gained + settings::successor_wait(engine.late);
            for (order, kind) in self.intents.of(id) {
                engine.ledger.inherit(order, &kind, dead_at);
            }
            self.engines.insert(id.clone(), engine);
        }
    }

    /// Runs all steps in the order of their dependencies.
    ///
    /// Planning looks at all engines while events arrive many times a second, so it runs at most
    /// once per `every`.
    fn step(&mut self, now: Time, every: Duration, out: &mut Vec<LeaderAction>) {
        self.poll(now, out);
        self.close_orders(now, out);
        self.repeat_orders(now, out);
        if self.planned.is_some_and(|t| now.since(t) < every) {
            return;
        }
        self.planned = Some(now);
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
