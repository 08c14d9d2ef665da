use std::time::Duration;

use derive_more::Display;

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// No configuration or no list of engines yet.
    #[display("not ready")]
    NotReady,
    /// This node is about to end.
    #[display("stopping")]
    Stopping,
    /// No engine of the service can be reached.
    #[display("no engine")]
    NoEngine,
    /// No engine holds the model, and none will in time.
    #[display("model not placed")]
    NotPlaced,
    /// It could not start before its deadline.
    #[display("full")]
    Full,
    /// It cannot be shown that the key which it shows is still anybody's.
    #[display("no proof of the newest keys")]
    NoProof,
    /// Its customer has used what it may.
    #[display("over the limit")]
    OverLimit,
    /// Nobody tells what its customer may still use.
    #[display("no word on the limit")]
    NoAllowance,
    /// No second try is left.
    #[display("no retry left")]
    NoRetry,
}

/// Shortest time after which a refused caller is asked to come back.
pub const RETRY_LEAST: Duration = Duration::from_millis(200);

/// When a refused caller should come back.
///
/// Load: callers that are refused in one moment and come back in one moment are refused again. `draw` in
/// `0..1` spreads them over as long again as the wait itself.
pub fn come_back(wait: Duration, draw: f64) -> Duration {
    let least = wait.max(RETRY_LEAST);
    least + least.mul_f64(draw)
}
