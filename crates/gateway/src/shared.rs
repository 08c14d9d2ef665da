use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use hgw_direct::aggregation::Aggregator;
use hgw_direct::hubs::{Hubs, Member, Parent, poll_interval_factor};
use hgw_direct::in_flight::EngineKey;
use hgw_direct::{
    AttemptOutcome, Engine, EngineId, KnownEra, ListVersion, Millis, RetryBudgetLimits,
    is_isolated, polls_store,
};
use hgw_events::{Event, emit};
use hgw_http1::ConnectLimits;
use indexmap::IndexSet;
use rand::random;
use tokio::sync::Notify;

use crate::Settings;
use crate::backoff::Backoff;
use crate::clock::Clock;
use crate::dialect::{Cursor, Dialects};
use crate::holder::Holding;
use crate::keeper::KeeperState;
use crate::peers::{Children, Placements, Sends};
use crate::pool::Pool;
use crate::proof::{self, Proofs};
use crate::quotas::Quotas;
use crate::state::State;
use crate::stop::Stopping;
use crate::turn::Turns;

/// Longest time to connect to an engine: it is a few milliseconds away, or gone.
const CONNECT: Duration = Duration::from_millis(300);

/// Longest time that bytes sent to an engine stay unacknowledged.
const UNACKED: Duration = Duration::from_secs(1);

/// Everything that the tasks of a node share.
pub(crate) struct Shared {
    pub(crate) settings: RefCell<Settings>,
    pub(crate) dialects: Dialects,
    pub(crate) clock: Clock,
    pub(crate) pool: Pool,
    pub(crate) state: RefCell<State>,
    pub(crate) holding: RefCell<Holding>,
    pub(crate) keeper: RefCell<KeeperState>,
    pub(crate) stop: Stopping,
    pub(crate) sends: Sends,
    pub(crate) turns: Turns,
    pub(crate) backoff: Backoff,
    /// That its configuration is the newest.
    pub(crate) proofs: Proofs,
    /// What customers may use.
    pub(crate) quotas: Quotas,
    /// What is at engines, as nodes tell each other.
    pub(crate) sums: RefCell<Aggregator>,
    /// Engines that could not be reached, of which this node looks whether they are back.
    pub(crate) watched: RefCell<IndexSet<EngineKey>>,
    /// Told whenever another node says that an engine cannot be reached, or can be again.
    pub(crate) dark: Notify,
    /// Nodes that ask this one for what is new.
    pub(crate) children: Children,
    /// What is new of what engines hold.
    pub(crate) placements: RefCell<Placements>,
    /// Nodes of this one's domain that pass on what the keeper tells.
    pub(crate) heads: RefCell<Hubs>,
    /// All nodes, where this one has read of them.
    pub(crate) members: RefCell<Vec<Member>>,
    /// Told whenever there is news for those that ask this node.
    pub(crate) news: Notify,
    /// Parts this node from others in what only some of them do.
    pub(crate) draw: u32,
    /// Whether the list is longer than another node tells, so that this one reads it itself.
    pub(crate) reads_list: Cell<bool>,
    /// The life of the store that this node knows of.
    pub(crate) era: Cell<KnownEra>,
    /// When the store last answered.
    pub(crate) store_heard: Cell<Millis>,
    /// When this node last read the list of engines.
    pub(crate) list_read: Cell<Millis>,
    /// Up to when this node has what the store tells, by its own reading or the keeper's.
    followed_at: Cell<Option<Millis>>,
    /// Whether the node that is taken for the keeper says that it is not.
    pub(crate) keeper_refuses: Cell<bool>,
    /// The newest configuration that the keeper told of.
    told_catalog: Cell<u64>,
    /// A version of the configuration, and how far in the store's log of it there is no newer one.
    pub(crate) catalog_at: Cell<Option<(u64, Cursor)>>,
    /// Whether this node is taking a newer configuration from one that asks it.
    pub(crate) takes_catalog: Cell<bool>,
    /// Told when the keeper has news of the configuration.
    pub(crate) catalog_news: Notify,
    /// Whether this node reaches neither the store nor engines elsewhere.
    cut_off: Cell<bool>,
    /// Told whenever an engine is seen to hold something new.
    pub(crate) placed: Notify,
    /// Told whenever an engine is seen to have started anew.
    pub(crate) started_anew: Notify,
}

/// By whose word this node knows its list of engines.
#[derive(Debug, Clone, Copy, Display)]
pub(crate) enum ListedBy {
    /// It has read it in the store.
    #[display("store")]
    Store,
    /// Another node tells it.
    #[display("peer")]
    Peer,
    /// It has found something out without reading on.
    #[display("known")]
    Known,
}

