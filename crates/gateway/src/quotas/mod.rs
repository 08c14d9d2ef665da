//! Quotas on this node: requests use up allowances that expire, and a task requests more from the
//! issuer ahead of need.

mod grant;
mod message;
mod refill;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::hubs::Parent;
use hgw_direct::in_flight::EngineKey;
use hgw_direct::quota::{
    Account, Allowance, FallbackIssuer, IssuanceParams, Issuer, QuotaKey, Waiter, WaiterRank,
};
use hgw_direct::{CustomerId, Millis, Quota};
use indexmap::IndexMap;
use rand::random;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::clock::boot_time;
use crate::shared::Node;

pub(crate) use grant::{handle_request, update_issuer_fence};
pub(crate) use refill::refill;

/// Longest time that a request waits for an allowance for an engine; another engine may take it.
const MAX_ENGINE_WAIT: Duration = Duration::from_millis(100);

/// Longest time that a request waits for an allowance.
const MAX_ALLOWANCE_WAIT: Duration = Duration::from_millis(250);

/// Bounds of the retry delay for a customer that has used up its limit.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Retry delay while no issuer responds.
const NO_ISSUER_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The allowances on this node, and those that it issues.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    accounts: RefCell<IndexMap<QuotaKey, Account>>,
    /// Fencing token of the lease under which this node issues, and the issuer.
    issuer: RefCell<Option<(u64, Issuer)>>,
    fallback: RefCell<FallbackIssuer>,
    /// When the issuer last responded, directly or through a hub.
    last_response_at: Cell<Millis>,
    uses_fallback: Cell<bool>,
    /// Whether a probe of an unresponsive issuer is running.
    is_probing: Cell<bool>,
    /// Requests in a row that the hub did not answer.
    hub_timeouts: Cell<u32>,
    refill_needed: Notify,
    refilled: Notify,
    /// Notified when a request has taken an allowance: less urgent ones may use what is left. Apart from
    /// `refilled`, as a hub waits for that to grant what the issuer has sent.
    allowance_taken: Notify,
}

impl Quotas {
    pub(crate) fn new() -> Quotas {
        Quotas { fallback: RefCell::new(FallbackIssuer::new(random())), ..Quotas::default() }
    }
}

/// Why a request gets no allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum NoAllowance {
    /// The quota is used up; more is available after this time.
    QuotaExceeded(Duration),
    /// No issuer responded in time.
    NoResponse(Duration),
}

/// The charge of a request to a quota; refunded on drop unless an engine may have executed the
/// request.
pub(crate) struct Charge {
    node: Node,
    key: QuotaKey,
    allowances: Vec<Allowance>,
    /// Whether an engine may have executed the request.
    may_have_run: Cell<bool>,
}

impl Charge {
    /// Records whether an engine may have executed the request.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.may_have_run.get() {
            return;
        }
        with_account(&self.node, &self.key, |account| {
            self.allowances.drain(..).for_each(|allowance| account.allowances.add(allowance));
        });
    }
}

/// Time by the boot clock: allowances also expire while the machine is suspended.
fn boot_now() -> Millis {
    boot_time().as_millis() as Millis
}

fn customer_quota(node: &Node, customer: &CustomerId) -> Option<Quota> {
    let state = node.state.borrow();
    state.catalog.as_ref()?.customers.as_ref()?.get(customer)?.quota
}

/// Parameters with which a quota is granted; none if there is no such quota.
fn quota_params(node: &Node, key: &QuotaKey) -> Option<IssuanceParams> {
    match key {
        QuotaKey::Customer(customer) => {
            let quota = customer_quota(node, customer)?;
            Some(IssuanceParams::new(quota, &node.settings.borrow().quotas))
        }
        QuotaKey::Engine(engine) => {
            let rate = node.engine_limits.borrow().limit(*engine)?;
            Some(IssuanceParams::for_engine(rate, &node.settings.borrow().engine_limits))
        }
    }
}

/// Adds requests that this node sent to an engine in the last second, before it knew the engine's limit.
pub(crate) fn add_earlier_sends(node: &Node, engine: EngineKey, requests: usize) {
    if requests > 0 {
        let mut fallback = node.quotas.fallback.borrow_mut();
        fallback.add_usage(engine.into(), requests as f64, boot_now());
        node.quotas.refill_needed.notify_one();
    }
}

/// Forgets the limits that engines have no more.
fn forget_ended(node: &Node) {
    let exists = |key: &QuotaKey| match key {
        QuotaKey::Customer(_) => true,
        QuotaKey::Engine(engine) => node.engine_limits.borrow().limit(*engine).is_some(),
    };
    node.quotas.accounts.borrow_mut().retain(|key, _| exists(key));
    node.quotas.fallback.borrow_mut().retain(exists);
    if let Some((_, issuer)) = node.quotas.issuer.borrow_mut().as_mut() {
        issuer.retain(exists);
    }
}

