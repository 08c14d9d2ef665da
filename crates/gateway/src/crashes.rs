//! Stops sending requests that crash engines.
//!
//! See [`hgw_direct::CrashHistory`] for what is decided. Blocked requests are kept in the store, so that
//! a node that starts knows them.

use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::in_flight::EngineKey;
use hgw_direct::{
    CrashHistory, CrashReport, CrashState, EngineId, JudgeParams, Millis, Origin, PromptPart,
    RequestDigest, SendPermission,
};
use hgw_events::{Event, emit};
use hgw_http1::{Conn, Framing};
use indexmap::IndexSet;
use tokio::time::{sleep, timeout};

use crate::backoff::wait_to_retry;
use crate::engine_path;
use crate::follow::{wait_for_first_update, wait_to_be_told};
use crate::meter;
use crate::peers::Datagram;
use crate::shared::{Node, Shared};

/// Interval at which reports of ended engines are judged, and blocked requests are stored.
const JUDGE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum pause between two writes of blocked requests to the store.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

/// Heartbeats after which an engine that is still listed has not ended: its entry would have expired
/// after three.
const LISTED_FOR_HEARTBEATS: u32 = 5;

/// Age up to which the list of engines counts as up to date.
const FRESH_LIST_AGE: Duration = Duration::from_secs(2);

/// Time that an attempt waits to learn whether its engine refuses connections.
const PROBE_WAIT: Duration = Duration::from_millis(30);

/// A request and the engine that ran it when the attempt ended without a complete response.
#[derive(Debug, Clone)]
pub(crate) struct BrokenAttempt {
    pub(crate) digest: RequestDigest,
    pub(crate) origin: Origin,
    pub(crate) engine: EngineId,
    pub(crate) key: EngineKey,
    pub(crate) run: BrokenRun,
}

/// What is logged of a run that an engine's end broke off.
#[derive(Debug, Clone, Default)]
pub(crate) struct BrokenRun {
    /// The caller's name for the attempt.
    pub(crate) request_id: String,
    /// Parts of its prompt, except for the last.
    pub(crate) shared_parts: Vec<PromptPart>,
    /// How long the engine had been writing the body; none if it had not begun.
    pub(crate) writing_for: Option<Duration>,
    pub(crate) framing: Option<Framing>,
}

/// Maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 8;

impl BrokenRun {
    fn parts_text(&self) -> String {
        let parts = self.shared_parts.iter().take(MAX_LOGGED_PARTS);
        parts.map(|part| format!("{:x}", part.id)).collect::<Vec<_>>().join(",")
    }

    fn writing_text(&self) -> String {
        self.writing_for.map_or_else(String::new, |time| time.as_millis().to_string())
    }

    fn framing_text(&self) -> &'static str {
        match self.framing {
            None => "",
            Some(Framing::Length(_)) => "length",
            Some(Framing::Chunked) => "chunked",
            Some(Framing::UntilClose) => "until_close",
        }
    }
}

impl Shared {
    /// Whether a request may be sent to an engine.
    pub(crate) fn send_permission(&self, digest: RequestDigest) -> SendPermission {
        self.crashes.borrow().permission(digest, self.now())
    }
}

/// Finds out whether the engine of an attempt that broke off has ended. Waits only for an engine that
/// refuses connections; another one is probed in the background.
pub(crate) async fn investigate(node: &Node, broken: BrokenAttempt) {
    let addr = node.engine(&broken.engine, |engine| {
        // An engine that was going to end is no evidence.
        let was_in_use = engine.accepts_requests() && engine.key() == broken.key;
        was_in_use.then_some(engine.info.addr)
    });
    let Some(addr) = addr.flatten() else { return };
    let probe_node = Node::clone(node);
    let probe = tokio::task::spawn_local(async move { probe(&probe_node, addr, &broken).await });
    // The probe goes on after the timeout.
    let _ = timeout(PROBE_WAIT, probe).await;
}

async fn probe(node: &Node, addr: SocketAddr, broken: &BrokenAttempt) {
    match Conn::connect(addr, node.conn_timeouts()).await {
        Ok(conn) => node.pool.put(addr, conn),
        // A node that reaches no engine at all is no witness of an engine's end.
        Err(_) if engine_path::confirm(node, &broken.engine).await => record_end(node, broken),
        Err(_) => {}
    }
}

/// Records that an engine ended under a request.
pub(crate) fn record_end(node: &Node, broken: &BrokenAttempt) {
    let BrokenAttempt { digest, origin, ref engine, key, ref run } = *broken;
    let now = node.now();
    if !update(node, |crashes| crashes.record_end(digest, origin, key, now)) {
        return;
    }
    let ends = node.crashes.borrow().ends(digest);
    meter::engine_ended_under_request();
    let name = node.settings.borrow().node.clone();
    emit(
        Event::EngineEnded,
        &[
            ("node", &name),
            ("id", &run.request_id),
            ("digest", &digest),
            ("upstream", engine),
            ("ended", &ends),
            ("parts", &run.parts_text()),
            ("writing_ms", &run.writing_text()),
            ("framing", &run.framing_text()),
        ],
    );
    let report = CrashReport::Ended { digest, origin, engine: key };
    node.peer_socket.broadcast(node, &Datagram::Crash(report));
}

