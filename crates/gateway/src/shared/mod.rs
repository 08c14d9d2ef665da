//! State shared by the tasks of a node.

mod catalog;
mod engines;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::aggregation::Aggregator;
use hgw_direct::engine_speed::SpeedExchange;
use hgw_direct::hubs::{Hubs, NodeDirectory, Parent, poll_interval_factor};
use hgw_direct::unreachable::ProbedEngines;
use hgw_direct::{
    AdmittedVersions, CatalogLag, CrashHistory, EngineLimits, Forwarders, KnownEra, LagEffect,
    ListChanges, Millis, ResponseSize, RetryBudgetLimits, RetryOutcomes, StreamVersions,
    is_isolated, polls_store,
};
use hgw_events::{Event, emit};
use hgw_http1::ConnTimeouts;
use indexmap::IndexMap;
use rand::random;
use tokio::sync::{Notify, Semaphore};

use crate::Settings;
use crate::attempt_grants::AttemptGrants;
use crate::backoff::Backoff;
use crate::catalog_reads::CatalogReads;
use crate::clock::Clock;
use crate::connection_gate::CallerGate;
use crate::election::Leadership;
use crate::engine_notices::RecentLeaving;
use crate::engine_path::PathWatch;
use crate::freshness::{self, Freshness};
use crate::held_bytes::HeldMemory;
use crate::leader::LeaderState;
use crate::overload::Overload;
use crate::peers::{CatalogTransfers, Children, PeerSocket, PlacementChanges};
use crate::pool::Pool;
use crate::protocol::{Cursor, Protocols};
use crate::quotas::Quotas;
use crate::room_queue::NodeRoomQueue;
use crate::shutdown::Shutdown;
use crate::state::State;
use crate::tcp_diagnostics::TcpDiagnostics;
use crate::versions::VersionReads;

/// Engines are a few milliseconds away, so a slower connection attempt has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of unreachable engines probed at a time. Each attempt may last as long as the
/// timeout, and a lost failure domain would use up the descriptors.
const MAX_CONCURRENT_PROBES: usize = 64;

