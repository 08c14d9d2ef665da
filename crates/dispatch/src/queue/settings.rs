use std::time::Duration;

/// Limits of one queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueSettings {
    /// Requests that the upstream works on at once.
    pub slots: u32,
    /// Whether the upstream is a plain service, whose calls are neither cut off nor resumed.
    pub plain: bool,
    /// Urgent requests that may wait.
    ///
    /// The deadline bounds this queue long before the number does; the number only protects memory
    /// from callers that name deadlines of hours.
    pub max_urgent: usize,
    /// Deferrable requests that may wait. A longer queue would only expire at its end.
    pub max_deferrable: usize,
    /// Longest wait of a deferrable request in this queue.
    ///
    /// A deadline may be hours away, and the caller is better served by a time to come back than by
    /// a connection that stays silent for that long.
    pub max_age: Duration,
    /// Wait after which one deferrable request goes before urgent ones and is not preempted.
    ///
    /// Under lasting saturation at least one is served in each such interval, so none starves for
    /// good; at one slot in eight for a second in twenty it costs urgent work below 1%.
    pub ageing: Duration,
    /// Slots that deferrable work leaves free, so that most urgent requests start without a
    /// preemption, which costs the preempted request its prompt computation.
    pub reserve: u32,
    /// Wait for a slot that is about to come free, before deferrable work is preempted for it.
    pub patience: Duration,
    /// Most that the wait of an urgent request counts for, by its slot time over the usual one.
    pub length_weight: f64,
    /// Urgent requests in a row that are refused for their length alone.
    pub passed_over: u32,
    /// Time of a token until the upstream has shown its own, or of a plain call.
    pub first_guess: Duration,
    /// Time without progress after which running work is taken to be stuck.
    ///
    /// Above the interval at which progress is told, or healthy work would look stuck.
    pub stall: Duration,
    /// Shortest time to come back that a refusal names.
    pub min_retry: Duration,
    /// Longest time to come back that a refusal names.
    pub max_retry: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        QueueSettings {
            slots: 8,
            plain: false,
            max_urgent: 1024,
            max_deferrable: 256,
            max_age: Duration::from_secs(120),
            ageing: Duration::from_secs(20),
            reserve: 1,
            patience: Duration::from_millis(150),
            length_weight: 2.0,
            passed_over: 3,
            first_guess: Duration::from_millis(5),
            stall: Duration::from_secs(1),
            min_retry: Duration::from_millis(100),
            max_retry: Duration::from_secs(60),
        }
    }
}
