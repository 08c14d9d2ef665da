//! Watches whether this node reaches the engines of each service.
//!
//! See [`hgw_direct::EnginePath`] for what is concluded. A failure is checked at once at other engines of the
//! service, so that a node with few requests knows as soon as one with many.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use futures_util::future::{join, join_all};
use hgw_direct::in_flight::EngineKey;
use hgw_direct::{
    Engine, EngineId, EnginePath, MIN_FAILED_ENGINES, Millis, PATH_CHECK_INTERVAL, PathChange,
    Service, ServiceId,
};
use hgw_events::{Event, emit};
use hgw_http1::{BodyDecoder, Conn, Request};
use indexmap::{IndexMap, IndexSet};
use rand::random;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::election;
use crate::engine_notices;
use crate::meter;
use crate::shared::Node;

/// Engines that are probed in one check while the path has failed.
const PROBES_IN_OUTAGE: usize = 3;

/// Engines that a check probes first. One response proves the path, so the other probes would only open
/// connections; a second probe covers the case that the first one goes to an engine that is lost as well.
const FIRST_PROBES: usize = 2;

/// Time for the first probes, after which the others start as well. It is many round trips, and short
/// beside the connection timeout that a check of a failed path takes.
const FIRST_PROBES_TIMEOUT: Duration = Duration::from_millis(60);

/// Largest response to a probe.
const MAX_PROBE_BYTES: usize = 1 << 20;

/// Timeout of the response to a probe. A full engine may be longer, which alone is no evidence.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the outcome of a check: connecting, the response, and what scheduling adds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);

/// The paths to the engines of all services, and their checks.
#[derive(Debug, Default)]
pub(crate) struct PathWatch {
    paths: RefCell<IndexMap<ServiceId, EnginePath>>,
    /// Services that are being checked.
    checking: RefCell<IndexSet<ServiceId>>,
    /// Time of the last response on a new connection, of any engine.
    reached_at: Cell<Millis>,
    /// Notified when a check has ended.
    checked: Notify,
}

impl PathWatch {
    /// Whether this node reaches no engine of the service.
    pub(crate) fn has_failed(&self, service: &ServiceId) -> bool {
        self.paths.borrow().get(service).is_some_and(EnginePath::has_failed)
    }

    /// Whether requests that go no other way may be sent to engines of the service.
    pub(crate) fn may_carry(&self, service: &ServiceId, now: Millis) -> bool {
        self.paths.borrow().get(service).is_none_or(|path| path.may_carry(now))
    }

    /// Records that another node has reached an engine of the service.
    pub(crate) fn record_reached_elsewhere(&self, service: &ServiceId, now: Millis) {
        if let Some(path) = self.paths.borrow_mut().get_mut(service) {
            path.record_reached_elsewhere(now);
        }
    }

    /// Services of which this node reaches no engine.
    pub(crate) fn failed_services(&self) -> Vec<ServiceId> {
        let paths = self.paths.borrow();
        let failed = paths.iter().filter(|(_, path)| path.has_failed());
        failed.map(|(service, _)| service.clone()).collect()
    }
}

/// Whether this node cannot lead, because it has lost its path to the engines of a service that loads models on demand.
pub(crate) fn cannot_lead(node: &Node) -> bool {
    let (now, state) = (node.now(), node.state.borrow());
    let Some(catalog) = &state.catalog else { return false };
    let has_pool = |id| catalog.services.get(id).is_some_and(|service| service.pool.is_some());
    node.engine_path.paths.borrow().iter().any(|(id, path)| path.is_lost(now) && has_pool(id))
}

/// Records that no connection to the engine could be made, or that a new one broke off.
pub(crate) fn record_failure(node: &Node, engine: &EngineId) {
    record_miss(node, engine, Missed::Failed);
}

/// Records that a new connection to the engine was made and brought no response.
pub(crate) fn record_silence(node: &Node, engine: &EngineId) {
    record_miss(node, engine, Missed::Silent);
}

fn record_miss(node: &Node, engine: &EngineId, missed: Missed) {
    let Some(service) = service_of(node, engine) else { return };
    record_miss_unchecked(node, &service, engine, missed);
    start_check_unless_proven(node, &service);
}

/// Records a response of the engine on a new connection.
pub(crate) fn record_reached(node: &Node, engine: &EngineId) {
    let Some(service) = service_of(node, engine) else { return };
    let now = node.now();
    node.engine_path.reached_at.set(now);
    let change = {
        let mut paths = node.engine_path.paths.borrow_mut();
        paths.entry(service.clone()).or_default().record_reached(engine, now)
    };
    apply_change(node, &service, change);
}

