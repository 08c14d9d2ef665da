//! Detects that a node is isolated from the other failure domains.

use crate::{Engines, Millis};

/// Minimum share of unreachable engines in other failure domains for a node to count as isolated.
const UNREACHABLE_RATIO: f64 = 0.8;

/// Minimum number of engines in other failure domains; with fewer, no node counts as isolated.
const MIN_ENGINES: usize = 3;

/// Time without a response after which the store counts as unreachable. Reads of its logs normally
/// return at least twice per second.
const STORE_TIMEOUT: Millis = 1_200;

/// Whether the node reaches neither the store nor most engines of other failure domains. It then
/// reports that it is not ready, so that callers go to other nodes.
///
/// An unreachable store alone is not enough: during its outage all nodes would report not ready.
pub fn is_isolated(
    store_unresponsive_for: Millis,
    engines: &Engines,
    domain: &str,
    now: Millis,
) -> bool {
    let others = engines.iter().filter(|e| e.accepts_requests() && e.info.domain != domain);
    let (mut total, mut unreachable) = (0, 0);
    for engine in others {
        total += 1;
        unreachable += usize::from(engine.health.is_unreachable(now));
    }
    store_unresponsive_for > STORE_TIMEOUT
        && total >= MIN_ENGINES
        && unreachable as f64 >= UNREACHABLE_RATIO * total as f64
}
