//! What holds for every piece of work that one node hands to another, be it a caller's request or a
//! keyed call.

use std::time::Duration;

/// Times that work is sent on without having been started. Each costs one round trip between nodes;
/// more than this means that nobody has room, and looking on would only add load.
pub(crate) const MAX_HOPS: u8 = 4;

/// How long after its deadline work may stay without a word from the node that has it. That node gives
/// up at the deadline itself; one that says nothing is cut off or frozen.
pub(crate) const GRACE: Duration = Duration::from_millis(250);

/// A duration as messages carry it, in microseconds.
pub(crate) fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

/// A duration as messages carry it, in milliseconds.
pub(crate) fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