/// Whether a failure to reach an engine concerns the engine and not the path of this node, which is checked
/// unless it is known.
pub(crate) async fn confirm(node: &Node, engine: &EngineId) -> bool {
    let Some(service) = service_of(node, engine) else { return false };
    let started_at = node.now();
    if is_proven(node, &service) || usable_engines(node, &service) < 2 {
        return true;
    }
    let checked = node.engine_path.checked.notified();
    start_check(node, &service);
    // Without an outcome the path is not known to work.
    let _ = timeout(CHECK_TIMEOUT, checked).await;
    !node.engine_path.has_failed(&service) && node.engine_path.reached_at.get() >= started_at
}

/// Whether a new connection brought a response so lately that a failure concerns the engine.
fn is_proven(node: &Node, service: &ServiceId) -> bool {
    node.engine_path.paths.borrow().get(service).is_some_and(|path| path.is_proven(node.now()))
}

/// Checks the path unless it is known to work. When many engines fail at once, each node would otherwise
/// open connections for each of its requests that fail.
pub(crate) fn start_check_unless_proven(node: &Node, service: &ServiceId) {
    if !is_proven(node, service) {
        start_check(node, service);
    }
}

/// Checks the path unless it is being checked; goes on until it works while it has failed.
pub(crate) fn start_check(node: &Node, service: &ServiceId) {
    if !node.engine_path.checking.borrow_mut().insert(service.clone()) {
        return;
    }
    let (node, service) = (Node::clone(node), service.clone());
    tokio::task::spawn_local(async move {
        check(&node, &service).await;
        while node.engine_path.has_failed(&service) {
            release_lease(&node);
            sleep(PATH_CHECK_INTERVAL).await;
            check(&node, &service).await;
        }
        node.engine_path.checking.borrow_mut().swap_remove(&service);
    });
}

/// Lets a node that reaches engines become the leader, whose orders go to engines.
fn release_lease(node: &Node) {
    let is_leader = node.leadership.borrow().is_leader();
    if is_leader && cannot_lead(node) && node.children.can_lead(node.now()) {
        tokio::task::spawn_local(election::release(Node::clone(node)));
    }
}

/// Probes a few engines, and the others only if none of these responds soon.
async fn check(node: &Node, service: &ServiceId) {
    let mut first = probes(node, service);
    let others = first.split_off(FIRST_PROBES.min(first.len()));
    let is_reached = Cell::new(false);
    let mut first = pin!(run_probes(node, service, first, &is_reached));
    let has_ended = timeout(FIRST_PROBES_TIMEOUT, first.as_mut()).await.is_ok();
    let others = if is_reached.get() { Vec::new() } else { others };
    let others = run_probes(node, service, others, &is_reached);
    if has_ended {
        others.await;
    } else {
        join(first, others).await;
    }
    node.engine_path.checked.notify_waiters();
}

async fn run_probes(node: &Node, service: &ServiceId, probes: Vec<Probe>, is_reached: &Cell<bool>) {
    meter::engine_path_probed(service, probes.len());
    let probes = probes.into_iter().map(|probe| async move {
        match probe_engine(node, &probe).await {
            Ok(()) => {
                is_reached.set(true);
                record_reached(node, &probe.engine);
            }
            Err(missed) => record_miss_unchecked(node, service, &probe.engine, missed),
        }
    });
    join_all(probes).await;
}

/// Why an engine was not reached.
#[derive(Debug, Clone, Copy)]
enum Missed {
    /// No connection could be made, or it broke off.
    Failed,
    /// It took a connection and did not respond.
    Silent,
}

/// A probe of an engine, and the request that it answers at any load; none if there is no such request.
struct Probe {
    engine: EngineId,
    key: EngineKey,
    addr: SocketAddr,
    req: Option<Request>,
}

/// Opens a connection to an engine and waits for a response, as a connection may be taken by something on
/// the way.
async fn probe_engine(node: &Node, probe: &Probe) -> Result<(), Missed> {
    let connected = Conn::connect(probe.addr, node.conn_timeouts()).await;
    let mut conn = connected.map_err(|_| Missed::Failed)?;
    if let Some(req) = &probe.req {
        let response = async {
            let head = conn.round_trip(req).await?;
            engine_notices::observe_call(node, &probe.engine, probe.key, &head, &req.target);
            conn.read_body(BodyDecoder::new(head.framing), MAX_PROBE_BYTES).await
        };
        let response = timeout(PROBE_TIMEOUT, response).await;
        response.map_err(|_| Missed::Silent)?.map_err(|_| Missed::Failed)?;
    }
    match probe.req {
        Some(_) => node.call_pool.put(probe.addr, conn),
        None => node.put_engine_connection(&probe.engine, probe.addr, conn),
    }
    Ok(())
}

