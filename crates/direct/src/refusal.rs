//! Reasons for which requests are refused.

use std::time::Duration;

use derive_more::Display;

/// Why a request was not run. The texts are labels of metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// There is no configuration or no list of engines yet.
    #[display("not ready")]
    NotReady,
    /// There is a newer configuration, which this node has not got in time.
    #[display("outdated configuration")]
    OutdatedConfig,
    /// The node that forwarded the request has an older configuration than this one.
    #[display("newer configuration")]
    NewerConfig,
    /// This node is shutting down.
    #[display("stopping")]
    Stopping,
    /// No engine of the service can be reached.
    #[display("no engine")]
    NoEngine,
    /// This node reaches none of the engines that could run it.
    #[display("engines unreachable")]
    EnginesUnreachable,
    /// No engine has loaded the model, and none will in time.
    #[display("model not placed")]
    ModelNotLoaded,
    /// The request cannot start before its deadline.
    #[display("full")]
    EnginesFull,
    /// It is larger than the memory of any engine of its service.
    #[display("larger than any engine")]
    RequestTooLarge,
    /// Less is admitted to the service than arrives.
    #[display("overloaded")]
    Overloaded,
    /// All engines that could run it get as many requests as they take.
    #[display("engines at their limits")]
    EnginesAtLimit,
    /// All engines that could run it have asked this node for rest.
    #[display("engines rest")]
    EnginesResting,
    /// The configuration may be outdated, and the key revoked.
    #[display("no proof of the newest keys")]
    StaleConfig,
    /// The customer has used up its quota.
    #[display("over the limit")]
    QuotaExceeded,
    /// The customer's remaining quota is unknown.
    #[display("no word on the limit")]
    QuotaUnknown,
    /// Three engines have ended under the request.
    #[display("crashes engines")]
    CrashesEngines,
    /// Nobody knows the software version that began the stream.
    #[display("stream version unknown")]
    StreamVersionUnknown,
    /// No engine of the software version that began the stream has its model.
    #[display("stream version gone")]
    StreamVersionGone,
    /// This node serves as many requests of other nodes as it can.
    #[display("node busy")]
    NodeBusy,
    /// This node has no memory left for the request's body or its response.
    #[display("node memory in use")]
    NodeMemory,
    /// The retry budget is used up.
    #[display("no retry left")]
    RetryBudgetExhausted,
}

/// Minimum retry time for a refused caller.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry time for a refused caller. `random`, in `0..1`, adds up to as much again, so that callers
/// that are refused together do not return together.
pub fn retry_after(wait: Duration, random: f64) -> Duration {
    let min_wait = wait.max(MIN_RETRY_AFTER);
    min_wait + min_wait.mul_f64(random)
}
