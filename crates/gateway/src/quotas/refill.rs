//! Requests allowances ahead of need.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::Millis;
use hgw_direct::hubs::Parent;
use hgw_direct::quota::{Account, Allowance, AllowanceRequest, Grant, QuotaKey, Usage};
use hgw_events::{Event, emit};
use indexmap::IndexMap;
use tokio::time::{Instant, sleep, timeout};

use crate::brittle;
use crate::engine_limits;
use crate::peers;
use crate::shared::Node;

use super::grant::{issue, start_issuer};
use super::message::{GrantRequest, GrantResponse};
use super::{
    AllowanceSource, allowance_source, boot_now, forget_ended, quota_params, with_account,
};

/// Interval between checks whether allowances are needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two requests for allowances, so that one covers several callers.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// The same while no caller waits.
const AHEAD_REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Timeout of requests to the issuer. After it the domain uses its own share, which it reports
/// later.
const ISSUER_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of requests to a hub, which may query the issuer first, and the number of timeouts in a
/// row after which another hub is used.
const HUB_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_HUB_TIMEOUTS: u32 = 2;

/// Pause between probes of an unresponsive issuer.
const PROBE_PAUSE: Duration = Duration::from_millis(150);

/// Interval at which this node reports itself and the nodes behind it, if it needs no allowances.
const REPORT_INTERVAL_MS: Millis = 400;

/// Time without a response after which a domain uses its own share.
const FALLBACK_AFTER_MS: Millis = 150;

/// Time since its last request within which a node behind this one is counted.
const CONTACT_WITHIN_MS: Millis = 1_000;

/// Requests allowances ahead of need until the process ends.
pub(crate) async fn refill(node: Node) {
    let mut last_request = Instant::now();
    let mut last_report = 0;
    loop {
        let _ = timeout(CHECK_INTERVAL, node.quotas.refill_needed.notified()).await;
        engine_limits::maintain(&node);
        brittle::maintain(&node);
        forget_ended(&node);
        // An issuer that is not needed yet starts all the same.
        let _ = start_issuer(&node);
        if !has_quotas(&node) {
            continue;
        }
        let has_waiters = node.quotas.accounts.borrow().values().any(Account::has_waiters);
        let interval = if has_waiters { MIN_REQUEST_INTERVAL } else { AHEAD_REQUEST_INTERVAL };
        sleep(interval.saturating_sub(last_request.elapsed())).await;
        last_request = Instant::now();
        let requests = pending_requests(&node);
        let is_due = boot_now().saturating_sub(last_report) >= REPORT_INTERVAL_MS;
        let reports =
            is_due && reports_contact(&node) || node.quotas.fallback.borrow().has_engine_usage();
        if !requests.is_empty() || reports {
            last_report = boot_now();
            request_allowances(&node, requests).await;
            node.quotas.refilled.notify_waiters();
        }
    }
}

/// Whether any quota is in force.
fn has_quotas(node: &Node) -> bool {
    has_customer_quotas(node) || node.engine_limits.borrow().limited().next().is_some()
}

/// Whether the issuer must hear from this node even if it needs no allowances. A hub reports for the
/// nodes behind it, which poll it anyway.
fn reports_contact(node: &Node) -> bool {
    has_customer_quotas(node) || !node.has_hub()
}

fn has_customer_quotas(node: &Node) -> bool {
    let state = node.state.borrow();
    let customers = state.catalog.as_ref().and_then(|c| c.customers.as_ref());
    customers.is_some_and(|c| c.all().any(|(_, customer)| customer.quota.is_some()))
}

fn pending_requests(node: &Node) -> Vec<(QuotaKey, AllowanceRequest)> {
    let now = boot_now();
    let mut accounts = node.quotas.accounts.borrow_mut();
    let requests =
        accounts.iter_mut().map(|(key, account)| (key.clone(), account.next_request(now)));
    requests.filter(|(_, request)| request.max > 0.0).collect()
}

