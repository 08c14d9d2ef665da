//! The timer service: duties subscribe to a period and are told when it has passed.

use std::time::Duration;

use hgw_types::Time;

/// What is done at intervals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Duty {
    /// Send heartbeats and find dead members.
    Members,
    /// Compare who should hold what with who does.
    Review,
    /// Tell the keeper of demand.
    Demand,
    /// Ask the platform for its list of VMs.
    Vms,
}

#[derive(Debug)]
struct Subscription {
    duty: Duty,
    period: Duration,
    next: Time,
}

/// All subscriptions of a node.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    subscriptions: Vec<Subscription>,
}

impl Timers {
    /// Subscribes a duty; it is due for the first time at once.
    pub(crate) fn subscribe(mut self, duty: Duty, period: Duration) -> Self {
        self.subscriptions.push(Subscription { duty, period, next: Time::ZERO });
        self
    }

    /// Duties that are due, each at most once however much time has passed.
    pub(crate) fn due(&mut self, now: Time) -> Vec<Duty> {
        let mut due = Vec::new();
        for s in &mut self.subscriptions {
            if s.next <= now {
                s.next = now + s.period;
                due.push(s.duty);
            }
        }
        due
    }
}
