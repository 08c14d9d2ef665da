//! Detects that a node is isolated from the other failure domains.

use crate::{Engines, Millis};

/// Part of the engines of other failure domains that an isolated node cannot reach.
const OUT_OF_REACH: f64 = 0.8;

/// Minimum number of engines to decide by.
const FEWEST: usize = 3;

/// Time without an answer from the store; reads of the store's logs end twice per second.
const STORE_SILENT: Millis = 1_200;

/// Whether the node reaches neither the store nor the engines of other failure domains. It then
/// reports that it is not ready, so that callers go to other nodes.
///
/// The store alone is not enough: during a store outage all nodes would report not ready.
pub fn is_isolated(store_silent_for: Millis, engines: &Engines, domain: &str, now: Millis) -> bool {
    let others = engines.iter().filter(|e| e.accepts_requests() && e.info.domain != domain);
    let (mut all, mut silent) = (0, 0);
    for engine in others {
        all += 1;
        silent += usize::from(engine.health.is_unreachable(now));
    }
    store_silent_for > STORE_SILENT && all >= FEWEST && silent as f64 >= OUT_OF_REACH * all as f64
}
