//! When a node asks others who leads.
//!
//! A node that the store turns away learns from the leader alone who leads. If the store turns the leader away too, another
//! node claims the lease, and nobody would tell those two.

use crate::Millis;

/// Shortest and longest pause between two questions: where the store is away for all, nobody knows more.
const MIN_PAUSE: Millis = 300;
const MAX_PAUSE: Millis = 2_000;

/// Paces the questions of one node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaderSearch {
    /// Time of the next question, and the pause after it; none while the node is up to date.
    next: Option<(Millis, Millis)>,
}

impl LeaderSearch {
    /// Whether to ask now, where `is_outdated` says if what the node knows is older than a lease: no other node leads before.
    pub fn is_due(&mut self, now: Millis, is_outdated: bool) -> bool {
        if !is_outdated {
            self.next = None;
            return false;
        }
        let (due_at, pause) = self.next.unwrap_or((now, MIN_PAUSE));
        if now < due_at {
            return false;
        }
        self.next = Some((now + pause, (pause * 2).min(MAX_PAUSE)));
        true
    }
}
