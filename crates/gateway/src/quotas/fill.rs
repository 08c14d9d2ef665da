//! Asking for allowances ahead of need.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::hubs::Parent;
use hgw_direct::quota::{Account, Allowance, AllowanceRequest, Grant, Usage};
use hgw_direct::{CustomerId, Millis};
use hgw_events::{Event, emit};
use indexmap::IndexMap;
use tokio::time::{Instant, sleep, timeout};

use crate::peers;
use crate::shared::Node;

use super::give::issue;
use super::message::{Ask, Given};
use super::{Source, limit, now, source, with};

/// Time between two looks whether there is anything to ask for.
const LOOK: Duration = Duration::from_millis(100);

/// Least time between two questions, so that one asks for several requests.
const ASKS_LEAST: Duration = Duration::from_millis(10);

/// The same while nothing waits.
const ASKS_AHEAD: Duration = Duration::from_millis(40);

/// Longest wait for an answer of the issuer. Where it is late its domain goes on alone, and tells it afterwards.
const PATIENCE: Duration = Duration::from_millis(150);

/// The same for an answer of a head, which may ask the issuer itself, and how often in a row it may stay away before
/// another head is asked.
const HEAD_PATIENCE: Duration = Duration::from_millis(300);
const HEAD_SILENT: u32 = 2;

/// Time between two questions whether the issuer is back.
const PROBE: Duration = Duration::from_millis(150);

/// Time after which the issuer hears that this node and those behind it are there, where they need nothing.
const SAYS_AGAIN: Millis = 400;

/// Time without an answer after which a domain goes on with its own share.
const ALONE_AFTER: Millis = 150;

/// Time within which nodes must have asked to count as heard.
const HEARD_WITHIN: Millis = 1_000;

/// Asks for allowances ahead of need, until the process ends.
pub(crate) async fn keep(node: Node) {
    let mut last = Instant::now();
    let mut said = 0;
    loop {
        let _ = timeout(LOOK, node.quotas.wake.notified()).await;
        if !has_limits(&node) {
            continue;
        }
        let waits = node.quotas.accounts.borrow().values().any(Account::has_waiters);
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

fn wants(node: &Node) -> Vec<(CustomerId, AllowanceRequest)> {
    let now = now();
    let mut accounts = node.quotas.accounts.borrow_mut();
    let all = accounts
        .iter_mut()
        .map(|(customer, account)| (customer.clone(), account.next_request(now)));
    all.filter(|(_, want)| want.max > 0.0).collect()
}

/// Fills the purses from where this node gets allowances.
async fn fill(node: &Node, wants: Vec<(CustomerId, AllowanceRequest)>) {
    match source(node) {
        Source::Itself => {
            let me = node.settings.borrow().peers;
            let asked = now();
            let rows = wants.iter().map(|(c, want)| (c.clone(), *want, 0.0)).collect();
            let given = issue(node, &Ask { from: me, of_issuer: true, nodes: 0, rows });
            // Without it nobody else issues either, until its lease is over for all.
            if let Some(given) = given {
                take_in(node, asked, &wants, given);
            }
        }
        Source::Node(Parent::Leader, addr) if node.quotas.is_alone.get() => {
            go_on_alone(node, &wants);
            probe(node, addr);
        }
        Source::Node(Parent::Leader, addr) => {
            if !ask_issuer(node, addr, &wants).await {
                go_on_alone(node, &wants);
            }
        }
        Source::Node(Parent::Hub(_), addr) => ask_head(node, addr, &wants).await,
        Source::Nobody => go_on_alone(node, &wants),
    }
}

/// Asks the issuer, and tells it what was used without it; whether it answered.
async fn ask_issuer(
    node: &Node,
    addr: SocketAddr,
    wants: &[(CustomerId, AllowanceRequest)],
) -> bool {
    let quotas = &node.quotas;
    let used = quotas.alone.borrow_mut().take_usage(now());
    let Some((asked, given)) = ask(node, addr, wants, &used, true).await else {
        quotas.alone.borrow_mut().restore_usage(used);
        return false;
    };
    quotas.alone.borrow_mut().issuer_responded();
    is_alone(node, false);
    quotas.answered.set(now());
    take_in(node, asked, wants, given);
    true
}

/// Asks the head of this node's domain.
async fn ask_head(node: &Node, addr: SocketAddr, wants: &[(CustomerId, AllowanceRequest)]) {
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

/// Looks whether the issuer is back, while this domain goes on alone: requests do not wait for that.
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
    wants: &[(CustomerId, AllowanceRequest)],
    used: &[Usage],
    of_issuer: bool,
) -> Option<(Millis, Given)> {
    let patience = if of_issuer { PATIENCE } else { HEAD_PATIENCE };
    let mut rows: IndexMap<CustomerId, (AllowanceRequest, f64)> =
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

/// Takes in the answer to a question of this time: an allowance lives from then, whatever its answer took.
fn take_in(node: &Node, asked: Millis, wants: &[(CustomerId, AllowanceRequest)], given: Given) {
    let rows = given.rows.into_iter().map(|(customer, grants, room)| (customer, (grants, room)));
    let mut given: IndexMap<CustomerId, (Vec<Grant>, Option<Millis>)> = rows.collect();
    for (customer, want) in wants {
        let (grants, room_in) = given.swap_remove(customer).unwrap_or_default();
        with(node, customer, |account| {
            account.record_response(now(), want, room_in);
            for grant in grants {
                account
                    .allowances
                    .add(Allowance { amount: grant.amount, expires_at: asked + grant.ttl_ms });
            }
        });
    }
}

/// Uses this domain's own share, where the issuer has been silent for a while.
fn go_on_alone(node: &Node, wants: &[(CustomerId, AllowanceRequest)]) {
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
        let given = node.quotas.alone.borrow_mut().grant(customer, &terms, want, share, now);
        with(node, customer, |account| {
            account.record_response(now, want, given.available_in);
            account
                .allowances
                .add(Allowance { amount: given.amount, expires_at: now + terms.allowance_ttl() });
        });
    }
}

/// Says when a domain goes on with its own share, and when the issuer is heard again.
fn is_alone(node: &Node, alone: bool) {
    if node.quotas.is_alone.replace(alone) != alone {
        emit(Event::LimitsAlone, &[("node", &node.settings.borrow().node), ("alone", &alone)]);
    }
}
