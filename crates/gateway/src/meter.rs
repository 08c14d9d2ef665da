//! Prometheus metrics, with one function for each recorded event.

use std::fmt::Display;
use std::time::Duration;

use hgw_direct::engine_speed::mean_speed;
use hgw_direct::{CrashSubject, Refusal, Route, ServiceId};
use indexmap::IndexSet;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::caller_activity::CloseReason;
use crate::freshness;
use crate::overload;
use crate::protocol::StoreError;
use crate::shared::Shared;

/// Upper bounds of the latency buckets in seconds, around the usual objectives and deadlines.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 20.0];

/// Installs the recorder of the process; `None` if the program has installed its own.
pub(crate) fn install_recorder() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S).ok()?;
    builder.install_recorder().ok()
}

pub(crate) fn served(route: &Route, status: u16, took: Duration) {
    let (route, status) = (route.name.clone(), status.to_string());
    counter!("hgw_requests_total", "route" => route.clone(), "outcome" => "served", "reason" => status)
        .increment(1);
    histogram!("hgw_request_duration_seconds", "route" => route).record(took.as_secs_f64());
}

pub(crate) fn first_byte(route: &Route, took: Duration) {
    histogram!("hgw_first_piece_seconds", "route" => route.name.clone()).record(took.as_secs_f64());
}

/// Records the time a request waited for room at engines.
pub(crate) fn room_wait(route: &Route, wait: Duration) {
    histogram!("hgw_waited_seconds", "route" => route.name.clone()).record(wait.as_secs_f64());
}

pub(crate) fn refused(route: &Route, reason: &dyn Display) {
    let (route, reason) = (route.name.clone(), reason.to_string());
    counter!("hgw_requests_total", "route" => route, "outcome" => "refused", "reason" => reason)
        .increment(1);
}

/// Counts a request without an allowance. Customers come from the configuration, which bounds the
/// number of label values.
pub(crate) fn quota_refused(customer: &str, reason: Refusal) {
    let (customer, reason) = (customer.to_owned(), reason.to_string());
    counter!("hgw_limited_total", "customer" => customer, "reason" => reason).increment(1);
}

/// Counts a request that was served by way of another node.
pub(crate) fn forwarded() {
    counter!("hgw_forwarded_total").increment(1);
}

/// Counts a request of another node's caller that was served here.
pub(crate) fn served_for_peer() {
    counter!("hgw_served_for_peers_total").increment(1);
}

pub(crate) fn failed(route: &Route, reason: &str) {
    let (route, reason) = (route.name.clone(), reason.to_owned());
    counter!("hgw_requests_total", "route" => route, "outcome" => "failed", "reason" => reason)
        .increment(1);
}

pub(crate) fn caller_left(route: &Route) {
    let route = route.name.clone();
    counter!("hgw_requests_total", "route" => route, "outcome" => "left", "reason" => "the caller left")
        .increment(1);
}

pub(crate) fn attempt_failed(reason: &'static str) {
    counter!("hgw_tries_failed_total", "reason" => reason).increment(1);
}

/// Counts what an engine of the service sent in place of a response.
pub(crate) fn malformed_response(service: &ServiceId) {
    counter!("hgw_malformed_responses_total", "service" => service.to_string()).increment(1);
}

pub(crate) fn engine_ended_under_request() {
    counter!("hgw_engines_ended_total").increment(1);
}

/// What became of a second attempt after an engine's own failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum SecondAttempt {
    #[display("served")]
    Served,
    #[display("failed")]
    Failed,
    /// It brought no complete response.
    #[display("no response")]
    NoResponse,
    /// None was made, as the request would fail again.
    #[display("unlikely")]
    Unlikely,
    /// None was made, as too little time was left.
    #[display("too late")]
    TooLate,
}

pub(crate) fn second_attempt(route: &Route, outcome: SecondAttempt) {
    let (route, outcome) = (route.name.clone(), outcome.to_string());
    counter!("hgw_second_attempts_total", "route" => route, "outcome" => outcome).increment(1);
}

