//! The keeper of a failure domain: the only sender of orders to the engines of its domain.
//!
//! Pure: it is told events and the time, and asks for actions. Every node of the domain feeds it the
//! entries of the scope's stream; only the holder of the scope gets anything done by it.
//!
//! | file | what it does |
//! |---|---|
//! | `intents` | folds the stream: orders that may still take effect |
//! | `domain` | what configuration and floor say of this domain |
//! | `engine` | one engine: its ledger, and how far it is counted |
//! | `reading` | raises fencing numbers, reads states, finds lost engines |
//! | `orders` | records, sends and repeats orders |
//! | `wants` | which engine should hold what |
//! | `plan` | turns wants into loads, and makes room for them |
//! | `replicas` | asks the demand planner, and begins its moves |
//! | `room` | makes way for floor copies that find no room |
//! | `retire` | what is to go, and evicts it once nobody uses it |
//! | `publish` | tells the others what is ready where |

mod domain;
mod engine;
mod intents;
mod orders;
mod plan;
mod publish;
mod reading;
mod replicas;
mod retire;
mod room;
mod settings;
mod wants;

use std::sync::Arc;
use std::time::Duration;

use hgw_config::Document;
use hgw_types::{AdapterId, DomainId, MemSize, ModelId, Offset, RecordId, Term, Time, UpstreamId};
use hgw_wire::peer::Holding;
use indexmap::{IndexMap, IndexSet};

pub use settings::{KeeperSettings, SEND_WINDOW};

use crate::{DemandPlanner, DemandSettings, KeeperAction, KeeperEntry, KeeperEvent, Shares};
use domain::Domain;
use engine::Engine;
use intents::Intents;
use orders::Flight;
use wants::Homes;

/// The keeper of one failure domain.
#[derive(Debug)]
pub struct Keeper {
    settings: KeeperSettings,
    boot: u64,
    seq: u64,
    domain: Domain,
    intents: Intents,
    leaving: Vec<UpstreamId>,
    log_up: bool,
    /// Set while this node holds the scope.
    term: Option<Term>,
    gained: Time,
    /// When the first placement of this term was published.
    opened: Option<Time>,
    engines: IndexMap<UpstreamId, Engine>,
    flights: IndexMap<RecordId, Flight>,
    /// The record under way of intents that can have no effect any more.
    settling: Option<RecordId>,
    shares: Shares,
    demand: DemandPlanner,
    demand_due: Time,
    /// Loads that the demand planner asked for and that are not held yet, with when it asked.
    replicas: IndexMap<(UpstreamId, ModelId), Time>,
    /// Models that callers of this domain asked for and found on no engine of it.
    missing: IndexMap<ModelId, Time>,
    /// Adapters that callers asked for and found on no engine, with when they last did.
    adapters: IndexMap<(ModelId, AdapterId), Time>,
    /// Since when a version has found no room in the whole domain.
    no_room: IndexMap<(UpstreamId, ModelId), Time>,
    homes: Homes,
    planned: Option<Time>,
    placement: IndexMap<UpstreamId, Holding>,
    told_lost: Option<Vec<UpstreamId>>,
}

impl Keeper {
    /// A keeper that holds nothing. `boot` is drawn at random by the process; it makes ids unique.
    pub fn new(settings: KeeperSettings, domain: DomainId, boot: u64) -> Keeper {
        Keeper {
            settings,
            boot,
            seq: 0,
            domain: Domain::new(domain),
            intents: Intents::default(),
            leaving: Vec::new(),
            log_up: true,
            term: None,
            gained: Time::ZERO,
            opened: None,
            engines: IndexMap::new(),
            flights: IndexMap::new(),
            settling: None,
            shares: Shares::default(),
            demand: DemandPlanner::new(DemandSettings::default(), boot),
            demand_due: Time::ZERO,
            replicas: IndexMap::new(),
            missing: IndexMap::new(),
            adapters: IndexMap::new(),
            no_room: IndexMap::new(),
            homes: Homes::default(),
            planned: None,
            placement: IndexMap::new(),
            told_lost: None,
        }
    }

    /// Takes one event at time `now`, which never goes back, and adds the actions that follow.
    pub fn handle(&mut self, now: Time, event: KeeperEvent, out: &mut Vec<KeeperAction>) {
        let every = match event {
            KeeperEvent::Tick => self.settings.plan_idle,
            _ => self.settings.plan_busy,
        };
        match event {
            KeeperEvent::Config { version, document } => self.configure(now, version, document),
            KeeperEvent::Floor(floor) => self.domain.set_floor(floor),
            KeeperEvent::Gained(term) => self.gain(now, term),
            KeeperEvent::Lost => self.lose(),
            KeeperEvent::Apply { id, entry } => self.apply(now, id, entry, out),
            KeeperEvent::Restore(entries) => self.intents.restore(entries),
            KeeperEvent::Dropped(id) => self.dropped(now, id),
            KeeperEvent::State { upstream, asked, state } => {
                self.take_state(now, &upstream, asked, state.as_ref());
            }
            KeeperEvent::Answer { order, result } => self.answered(now, order, &result),
            KeeperEvent::Demand(demand) => self.take_demand(now, &demand),
            KeeperEvent::Leaving(leaving) => self.leaving = leaving,
            KeeperEvent::LogUp(up) => self.log_up = up,
            KeeperEvent::Tick => {}
        }
        if self.term.is_some() {
            self.step(now, every, out);
        }
    }

    /// The open intents: what a snapshot of the scope's stream must hold.
    pub fn snapshot(&self) -> Vec<KeeperEntry> {
        self.intents.snapshot()
    }

    /// What each engine of the domain holds ready and may be given work for.
    pub fn placement(&self) -> &IndexMap<UpstreamId, Holding> {
        &self.placement
    }

    /// Whether every engine has been read, or given up, since the scope was gained.
    pub fn is_complete(&self) -> bool {
        self.term.is_some() && self.engines.values().all(|e| !e.configured || e.is_known())
    }

    /// Engines that do not answer.
    pub fn lost(&self) -> Vec<UpstreamId> {
        let lost = self.engines.iter().filter(|(_, e)| e.configured && e.lost);
        lost.map(|(id, _)| id.clone()).collect()
    }

    /// Memory of an engine that is, or may come to be, in use, while this node holds the scope.
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

    /// Forgets all that only the holder may act on. Orders sent before are the successor's to count.
    fn lose(&mut self) {
        self.term = None;
        self.opened = None;
        self.demand = DemandPlanner::new(DemandSettings::default(), self.boot);
        self.engines.clear();
        self.flights.clear();
        self.settling = None;
        self.replicas.clear();
        self.missing.clear();
        self.adapters.clear();
        self.no_room.clear();
        self.planned = None;
        self.placement.clear();
        self.told_lost = None;
    }

    /// Brings the engines in line with the configuration. An engine that left the configuration is
    /// kept, since orders to it may still take effect if it comes back.
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

    /// Everything that may have become possible, in the order in which one thing allows the next.
    ///
    /// The plan looks at all engines, and events come many a second: it is made at most once in
    /// `every`.
    fn step(&mut self, now: Time, every: Duration, out: &mut Vec<KeeperAction>) {
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