/// The node as its tasks see it.
pub(crate) type Node = Rc<Shared>;

impl Shared {
    pub(crate) fn new(settings: Settings, dialects: Dialects) -> Node {
        Rc::new(Shared {
            settings: RefCell::new(settings),
            dialects,
            clock: Clock::start(),
            pool: Pool::default(),
            state: RefCell::new(State { nodes: 1, ..State::default() }),
            holding: RefCell::default(),
            keeper: RefCell::default(),
            stop: Stopping::default(),
            sends: Sends::default(),
            turns: Turns::default(),
            backoff: Backoff::default(),
            proofs: Proofs::default(),
            quotas: Quotas::default(),
            sums: RefCell::default(),
            watched: RefCell::default(),
            dark: Notify::new(),
            children: Children::default(),
            placements: RefCell::default(),
            heads: RefCell::default(),
            members: RefCell::default(),
            news: Notify::new(),
            draw: random(),
            reads_list: Cell::new(false),
            era: Cell::default(),
            store_heard: Cell::new(0),
            list_read: Cell::new(0),
            followed_at: Cell::new(None),
            keeper_refuses: Cell::new(false),
            told_catalog: Cell::new(0),
            catalog_at: Cell::new(None),
            takes_catalog: Cell::new(false),
            catalog_news: Notify::new(),
            cut_off: Cell::new(false),
            placed: Notify::new(),
            started_anew: Notify::new(),
        })
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.since.get().is_some()
    }