/// Counts each time that a stream is no longer read ahead of its caller, as there is no room.
pub(crate) fn read_ahead_stopped() {
    counter!("hgw_read_ahead_stopped_total").increment(1);
}

/// Counts a response that was complete at this node when its caller left without it.
pub(crate) fn response_unread() {
    counter!("hgw_responses_unread_total").increment(1);
}

/// Counts a response that its engine cut off as its caller had not read it.
pub(crate) fn cut_unread() {
    counter!("hgw_responses_cut_unread_total").increment(1);
}

/// Counts a new connection of a caller that was closed unread, as this node runs late.
pub(crate) fn connection_refused() {
    counter!("hgw_connections_refused_total").increment(1);
}

/// Counts a caller's connection that has ended, and whether this node has closed it with unread bytes.
pub(crate) fn caller_connection_closed(reason: CloseReason, is_unread: bool) {
    let (reason, unread) = (reason.to_string(), is_unread.to_string());
    counter!("hgw_caller_connections_closed_total", "reason" => reason, "unread" => unread)
        .increment(1);
}

/// Counts a connection that was closed as its peer acknowledges nothing.
pub(crate) fn dead_peer() {
    counter!("hgw_dead_peers_total").increment(1);
}

/// Counts a connection that a request to an engine uses.
pub(crate) fn engine_connection(is_reused: bool) {
    let kind = if is_reused { "reused" } else { "new" };
    counter!("hgw_engine_connections_total", "kind" => kind).increment(1);
}

/// Counts a request that is withheld because of a subject.
pub(crate) fn withheld(subject: CrashSubject) {
    let kind = if subject.is_part() { "part" } else { "request" };
    counter!("hgw_withheld_total", "kind" => kind).increment(1);
}

pub(crate) fn sent_to_limited_engine() {
    counter!("hgw_sent_to_limited_total").increment(1);
}

pub(crate) fn invalid_engine_limit() {
    counter!("hgw_invalid_engine_limits_total").increment(1);
}

/// Counts observations of the speed of an engine, by this node or one behind it.
pub(crate) fn speed_observed() {
    counter!("hgw_speed_observations_total").increment(1);
}

/// Counts a figure of a header or of the configuration that is ignored, while the rest is used.
pub(crate) fn ignored_figure(field: &'static str, reason: &dyn Display) {
    counter!("hgw_ignored_figures_total", "field" => field, "reason" => reason.to_string())
        .increment(1);
}

pub(crate) fn brittle_engines(count: usize) {
    gauge!("hgw_brittle_engines").set(count as f64);
}

pub(crate) fn engine_path_changed(service: &ServiceId, reaches: bool) {
    let (service, reaches) = (service.to_string(), reaches.to_string());
    counter!("hgw_engine_path_changes_total", "service" => service, "reaches" => reaches)
        .increment(1);
}

/// Counts probes by which this node checks its path to the engines of a service.
pub(crate) fn engine_path_probed(service: &ServiceId, probes: usize) {
    counter!("hgw_engine_path_probes_total", "service" => service.to_string())
        .increment(probes as u64);
}

/// Counts a stream that a caller takes up, by how the version that began it is known.
pub(crate) fn stream_taken_up(service: &ServiceId, known_by: &'static str) {
    let service = service.to_string();
    counter!("hgw_streams_taken_up_total", "service" => service, "known_by" => known_by)
        .increment(1);
}

pub(crate) fn admitted_versions(service: &ServiceId, count: usize) {
    gauge!("hgw_software_versions", "service" => service.to_string()).set(count as f64);
}

pub(crate) fn message_dropped() {
    counter!("hgw_words_lost_total").increment(1);
}

pub(crate) fn order(kind: &'static str, outcome: &'static str) {
    counter!("hgw_orders_total", "kind" => kind, "outcome" => outcome).increment(1);
}

