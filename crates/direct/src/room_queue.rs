//! Requests that wait at a node until engines have room for them.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;

use crate::quota::WaiterRank;
use crate::{Millis, ModelRef, ServiceId, VersionKey};

/// Maximum number of requests that wait at a node. A node that is given more than it can send within
/// an objective refuses the rest.
const MAX_WAITING: usize = 256;

/// Maximum sum of their bodies, which a node keeps in memory while they wait.
const MAX_WAITING_BYTES: usize = 8 << 20;

/// Share of its remaining time that a request waits at most. The rest lets its caller retry.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Share of the time until it is too late that a request waits at most. While more arrives than engines
/// complete, requests that wait to the end all begin at the last moment, and most of them late.
const MAX_SLACK_SHARE: f64 = 0.25;

/// Share of the objective that a request is assumed to need if nothing is known about its service.
const UNKNOWN_BEGIN_SHARE: f64 = 0.5;

/// Weight of the latest request in the averages of [`BeginTimes`]: some ten requests show a change.
const BEGIN_TIME_WEIGHT: f64 = 0.1;

/// Number of mean deviations that the expected time lies above the mean.
const BEGIN_TIME_DEVIATIONS: f64 = 2.0;

/// Requests that the same engines can run. One that cannot be sent holds up only those of its group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RoomGroup {
    pub service: ServiceId,
    pub model_ref: Option<ModelRef>,
    /// Software version at which alone the request may go on.
    pub version: Option<VersionKey>,
}

impl RoomGroup {
    /// Whether some engines may run requests of both groups.
    fn shares_engines(&self, other: &RoomGroup) -> bool {
        self.service == other.service && self.model() == other.model()
    }

