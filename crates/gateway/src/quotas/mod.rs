//! Customer quotas on this node: requests use up allowances that expire, and a task requests more
//! from the issuer ahead of need.

mod fill;
mod give;
mod message;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::heads::Parent;
use hgw_direct::quota::{Account, Alone, Issuer, Lot, Terms, Waiting};
use hgw_direct::{CustomerId, Millis};
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::clock::boot_time;
use crate::shared::Node;

pub(crate) use fill::keep;
pub(crate) use give::{answer, go_on};

/// Longest time that a request waits for an allowance.
const LONGEST_WAIT: Duration = Duration::from_millis(250);

/// Bounds of the retry delay for a customer that has used up its limit.
const COME_BACK_LEAST: Duration = Duration::from_millis(300);
const COME_BACK_MOST: Duration = Duration::from_secs(4);

/// Retry delay while no issuer responds.
const NO_WORD: Duration = Duration::from_millis(400);

/// The allowances of customers on this node, and those that it issues.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    accounts: RefCell<IndexMap<CustomerId, Account>>,
    /// Fencing token of the lease under which this node issues, and the issuer.
    issuer: RefCell<Option<(u64, Issuer)>>,
    alone: RefCell<Alone>,
    /// When the issuer last responded, directly or through a hub.
    answered: Cell<Millis>,
    is_alone: Cell<bool>,
    /// Whether a probe of an unresponsive issuer is running.
    probing: Cell<bool>,
    /// Requests in a row that the hub did not answer.
    unanswered: Cell<u32>,
    wake: Notify,
    filled: Notify,
}

/// Why a request gets no allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum NoAllowance {
    /// The customer has used up its limit; more is available after this time.
    OverLimit(Duration),
    /// No issuer responded in time.
    NoWord(Duration),
}

/// The charge of a request to its customer's limit; refunded on drop unless an engine may have
/// executed the request.
pub(crate) struct Spent {
    node: Node,
    customer: CustomerId,
    lots: Vec<Lot>,
    /// Whether an engine may have executed the request.
    used: Cell<bool>,
}

impl Spent {
    /// Records whether an engine may have executed the request.
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

/// Time by the boot clock: allowances also expire while the machine is suspended.
fn now() -> Millis {
    boot_time().as_millis() as Millis
}

/// The limit of a customer, and what a request with so many tokens costs.
fn limit(node: &Node, customer: &CustomerId, tokens: Option<u64>) -> Option<(Terms, f64)> {
    let state = node.state.borrow();
    let quota = state.catalog.as_ref()?.customers.as_ref()?.get(customer)?.quota?;
    let terms = Terms::of(quota, &node.settings.borrow().quotas);
    Some((terms, quota.unit.of(tokens)))
}

/// Charges a request to its customer's limit; `None` if the customer has none.
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
        // A guard, so that the wait also ends if this future is dropped.
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

/// Where this node gets its allowances.
enum Source {
    /// This node is the issuer.
    Itself,
    /// The issuer, or the hub of this node's domain.
    Node(Parent, SocketAddr),
    /// No issuer and no hub is known.
    Nobody,
}

fn source(node: &Node) -> Source {
    if node.holding.borrow().is_mine() {
        return Source::Itself;
    }
    node.parent().map_or(Source::Nobody, |(parent, addr)| Source::Node(parent, addr))
}
