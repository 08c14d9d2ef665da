//! What customers may use, as this node has it.
//!
//! Requests take what they need from allowances that lapse; one task asks for more ahead of need. The keeper issues
//! them, heads pass them on to their domains, and where the keeper is silent a domain goes on with its share. How much
//! that is, and why no sum exceeds a limit, is decided in `hgw_direct::quota`.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::heads::Parent;
use hgw_direct::quota::{Account, Alone, Grant, Issuer, Lot, Terms, Used, Waiting, Want};
use hgw_direct::{CustomerId, Millis};
use hgw_events::{Event, emit};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::clock::boot_time;
use crate::peers;
use crate::shared::Node;

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

/// Longest time for which a head holds an answer back to ask for more itself.
const HELD_BACK: Duration = Duration::from_millis(60);

/// Longest time for which a request waits for an allowance.
const LONGEST_WAIT: Duration = Duration::from_millis(250);

/// Time within which nodes must have asked to count as heard.
const HEARD_WITHIN: Millis = 1_000;

/// When a caller comes back whose customer has used all it may, at least and at most.
const COME_BACK_LEAST: Duration = Duration::from_millis(300);
const COME_BACK_MOST: Duration = Duration::from_secs(4);

/// The same where nobody tells what it may use.
const NO_WORD: Duration = Duration::from_millis(400);

/// What a node knows of what customers use.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    accounts: RefCell<IndexMap<CustomerId, Account>>,
    /// While this node issues, and under which claim.
    issuer: RefCell<Option<(u64, Issuer)>>,
    alone: RefCell<Alone>,
    /// When the issuer last answered, itself or through a head.
    answered: Cell<Millis>,
    is_alone: Cell<bool>,
    /// Whether this node is looking whether the issuer is back.
    probing: Cell<bool>,
    /// Questions in a row that a head did not answer.
    unanswered: Cell<u32>,
    wake: Notify,
    filled: Notify,
}

/// Asks for allowances.
#[derive(Debug, Serialize, Deserialize)]
struct Ask {
    from: SocketAddr,
    /// Whether the one that is asked is taken for the issuer: then no other answer is of use.
    of_issuer: bool,
    /// Nodes for which it asks.
    nodes: u32,
    /// What is wanted of each customer's limit, and what was used of it without the issuer.
    rows: Vec<(CustomerId, Want, f64)>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Given {
    /// What is given of each customer's limit; and where there is no more, when there will be, in milliseconds.
    rows: Vec<(CustomerId, Vec<Grant>, Option<Millis>)>,
}

/// Why a request gets no allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum NoAllowance {
    /// Its customer has used what it may; there is room again after this time.
    OverLimit(Duration),
    /// Nobody tells.
    NoWord(Duration),
}

/// What a request took of its customer's limit; given back where it does not run.
pub(crate) struct Spent {
    node: Node,
    customer: CustomerId,
    lots: Vec<Lot>,
    /// Whether an engine may run the request, or did.
    used: Cell<bool>,
}

impl Spent {
    /// An engine may run the request from now on, or says that it has not and will not.
    pub(crate) fn is_used(&self, used: bool) {
        self.used.set(used);
    }
}

impl Drop for Spent {
    fn drop(&mut self) {
        if self.used.get() {
            return;
        }
        let mut accounts = self.node.quotas.accounts.borrow_mut();
        let account = accounts.entry(self.customer.clone()).or_default();
        self.lots.drain(..).for_each(|lot| account.purse.add(lot));
    }
}

/// Time by the clock that counts what the machine was suspended for: an allowance lapses meanwhile.
fn now() -> Millis {
    boot_time().as_millis() as Millis
}

/// The limit of a customer, and what a request that tells so many tokens takes of it.
fn limit(node: &Node, customer: &CustomerId, tokens: Option<u64>) -> Option<(Terms, f64)> {
    let state = node.state.borrow();
    let quota = state.catalog.as_ref()?.customers.as_ref()?.get(customer)?.quota?;
    let terms = Terms::of(quota, &node.settings.borrow().quotas);
    Some((terms, quota.unit.of(tokens)))
}

/// Takes what a request needs of its customer's limit; nothing where that has none.
pub(crate) async fn spend(
    node: &Node,
    customer: &CustomerId,
    tokens: Option<u64>,
    longest: Duration,
) -> Result<Option<Spent>, NoAllowance> {
    let Some((_, cost)) = limit(node, customer, tokens) else { return Ok(None) };
    let until = Instant::now() + longest.min(LONGEST_WAIT);
    let quotas = &node.quotas;
    with(node, customer, |account| account.count(now(), cost));
    loop {
        let filled = quotas.filled.notified();
        let (spent, low, short) = with(node, customer, |account| {
            let spent = account.purse.spend(now(), cost);
            (spent, account.is_low(now()), account.room_in(now()))
        });
        if low {
            quotas.wake.notify_one();
        }
        if let Some(lots) = spent {
            let (node, customer) = (Rc::clone(node), customer.clone());
            return Ok(Some(Spent { node, customer, lots, used: Cell::new(false) }));
        }
        if let Some(room_in) = short {
            let wait = Duration::from_millis(room_in).clamp(COME_BACK_LEAST, COME_BACK_MOST);
            return Err(NoAllowance::OverLimit(wait));
        }
        if Instant::now() >= until {
            return Err(NoAllowance::NoWord(NO_WORD));
        }
        let waiting = Waiting { most: cost, least: cost };
        with(node, customer, |account| account.wait(waiting));
        quotas.wake.notify_one();
        // Dropped here or run out: what waits is told by the guard.
        let waits = Waits { node, customer, waiting };
        let _ = timeout_at(until, filled).await;
        drop(waits);
    }
}