pub(crate) struct Shared {
    pub(crate) settings: RefCell<Settings>,
    pub(crate) protocols: Protocols,
    pub(crate) clock: Clock,
    /// Idle connections to engines and to other nodes. Each response that an engine has sent on one of them names its
    /// request, so that a late copy of it is not taken for the response to the next request.
    pub(crate) pool: Pool,
    /// Idle connections to engines for calls whose responses name no request: checks, reports and orders.
    pub(crate) call_pool: Pool,
    /// Tells which peers acknowledge what is sent to them.
    pub(crate) tcp_diagnostics: TcpDiagnostics,
    /// What responses and bodies hold until their readers have taken them.
    pub(crate) held_memory: HeldMemory,
    /// How second attempts after engines' own failures ended.
    pub(crate) retry_outcomes: RefCell<RetryOutcomes>,
    /// Expected sizes of buffered responses, by route.
    pub(crate) response_sizes: RefCell<IndexMap<String, ResponseSize>>,
    pub(crate) state: RefCell<State>,
    pub(crate) leadership: RefCell<Leadership>,
    pub(crate) leader_state: RefCell<LeaderState>,
    pub(crate) shutdown: Shutdown,
    pub(crate) peer_socket: PeerSocket,
    /// Requests that wait for room at engines.
    pub(crate) room_queue: NodeRoomQueue,
    /// Limits what is admitted to overloaded services.
    pub(crate) overload: Overload,
    pub(crate) backoff: Backoff,
    /// Decides which new connections of callers this node takes.
    pub(crate) caller_gate: CallerGate,
    /// Evidence that the configuration of this node is current.
    pub(crate) freshness: Freshness,
    pub(crate) quotas: Quotas,
    /// Requests under which engines have ended.
    pub(crate) crashes: RefCell<CrashHistory>,
    /// Rates of requests that engines take.
    pub(crate) engine_limits: RefCell<EngineLimits>,
    /// What nodes tell each other of the speed of engines.
    pub(crate) engine_speeds: RefCell<SpeedExchange>,
    /// Engines that may have to reject only so many requests a second.
    pub(crate) brittle_engines: RefCell<EngineLimits>,
    /// Engines that have told this node that they leave.
    pub(crate) recent_leaving: RecentLeaving,
    /// Whether this node reaches engines.
    pub(crate) engine_path: PathWatch,
    /// Nodes that forward requests while this one does not reach engines.
    pub(crate) forwarders: RefCell<Forwarders>,
    /// When this node last asked for such nodes.
    pub(crate) forwarders_asked_at: Cell<Option<Millis>>,
    /// Whether it waits for the answers.
    pub(crate) is_finding_forwarders: Cell<bool>,
    /// Notified when the answers are there.
    pub(crate) forwarders_found: Notify,
    /// Attempts that other nodes may make for requests of this one.
    pub(crate) attempt_grants: AttemptGrants,
    /// Requests of other nodes that this one is serving.
    pub(crate) forwarded_requests: Cell<usize>,
    /// Software versions at which streams began.
    pub(crate) streams: RefCell<StreamVersions>,
    /// Nodes that are told of streams, if there are too many to tell all.
    pub(crate) stream_replicas: RefCell<Vec<SocketAddr>>,
    /// Software versions at which streams may begin; none until they are known.
    pub(crate) admitted_versions: RefCell<Option<Rc<AdmittedVersions>>>,
    /// Reads of these from the store.
    pub(crate) version_reads: VersionReads,
    /// Whether the requests that are blocked in the store are known.
    pub(crate) knows_blocked_requests: Cell<bool>,
    /// In-flight requests at engines, as reported by other nodes.
    pub(crate) aggregator: RefCell<Aggregator>,
    /// Unreachable engines that this node probes until they are back.
    pub(crate) probed_engines: RefCell<ProbedEngines>,
    /// Bounds the number of engines probed at a time.
    pub(crate) probe_permits: Semaphore,
    /// Notified when another node reports an engine unreachable or reachable again.
    pub(crate) reachability_changed: Notify,
    /// Nodes that poll this one for updates.
    pub(crate) children: Children,
    /// Engines whose loaded models changed, for the nodes that poll this one.
    pub(crate) placement_changes: RefCell<PlacementChanges>,
    /// Candidates for the hub of this node's failure domain, which forwards the leader's updates.
    pub(crate) hubs: RefCell<Hubs>,
    /// All nodes in the store; empty until this node has read them.
    pub(crate) directory: RefCell<NodeDirectory>,
    /// Notified when there is an update for the nodes that poll this one.
    pub(crate) update_available: Notify,
    /// Random number of this process, which spreads periodic work over the nodes.
    pub(crate) jitter: u32,
    /// Newest era of the store that this node knows.
    pub(crate) era: Cell<KnownEra>,
    /// Time of the last response from the store.
    pub(crate) store_responded_at: Cell<Millis>,
    /// Time when this node last read the engine list from the store.
    pub(crate) list_read_at: Cell<Millis>,
    /// Time up to which the leader's updates reflect the store.
    leader_updated_at: Cell<Option<Millis>>,
    /// Whether the presumed leader refused the last request because it no longer leads.
    pub(crate) leader_refuses: Cell<bool>,
    /// What this node knows of newer configurations than its own.
    catalog_lag: Cell<CatalogLag>,
    /// What was logged last of how that affects callers.
    logged_lag_effect: Cell<LagEffect>,
    /// Newest configuration of another node that was logged.
    logged_report: Cell<u64>,
    /// A configuration version, and the position in the store's log up to which there is no newer
    /// one.
    pub(crate) catalog_position: Cell<Option<(u64, Cursor)>>,
    /// Transfers of the configuration to and from other nodes.
    pub(crate) catalog_transfers: CatalogTransfers,
    /// Whether a newer configuration is being fetched from another node.
    pub(crate) is_fetching_catalog: Cell<bool>,
    /// Notified when such a transfer has ended.
    pub(crate) catalog_fetched: Notify,
    /// Whether the configuration is read as often as it should be.
    pub(crate) catalog_reads: CatalogReads,
    /// Notified when another node reports a newer configuration.
    pub(crate) catalog_reported: Notify,
    /// Whether this node reaches neither the store nor engines in other failure domains.
    is_isolated: Cell<bool>,
    /// Notified when an engine is known to have loaded or unloaded a model or adapter.
    pub(crate) placement_changed: Notify,
    /// Notified when an engine has restarted.
    pub(crate) engine_restarted: Notify,
}

