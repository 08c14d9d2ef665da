//! Which new connections of callers a node takes while it has more work than processor time.
//!
//! A request that is read counts as served or not by this node; a connection that is closed unread is
//! opened again at another one. So a node on which most callers of a zone fall takes as many as it can
//! serve, and refuses the others before it reads them.

use std::time::Duration;

/// Interval at which the delay of the process is measured.
pub const DELAY_INTERVAL: Duration = Duration::from_millis(50);

/// Mean delay from which fewer connections are taken. Callers leave a node that has not read their request after
/// a second.
const CLOSE_ABOVE: Duration = Duration::from_millis(250);

/// Mean delay up to which more connections are taken again.
const OPEN_BELOW: Duration = Duration::from_millis(100);

/// A longer delay counts as this one: a machine that was suspended once is not overloaded.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Weight of a new delay in the mean.
const NEW_WEIGHT: f64 = 0.2;

/// Factor by which the share decreases in each interval, and by how much it increases.
const DECREASE: f64 = 0.85;
const INCREASE: f64 = 0.05;

/// Least share of the connections that is taken, by which a node notices that it can serve again.
const MIN_SHARE: f64 = 0.05;

/// The share of new connections that a node takes.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionGate {
    mean_delay: Duration,
    share: f64,
}

impl Default for ConnectionGate {
    fn default() -> Self {
        ConnectionGate { mean_delay: Duration::ZERO, share: 1.0 }
    }
}

impl ConnectionGate {
    /// Records by how much later than planned the process has run. Returns whether it began or ceased to
    /// refuse connections.
    pub fn record_delay(&mut self, delay: Duration) -> bool {
        let was_open = self.is_open();
        let delay = delay.min(MAX_DELAY);
        self.mean_delay = self.mean_delay.mul_f64(1.0 - NEW_WEIGHT) + delay.mul_f64(NEW_WEIGHT);
        if self.mean_delay > CLOSE_ABOVE {
            self.share = (self.share * DECREASE).max(MIN_SHARE);
        } else if self.mean_delay < OPEN_BELOW {
            self.share = (self.share + INCREASE).min(1.0);
        }
        was_open != self.is_open()
    }

    /// Whether all connections are taken.
    pub fn is_open(&self) -> bool {
        self.share >= 1.0
    }

    /// Whether a new connection is taken; `random` lies in `0..1`.
    pub fn takes(&self, random: f64) -> bool {
        random < self.share
    }

    pub fn mean_delay(&self) -> Duration {
        self.mean_delay
    }

    /// Share of the new connections that is taken.
    pub fn share(&self) -> f64 {
        self.share
    }
}
