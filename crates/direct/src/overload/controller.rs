//! The leader's decision: which services are overloaded, and what is admitted to them.

use std::time::Duration;

use indexmap::IndexMap;

use super::admission::{ServiceAdmission, Share};
use super::capacity::Capacity;
use super::rate::EventRate;
use super::report::{ArrivalCount, CustomerKey, ServiceReport};
use super::sharing::{CustomerRates, fair_rate, shares_of};
use crate::{Millis, ServiceId};

/// Part of the capacity below which demand must stay for an overload to end.
const END_SHARE: f64 = 0.9;

/// Time for which it must stay there. Longer than callers take to come back.
const END_TIME: Millis = 1_000;

/// Time after which the load of the engines shows what has been admitted, and not what came before.
const CORRECT_AFTER: Millis = 2_500;

/// Time without a report after which nothing is known of a service any more.
const REPORT_TTL: Millis = 3_000;

/// Time of reports before the first decision: all nodes have reported once.
const MIN_REPORTED_TIME: Millis = 500;

/// Rate below which a customer is forgotten, in requests per second.
const MIN_RATE: f64 = 0.05;

/// Maximum number of customers that are tracked for each service and priority; the others are counted
/// in one.
const MAX_CUSTOMERS: usize = 256;

/// Maximum number of customers that are listed for each service; those with the largest rates.
const MAX_LISTED: usize = 16;

/// What the leader knows of a service without models.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceState {
    pub service: ServiceId,
    /// Engines that can be reached and accept requests, and the sum of their slots.
    pub engines: u32,
    pub slots: u32,
    /// Estimated number of requests there.
    pub in_flight: f64,
    /// Shortest objective of the routes that lead there.
    pub objective: Duration,
}

/// Compares demand with capacity. Starts empty with each leader.
#[derive(Debug, Clone, Default)]
pub struct OverloadController {
    services: IndexMap<ServiceId, ServiceDemand>,
}

#[derive(Debug, Clone, Default)]
struct ServiceDemand {
    /// Rates of first attempts and of others.
    arrivals: IndexMap<(u8, CustomerKey), (EventRate, EventRate)>,
    capacity: Capacity,
    /// Start of the reports.
    since: Millis,
    reported_at: Millis,
    overloaded_since: Option<Millis>,
    /// Since when demand has been low enough for the overload to end.
    low_since: Option<Millis>,
}

impl OverloadController {
    /// Adds what nodes have counted.
    pub fn record(&mut self, report: &ServiceReport, now: Millis) {
        let demand = self.services.entry(report.service.clone()).or_insert_with(|| ServiceDemand {
            since: now.saturating_sub(MIN_REPORTED_TIME),
            ..ServiceDemand::default()
        });
        demand.reported_at = now;
        demand.capacity.record(&report.completions, now);
        for ArrivalCount(priority, customer, first, retried) in &report.arrivals {
            let rates = demand.rates_of(*priority, *customer);
            rates.0.record(now, f64::from(*first));
            rates.1.record(now, f64::from(*retried));
        }
    }

    /// What is admitted to each overloaded service. Services that are not overloaded are left out.
    pub fn decide(&mut self, states: &[ServiceState], now: Millis) -> Vec<ServiceAdmission> {
        self.services.retain(|_, demand| now.saturating_sub(demand.reported_at) < REPORT_TTL);
        states.iter().filter_map(|state| self.decide_service(state, now)).collect()
    }

    fn decide_service(&mut self, state: &ServiceState, now: Millis) -> Option<ServiceAdmission> {
        let demand = self.services.get_mut(&state.service)?;
        demand.forget_idle(now);
        if state.slots > 0 {
            demand.capacity.observe_load(state.in_flight / f64::from(state.slots), now);
        }
        demand.capacity.learn(state.slots, demand.since, now);
        if now.saturating_sub(demand.since) < 2 * MIN_REPORTED_TIME {
            return None;
        }
        let capacity = demand.capacity.per_second(state.slots, state.engines, state.objective)?;
        let by_priority = demand.by_priority(now);
        let total: f64 = by_priority
            .values()
            .flat_map(|customers| customers.values())
            .map(CustomerRates::total)
            .sum();
        demand.update_overload(total, capacity, now);
        if demand.overloaded_since.is_none() {
            demand.capacity.reset_correction();
            return None;
        }
        if demand.overloaded_since.is_some_and(|at| now.saturating_sub(at) >= CORRECT_AFTER) {
            demand.capacity.correct();
        }
        admission(&state.service, &by_priority, capacity)
    }
}

