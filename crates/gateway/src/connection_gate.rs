//! Measures how late this process runs, by which it takes or refuses new connections of callers.

use std::cell::RefCell;

use hgw_direct::{ConnectionGate, DELAY_INTERVAL};
use hgw_events::{Event, emit};
use rand::random;
use tokio::time::{Instant, sleep_until};

use crate::meter;
use crate::shared::Node;

/// The gate for new connections of callers.
#[derive(Debug, Default)]
pub(crate) struct CallerGate(RefCell<ConnectionGate>);

impl CallerGate {
    /// Whether a new connection is taken.
    pub(crate) fn takes_connection(&self) -> bool {
        let gate = self.0.borrow();
        let takes = gate.is_open() || gate.takes(random());
        if !takes {
            meter::connection_refused();
        }
        takes
    }

    /// Share of the new connections that is taken.
    pub(crate) fn share(&self) -> f64 {
        self.0.borrow().share()
    }
}

/// Measures the delay until the process ends.
pub(crate) async fn measure(node: Node) {
    loop {
        let planned = Instant::now() + DELAY_INTERVAL;
        sleep_until(planned).await;
        let delay = planned.elapsed();
        let has_changed = node.caller_gate.0.borrow_mut().record_delay(delay);
        if has_changed {
            log_change(&node);
        }
    }
}

fn log_change(node: &Node) {
    let gate = *node.caller_gate.0.borrow();
    emit(
        Event::ConnectionsRefused,
        &[
            ("node", &node.settings.borrow().node),
            ("refuses", &!gate.is_open()),
            ("delay_ms", &gate.mean_delay().as_millis()),
            ("open", &node.shutdown.connections.get()),
            ("requests", &node.shutdown.active_requests.get()),
        ],
    );
}