/// Requests allowances from where this node gets them.
async fn request_allowances(node: &Node, requests: Vec<(QuotaKey, AllowanceRequest)>) {
    match allowance_source(node) {
        AllowanceSource::Issuer => {
            let asked_at = boot_now();
            let usage = take_usage(node);
            let request = grant_request(node, &requests, &usage, true, 0);
            // If this node's lease is uncertain, no other node issues either until the lease has
            // expired for all.
            match issue(node, &request) {
                Some(response) => {
                    node.quotas.last_response_at.set(boot_now());
                    add_grants(node, asked_at, &requests, response);
                }
                None => restore_usage(node, usage),
            }
        }
        AllowanceSource::Node(Parent::Leader, addr) if node.quotas.uses_fallback.get() => {
            use_fallback(node, &requests);
            probe(node, addr);
        }
        AllowanceSource::Node(Parent::Leader, addr) => {
            if !request_from_issuer(node, addr, &requests).await {
                use_fallback(node, &requests);
            }
        }
        AllowanceSource::Node(Parent::Hub(_), addr) => {
            request_from_hub(node, addr, &requests).await
        }
        AllowanceSource::None => use_fallback(node, &requests),
    }
}

/// Requests allowances from the issuer and reports what was used without it. Returns whether it
/// responded.
async fn request_from_issuer(
    node: &Node,
    addr: SocketAddr,
    requests: &[(QuotaKey, AllowanceRequest)],
) -> bool {
    let quotas = &node.quotas;
    let usage = take_usage(node);
    let Some((asked_at, response)) = send_request(node, addr, requests, &usage, true).await else {
        restore_usage(node, usage);
        return false;
    };
    quotas.fallback.borrow_mut().issuer_responded();
    set_uses_fallback(node, false);
    quotas.last_response_at.set(boot_now());
    add_grants(node, asked_at, requests, response);
    true
}

/// Requests allowances from the hub of this node's domain.
async fn request_from_hub(
    node: &Node,
    addr: SocketAddr,
    requests: &[(QuotaKey, AllowanceRequest)],
) {
    let quotas = &node.quotas;
    let usage = quotas.fallback.borrow_mut().take_engine_usage(boot_now());
    match send_request(node, addr, requests, &usage, false).await {
        Some((asked_at, response)) => {
            quotas.hub_timeouts.set(0);
            quotas.last_response_at.set(boot_now());
            add_grants(node, asked_at, requests, response);
        }
        None => {
            restore_usage(node, usage);
            quotas.hub_timeouts.set(quotas.hub_timeouts.get() + 1);
            if quotas.hub_timeouts.get() >= MAX_HUB_TIMEOUTS {
                quotas.hub_timeouts.set(0);
                peers::mark_unresponsive(node, addr);
            }
        }
    }
}

/// Checks in the background whether an unresponsive issuer is back, so that requests need not wait
/// for it.
fn probe(node: &Node, addr: SocketAddr) {
    if node.quotas.is_probing.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        if !request_from_issuer(&node, addr, &[]).await {
            sleep(PROBE_PAUSE).await;
        }
        node.quotas.is_probing.set(false);
    });
}

async fn send_request(
    node: &Node,
    addr: SocketAddr,
    requests: &[(QuotaKey, AllowanceRequest)],
    usage: &[Usage],
    issuer_only: bool,
) -> Option<(Millis, GrantResponse)> {
    let timeout = if issuer_only { ISSUER_TIMEOUT } else { HUB_TIMEOUT };
    let nodes = 1 + node.children.count_within(CONTACT_WITHIN_MS, node.now());
    let request = grant_request(node, requests, usage, issuer_only, nodes);
    let (asked_at, limits_asked_at) = (boot_now(), node.now());
    let response: GrantResponse = peers::call(node, addr, "/quota", &request, timeout).await?;
    engine_limits::apply_lifted(node, &response.lifted, limits_asked_at);
    Some((asked_at, response))
}

