//! How many new connections of callers a node takes, in virtual time.

use std::time::Duration;

use hgw_direct::{ConnectionGate, DELAY_INTERVAL};

const CONTACT: Duration = Duration::from_secs(3);

/// A node that does so much work in an interval and lets the rest wait.
struct TestNode {
    gate: ConnectionGate,
    /// Time that its work takes, as a multiple of the interval, while it takes all connections.
    offered: f64,
    /// Work that waits, in intervals.
    backlog: f64,
    /// Connections that it was offered and took, by interval.
    shares: Vec<f64>,
}

impl TestNode {
    fn new(offered: f64) -> TestNode {
        TestNode { gate: ConnectionGate::default(), offered, backlog: 0.0, shares: Vec::new() }
    }

    /// Plays one interval. Callers whose connections wait for longer than a second have left.
    fn step(&mut self) {
        let taken = self.gate.share();
        self.shares.push(taken);
        self.backlog = (self.backlog + self.offered * taken - 1.0).clamp(0.0, 20.0);
        self.gate.record_delay(DELAY_INTERVAL.mul_f64(self.backlog));
    }

    fn run(&mut self, time: Duration) {
        let steps = time.as_millis() / DELAY_INTERVAL.as_millis();
        (0..steps).for_each(|_| self.step());
    }
}

/// Callers leave a node that has not read their request by then.
const PATIENCE: Duration = Duration::from_secs(1);

/// Guards against a node that reads what it cannot serve: from `contactMs` on it is offered several times what it
/// can do, and must read in time what it takes.
#[test]
fn crowded_node_takes_what_it_can_serve() {
    for offered in [1.5, 3.0, 8.0, 15.0] {
        let mut node = TestNode::new(offered);
        node.run(CONTACT);
        let from = node.shares.len();
        let mut late = 0;
        for _ in 0..100 {
            node.step();
            late += usize::from(DELAY_INTERVAL.mul_f64(node.backlog) >= PATIENCE);
        }
        let taken = node.shares[from..].iter().sum::<f64>() / 100.0 * offered;
        assert!(late <= 10, "{offered}: late in {late} of 100 intervals");
        assert!((0.6..1.3).contains(&taken), "{offered}: took {taken} of what it can do");
    }
}

/// Guards against a door that stays closed, or opens and closes for ever, once the crowd is gone.
#[test]
fn node_takes_all_again_once_the_crowd_is_gone() {
    let mut node = TestNode::new(8.0);
    node.run(CONTACT);
    assert!(!node.gate.is_open());
    node.offered = 0.4;
    node.run(CONTACT);
    assert!(node.gate.is_open());
    let from = node.shares.len();
    node.run(CONTACT);
    assert!(node.shares[from..].iter().all(|share| *share >= 1.0));
}

/// Guards against refusing callers after a pause of the machine, which is no overload.
#[test]
fn one_long_pause_refuses_nobody() {
    let mut gate = ConnectionGate::default();
    for delay in [0, 5_000, 20, 0, 1_500, 0, 0, 0, 81, 81, 81, 81, 81] {
        gate.record_delay(Duration::from_millis(delay));
        assert!(gate.is_open(), "after {delay} ms");
    }
}