type ByPriority = IndexMap<u8, IndexMap<CustomerKey, CustomerRates>>;

impl ServiceDemand {
    fn rates_of(&mut self, priority: u8, customer: CustomerKey) -> &mut (EventRate, EventRate) {
        let tracked = self.arrivals.keys().filter(|(p, _)| *p == priority).count();
        let is_tracked = self.arrivals.contains_key(&(priority, customer));
        let customer =
            if is_tracked || tracked < MAX_CUSTOMERS { customer } else { CustomerKey::UNLISTED };
        self.arrivals.entry((priority, customer)).or_default()
    }

    fn forget_idle(&mut self, now: Millis) {
        let since = self.since;
        self.arrivals.retain(|_, (first, retried)| {
            first.per_second(since, now) + retried.per_second(since, now) >= MIN_RATE
        });
    }

    /// Rates by priority, the most urgent first, and by customer.
    fn by_priority(&self, now: Millis) -> ByPriority {
        let mut by_priority = ByPriority::new();
        for ((priority, customer), (first, retried)) in &self.arrivals {
            let rates = CustomerRates {
                first: first.per_second(self.since, now),
                retried: retried.per_second(self.since, now),
                customers: 1.0,
            };
            by_priority.entry(*priority).or_default().insert(*customer, rates);
        }
        by_priority.sort_keys();
        by_priority.values_mut().for_each(estimate_unlisted);
        by_priority
    }

    fn update_overload(&mut self, total: f64, capacity: f64, now: Millis) {
        // Demand alone may exceed the capacity by chance.
        if total > capacity && self.capacity.is_saturated() {
            self.overloaded_since.get_or_insert(now);
        }
        if total >= capacity * END_SHARE {
            self.low_since = None;
            return;
        }
        let low_since = *self.low_since.get_or_insert(now);
        if now.saturating_sub(low_since) >= END_TIME {
            self.overloaded_since = None;
        }
    }
}

/// Estimates how many customers are counted in one: each has at most the rate of any that is listed.
fn estimate_unlisted(customers: &mut IndexMap<CustomerKey, CustomerRates>) {
    let listed = customers.iter().filter(|(key, _)| **key != CustomerKey::UNLISTED);
    let smallest = listed.map(|(_, rates)| rates.total()).fold(f64::INFINITY, f64::min);
    if let Some(unlisted) = customers.get_mut(&CustomerKey::UNLISTED) {
        unlisted.customers = (unlisted.total() / smallest).ceil().max(1.0);
    }
}

/// Admits more urgent classes first. The class for which not enough is left gets what there is, in fair
/// parts, and less urgent ones get nothing.
fn admission(
    service: &ServiceId,
    by_priority: &ByPriority,
    capacity: f64,
) -> Option<ServiceAdmission> {
    let mut left = capacity;
    for (priority, customers) in by_priority {
        let total: f64 = customers.values().map(CustomerRates::total).sum();
        if total <= left {
            left -= total;
            continue;
        }
        let rates: Vec<CustomerRates> = customers.values().copied().collect();
        let fair_rate = fair_rate(&rates, left);
        let (listed, unlisted) = list_shares(customers, fair_rate);
        return Some(ServiceAdmission {
            service: service.clone(),
            priority: *priority,
            listed,
            unlisted,
        });
    }
    None
}

/// Shares of the customers with the largest rates that are not admitted in full, and of all others.
fn list_shares(
    customers: &IndexMap<CustomerKey, CustomerRates>,
    fair_rate: f64,
) -> (Vec<(CustomerKey, Share)>, Share) {
    let share = |rates: &CustomerRates| Share::of(shares_of(rates, fair_rate));
    let mut limited: Vec<_> =
        customers.iter().filter(|(_, rates)| share(rates) != Share::ALL).collect();
    limited.sort_by(|(_, a), (_, b)| b.total().total_cmp(&a.total()));
    let (unlisted, mut listed): (Vec<_>, Vec<_>) =
        limited.into_iter().partition(|(key, _)| **key == CustomerKey::UNLISTED);
    let beyond = listed.split_off(listed.len().min(MAX_LISTED));
    let others = unlisted.into_iter().chain(beyond).map(|(_, rates)| *rates);
    let others = others.reduce(CustomerRates::add);
    let listed = listed.into_iter().map(|(key, rates)| (*key, share(rates))).collect();
    (listed, others.map_or(Share::ALL, |others| share(&others)))
}