fn record_miss_unchecked(node: &Node, service: &ServiceId, engine: &EngineId, missed: Missed) {
    let (engines, now) = (usable_engines(node, service), node.now());
    let change = {
        let mut paths = node.engine_path.paths.borrow_mut();
        let path = paths.entry(service.clone()).or_default();
        match missed {
            Missed::Failed => path.record_failure(engine, engines, now),
            Missed::Silent => path.record_silence(engine, engines, now),
        }
    };
    apply_change(node, service, change);
}

fn service_of(node: &Node, engine: &EngineId) -> Option<ServiceId> {
    node.engine(engine, |e| e.info.service.clone())
}

fn usable_engines(node: &Node, service: &ServiceId) -> usize {
    node.state.borrow().engines.of_service(service).filter(|e| e.accepts_requests()).count()
}

/// Probes of random engines of a service, of different failure domains as far as there are enough. Before
/// the path has failed, of as many that were not missed as decide whether it has.
fn probes(node: &Node, service: &ServiceId) -> Vec<Probe> {
    let (state, paths) = (node.state.borrow(), node.engine_path.paths.borrow());
    let path = paths.get(service);
    let has_failed = path.is_some_and(EnginePath::has_failed);
    let has_missed = |id: &EngineId| path.is_some_and(|path| path.has_missed(id));
    let now = node.now();
    let may_ask = |e: &&Engine| e.accepts_requests() && e.rest_for(true, now).is_none();
    let mut candidates: Vec<&Engine> = state
        .engines
        .of_service(service)
        .filter(|e| may_ask(e) && (has_failed || !has_missed(&e.info.id)))
        .collect();
    let count = if has_failed { PROBES_IN_OUTAGE } else { MIN_FAILED_ENGINES };
    let mut chosen = Vec::new();
    let mut domains = IndexSet::new();
    if let Some(reached) = path.and_then(EnginePath::reached_in_outage)
        && let Some(index) = candidates.iter().position(|e| e.info.id == *reached)
    {
        chosen.push(candidates.swap_remove(index));
    }
    while chosen.len() < count && !candidates.is_empty() {
        let is_new = |index: &usize| !domains.contains(candidates[*index].info.domain.as_str());
        let random_index = || random::<u32>() as usize % candidates.len();
        let index = (0..count).map(|_| random_index()).find(is_new);
        let engine = candidates.swap_remove(index.unwrap_or_else(random_index));
        domains.insert(engine.info.domain.as_str());
        chosen.push(engine);
    }
    let service = state.catalog.as_ref().and_then(|c| c.services.get(service));
    let probe = |engine: &Engine| {
        let req = service.and_then(|service| probe_request(node, engine, service));
        Probe { engine: engine.info.id.clone(), key: engine.key(), addr: engine.info.addr, req }
    };
    chosen.into_iter().map(probe).collect()
}

fn probe_request(node: &Node, engine: &Engine, service: &Service) -> Option<Request> {
    let (protocol, addr) = (&node.protocols.upstreams, engine.info.addr);
    if service.pool.is_some() {
        return Some(protocol.report_request(addr, &engine.info.id));
    }
    service.health_path.as_ref().map(|path| protocol.health_request(addr, path))
}

fn apply_change(node: &Node, service: &ServiceId, change: Option<PathChange>) {
    let Some(change) = change else { return };
    let reaches = change == PathChange::Restored;
    let not_reached =
        node.engine_path.paths.borrow().get(service).map_or(0, EnginePath::failed_engines);
    let may_be_silent = !reaches && node.engine_path.may_carry(service, node.now());
    meter::engine_path_changed(service, reaches);
    emit(
        Event::EnginePathChanged,
        &[
            ("node", &node.settings.borrow().node),
            ("service", service),
            ("reaches", &reaches),
            ("engines", &usable_engines(node, service)),
            ("not_reached", &not_reached),
            ("may_be_silent", &may_be_silent),
        ],
    );
    // Requests that wait for a connection go another way.
    node.reachability_changed.notify_waiters();
}