    fn model(&self) -> Option<&str> {
        self.model_ref.as_ref().map(|model_ref| model_ref.model.as_str())
    }
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomReason {
    /// All suitable engines are full.
    Full,
    /// One more prompt would delay the streams of every suitable engine for too long.
    PrefillBusy,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(u64);

/// The position of a request among those of its group: priority, deadline, arrival.
type Position = (WaiterRank, TicketId);

#[derive(Debug)]
struct Waiting {
    group: RoomGroup,
    rank: WaiterRank,
    reason: RoomReason,
    bytes: usize,
}

/// The requests that wait at a node, by group.
#[derive(Debug, Default)]
pub struct RoomQueue {
    waiting: IndexMap<TicketId, Waiting>,
    groups: IndexMap<RoomGroup, BTreeSet<Position>>,
    bytes: usize,
    last_id: u64,
}

/// What entering the queue leads to.
#[derive(Debug, PartialEq, Eq)]
pub struct Entered {
    pub ticket: TicketId,
    /// Less urgent requests that have lost their places to this one.
    pub displaced: Vec<TicketId>,
}

impl RoomQueue {
    /// Adds a request. Returns none if the queue is full of requests that are at least as urgent.
    pub fn enter(
        &mut self,
        group: RoomGroup,
        rank: WaiterRank,
        reason: RoomReason,
        bytes: usize,
    ) -> Option<Entered> {
        let displaced = self.displaced_by(rank, bytes)?;
        displaced.iter().for_each(|ticket| self.leave(*ticket));
        self.last_id += 1;
        let ticket = TicketId(self.last_id);
        self.bytes += bytes;
        self.groups.entry(group.clone()).or_default().insert((rank, ticket));
        self.waiting.insert(ticket, Waiting { group, rank, reason, bytes });
        Some(Entered { ticket, displaced })
    }

    /// The least urgent requests that have to leave for one of this rank and size; none if they are
    /// not less urgent.
    fn displaced_by(&self, rank: WaiterRank, bytes: usize) -> Option<Vec<TicketId>> {
        let (mut count, mut sum) = (self.waiting.len() + 1, self.bytes + bytes);
        let mut displaced = Vec::new();
        if count <= MAX_WAITING && sum <= MAX_WAITING_BYTES {
            return Some(displaced);
        }
        let mut by_rank: Vec<(Position, usize)> =
            self.waiting.iter().map(|(id, w)| ((w.rank, *id), w.bytes)).collect();
        by_rank.sort_unstable();
        while count > MAX_WAITING || sum > MAX_WAITING_BYTES {
            let ((other, ticket), other_bytes) = by_rank.pop()?;
            if other <= rank {
                return None;
            }
            displaced.push(ticket);
            (count, sum) = (count - 1, sum - other_bytes);
        }
        Some(displaced)
    }

    /// Removes a request; without effect if it has left.
    pub fn leave(&mut self, ticket: TicketId) {
        let Some(waiting) = self.waiting.swap_remove(&ticket) else { return };
        self.bytes -= waiting.bytes;
        if let Some(group) = self.groups.get_mut(&waiting.group) {
            group.remove(&(waiting.rank, ticket));
            if group.is_empty() {
                self.groups.swap_remove(&waiting.group);
            }
        }
    }

    /// Whether the request still has its place.
    pub fn contains(&self, ticket: TicketId) -> bool {
        self.waiting.contains_key(&ticket)
    }

    /// Whether no other request of its group goes before it.
    pub fn is_first(&self, ticket: TicketId) -> bool {
        let Some(waiting) = self.waiting.get(&ticket) else { return true };
        self.first_of(&waiting.group).is_none_or(|first| first == ticket)
    }

    /// Whether a request of another group that may use the same engines is more urgent.
    pub fn has_more_urgent(&self, ticket: TicketId) -> bool {
        let Some(waiting) = self.waiting.get(&ticket) else { return false };
        self.groups.iter().any(|(group, members)| {
            let first = members.first().map(|(rank, _)| rank.priority);
            group.shares_engines(&waiting.group)
                && first.is_some_and(|priority| priority < waiting.rank.priority)
        })
    }

    /// Whether a request that arrives now has to let another one go first: one that waits for a slot.
    pub fn goes_behind(&self, group: &RoomGroup, rank: WaiterRank) -> bool {
        let first = self.first_of(group).and_then(|first| self.waiting.get(&first));
        first.is_some_and(|first| first.reason == RoomReason::Full && first.rank <= rank)
    }

    pub fn set_reason(&mut self, ticket: TicketId, reason: RoomReason) {
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.reason = reason;
        }
    }

    /// The first request of each group, which may try again once there is room.
    pub fn firsts(&self) -> impl Iterator<Item = TicketId> {
        self.groups.values().filter_map(|members| Some(members.first()?.1))
    }

    fn first_of(&self, group: &RoomGroup) -> Option<TicketId> {
        Some(self.groups.get(group)?.first()?.1)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// How long a request may wait for a slot from now, so that it can still be in time and its caller can
/// still retry. `begin_time` is the time from sending to the first byte.
pub fn max_room_wait(
    objective: Duration,
    begin_time: Duration,
    age: Duration,
    time_left: Duration,
) -> Duration {
    let until_too_late = objective.saturating_sub(begin_time).saturating_sub(age);
    until_too_late.mul_f64(MAX_SLACK_SHARE).min(time_left.mul_f64(MAX_WAIT_SHARE))
}

/// How long requests of each service take from being sent to the first byte of the response.
#[derive(Debug, Clone, Default)]
pub struct BeginTimes {
    services: IndexMap<ServiceId, BeginTime>,
}

/// Averages in milliseconds.
#[derive(Debug, Clone, Copy)]
struct BeginTime {
    mean: f64,
    deviation: f64,
}

impl BeginTimes {
    /// Records a response of an engine at which nothing waited.
    pub fn record(&mut self, service: &ServiceId, took: Millis) {
        let took = took as f64;
        match self.services.get_mut(service) {
            Some(known) => {
                let error = took - known.mean;
                known.mean += BEGIN_TIME_WEIGHT * error;
                known.deviation += BEGIN_TIME_WEIGHT * (error.abs() - known.deviation);
            }
            None => {
                let known = BeginTime { mean: took, deviation: took / 2.0 };
                self.services.insert(service.clone(), known);
            }
        }
    }

    /// Time to reserve for the first byte, at most the objective.
    pub fn expected(&self, service: &ServiceId, objective: Duration) -> Duration {
        let Some(known) = self.services.get(service) else {
            return objective.mul_f64(UNKNOWN_BEGIN_SHARE);
        };
        let expected_ms = known.mean + BEGIN_TIME_DEVIATIONS * known.deviation;
        Duration::from_secs_f64(expected_ms / 1_000.0).min(objective)
    }
}
