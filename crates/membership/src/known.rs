//! What a node knows of one other member.

use std::time::Duration;

use hgw_types::Time;

use crate::{Beat, Member, Pulse, short};

#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) member: Member,
    count: u64,
    pub(crate) leaving: bool,
    pub(crate) alive: bool,
    /// When it was listed last.
    pub(crate) listed: Option<Time>,
    /// When it was last known to live: heard from here, or by others.
    pub(crate) seen: Option<Time>,
    /// The last heartbeat that carried its whole beat; 0 where none did since it changed.
    pub(crate) introduced: u64,
    /// It was silent for too long, and is asked.
    pub(crate) suspicion: Option<Suspicion>,
    /// After a use of it failed: it must have been seen by others after this time.
    doubted: Option<Time>,
    /// Failures since it was last heard from itself.
    failures: u32,
}

/// A member that is asked whether it lives.
#[derive(Debug)]
pub(crate) struct Suspicion {
    pub(crate) since: Time,
    /// When to ask again.
    pub(crate) next: Time,
}

/// Most doublings of the time for which a member is doubted.
const MAX_DOUBLINGS: u32 = 6;

/// Allowed for a heartbeat's time on the way.
const ON_THE_WAY: Duration = Duration::from_millis(100);

impl Known {
    pub(crate) fn new(member: Member) -> Known {
        Known {
            member,
            count: 0,
            leaving: false,
            alive: false,
            listed: None,
            seen: None,
            introduced: 0,
            suspicion: None,
            doubted: None,
            failures: 0,
        }
    }

    pub(crate) fn beat(&self) -> Beat {
        Beat { member: self.member.clone(), count: self.count, leaving: self.leaving }
    }

    /// The age grows by more than the time on the way, or news would grow younger with each node that
    /// passes it on.
    pub(crate) fn pulse(&self, now: Time) -> Option<Pulse> {
        let age = now.since(self.seen?) + ON_THE_WAY;
        Some(Pulse { short: short(&self.member.node), age })
    }

    /// The member itself was heard from.
    pub(crate) fn heard_itself(&mut self, now: Time) {
        self.seen = Some(now);
        self.failures = 0;
        self.doubted = None;
    }

    /// Its own beat.
    pub(crate) fn heard_own(&mut self, now: Time, beat: &Beat) {
        self.take(beat);
        self.heard_itself(now);
    }

    /// Its beat by way of others, which tells who it is and whether it leaves, and nothing of when it
    /// lived.
    pub(crate) fn heard_of(&mut self, beat: &Beat) {
        if beat.count > self.count {
            self.take(beat);
        }
    }

    /// When others saw it. Says whether that is news that shows that it lives.
    ///
    /// What counts is when it was seen and not when that arrives: what was last heard of a dead member
    /// reaches some nodes late, and each one that took it for news would pass it on as such.
    pub(crate) fn seen_by_others(&mut self, now: Time, age: Duration) -> bool {
        let at = now - age;
        if self.seen.is_some_and(|seen| at <= seen) {
            return false;
        }
        self.seen = Some(at);
        self.doubted.is_none_or(|doubted| at > doubted)
    }

    /// It has said that it stops as planned.
    pub(crate) fn left(&mut self) {
        self.leaving = true;
        self.introduced = 0;
    }

    fn take(&mut self, beat: &Beat) {
        if self.member != beat.member || self.leaving != beat.leaving {
            self.introduced = 0;
        }
        self.member = beat.member.clone();
        self.leaving = beat.leaving;
        self.count = beat.count;
    }

    /// A use of it failed. What others say does not bring it back at once: it would count as alive and
    /// dead in turns, and its work would move each time. They must have seen it for a while after the
    /// failure; for longer each time, as the path to it may be cut while others still reach it.
    pub(crate) fn failed(&mut self, now: Time, doubt: Duration) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.doubted = Some(now + doubt * (1 << doublings));
        self.failures += 1;
    }

    pub(crate) fn is_silent(&self, now: Time, bound: Duration) -> bool {
        self.seen.is_none_or(|seen| now.since(seen) >= bound)
    }

    /// Whether others are told of it.
    pub(crate) fn is_told(&self) -> bool {
        self.alive || self.leaving
    }
}