/// Charges a request to its customer's limit; `None` if the customer has none.
pub(crate) async fn charge_customer(
    node: &Node,
    customer: &CustomerId,
    tokens: Option<u64>,
    max_wait: Duration,
) -> Result<Option<Charge>, NoAllowance> {
    let Some(quota) = customer_quota(node, customer) else { return Ok(None) };
    let (key, cost) = (customer.clone().into(), quota.unit.cost(tokens));
    let request = Waiter { max: cost, min: cost, ..Waiter::default() };
    let max_wait = max_wait.min(MAX_ALLOWANCE_WAIT);
    charge(node, &key, request, max_wait).await.map_err(|error| match error {
        NoAllowance::QuotaExceeded(wait) => {
            NoAllowance::QuotaExceeded(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
        }
        NoAllowance::NoResponse(_) => error,
    })
}

/// Charges a request to the rate that an engine takes; `None` if the engine has named no limit.
pub(crate) async fn charge_engine(
    node: &Node,
    engine: EngineKey,
    rank: WaiterRank,
) -> Result<Option<Charge>, NoAllowance> {
    if node.engine_limits.borrow().limit(engine).is_none() {
        return Ok(None);
    }
    let request = Waiter { max: 1.0, min: 1.0, rank };
    charge(node, &engine.into(), request, MAX_ENGINE_WAIT).await
}

/// Charges a request to a quota; `None` if there is no such quota any more.
async fn charge(
    node: &Node,
    key: &QuotaKey,
    request: Waiter,
    max_wait: Duration,
) -> Result<Option<Charge>, NoAllowance> {
    let (asked_at, until) = (boot_now(), Instant::now() + max_wait);
    let quotas = &node.quotas;
    let cost = request.max;
    with_account(node, key, |account| account.record_request(boot_now(), cost));
    loop {
        if quota_params(node, key).is_none() {
            return Ok(None);
        }
        let (refilled, taken_by_other) =
            (quotas.refilled.notified(), quotas.allowance_taken.notified());
        let (taken, needs_refill, available_in) = with_account(node, key, |account| {
            let is_next = account.is_first(request.rank);
            let taken = if is_next { account.allowances.spend(boot_now(), cost) } else { None };
            (taken, account.needs_refill(boot_now()), account.available_in(boot_now()))
        });
        if needs_refill {
            quotas.refill_needed.notify_one();
        }
        if let Some(allowances) = taken {
            quotas.allowance_taken.notify_waiters();
            let (node, key) = (Rc::clone(node), key.clone());
            return Ok(Some(Charge { node, key, allowances, may_have_run: Cell::new(false) }));
        }
        if let Some(available_in) = available_in {
            return Err(NoAllowance::QuotaExceeded(Duration::from_millis(available_in)));
        }
        if Instant::now() >= until {
            if quotas.last_response_at.get() <= asked_at {
                return Err(NoAllowance::NoResponse(NO_ISSUER_RETRY_AFTER));
            }
            // Others have taken what the issuer granted meanwhile.
            with_account(node, key, |account| {
                account.record_exhausted(boot_now(), MIN_RETRY_AFTER)
            });
            return Err(NoAllowance::QuotaExceeded(MIN_RETRY_AFTER));
        }
        with_account(node, key, |account| account.add_waiter(request));
        quotas.refill_needed.notify_one();
        // A guard, so that the wait also ends if this future is dropped.
        let guard = WaitGuard { node, key, waiter: request };
        let changed = async {
            tokio::select! {
                () = refilled => {}
                () = taken_by_other => {}
            }
        };
        let _ = timeout_at(until, changed).await;
        drop(guard);
    }
}

/// A request that waits for an allowance, until this is dropped.
struct WaitGuard<'a> {
    node: &'a Node,
    key: &'a QuotaKey,
    waiter: Waiter,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        with_account(self.node, self.key, |account| account.remove_waiter(self.waiter));
    }
}

fn with_account<R>(node: &Node, key: &QuotaKey, f: impl FnOnce(&mut Account) -> R) -> R {
    let mut accounts = node.quotas.accounts.borrow_mut();
    if let Some(account) = accounts.get_mut(key) {
        return f(account);
    }
    f(accounts.entry(key.clone()).or_default())
}

/// Where this node gets its allowances.
enum AllowanceSource {
    /// This node is the issuer.
    Issuer,
    /// The issuer, or the hub of this node's domain.
    Node(Parent, SocketAddr),
    /// No issuer and no hub is known.
    None,
}

fn allowance_source(node: &Node) -> AllowanceSource {
    if node.leadership.borrow().is_leader() {
        return AllowanceSource::Issuer;
    }
    node.parent()
        .map_or(AllowanceSource::None, |(parent, addr)| AllowanceSource::Node(parent, addr))
}
