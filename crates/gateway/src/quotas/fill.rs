//! Requests allowances ahead of need.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::heads::Parent;
use hgw_direct::quota::{Account, Grant, Lot, Used, Want};
use hgw_direct::{CustomerId, Millis};
use hgw_events::{Event, emit};
use indexmap::IndexMap;
use tokio::time::{Instant, sleep, timeout};

use crate::peers;
use crate::shared::Node;

use super::give::issue;
use super::message::{Ask, Given};
use super::{Source, limit, now, source, with};

/// Interval between checks whether allowances are needed.
const LOOK: Duration = Duration::from_millis(100);

/// Shortest time between two requests for allowances, so that one covers several callers.
const ASKS_LEAST: Duration = Duration::from_millis(10);

/// The same while no caller waits.
const ASKS_AHEAD: Duration = Duration::from_millis(40);

/// Timeout of requests to the issuer. After it the domain uses its own share, which it reports
/// later.
const PATIENCE: Duration = Duration::from_millis(150);

/// Timeout of requests to a hub, which may query the issuer first, and the number of timeouts in a
/// row after which another hub is used.
const HEAD_PATIENCE: Duration = Duration::from_millis(300);
const HEAD_SILENT: u32 = 2;

/// Pause between probes of an unresponsive issuer.
const PROBE: Duration = Duration::from_millis(150);

/// Interval at which this node reports itself and the nodes behind it, if it needs no allowances.
const SAYS_AGAIN: Millis = 400;

/// Time without a response after which a domain uses its own share.
const ALONE_AFTER: Millis = 150;

/// Time since its last request within which a node behind this one is counted.
const HEARD_WITHIN: Millis = 1_000;

/// Requests allowances ahead of need until the process ends.
pub(crate) async fn keep(node: Node) {
    let mut last = Instant::now();
    let mut said = 0;
    loop {
        let _ = timeout(LOOK, node.quotas.wake.notified()).await;
        if !has_limits(&node) {
            continue;
        }
        let waits = node.quotas.accounts.borrow().values().any(Account::has_waiting);
        let pause = if waits { ASKS_LEAST } else { ASKS_AHEAD };
        sleep(pause.saturating_sub(last.elapsed())).await;
        last = Instant::now();
        let wants = wants(&node);
        let is_due = now().saturating_sub(said) >= SAYS_AGAIN;
        if !wants.is_empty() || is_due {
            said = now();
            fill(&node, wants).await;
            node.quotas.filled.notify_waiters();
        }
    }
}

fn has_limits(node: &Node) -> bool {
    let state = node.state.borrow();
    let customers = state.catalog.as_ref().and_then(|c| c.customers.as_ref());
    customers.is_some_and(|c| c.all().any(|(_, customer)| customer.quota.is_some()))
}

fn wants(node: &Node) -> Vec<(CustomerId, Want)> {
    let now = now();
    let mut accounts = node.quotas.accounts.borrow_mut();
    let all = accounts.iter_mut().map(|(customer, account)| (customer.clone(), account.want(now)));
    all.filter(|(_, want)| want.most > 0.0).collect()
}

/// Requests allowances from where this node gets them.
async fn fill(node: &Node, wants: Vec<(CustomerId, Want)>) {
    match source(node) {
        Source::Itself => {
            let me = node.settings.borrow().peers;
            let asked = now();
            let rows = wants.iter().map(|(c, want)| (c.clone(), *want, 0.0)).collect();
            let given = issue(node, &Ask { from: me, of_issuer: true, nodes: 0, rows });
            // If this node's lease is uncertain, no other node issues either until the lease has
            // expired for all.
            if let Some(given) = given {
                take_in(node, asked, &wants, given);
            }
        }
        Source::Node(Parent::Holder, addr) if node.quotas.is_alone.get() => {
            go_on_alone(node, &wants);
            probe(node, addr);
        }
        Source::Node(Parent::Holder, addr) => {
            if !ask_issuer(node, addr, &wants).await {
                go_on_alone(node, &wants);
            }
        }
        Source::Node(Parent::Head(_), addr) => ask_head(node, addr, &wants).await,
        Source::Nobody => go_on_alone(node, &wants),
    }
}