pub(crate) fn store_call(call: &'static str, result: Result<(), &StoreError>) {
    let result = match result {
        Ok(()) => "ok",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::PreconditionFailed) => "condition",
        Err(StoreError::Fenced) => "fenced",
        Err(StoreError::NoResponse { .. }) => "lost",
        Err(StoreError::Malformed(_)) => "malformed",
        Err(StoreError::Outdated { .. }) => "outdated",
        Err(StoreError::NewEra { .. }) => "new_era",
    };
    counter!("hgw_store_calls_total", "what" => call, "result" => result).increment(1);
}

pub(crate) fn update_gauges(node: &Shared) {
    let now = node.now();
    let limits = node.budget_limits();
    for (service, budget) in &mut node.state.borrow_mut().budgets {
        let left = budget.remaining(now, &limits).max(0.0);
        gauge!("hgw_second_tries_left", "service" => service.to_string()).set(left);
    }
    let state = node.state.borrow();
    let (mut ready, mut draining, mut ejected) = (0.0, 0.0, 0.0);
    for engine in state.engines.iter() {
        match (engine.accepts_requests(), engine.health.is_ejected(now)) {
            (false, _) => draining += 1.0,
            (true, true) => ejected += 1.0,
            (true, false) => ready += 1.0,
        }
    }
    gauge!("hgw_engines", "state" => "ready").set(ready);
    gauge!("hgw_engines", "state" => "leaving").set(draining);
    gauge!("hgw_engines", "state" => "silent").set(ejected);
    gauge!("hgw_config_version").set(state.catalog.as_ref().map_or(0.0, |c| c.version as f64));
    gauge!("hgw_nodes").set(f64::from(state.nodes));
    gauge!("hgw_polled_by").set(f64::from(node.children.recent_count(now)));
    let knows_loads = node.aggregator.borrow().is_fresh();
    gauge!("hgw_knows_loads").set(f64::from(u8::from(knows_loads)));
    gauge!("hgw_list_age_seconds").set(node.store_data_age() as f64 / 1000.0);
    if let Some(age) = freshness::age(node) {
        gauge!("hgw_proof_age_seconds").set(age.as_secs_f64());
    }
    gauge!("hgw_suspected_subjects").set(node.crashes.borrow().suspects() as f64);
    gauge!("hgw_blocked_requests").set(node.crashes.borrow().blocked().count() as f64);
    for service in state.catalog.iter().flat_map(|catalog| catalog.services.keys()) {
        let reaches = f64::from(u8::from(!node.engine_path.has_failed(service)));
        gauge!("hgw_reaches_engines", "service" => service.to_string()).set(reaches);
    }
    gauge!("hgw_held_bytes").set(node.held_memory.held().total as f64);
    gauge!("hgw_limited_engines").set(node.engine_limits.borrow().limited().count() as f64);
    let services: IndexSet<&ServiceId> = state.engines.iter().map(|e| &e.info.service).collect();
    for service in services {
        let mean = mean_speed(&state.engines, service);
        let known = state.engines.of_service(service).filter(|e| e.speed.is_known(now));
        let (known, name) = (known.count() as f64, service.to_string());
        gauge!("hgw_engines_of_known_speed", "service" => name.clone()).set(known);
        if mean.knows_events() {
            gauge!("hgw_event_interval_seconds", "service" => name)
                .set(mean.mean().ms_per_event / 1_000.0);
        }
    }
    gauge!("hgw_overloaded_services").set(overload::overloaded_services(node) as f64);
    gauge!("hgw_waiting_requests").set(node.room_queue.len() as f64);
    gauge!("hgw_store_era").set(node.era.get().era().number());
    gauge!("hgw_keeper").set(f64::from(u8::from(node.leadership.borrow().is_leader())));
    gauge!("hgw_ready").set(f64::from(u8::from(node.is_ready())));
    gauge!("hgw_requests_open").set(f64::from(node.shutdown.active_requests.get()));
    gauge!("hgw_connections_taken_share").set(node.caller_gate.share());
    gauge!("hgw_connections_open").set(node.shutdown.connections.get() as f64);
}
