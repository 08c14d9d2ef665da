//! What customers may use, as this node has it.
//!
//! Requests take what they need from allowances that lapse; one task asks for more ahead of need. The keeper issues
//! them, heads pass them on to their domains, and where the keeper is silent a domain goes on with its share. How much
//! that is, and why no sum exceeds a limit, is decided in `hgw_direct::quota`.

mod fill;
mod give;
mod message;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::hubs::Parent;
use hgw_direct::quota::{Account, Allowance, FallbackIssuer, IssuanceParams, Issuer, Waiter};
use hgw_direct::{CustomerId, Millis};
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::clock::boot_time;
use crate::shared::Node;

pub(crate) use fill::keep;
pub(crate) use give::{answer, go_on};

/// Longest time for which a request waits for an allowance.
const LONGEST_WAIT: Duration = Duration::from_millis(250);

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
    alone: RefCell<FallbackIssuer>,
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
    lots: Vec<Allowance>,
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
        self.lots.drain(..).for_each(|lot| account.allowances.add(lot));
    }
}

/// Time by the clock that counts what the machine was suspended for: an allowance lapses meanwhile.
fn now() -> Millis {
    boot_time().as_millis() as Millis
}

/// The limit of a customer, and what a request that tells so many tokens takes of it.
fn limit(node: &Node, customer: &CustomerId, tokens: Option<u64>) -> Option<(IssuanceParams, f64)> {
    let state = node.state.borrow();
    let quota = state.catalog.as_ref()?.customers.as_ref()?.get(customer)?.quota?;
    let terms = IssuanceParams::new(quota, &node.settings.borrow().quotas);
    Some((terms, quota.unit.cost(tokens)))
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
    with(node, customer, |account| account.record_request(now(), cost));
    loop {
        let filled = quotas.filled.notified();
        let (spent, low, short) = with(node, customer, |account| {
            let spent = account.allowances.spend(now(), cost);
            (spent, account.needs_refill(now()), account.available_in(now()))
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
        let waiting = Waiter { max: cost, min: cost };
        with(node, customer, |account| account.add_waiter(waiting));
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
    waiting: Waiter,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        with(self.node, self.customer, |account| account.remove_waiter(self.waiting));
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
