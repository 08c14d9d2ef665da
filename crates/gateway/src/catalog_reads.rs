//! Whether the configuration is read from the store as often as it should be.
//!
//! One node reads it for all. If its reads fail or hang while it does all else, nobody would notice, and
//! a new configuration would reach no node; so it reports by how long they are overdue, and the others
//! read for themselves.

use std::cell::Cell;
use std::time::Duration;

use hgw_direct::{Millis, broadcasts_sends};

use crate::shared::Shared;

/// Time for the response to a read, after which the read is overdue.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Time that a node behind a hub waits longer: the hub reads first and forwards what it reads.
const HUB_READS_WITHIN: Duration = Duration::from_millis(500);

/// Range over which many nodes are spread, as the first that reads a newer configuration tells all.
const SPREAD: Duration = Duration::from_millis(400);

/// What is known of the reads of the configuration.
#[derive(Debug, Default)]
pub(crate) struct CatalogReads {
    /// Time by which a read of this node should have succeeded.
    due: Cell<Millis>,
    /// Since when the polled node has reported overdue reads.
    reported_since: Cell<Option<Millis>>,
}

impl CatalogReads {
    /// Records that a read that may wait for so long begins in due time: after a successful one, or as the first
    /// of a node that others have read for.
    pub(crate) fn expect(&self, now: Millis, wait: Duration) {
        self.due.set(now + (wait + RESPONSE_MARGIN).as_millis() as Millis);
    }

    /// Time by which a read of this node should have succeeded.
    pub(crate) fn due(&self) -> Millis {
        self.due.get()
    }

    /// Records by how many milliseconds the reads of the polled node are overdue; none from a release that does not
    /// report it.
    pub(crate) fn record_report(&self, now: Millis, overdue: Option<u64>) {
        let is_overdue = overdue.is_some_and(|overdue| overdue > 0);
        let since = self.reported_since.get().filter(|_| is_overdue);
        self.reported_since.set(is_overdue.then(|| since.unwrap_or(now)));
    }
}

/// Whether this node has to read the configuration itself because the node that reads it for all does not.
pub(crate) fn must_read(node: &Shared) -> bool {
    let Some(since) = node.catalog_reads.reported_since.get() else { return false };
    let mut wait = Duration::ZERO;
    if !broadcasts_sends(node.state.borrow().nodes) {
        wait += SPREAD.mul_f64(f64::from(node.jitter) / f64::from(u32::MAX));
    }
    if node.has_hub() {
        wait += HUB_READS_WITHIN;
    }
    node.now().saturating_sub(since) >= wait.as_millis() as Millis
}

/// By how many milliseconds the reads are overdue on which this node's configuration depends.
pub(crate) fn overdue(node: &Shared) -> u64 {
    let now = node.now();
    if !node.has_recent_leader_updates() || must_read(node) {
        return now.saturating_sub(node.catalog_reads.due());
    }
    let since = node.catalog_reads.reported_since.get();
    since.map_or(0, |since| now.saturating_sub(since).max(1))
}
