//! What nodes count and report.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{CustomerId, Millis, ServiceId};

/// Interval between two reports of a node about the same service, which bounds their size per second.
const REPORT_INTERVAL: Millis = 400;

/// Time for which a service is reported after it was last under pressure, so that the leader sees how
/// an overload ends.
const PRESSURE_TTL: Millis = 2_000;

/// Requests at the engines of a service, as a part of their slots, from which on it is under pressure.
const PRESSURE_LOAD: f64 = 1.25;

/// Maximum number of customers that a node reports by themselves for each service and priority; a
/// few times as many as send requests to one node between two reports.
const MAX_ROWS_OF_NODE: usize = 8;

/// The same for the sum of the nodes behind a hub.
const MAX_ROWS_OF_HUB: usize = 64;

/// Part of a route's timeout by which a caller's remaining time must be shorter for the request to
/// count as a retry. A caller comes back after at least a tenth of a second, of timeouts of one to
/// some seconds.
const RETRIED_MARGIN: f64 = 0.05;

/// Whether a caller that waits for `deadline` has probably been refused before: a new request may take
/// as long as its route allows.
pub fn is_retried(deadline: Option<Duration>, timeout: Duration) -> bool {
    deadline.is_some_and(|deadline| deadline < timeout.mul_f64(1.0 - RETRIED_MARGIN))
}

/// Identifies a customer in messages, which its name would make long. 0 stands for all customers that
/// are not listed by themselves.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CustomerKey(pub u32);

/// Bits that keys leave out, which shortens messages; customers whose keys collide share one part.
const UNUSED_KEY_BITS: u32 = 8;

impl CustomerKey {
    /// Callers without a customer share one key.
    pub fn of(customer: Option<&CustomerId>) -> CustomerKey {
        let name = customer.map_or("", |customer| customer.0.as_str());
        CustomerKey((xxh3_64(name.as_bytes()) as u32 >> UNUSED_KEY_BITS).max(1))
    }

    pub(super) const UNLISTED: CustomerKey = CustomerKey(0);
}

/// Requests of one priority and customer: first attempts of callers, and others. A tuple, to keep
/// messages small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArrivalCount(pub u8, pub CustomerKey, pub u32, pub u32);

/// Responses of engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletionCount {
    /// Responses of engines with unused slots.
    #[serde(rename = "i", default)]
    pub idle: u32,
    /// Sum of the time that these took, in milliseconds.
    #[serde(rename = "t", default)]
    pub idle_ms: u64,
    /// Responses of engines without.
    #[serde(rename = "b", default)]
    pub busy: u32,
}

/// Counts of one service since the last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    #[serde(rename = "s")]
    pub service: ServiceId,
    #[serde(rename = "a", default)]
    pub arrivals: Vec<ArrivalCount>,
    #[serde(rename = "c", default)]
    pub completions: CompletionCount,
}

/// What a node has counted and not reported yet, with what nodes behind it have reported.
#[derive(Debug, Clone, Default)]
pub struct LoadCounts {
    services: IndexMap<ServiceId, ServiceCounts>,
}

#[derive(Debug, Clone, Default)]
struct ServiceCounts {
    /// First attempts and others.
    arrivals: IndexMap<(u8, CustomerKey), (u32, u32)>,
    completions: CompletionCount,
    since: Millis,
    pressed_at: Option<Millis>,
    /// Whether nodes behind this one have reported some of it.
    has_children: bool,
}

impl LoadCounts {
    /// Whether so many requests at engines with so many slots are a pressure. Fewer come together by
    /// chance at a service that is well used.
    pub fn is_pressure(in_flight: f64, slots: u32) -> bool {
        slots > 0 && in_flight >= PRESSURE_LOAD * f64::from(slots)
    }

    pub fn record_arrival(
        &mut self,
        service: &ServiceId,
        priority: u8,
        customer: CustomerKey,
        is_retried: bool,
        now: Millis,
    ) {
        let counts = self.counts(service, now);
        let count = counts.arrivals.entry((priority, customer)).or_default();
        let count = if is_retried { &mut count.1 } else { &mut count.0 };
        *count = count.saturating_add(1);
    }