pub(crate) use catalog::CatalogMention;
pub(crate) use engines::ListSource;

pub(crate) type Node = Rc<Shared>;

impl Shared {
    pub(crate) fn new(settings: Settings, protocols: Protocols) -> Node {
        Rc::new(Shared {
            settings: RefCell::new(settings),
            protocols,
            clock: Clock::start(),
            pool: Pool::default(),
            call_pool: Pool::default(),
            tcp_diagnostics: TcpDiagnostics::open(),
            held_memory: HeldMemory::default(),
            response_sizes: RefCell::default(),
            retry_outcomes: RefCell::default(),
            state: RefCell::new(State {
                nodes: 1,
                list_changes: ListChanges::new(random()),
                ..State::default()
            }),
            leadership: RefCell::default(),
            leader_state: RefCell::default(),
            shutdown: Shutdown::default(),
            peer_socket: PeerSocket::default(),
            room_queue: NodeRoomQueue::default(),
            overload: Overload::default(),
            backoff: Backoff::default(),
            caller_gate: CallerGate::default(),
            freshness: Freshness::default(),
            quotas: Quotas::new(),
            crashes: RefCell::new(CrashHistory::new(random())),
            engine_limits: RefCell::new(EngineLimits::new(random())),
            engine_speeds: RefCell::new(SpeedExchange::new(random())),
            brittle_engines: RefCell::new(EngineLimits::new(random())),
            recent_leaving: RecentLeaving::default(),
            engine_path: PathWatch::default(),
            forwarders: RefCell::default(),
            forwarders_asked_at: Cell::new(None),
            is_finding_forwarders: Cell::new(false),
            forwarders_found: Notify::new(),
            attempt_grants: AttemptGrants::default(),
            forwarded_requests: Cell::new(0),
            streams: RefCell::default(),
            stream_replicas: RefCell::default(),
            admitted_versions: RefCell::default(),
            version_reads: VersionReads::default(),
            knows_blocked_requests: Cell::new(false),
            aggregator: RefCell::default(),
            probed_engines: RefCell::default(),
            probe_permits: Semaphore::new(MAX_CONCURRENT_PROBES),
            reachability_changed: Notify::new(),
            children: Children::default(),
            placement_changes: RefCell::default(),
            hubs: RefCell::default(),
            directory: RefCell::default(),
            update_available: Notify::new(),
            jitter: random(),
            era: Cell::default(),
            store_responded_at: Cell::new(0),
            list_read_at: Cell::new(0),
            leader_updated_at: Cell::new(None),
            leader_refuses: Cell::new(false),
            catalog_lag: Cell::default(),
            logged_lag_effect: Cell::default(),
            logged_report: Cell::default(),
            catalog_position: Cell::new(None),
            catalog_transfers: CatalogTransfers::default(),
            is_fetching_catalog: Cell::new(false),
            catalog_fetched: Notify::new(),
            catalog_reads: CatalogReads::default(),
            catalog_reported: Notify::new(),
            is_isolated: Cell::new(false),
            placement_changed: Notify::new(),
            engine_restarted: Notify::new(),
        })
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn pools(&self) -> impl Iterator<Item = &Pool> {
        [&self.pool, &self.call_pool].into_iter()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.started_at.get().is_some()
    }

    /// Whether the readiness check succeeds.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.catalog.is_some()
            && self.knows_state()
            && !self.is_stopping()
            && !self.is_isolated.get()
            && freshness::is_fresh(self)
            && self.lag_effect() == LagEffect::Serve
    }

    /// Whether this node knows what it needs to send requests to engines.
    pub(crate) fn knows_state(&self) -> bool {
        self.state.borrow().has_engine_list
            && self.knows_blocked_requests.get()
            && self.admitted_versions.borrow().is_some()
    }