fn take_usage(node: &Node) -> Vec<Usage> {
    node.quotas.fallback.borrow_mut().take_usage(boot_now())
}

fn restore_usage(node: &Node, usage: Vec<Usage>) {
    node.quotas.fallback.borrow_mut().restore_usage(usage);
}

/// A request for allowances of this node and the number of nodes that it covers.
fn grant_request(
    node: &Node,
    requests: &[(QuotaKey, AllowanceRequest)],
    usage: &[Usage],
    issuer_only: bool,
    nodes: u32,
) -> GrantRequest {
    let mut rows: IndexMap<QuotaKey, (AllowanceRequest, f64)> =
        requests.iter().map(|(key, request)| (key.clone(), (*request, 0.0))).collect();
    for entry in usage {
        rows.entry(entry.key.clone()).or_default().1 += entry.amount;
    }
    let limits = node.engine_limits.borrow();
    let state = |key: &QuotaKey| match key {
        QuotaKey::Engine(engine) => limits.state(*engine, node.now()),
        QuotaKey::Customer(_) => None,
    };
    let engine_limits = rows.keys().filter_map(state).collect();
    let rows = rows.into_iter().map(|(key, (request, usage))| (key, request, usage)).collect();
    let from = node.settings.borrow().peer_addr;
    GrantRequest { from, issuer_only, nodes, rows, engine_limits }
}

/// Adds the granted allowances. They expire relative to the time of the request, so that a slow
/// response does not extend them.
fn add_grants(
    node: &Node,
    asked_at: Millis,
    requests: &[(QuotaKey, AllowanceRequest)],
    response: GrantResponse,
) {
    let rows =
        response.rows.into_iter().map(|(key, grants, available_in)| (key, (grants, available_in)));
    let mut response: IndexMap<QuotaKey, (Vec<Grant>, Option<Millis>)> = rows.collect();
    for (key, request) in requests {
        let (grants, available_in) = response.swap_remove(key).unwrap_or_default();
        with_account(node, key, |account| {
            account.record_response(boot_now(), request, available_in);
            for grant in grants {
                account
                    .allowances
                    .add(Allowance { amount: grant.amount, expires_at: asked_at + grant.ttl_ms });
            }
        });
    }
}

/// Uses this domain's own share if the issuer has not responded for a while.
fn use_fallback(node: &Node, requests: &[(QuotaKey, AllowanceRequest)]) {
    let now = boot_now();
    let knows_nodes = !node.directory.borrow().is_empty() || node.has_leader_updates();
    let has_recent_response =
        now.saturating_sub(node.quotas.last_response_at.get()) < FALLBACK_AFTER_MS;
    if !knows_nodes || has_recent_response && !node.quotas.uses_fallback.get() {
        return;
    }
    set_uses_fallback(node, true);
    let nodes = node.state.borrow().nodes.max(1);
    let covered_nodes = 1 + node.children.count_within(CONTACT_WITHIN_MS, node.now());
    let share = (f64::from(covered_nodes) / f64::from(nodes)).min(1.0);
    for (key, request) in requests {
        let Some(params) = quota_params(node, key) else { continue };
        let issued = node.quotas.fallback.borrow_mut().grant(key, &params, request, share, now);
        with_account(node, key, |account| {
            account.record_response(now, request, issued.available_in);
            account
                .allowances
                .add(Allowance { amount: issued.amount, expires_at: now + params.allowance_ttl() });
        });
    }
}

/// Logs when this domain starts or stops using its own share.
fn set_uses_fallback(node: &Node, uses_fallback: bool) {
    if node.quotas.uses_fallback.replace(uses_fallback) != uses_fallback {
        emit(
            Event::LimitsAlone,
            &[("node", &node.settings.borrow().node), ("alone", &uses_fallback)],
        );
    }
}
