//! Applies the shares of requests that are admitted.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::report::CustomerKey;
use crate::{Millis, ServiceId};

/// Time after which shares that nobody confirms do not hold any more.
const UNCONFIRMED_TTL: Millis = 1_000;

/// Time for which the end of an overload is told.
const ENDED_TTL: Millis = 1_000;

/// Change of a share that is sent; less is the fluctuation of single customers' rates.
const MIN_CHANGE: Change = Change { percent: 1, part: 0.15 };

/// The same soon after another change, as an overload begins or grows.
const LARGE_CHANGE: Change = Change { percent: 30, part: 0.0 };

/// Intervals after a change until a large one, and any other, which bound the size of messages per second.
const LARGE_CHANGE_INTERVAL: Millis = 500;
const CHANGE_INTERVAL: Millis = 1_500;

/// Share, in percent, from which on a class is admitted in full. Customers near their fair parts would
/// else be listed and left out by turns.
const NEARLY_ALL: u8 = 90;

/// Interval between two confirmations, well below [`UNCONFIRMED_TTL`] after two hops.
const CONFIRM_INTERVAL: Millis = 400;

/// A difference of two shares: so many percent, or this part of the larger one.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Change {
    percent: u8,
    part: f64,
}

/// Shares of the first attempts of callers and of others that are admitted, in percent. A tuple, to keep
/// messages small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share(pub u8, pub u8);

impl Share {
    pub const ALL: Share = Share(100, 100);

    pub(super) fn of((first, retried): (f64, f64)) -> Share {
        let percent = |share: f64| match (share * 100.0).round().clamp(0.0, 100.0) as u8 {
            NEARLY_ALL.. => 100,
            percent => percent,
        };
        Share(percent(first), percent(retried))
    }

    /// Whether the two differ by less than that.
    fn is_within(self, change: Change, other: Share) -> bool {
        let is_within = |a: u8, b: u8| {
            let difference = a.abs_diff(b);
            difference <= change.percent
                || f64::from(difference) < change.part * f64::from(a.max(b))
        };
        is_within(self.0, other.0) && is_within(self.1, other.1)
    }

    fn is_all(&self) -> bool {
        *self == Share::ALL
    }
}

fn all() -> Share {
    Share::ALL
}

/// What is admitted to an overloaded service: more urgent requests all, less urgent ones none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAdmission {
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// The priority to which the shares apply.
    #[serde(rename = "p")]
    pub priority: u8,
    /// Customers that send more than their part.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub listed: Vec<(CustomerKey, Share)>,
    /// All other customers.
    #[serde(rename = "u", default = "all", skip_serializing_if = "Share::is_all")]
    pub unlisted: Share,
}

impl ServiceAdmission {
    fn share(&self, customer: CustomerKey) -> Share {
        let listed = self.listed.iter().find(|(key, _)| *key == customer);
        listed.map_or(self.unlisted, |(_, share)| *share)
    }

    /// Whether all shares differ by less than that.
    fn is_within(&self, change: Change, other: &ServiceAdmission) -> bool {
        let customers = || self.listed.iter().chain(&other.listed).map(|(key, _)| *key);
        self.service == other.service
            && self.priority == other.priority
            && self.unlisted.is_within(change, other.unlisted)
            && customers().all(|key| self.share(key).is_within(change, other.share(key)))
    }
}

/// What a node tells those that poll it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionUpdate {
    /// Identifies the table.
    #[serde(rename = "d")]
    pub digest: u32,
    /// Time since the leader last confirmed it, in milliseconds.
    #[serde(rename = "t")]
    pub age_ms: u64,
    /// All overloaded services, if the receiver knows another table.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub table: Option<Vec<ServiceAdmission>>,
}

/// What a request is admitted by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestClass<'a> {
    pub service: &'a ServiceId,
    pub priority: u8,
    pub customer: CustomerKey,
    /// Whether its caller was refused before.
    pub is_retried: bool,
}

/// The shares that hold at a node, and what it has admitted by them.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    table: Vec<ServiceAdmission>,
    digest: u32,
    confirmed_at: Option<Millis>,
    /// When the leader last found a service overloaded, and changed the table; only kept there.
    overloaded_at: Option<Millis>,
    changed_at: Option<Millis>,
    /// Fractions of requests that are yet to be admitted.
    credits: IndexMap<(ServiceId, u8, CustomerKey, bool), f64>,
}