    /// Records a response that took so long at an engine. `is_full` tells whether it
    /// had no unused slot.
    pub fn record_completion(
        &mut self,
        service: &ServiceId,
        took: Duration,
        is_full: bool,
        now: Millis,
    ) {
        let completions = &mut self.counts(service, now).completions;
        if is_full {
            completions.busy = completions.busy.saturating_add(1);
        } else {
            completions.idle = completions.idle.saturating_add(1);
            completions.idle_ms = completions.idle_ms.saturating_add(took.as_millis() as u64);
        }
    }

    /// Records that engines of the service are, or were found, nearly full. Without that, nothing is
    /// reported.
    pub fn record_pressure(&mut self, service: &ServiceId, now: Millis) {
        self.counts(service, now).pressed_at = Some(now);
    }

    /// Adds the report of a node behind this one.
    pub fn merge(&mut self, report: &ServiceReport, now: Millis) {
        let counts = self.counts(&report.service, now);
        counts.pressed_at = Some(now);
        counts.has_children = true;
        for ArrivalCount(priority, customer, first, retried) in &report.arrivals {
            let sum = counts.arrivals.entry((*priority, *customer)).or_default();
            sum.0 = sum.0.saturating_add(*first);
            sum.1 = sum.1.saturating_add(*retried);
        }
        let (sum, added) = (&mut counts.completions, &report.completions);
        sum.idle = sum.idle.saturating_add(added.idle);
        sum.idle_ms = sum.idle_ms.saturating_add(added.idle_ms);
        sum.busy = sum.busy.saturating_add(added.busy);
    }

    /// Takes what is due to be reported. Counts of services without pressure are dropped.
    pub fn take_due(&mut self, now: Millis) -> Vec<ServiceReport> {
        let mut reports = Vec::new();
        for (service, counts) in &mut self.services {
            let is_pressed = counts.is_pressed(now);
            if now.saturating_sub(counts.since) < REPORT_INTERVAL {
                continue;
            }
            let taken = std::mem::replace(
                counts,
                ServiceCounts { since: now, pressed_at: counts.pressed_at, ..Default::default() },
            );
            if is_pressed {
                reports.push(taken.into_report(service.clone()));
            }
        }
        self.services.retain(|_, counts| counts.is_pressed(now) || counts.since == now);
        reports
    }

    fn counts(&mut self, service: &ServiceId, now: Millis) -> &mut ServiceCounts {
        if !self.services.contains_key(service) {
            let counts = ServiceCounts { since: now, ..ServiceCounts::default() };
            self.services.insert(service.clone(), counts);
        }
        &mut self.services[service]
    }
}

impl ServiceCounts {
    fn is_pressed(&self, now: Millis) -> bool {
        self.pressed_at.is_some_and(|at| now.saturating_sub(at) < PRESSURE_TTL)
    }

    /// Lists the customers with the most requests, and the others of each priority in one.
    fn into_report(mut self, service: ServiceId) -> ServiceReport {
        let max_rows = if self.has_children { MAX_ROWS_OF_HUB } else { MAX_ROWS_OF_NODE };
        self.arrivals.sort_by(|_, a, _, b| (b.0 + b.1).cmp(&(a.0 + a.1)));
        let mut listed: IndexMap<u8, usize> = IndexMap::new();
        let mut rows: IndexMap<(u8, CustomerKey), (u32, u32)> = IndexMap::new();
        for ((priority, customer), count) in self.arrivals {
            let listed = listed.entry(priority).or_default();
            *listed += 1;
            let key = if *listed > max_rows { CustomerKey::UNLISTED } else { customer };
            let sum = rows.entry((priority, key)).or_default();
            *sum = (sum.0.saturating_add(count.0), sum.1.saturating_add(count.1));
        }
        let arrivals = rows.into_iter();
        let arrivals =
            arrivals.map(|((p, key), (first, retried))| ArrivalCount(p, key, first, retried));
        ServiceReport { service, arrivals: arrivals.collect(), completions: self.completions }
    }
}
