//! Counts requests of services without models, and applies the leader's decision on overloaded ones.

use std::cell::RefCell;
use std::time::Duration;

use hgw_direct::overload::{
    Admission, AdmissionUpdate, LoadCounts, OverloadController, RequestClass, ServiceReport,
    ServiceState,
};
use hgw_direct::{Catalog, ServiceId};
use rand::random;
use tokio::time::sleep;

use crate::shared::Node;

/// Interval between two decisions of the leader.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
pub(crate) struct Overload {
    /// What has not been reported yet.
    counts: RefCell<LoadCounts>,
    /// The shares that hold now.
    admission: RefCell<Admission>,
    /// State of the leader.
    controller: RefCell<OverloadController>,
}

/// Counts a request and decides whether it is admitted.
pub(crate) fn admits(node: &Node, class: &RequestClass<'_>) -> bool {
    if !is_controlled(node, class.service) {
        return true;
    }
    let now = node.now();
    let mut counts = node.overload.counts.borrow_mut();
    counts.record_arrival(class.service, class.priority, class.customer, class.is_retried, now);
    let is_admitted = node.overload.admission.borrow_mut().admits(class, random(), now);
    if !is_admitted {
        counts.record_pressure(class.service, now);
    }
    is_admitted
}

/// Records that engines of the service are full.
pub(crate) fn record_pressure(node: &Node, service: &ServiceId) {
    if is_controlled(node, service) {
        node.overload.counts.borrow_mut().record_pressure(service, node.now());
    }
}

/// Records a response that took so long at an engine.
pub(crate) fn record_completion(node: &Node, service: &ServiceId, took: Duration, is_full: bool) {
    if is_controlled(node, service) {
        let mut counts = node.overload.counts.borrow_mut();
        counts.record_completion(service, took, is_full, node.now());
    }
}

/// Takes what is due to be reported to the leader. Counts that do not arrive are lost: added to later ones they would
/// look like a burst.
pub(crate) fn take_reports(node: &Node) -> Vec<ServiceReport> {
    if !node.settings.borrow().features.overload_control {
        return Vec::new();
    }
    let now = node.now();
    let mut counts = node.overload.counts.borrow_mut();
    for state in service_states(node) {
        if LoadCounts::is_pressure(state.in_flight, state.slots) {
            counts.record_pressure(&state.service, now);
        }
    }
    let admission = node.overload.admission.borrow();
    admission.overloaded(now).for_each(|service| counts.record_pressure(service, now));
    counts.take_due(now)
}

/// Applies the reports of another node.
pub(crate) fn apply_reports(node: &Node, reports: &[ServiceReport]) {
    let now = node.now();
    let is_leader = node.leadership.borrow().is_leader();
    for report in reports.iter().filter(|report| is_controlled(node, &report.service)) {
        if is_leader {
            node.overload.controller.borrow_mut().record(report, now);
        } else {
            node.overload.counts.borrow_mut().merge(report, now);
        }
    }
}

/// Identifies the table that this node knows.
pub(crate) fn digest(node: &Node) -> u32 {
    node.overload.admission.borrow().digest(node.now())
}

/// What to tell a node that knows the table with this digest.
pub(crate) fn update_for(node: &Node, digest: u32) -> Option<AdmissionUpdate> {
    node.overload.admission.borrow().update_for(digest, node.now())
}

/// Takes in what the leader or a hub tells, and passes it on.
pub(crate) fn apply_update(node: &Node, update: AdmissionUpdate) {
    if node.settings.borrow().features.overload_control
        && node.overload.admission.borrow_mut().apply(update, node.now())
    {
        node.update_available.notify_waiters();
    }
}

/// Decides for all nodes until another claim begins.
pub(crate) async fn decide_until_replaced(node: Node, is_replaced: impl Fn(&Node) -> bool) {
    *node.overload.controller.borrow_mut() = OverloadController::default();
    while !is_replaced(&node) {
        if node.settings.borrow().features.overload_control {
            decide(&node);
        }
        sleep(DECISION_INTERVAL).await;
    }
}

fn decide(node: &Node) {
    let now = node.now();
    let own = take_reports(node);
    apply_reports(node, &own);
    let states = service_states(node);
    let table = node.overload.controller.borrow_mut().decide(&states, now);
    if node.overload.admission.borrow_mut().publish(table, now) {
        node.update_available.notify_waiters();
    }
}

/// Number of services to which requests are limited.
pub(crate) fn overloaded_services(node: &crate::shared::Shared) -> usize {
    node.overload.admission.borrow().overloaded(node.now()).count()
}

fn is_controlled(node: &Node, service: &ServiceId) -> bool {
    if !node.settings.borrow().features.overload_control {
        return false;
    }
    let state = node.state.borrow();
    let service = state.catalog.as_ref().and_then(|catalog| catalog.services.get(service));
    service.is_some_and(|service| service.pool.is_none())
}

/// What this node knows of the services without models.
fn service_states(node: &Node) -> Vec<ServiceState> {
    let (now, state) = (node.now(), node.state.borrow());
    let Some(catalog) = &state.catalog else { return Vec::new() };
    let services = catalog.services.iter().filter(|(_, service)| service.pool.is_none());
    let states = services.map(|(id, _)| {
        let usable = state.engines.of_service(id);
        let usable = usable.filter(|e| e.accepts_requests() && !e.health.is_unreachable(now));
        let empty = ServiceState {
            service: id.clone(),
            engines: 0,
            slots: 0,
            in_flight: 0.0,
            objective: objective(catalog, id),
        };
        usable.fold(empty, |sum, engine| ServiceState {
            engines: sum.engines + 1,
            slots: sum.slots.saturating_add(engine.info.slots),
            in_flight: sum.in_flight + engine.estimate(now),
            ..sum
        })
    });
    states.collect()
}

/// Shortest objective of the routes that lead to a service.
fn objective(catalog: &Catalog, service: &ServiceId) -> Duration {
    let routes = catalog.routes.iter();
    let routes = routes.filter(|r| r.targets.iter().any(|t| t.service == *service && t.weight > 0));
    routes.map(|route| route.first_byte_objective).min().unwrap_or_default()
}
