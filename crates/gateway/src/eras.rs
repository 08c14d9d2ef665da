//! Tracks the era of the store.
//!
//! The era increases by one each time the store is restored from a backup. A node learns of it from
//! any response of the store or from another node, and then ignores responses of earlier eras. Data
//! of the earlier era stays in use until it has been read again.

use std::time::Duration;

use hgw_direct::Era;
use hgw_events::{Event, emit};

use crate::clock::boot_time;
use crate::shared::Shared;

/// Time after a restore in which operators and engines write again what the backup lacked.
const RECOVERY_TIME: Duration = Duration::from_millis(2_000);

/// Checks for a new era after a call to the store.
pub(crate) fn check(node: &Shared) {
    record(node, node.protocols.store.era(), Duration::ZERO, "store");
}

/// Era for other nodes and its least age in milliseconds; none in the first era.
pub(crate) fn to_report(node: &Shared) -> Option<(Era, u64)> {
    let known = node.era.get();
    let lasted = known.min_age(boot_time()).as_millis() as u64;
    (known.era() > Era::FIRST).then_some((known.era(), lasted))
}

/// Takes in the era that another node reported.
pub(crate) fn record_reported(node: &Shared, reported: Option<(Era, u64)>) {
    let Some((era, lasted_ms)) = reported else { return };
    node.protocols.store.observe_era(era);
    record(node, era, Duration::from_millis(lasted_ms), "peer");
}

fn record(node: &Shared, era: Era, lasted: Duration, source: &str) {
    let mut known = node.era.get();
    let is_new = known.observe(era, lasted, boot_time());
    node.era.set(known);
    // A node that has just started always sees a new era, which is not worth logging.
    if is_new && node.state.borrow().has_engine_list {
        let name = &node.settings.borrow().node;
        emit(Event::StoreCameBack, &[("node", name), ("era", &era), ("by", &source)]);
    }
}

/// Boot time at which lost writes are assumed to be written again; zero in the first era.
pub(crate) fn recovered_at(node: &Shared) -> Duration {
    let known = node.era.get();
    let is_first = known.era() == Era::FIRST;
    if is_first { Duration::ZERO } else { known.since() + RECOVERY_TIME }
}

/// Whether data that a restore lost may still be missing.
pub(crate) fn is_recovering(node: &Shared) -> bool {
    boot_time() < recovered_at(node)
}