/// Requests allowances from the issuer and reports what was used without it. Returns whether it
/// responded.
async fn ask_issuer(node: &Node, addr: SocketAddr, wants: &[(CustomerId, Want)]) -> bool {
    let quotas = &node.quotas;
    let used = quotas.alone.borrow_mut().take_used(now());
    let Some((asked, given)) = ask(node, addr, wants, &used, true).await else {
        quotas.alone.borrow_mut().give_back(used);
        return false;
    };
    quotas.alone.borrow_mut().end();
    is_alone(node, false);
    quotas.answered.set(now());
    take_in(node, asked, wants, given);
    true
}

/// Requests allowances from the hub of this node's domain.
async fn ask_head(node: &Node, addr: SocketAddr, wants: &[(CustomerId, Want)]) {
    let quotas = &node.quotas;
    match ask(node, addr, wants, &[], false).await {
        Some((asked, given)) => {
            quotas.unanswered.set(0);
            quotas.answered.set(now());
            take_in(node, asked, wants, given);
        }
        None => {
            quotas.unanswered.set(quotas.unanswered.get() + 1);
            if quotas.unanswered.get() >= HEAD_SILENT {
                quotas.unanswered.set(0);
                peers::is_silent(node, addr);
            }
        }
    }
}

/// Checks in the background whether an unresponsive issuer is back, so that requests need not wait for it.
fn probe(node: &Node, addr: SocketAddr) {
    if node.quotas.probing.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        if !ask_issuer(&node, addr, &[]).await {
            sleep(PROBE).await;
        }
        node.quotas.probing.set(false);
    });
}

async fn ask(
    node: &Node,
    addr: SocketAddr,
    wants: &[(CustomerId, Want)],
    used: &[Used],
    of_issuer: bool,
) -> Option<(Millis, Given)> {
    let patience = if of_issuer { PATIENCE } else { HEAD_PATIENCE };
    let mut rows: IndexMap<CustomerId, (Want, f64)> =
        wants.iter().map(|(customer, want)| (customer.clone(), (*want, 0.0))).collect();
    for used in used {
        rows.entry(used.customer.clone()).or_default().1 += used.amount;
    }
    let rows = rows.into_iter().map(|(customer, (want, used))| (customer, want, used)).collect();
    let from = node.settings.borrow().peers;
    let nodes = 1 + node.children.heard_within(HEARD_WITHIN, node.now());
    let asked = now();
    let given =
        peers::call(node, addr, "/quota", &Ask { from, of_issuer, nodes, rows }, patience).await?;
    Some((asked, given))
}

/// Adds the granted allowances. They expire relative to the time of the request, so that a slow
/// response does not extend them.
fn take_in(node: &Node, asked: Millis, wants: &[(CustomerId, Want)], given: Given) {
    let rows = given.rows.into_iter().map(|(customer, grants, room)| (customer, (grants, room)));
    let mut given: IndexMap<CustomerId, (Vec<Grant>, Option<Millis>)> = rows.collect();
    for (customer, want) in wants {
        let (grants, room_in) = given.swap_remove(customer).unwrap_or_default();
        with(node, customer, |account| {
            account.answered(now(), want, room_in);
            for grant in grants {
                account.purse.add(Lot { amount: grant.amount, until: asked + grant.for_ms });
            }
        });
    }
}

/// Uses this domain's own share if the issuer has not responded for a while.
fn go_on_alone(node: &Node, wants: &[(CustomerId, Want)]) {
    let now = now();
    let counted = !node.members.borrow().is_empty() || node.was_followed();
    let lately = now.saturating_sub(node.quotas.answered.get()) < ALONE_AFTER;
    if !counted || lately && !node.quotas.is_alone.get() {
        return;
    }
    is_alone(node, true);
    let nodes = node.state.borrow().nodes.max(1);
    let with_it = 1 + node.children.heard_within(HEARD_WITHIN, node.now());
    let share = (f64::from(with_it) / f64::from(nodes)).min(1.0);
    for (customer, want) in wants {
        let Some((terms, _)) = limit(node, customer, None) else { continue };
        let given = node.quotas.alone.borrow_mut().give(customer, &terms, want, share, now);
        with(node, customer, |account| {
            account.answered(now, want, given.room_in);
            account.purse.add(Lot { amount: given.amount, until: now + terms.life() });
        });
    }
}

/// Logs when this domain starts or stops using its own share.
fn is_alone(node: &Node, alone: bool) {
    if node.quotas.is_alone.replace(alone) != alone {
        emit(Event::LimitsAlone, &[("node", &node.settings.borrow().node), ("alone", &alone)]);
    }
}