impl Admission {
    /// Sets the leader's decision. Returns whether nodes that wait for it are to be told.
    pub fn publish(&mut self, table: Vec<ServiceAdmission>, now: Millis) -> bool {
        if !table.is_empty() {
            self.overloaded_at = Some(now);
        }
        let is_over = table.is_empty();
        if is_over && self.overloaded_at.is_none_or(|at| now.saturating_sub(at) >= ENDED_TTL) {
            // A table of an earlier leader holds until it expires.
            return false;
        }
        let min_change = match self.changed_at {
            Some(at) if now.saturating_sub(at) < CHANGE_INTERVAL => LARGE_CHANGE,
            _ => MIN_CHANGE,
        };
        let is_same = self.table.len() == table.len()
            && self.table.iter().zip(&table).all(|(old, new)| old.is_within(min_change, new));
        let is_due = self.confirmed_at.is_none_or(|at| now.saturating_sub(at) >= CONFIRM_INTERVAL);
        let is_early =
            self.changed_at.is_some_and(|at| now.saturating_sub(at) < LARGE_CHANGE_INTERVAL);
        let holds_change = !is_same && is_early && !is_over;
        if (is_same || holds_change) && !is_due {
            return false;
        }
        if !is_same && !holds_change {
            self.set(table);
            self.changed_at = Some(now);
        }
        self.confirmed_at = Some(now);
        true
    }

    /// Takes in what the leader or a hub tells. Returns whether it is news.
    pub fn apply(&mut self, update: AdmissionUpdate, now: Millis) -> bool {
        let confirmed_at = now.saturating_sub(update.age_ms);
        let is_news = self.confirmed_at.is_none_or(|known| known < confirmed_at);
        if !is_news || update.age_ms >= UNCONFIRMED_TTL {
            return false;
        }
        match update.table {
            Some(table) if update.digest != self.digest => self.set(table),
            None if update.digest != self.digest => return false,
            _ => {}
        }
        self.confirmed_at = Some(confirmed_at);
        true
    }

    /// What to tell a node that knows the table with this digest; none without overload.
    pub fn update_for(&self, digest: u32, now: Millis) -> Option<AdmissionUpdate> {
        let confirmed_at = self.confirmed_at.filter(|_| self.is_valid(now))?;
        Some(AdmissionUpdate {
            digest: self.digest,
            age_ms: now.saturating_sub(confirmed_at),
            table: (digest != self.digest).then(|| self.table.clone()),
        })
    }

    /// Identifies the table; 0 if there is none that holds.
    pub fn digest(&self, now: Millis) -> u32 {
        if self.is_valid(now) { self.digest } else { 0 }
    }

    /// Decides on a request. `random`, in `0..1`, is where a new class begins, so that many nodes with
    /// few requests each together admit the share.
    pub fn admits(&mut self, class: &RequestClass<'_>, random: f64, now: Millis) -> bool {
        if !self.is_valid(now) {
            return true;
        }
        let Some(admission) = self.table.iter().find(|a| a.service == *class.service) else {
            return true;
        };
        if class.priority != admission.priority {
            return class.priority < admission.priority;
        }
        let Share(first, retried) = admission.share(class.customer);
        let share = if class.is_retried { retried } else { first };
        if share >= 100 {
            return true;
        }
        let is_listed = admission.listed.iter().any(|(key, _)| *key == class.customer);
        let customer = if is_listed { class.customer } else { CustomerKey::UNLISTED };
        let key = (class.service.clone(), class.priority, customer, class.is_retried);
        let credit = self.credits.entry(key).or_insert(random);
        *credit += f64::from(share) / 100.0;
        let is_admitted = *credit >= 1.0;
        if is_admitted {
            *credit -= 1.0;
        }
        is_admitted
    }

    /// Services to which requests are limited.
    pub fn overloaded(&self, now: Millis) -> impl Iterator<Item = &ServiceId> {
        let is_valid = self.is_valid(now);
        self.table.iter().filter(move |_| is_valid).map(|admission| &admission.service)
    }

    fn is_valid(&self, now: Millis) -> bool {
        self.confirmed_at.is_some_and(|at| now.saturating_sub(at) < UNCONFIRMED_TTL)
    }

    fn set(&mut self, table: Vec<ServiceAdmission>) {
        let is_known = |key: &(ServiceId, u8, CustomerKey, bool)| {
            let (service, priority, customer, _) = key;
            let admission = table.iter().find(|a| a.service == *service);
            admission.is_some_and(|a| {
                a.priority == *priority
                    && (*customer == CustomerKey::UNLISTED
                        || a.listed.iter().any(|(listed, _)| listed == customer))
            })
        };
        self.credits.retain(|key, _| is_known(key));
        self.digest = digest(&table);
        self.table = table;
    }
}

/// Identifies a table; never 0.
fn digest(table: &[ServiceAdmission]) -> u32 {
    let mut bytes = Vec::new();
    for admission in table {
        bytes.extend_from_slice(admission.service.0.as_bytes());
        bytes.extend_from_slice(&[0, admission.priority]);
        let unlisted = (CustomerKey::UNLISTED, admission.unlisted);
        for (key, Share(first, retried)) in admission.listed.iter().chain([&unlisted]) {
            bytes.extend_from_slice(&key.0.to_le_bytes());
            bytes.extend_from_slice(&[*first, *retried]);
        }
    }
    (xxh3_64(&bytes) as u32).max(1)
}