/// Records that an engine sent a complete response to a request.
pub(crate) fn record_completion(node: &Shared, digest: RequestDigest) {
    let had_ends = node.crashes.borrow().ends(digest) > 0;
    update(node, |crashes| crashes.record_completion(digest));
    if had_ends {
        let name = node.settings.borrow().node.clone();
        emit(Event::RequestAcquitted, &[("node", &name), ("digest", &digest)]);
    }
}

/// Applies reports of a node that polls this one.
pub(crate) fn apply_reports(node: &Shared, reports: &[CrashReport]) {
    let now = node.now();
    update(node, |crashes| reports.iter().for_each(|report| crashes.apply_report(*report, now)));
}

/// Applies a report that a node sent to all others.
pub(crate) fn apply_broadcast(node: &Shared, report: CrashReport) {
    let now = node.now();
    update(node, |crashes| crashes.apply_broadcast(report, now));
}

/// Applies states that the polled node sent.
pub(crate) fn apply_states(node: &Shared, states: &[CrashState]) {
    let now = node.now();
    for state in states {
        let was_blocked = node.crashes.borrow().is_blocked(state.digest);
        update(node, |crashes| crashes.apply_state(state, now));
        let is_blocked = node.crashes.borrow().is_blocked(state.digest);
        if is_blocked && !was_blocked {
            log_blocked(node, state.digest, "peer");
        }
    }
}

/// Changes the history, and tells the nodes that poll this one if that concerns them.
fn update<T>(node: &Shared, change: impl FnOnce(&mut CrashHistory) -> T) -> T {
    let mut crashes = node.crashes.borrow_mut();
    let changes = crashes.changes();
    let result = change(&mut crashes);
    if crashes.changes() != changes {
        node.update_available.notify_waiters();
    }
    result
}

fn log_blocked(node: &Shared, digest: RequestDigest, by: &str) {
    let name = &node.settings.borrow().node;
    emit(Event::RequestBlocked, &[("node", name), ("digest", &digest), ("by", &by)]);
}

/// Judges reports, and keeps the blocked requests in the store if this node is the leader, until the
/// process ends.
pub(crate) async fn follow(node: Node) {
    wait_for_first_update(&node).await;
    wait_to_be_told(&node, |node| node.knows_blocked_requests.get()).await;
    while !node.knows_blocked_requests.get() {
        if read_blocked(&node).await.is_none() {
            wait_to_retry(&node).await;
        }
    }
    // Digests in the store, read anew by each new leader.
    let mut stored: Option<IndexSet<RequestDigest>> = None;
    let mut era = node.era.get().era();
    loop {
        judge(&node);
        let current_era = node.era.get().era();
        let has_new_era = std::mem::replace(&mut era, current_era) != current_era;
        if !node.leadership.borrow().is_leader() || has_new_era {
            stored = None;
        } else if let Some(stored) = &mut stored {
            store_change(&node, stored).await;
        } else {
            stored = read_blocked(&node).await;
            if stored.is_none() {
                wait_to_retry(&node).await;
            }
        }
        sleep(JUDGE_INTERVAL).await;
    }
}

fn judge(node: &Node) {
    let listed_for = (node.settings.borrow().heartbeat * LISTED_FOR_HEARTBEATS).as_millis() as u64;
    let list_is_fresh = node.store_data_age() <= FRESH_LIST_AGE.as_millis() as Millis;
    let params = JudgeParams { listed_for, list_is_fresh };
    let now = node.now();
    let blocked = update(node, |crashes| crashes.judge(&node.state.borrow().engines, params, now));
    for (digest, _) in &blocked {
        log_blocked(node, *digest, "known");
    }
}

/// Reads the blocked requests from the store; returns their digests.
async fn read_blocked(node: &Node) -> Option<IndexSet<RequestDigest>> {
    let entries = node.protocols.store.blocked_requests().await.ok()?;
    let mut stored = IndexSet::new();
    for (key, value) in entries {
        let Ok(digest) = key.parse() else { continue };
        let origin = serde_json::from_slice(&value).unwrap_or_default();
        stored.insert(digest);
        update(node, |crashes| crashes.block(digest, origin));
    }
    node.knows_blocked_requests.set(true);
    Some(stored)
}

/// Stores or removes one request whose entry in the store is not as it should be.
async fn store_change(node: &Node, stored: &mut IndexSet<RequestDigest>) {
    let blocked: Vec<(RequestDigest, Origin)> = node.crashes.borrow().blocked().collect();
    let new = blocked.iter().find(|(digest, _)| !stored.contains(digest));
    let released = || stored.iter().find(|digest| !node.crashes.borrow().is_blocked(**digest));
    let (digest, origin) = match (new, released()) {
        (Some((digest, origin)), _) => (*digest, Some(*origin)),
        (None, Some(digest)) => (*digest, None),
        (None, None) => return,
    };
    let value = origin.map(|origin| serde_json::to_vec(&origin).expect("an origin is valid JSON"));
    let entry = value.unwrap_or_default();
    if node.protocols.store.store_blocked_request(&digest.to_string(), entry.into()).await.is_ok() {
        match origin {
            Some(_) => stored.insert(digest),
            None => stored.shift_remove(&digest),
        };
        sleep(WRITE_PAUSE).await;
    } else {
        wait_to_retry(node).await;
    }
}