/// A request that waits for an allowance, until this is dropped.
struct Waits<'a> {
    node: &'a Node,
    customer: &'a CustomerId,
    waiting: Waiting,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        with(self.node, self.customer, |account| account.wait_over(self.waiting));
    }
}

fn with<R>(node: &Node, customer: &CustomerId, look: impl FnOnce(&mut Account) -> R) -> R {
    let mut accounts = node.quotas.accounts.borrow_mut();
    if let Some(account) = accounts.get_mut(customer) {
        return look(account);
    }
    look(accounts.entry(customer.clone()).or_default())
}

/// Whom this node asks.
enum Source {
    /// It issues itself.
    Itself,
    /// The issuer, or the head of its domain.
    Node(Parent, SocketAddr),
    /// Nobody is known.
    Nobody,
}

fn source(node: &Node) -> Source {
    if node.holding.borrow().is_mine() {
        return Source::Itself;
    }
    node.parent().map_or(Source::Nobody, |(parent, addr)| Source::Node(parent, addr))
}

/// Asks for allowances ahead of need, until the process ends.
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

/// Fills the purses from where this node gets allowances.
async fn fill(node: &Node, wants: Vec<(CustomerId, Want)>) {
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

/// Asks the issuer, and tells it what was used without it; whether it answered.
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

/// Asks the head of this node's domain.
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

/// Takes in the answer to a question of this time: an allowance lives from then, whatever its answer took.
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

/// Uses this domain's own share, where the issuer has been silent for a while.
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

/// Says when a domain goes on with its own share, and when the issuer is heard again.
fn is_alone(node: &Node, alone: bool) {
    if node.quotas.is_alone.replace(alone) != alone {
        emit(Event::LimitsAlone, &[("node", &node.settings.borrow().node), ("alone", &alone)]);
    }
}

/// Gives allowances, where this node is sure that no other does.
fn issue(node: &Node, ask: &Ask) -> Option<Given> {
    let lease = node.settings.borrow().lease;
    let fence = node.holding.borrow().sure(lease)?;
    let (now, nodes) = (now(), node.state.borrow().nodes);
    let mut issuer = node.quotas.issuer.borrow_mut();
    if issuer.as_ref().is_none_or(|(known, _)| *known != fence) {
        *issuer = Some((fence, Issuer::begin(now)));
    }
    let (_, issuer) = issuer.as_mut()?;
    if ask.nodes > 0 {
        issuer.hear(ask.from, ask.nodes, now);
    }
    let silent = issuer.silent_share(nodes, now);
    let mut given = Given::default();
    for (customer, want, alone) in &ask.rows {
        let Some((terms, _)) = limit(node, customer, None) else { continue };
        let part = Issuer::part_of(ask.nodes, nodes);
        let answer = issuer.give(ask.from, customer, &terms, want, (*alone, silent, part), now);
        let grant = Grant { amount: answer.amount, for_ms: terms.life() };
        given.rows.push((customer.clone(), vec![grant], answer.room_in));
    }
    Some(given)
}

/// Answers a node that asks for allowances; nothing where this one has none to give.
pub(crate) async fn answer(node: &Node, body: &[u8]) -> Result<Option<Vec<u8>>, serde_json::Error> {
    let ask: Ask = serde_json::from_slice(body)?;
    let given = match source(node) {
        Source::Itself => issue(node, &ask),
        _ if ask.of_issuer => None,
        // Two levels and no more: a head passes on what the issuer gives.
        Source::Node(Parent::Head(_), _) => None,
        Source::Node(Parent::Holder, _) | Source::Nobody => Some(pass_on(node, &ask).await),
    };
    given.map(|given| serde_json::to_vec(&given)).transpose()
}

async fn pass_on(node: &Node, ask: &Ask) -> Given {
    let mut waits = Vec::new();
    for (customer, want, _) in &ask.rows {
        let lacks = with(node, customer, |account| {
            account.count_want(now(), want);
            let lacks = want.most > account.purse.balance(now());
            lacks && account.room_in(now()).is_none()
        });
        if lacks {
            let waiting = Waiting { most: want.most, least: want.least };
            with(node, customer, |account| account.wait(waiting));
            waits.push(Waits { node, customer, waiting });
        }
    }
    if !waits.is_empty() {
        let filled = node.quotas.filled.notified();
        node.quotas.wake.notify_one();
        // What has come by then is given; the node asks again.
        let _ = timeout(HELD_BACK, filled).await;
    }
    drop(waits);
    let mut given = Given::default();
    for (customer, want, _) in &ask.rows {
        let now = now();
        let (lots, room_in) = with(node, customer, |account| {
            let there = account.purse.balance(now);
            let lots = account.purse.take(now, want.of(there));
            (lots, account.room_in(now))
        });
        let grant = |lot: Lot| Grant { amount: lot.amount, for_ms: lot.until.saturating_sub(now) };
        let grants: Vec<Grant> = lots.into_iter().map(grant).collect();
        given.rows.push((customer.clone(), grants, room_in));
    }
    node.quotas.wake.notify_one();
    given
}