    /// Whether callers are to be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let knows = state.catalog.is_some() && state.listed;
        knows && !self.is_stopping() && !self.cut_off.get() && proof::holds(self)
    }

    /// The keeper told what the store told it at this time.
    pub(crate) fn followed(&self, at: Millis) {
        self.followed_at.set(self.followed_at.get().max(Some(at)));
        self.store_heard.set(self.store_heard.get().max(at));
    }

    /// The keeper's last renewal, by its own books or its word.
    pub(crate) fn last_renewal(&self) -> Option<(Cursor, u64)> {
        let holding = self.holding.borrow();
        if holding.is_mine() {
            return holding.last_renewal();
        }
        holding.silence.last_renewal(self.now())
    }

    /// Age of what this node has of the store, by its own reading or the keeper's.
    pub(crate) fn word_age(&self) -> Millis {
        let told = self.followed_at.get().unwrap_or(0).max(self.list_read.get());
        self.now().saturating_sub(told)
    }

    /// Whom this node asks for what is new; nobody where it is the keeper, or knows of no keeper and no head.
    pub(crate) fn parent(&self) -> Option<(Parent, SocketAddr)> {
        if self.holding.borrow().is_mine() {
            return None;
        }
        let keeper = self.holding.borrow().keeper.as_ref().map(|k| k.addr);
        let me = self.settings.borrow().peers;
        let parent = self.heads.borrow().parent(me, keeper, self.now());
        match parent {
            Parent::Hub(addr) => Some((parent, addr)),
            Parent::Leader => keeper.map(|addr| (parent, addr)),
        }
    }

    /// Whether this node asks a head of its domain, and not the keeper itself.
    pub(crate) fn has_head(&self) -> bool {
        matches!(self.parent(), Some((Parent::Hub(_), _)))
    }

    /// Whether the keeper has told this node anything yet.
    pub(crate) fn was_followed(&self) -> bool {
        self.followed_at.get().is_some()
    }

    /// Whether the keeper tells what the store does, so that this node need not read it.
    ///
    /// Load: the keeper ends, and all nodes read at the same moment. The nodes that pass on read first; what they read
    /// reaches their domains before the others would.
    pub(crate) fn is_followed(&self) -> bool {
        let keeps = self.holding.borrow().is_mine();
        let longest = self.settings.borrow().followed_for(self.has_head()).as_millis() as Millis;
        let age = self.followed_at.get().map(|at| self.now().saturating_sub(at));
        !keeps && !self.keeper_refuses.get() && age.is_some_and(|age| age < longest)
    }

    /// The keeper has a configuration.
    pub(crate) fn catalog_told(&self, version: u64) {
        self.told_catalog.set(version);
        if self.lacks_catalog() {
            self.catalog_news.notify_waiters();
        }
    }

    /// Whether the keeper told of a newer configuration than this node has.
    pub(crate) fn lacks_catalog(&self) -> bool {
        let has = self.state.borrow().catalog.as_ref().map_or(0, |c| c.version);
        has < self.told_catalog.get()
    }

    /// By how much nodes hold back, so that the keeper is asked as often by many as by ten.
    pub(crate) fn crowd(&self) -> u32 {
        let nodes = self.state.borrow().nodes;
        poll_interval_factor(nodes, nodes)
    }

    /// Whether this node reads the list when nobody reads it for all.
    pub(crate) fn reads_on(&self) -> bool {
        polls_store(&self.state.borrow().engines, self.crowd(), self.draw)
    }

    /// Whether callers are better served by other nodes, to which their next connection leads them.
    pub(crate) fn sends_away(&self) -> bool {
        self.is_stopping() || self.cut_off.get() || !proof::holds(self)
    }

    /// Looks whether this node is cut off.
    pub(crate) fn look_around(&self) {
        let now = self.now();
        let silent_for = now.saturating_sub(self.store_heard.get());
        let cut_off = {
            let (state, settings) = (self.state.borrow(), self.settings.borrow());
            is_isolated(silent_for, &state.engines, &settings.domain, now)
        };
        if cut_off != self.cut_off.replace(cut_off) {
            let node = self.settings.borrow().node.clone();
            emit(Event::ReadinessChanged, &[("node", &node), ("ready", &self.is_ready())]);
        }
    }

    /// Ends what was begun at engines that have started anew: their connections, and waits for their answers.
    pub(crate) fn look_for_starts(&self) {
        let anew = self.state.borrow_mut().engines.take_restarted();
        for addr in &anew {
            self.pool.forget(*addr);
            let node = &self.settings.borrow().node;
            emit(Event::EngineStartedAnew, &[("node", node), ("addr", addr)]);
        }
        if !anew.is_empty() {
            self.started_anew.notify_waiters();
        }
    }

    /// The list of engines goes as far as this now, by the word of the store or of another node.
    pub(crate) fn listed_to(&self, place: ListVersion, by: ListedBy) {
        let changes = {
            let mut state = self.state.borrow_mut();
            let State { engines, listing, list_at, listed, .. } = &mut *state;
            *listed = true;
            *list_at = (*list_at).max(Some(place));
            listing.update(engines, place.position())
        };
        let node = &self.settings.borrow().node;
        for change in &changes {
            emit(
                Event::EngineStands,
                &[
                    ("node", node),
                    ("upstream", &change.engine),
                    ("standing", change),
                    ("by", &by),
                    ("place", &place.position()),
                ],
            );
        }
    }

    pub(crate) fn budget_limits(&self) -> RetryBudgetLimits {
        let settings = self.settings.borrow();
        RetryBudgetLimits {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window.as_millis() as Millis,
            nodes: self.state.borrow().nodes,
        }
    }

    pub(crate) fn connect_limits(&self) -> ConnectLimits {
        ConnectLimits { connect: CONNECT, silence: UNACKED }
    }

    /// Takes in what became of a request at an engine.
    pub(crate) fn saw(&self, engine: &EngineId, verdict: AttemptOutcome) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(known) = state.engines.get_mut(engine) else { return };
        let Some(opinion) = known.health.record(now, verdict) else { return };
        let failing = format!("{:.2}", known.health.failure_rate(now));
        let node = &self.settings.borrow().node;
        emit(
            Event::EngineJudged,
            &[("node", node), ("upstream", engine), ("opinion", &opinion), ("failing", &failing)],
        );
    }

    /// Whether another node could not reach an engine.
    pub(crate) fn is_dark(&self, engine: &EngineId) -> bool {
        let now = self.now();
        self.engine(engine, |e| e.health.is_reported_unreachable(now)).unwrap_or(false)
    }

    /// A byte came from an engine.
    pub(crate) fn heard(&self, engine: &EngineId) {
        let now = self.now();
        if let Some(engine) = self.state.borrow_mut().engines.get_mut(engine) {
            engine.last_heard = now;
        }
    }

    /// A connection to an engine has broken: that it was heard a moment ago speaks no more for it.
    pub(crate) fn broke(&self, engine: &EngineId) {
        if let Some(engine) = self.state.borrow_mut().engines.get_mut(engine) {
            engine.last_heard = 0;
        }
    }

    /// Time since the last byte came from an engine.
    pub(crate) fn silent_for(&self, engine: &EngineId) -> Duration {
        let state = self.state.borrow();
        let heard = state.engines.get(engine).map_or(0, |e| e.last_heard);
        Duration::from_millis(self.now().saturating_sub(heard))
    }

    pub(crate) fn engine<R>(&self, id: &EngineId, look: impl FnOnce(&Engine) -> R) -> Option<R> {
        self.state.borrow().engines.get(id).map(look)
    }
}