    /// Records that the leader's updates reflect the store up to `at`.
    pub(crate) fn record_leader_update(&self, at: Millis) {
        self.leader_updated_at.set(self.leader_updated_at.get().max(Some(at)));
        self.store_responded_at.set(self.store_responded_at.get().max(at));
    }

    /// End of the lease log after the leader's last renewal, and the renewal's age in milliseconds.
    pub(crate) fn last_renewal(&self) -> Option<(Cursor, u64)> {
        let leadership = self.leadership.borrow();
        if leadership.is_leader() {
            return leadership.last_renewal();
        }
        leadership.leader_liveness.last_renewal(self.now())
    }

    /// Age of this node's copy of the store data, read directly or received from the leader.
    pub(crate) fn store_data_age(&self) -> Millis {
        let updated_at = self.leader_updated_at.get().unwrap_or(0).max(self.list_read_at.get());
        self.now().saturating_sub(updated_at)
    }

    /// Node that this one polls for updates: the hub of its domain or the leader. None if this node
    /// is the leader or knows no leader and no hub.
    pub(crate) fn parent(&self) -> Option<(Parent, SocketAddr)> {
        if self.leadership.borrow().is_leader() {
            return None;
        }
        let leader_addr = self.leadership.borrow().leader.as_ref().map(|leader| leader.addr);
        let own_addr = self.settings.borrow().peer_addr;
        let parent = self.hubs.borrow().parent(own_addr, leader_addr, self.now());
        match parent {
            Parent::Hub(addr) => Some((parent, addr)),
            Parent::Leader => leader_addr.map(|addr| (parent, addr)),
        }
    }

    /// Whether this node polls the hub of its domain rather than the leader.
    pub(crate) fn has_hub(&self) -> bool {
        matches!(self.parent(), Some((Parent::Hub(_), _)))
    }

    /// Whether an update from the leader has ever arrived.
    pub(crate) fn has_leader_updates(&self) -> bool {
        self.leader_updated_at.get().is_some()
    }

    /// Whether the leader's updates are recent enough that this node need not read the store.
    ///
    /// Nodes behind a hub wait longer, so that they do not all read the store at once when the
    /// leader fails: the hubs read first and forward what they read.
    pub(crate) fn has_recent_leader_updates(&self) -> bool {
        let is_leader = self.leadership.borrow().is_leader();
        let max_age =
            self.settings.borrow().max_leader_update_age(self.has_hub()).as_millis() as Millis;
        let age = self.leader_updated_at.get().map(|at| self.now().saturating_sub(at));
        !is_leader && !self.leader_refuses.get() && age.is_some_and(|age| age < max_age)
    }

    /// Factor by which poll intervals grow with the number of nodes, which bounds the load on the
    /// leader.
    pub(crate) fn poll_interval_factor(&self) -> u32 {
        let nodes = self.state.borrow().nodes;
        poll_interval_factor(nodes, nodes)
    }

    /// Whether this node keeps reading the engine list from the store while no leader does.
    pub(crate) fn polls_store(&self) -> bool {
        let is_polled = self.children.is_polled(self.now());
        let interval_factor = self.poll_interval_factor();
        polls_store(&self.state.borrow().engines, is_polled, interval_factor, self.jitter)
    }

    /// Whether callers should reconnect to another node.
    pub(crate) fn should_close_connections(&self) -> bool {
        self.is_stopping()
            || self.is_isolated.get()
            || !freshness::is_fresh(self)
            || self.lag_effect() != LagEffect::Serve
    }

    /// Updates whether this node is isolated.
    pub(crate) fn update_isolation(&self) {
        let now = self.now();
        let store_unresponsive_for = now.saturating_sub(self.store_responded_at.get());
        let is_isolated = {
            let (state, settings) = (self.state.borrow(), self.settings.borrow());
            is_isolated(store_unresponsive_for, &state.engines, &settings.domain, now)
        };
        if is_isolated != self.is_isolated.replace(is_isolated) {
            let node = self.settings.borrow().node.clone();
            emit(Event::ReadinessChanged, &[("node", &node), ("ready", &self.is_ready())]);
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

    pub(crate) fn conn_timeouts(&self) -> ConnTimeouts {
        ConnTimeouts { connect: CONNECT_TIMEOUT, ..ConnTimeouts::default() }
    }
}
