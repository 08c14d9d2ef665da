//! In which life of the store this node stands.
//!
//! The store may come back from a copy some seconds old. A node finds out by the first answer of any call, or by the word
//! of another node; from then on no answer of an earlier era counts. What is known stays in use until it was read anew.

use std::time::Duration;

use hgw_direct::Era;
use hgw_events::{Event, emit};

use crate::clock::boot_time;
use crate::shared::Shared;

/// Time after the store's return in which operators and engines write again what it has lost.
const WRITTEN_AGAIN: Duration = Duration::from_millis(2_000);

/// A call to the store has ended: its answer may tell of a new era.
pub(crate) fn look(node: &Shared) {
    learn(node, node.dialects.store.era(), Duration::ZERO, "store");
}

/// What this node tells another: its era, and for how many milliseconds that has lasted at least; nothing in the first.
pub(crate) fn told(node: &Shared) -> Option<(Era, u64)> {
    let known = node.era.get();
    let lasted = known.min_age(boot_time()).as_millis() as u64;
    (known.era() > Era::FIRST).then_some((known.era(), lasted))
}

/// Another node tells the same.
pub(crate) fn hear(node: &Shared, told: Option<(Era, u64)>) {
    let Some((era, lasted_ms)) = told else { return };
    node.dialects.store.heard_of(era);
    learn(node, era, Duration::from_millis(lasted_ms), "peer");
}

fn learn(node: &Shared, era: Era, lasted: Duration, by: &str) {
    let mut known = node.era.get();
    let is_new = known.observe(era, lasted, boot_time());
    node.era.set(known);
    // A node that has just started finds the era that there is.
    if is_new && node.state.borrow().listed {
        let name = &node.settings.borrow().node;
        emit(Event::StoreCameBack, &[("node", name), ("era", &era), ("by", &by)]);
    }
}

/// When what the operators had written is there again at the latest; always, where nothing was lost.
pub(crate) fn written_again_at(node: &Shared) -> Duration {
    let known = node.era.get();
    let is_first = known.era() == Era::FIRST;
    if is_first { Duration::ZERO } else { known.since() + WRITTEN_AGAIN }
}

/// Whether what the store had lost may not be there again.
pub(crate) fn is_young(node: &Shared) -> bool {
    boot_time() < written_again_at(node)
}
