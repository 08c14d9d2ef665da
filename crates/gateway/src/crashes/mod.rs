//! Stops sending what crashes engines: requests, and parts of prompts.
//!
//! See [`hgw_direct::CrashHistory`] for what is decided.

mod blocked;
mod run;
mod trial;

use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::in_flight::EngineKey;
use hgw_direct::{
    CrashHistory, CrashReport, CrashState, CrashSubject, EngineId, Origin, RankedSubject,
    SendPermission,
};
use hgw_events::{Event, emit};
use hgw_http1::Conn;
use tokio::time::timeout;

use crate::engine_path;
use crate::meter;
use crate::peers::Datagram;
use crate::shared::{Node, Shared};

pub(crate) use blocked::follow;
pub(crate) use run::{CrashRun, OUTLIVED_AFTER};
pub(crate) use trial::{TrialRequest, TrialResponse, grant, request_trial};

/// Time that an attempt waits to learn whether its engine refuses connections.
const PROBE_WAIT: Duration = Duration::from_millis(30);

/// What ran at an engine when the attempt ended.
#[derive(Debug, Clone)]
pub(crate) struct EndedAttempt {
    /// What may have crashed the engine.
    pub(crate) subjects: Vec<RankedSubject>,
    pub(crate) origin: Origin,
    pub(crate) engine: EngineId,
    pub(crate) key: EngineKey,
    pub(crate) run: CrashRun,
}

impl Shared {
    /// Whether a subject may be sent to an engine.
    pub(crate) fn send_permission(&self, subject: CrashSubject) -> SendPermission {
        self.crashes.borrow_mut().permission(subject, self.now())
    }
}

/// Finds out whether the engine of an attempt that broke off has ended. Waits only for an engine that
/// refuses connections; another one is probed in the background.
pub(crate) async fn investigate(node: &Node, broken: EndedAttempt) {
    let Some(addr) = address_in_use(node, &broken) else { return };
    let probe_node = Node::clone(node);
    let probe =
        tokio::task::spawn_local(async move { has_ended(&probe_node, addr, &broken).await });
    // The probe goes on after the timeout.
    let _ = timeout(PROBE_WAIT, probe).await;
}

/// Records that an engine has completed a response whose end was that of its connection, once the engine
/// takes another: its crash would look the same.
pub(crate) fn confirm_completion(node: &Node, completed: EndedAttempt) {
    let Some(addr) = address_in_use(node, &completed) else { return };
    let node = Node::clone(node);
    tokio::task::spawn_local(async move {
        if has_ended(&node, addr, &completed).await == Some(false) {
            let subjects = completed.subjects.iter().map(|ranked| ranked.subject);
            record_completion(&node, subjects);
        }
    });
}

/// The address of an engine that has not started anew; none of one that was going to end, which is no
/// evidence.
fn address_in_use(node: &Node, attempt: &EndedAttempt) -> Option<SocketAddr> {
    let addr = node.engine(&attempt.engine, |engine| {
        let is_in_use = engine.accepts_requests() && engine.key() == attempt.key;
        is_in_use.then_some(engine.info.addr)
    });
    addr.flatten()
}

/// Whether an engine has ended, which is recorded; none if that is not known.
async fn has_ended(node: &Node, addr: SocketAddr, attempt: &EndedAttempt) -> Option<bool> {
    match Conn::connect(addr, node.conn_timeouts()).await {
        Ok(conn) => {
            node.pool.put(addr, conn);
            Some(false)
        }
        // What does not answer, or is reset on the way, may be cut off; what has ended refuses. A node that
        // reaches no engine at all is no witness of an engine's end.
        Err(e) if e.is_refused() && engine_path::confirm(node, &attempt.engine).await => {
            record_end(node, attempt);
            Some(true)
        }
        Err(_) => None,
    }
}

/// Records that an engine ended under an attempt.
pub(crate) fn record_end(node: &Node, broken: &EndedAttempt) {
    let EndedAttempt { ref subjects, origin, ref engine, key, ref run } = *broken;
    let now = node.now();
    let mut new = Vec::new();
    for ranked in subjects {
        // An engine crashes as it begins to write on a part.
        let is_suspect = !ranked.subject.is_part() || !run.has_outlived();
        if is_suspect && update(node, |crashes| crashes.record_end(*ranked, origin, key, now)) {
            new.push(*ranked);
        }
    }
    if new.is_empty() {
        return;
    }
    meter::engine_ended_under_request();
    run.log_end(node, subjects, engine);
    for RankedSubject { subject, depth } in new {
        broadcast(node, CrashReport::Ended { subject, origin, engine: key, depth, age: 0 });
    }
}

/// Records that an engine has outlived subjects: it has sent a complete response, or has been writing one
/// for a while.
pub(crate) fn record_completion(node: &Node, subjects: impl Iterator<Item = CrashSubject>) {
    let now = node.now();
    for subject in subjects {
        let had_ends = node.crashes.borrow().ends(subject) > 0;
        let ends = update(node, |crashes| crashes.record_completion(subject, now));
        if !had_ends {
            continue;
        }
        let name = node.settings.borrow().node.clone();
        emit(Event::RequestAcquitted, &[("node", &name), ("digest", &subject), ("ended", &ends)]);
        if subject.is_part() {
            broadcast(node, CrashReport::Completed { subject, age: 0 });
        }
    }
}

fn broadcast(node: &Node, report: CrashReport) {
    let datagram = match report.is_of_part() {
        true => Datagram::PartCrash(report),
        false => Datagram::Crash(report),
    };
    node.peer_socket.broadcast(node, &datagram);
}

/// Applies reports of a node that polls this one.
pub(crate) fn apply_reports(node: &Shared, reports: impl Iterator<Item = CrashReport>) {
    let now = node.now();
    update(node, |crashes| reports.for_each(|report| crashes.apply_report(report, now)));
}

/// Applies a report that a node sent to all others.
pub(crate) fn apply_broadcast(node: &Shared, report: CrashReport) {
    let now = node.now();
    update(node, |crashes| crashes.apply_broadcast(report, now));
}

/// Applies states that the polled node sent.
pub(crate) fn apply_states<'a>(node: &Shared, states: impl Iterator<Item = &'a CrashState>) {
    let now = node.now();
    for state in states {
        let was_blocked = node.crashes.borrow().is_blocked(state.subject);
        update(node, |crashes| crashes.apply_state(state, now));
        let is_blocked = node.crashes.borrow().is_blocked(state.subject);
        if is_blocked && !was_blocked {
            log_blocked(node, state.subject, state.engines.len(), "peer");
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

fn log_blocked(node: &Shared, subject: CrashSubject, ended: usize, by: &str) {
    let name = &node.settings.borrow().node;
    emit(
        Event::RequestBlocked,
        &[("node", name), ("digest", &subject), ("ended", &ended), ("by", &by)],
    );
}
