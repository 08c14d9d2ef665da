use crate::{Engines, Millis};

/// Part of the engines of other failure domains that is out of reach of a node that is cut off.
const OUT_OF_REACH: f64 = 0.8;

/// Fewest engines by which that is judged.
const FEWEST: usize = 3;

/// Silence of the store that goes with it: of the reads that wait there one ends twice a second.
const STORE_SILENT: Millis = 1_200;

/// Whether a node is cut off: it reaches neither the store nor the engines of other failure domains. Its
/// callers still reach it, and nodes elsewhere would serve them; it has only to say that it is not ready.
///
/// The store alone does not tell: while it is down every node would say so, and nobody would be served.
pub fn is_cut_off(store_silent_for: Millis, engines: &Engines, domain: &str, now: Millis) -> bool {
    let others = engines.iter().filter(|e| e.takes_work() && e.listed.domain != domain);
    let (mut all, mut silent) = (0, 0);
    for engine in others {
        all += 1;
        silent += usize::from(engine.judge.is_silent(now));
    }
    store_silent_for > STORE_SILENT && all >= FEWEST && silent as f64 >= OUT_OF_REACH * all as f64
}
