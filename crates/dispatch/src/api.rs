use std::time::Duration;

use hgw_config::Urgency;
use hgw_types::{AdapterId, AttemptId, ModelId, Time, Tokens, UpstreamId};

/// A piece of work for one upstream's queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Names the work.
    pub attempt: AttemptId,
    /// The model; none for a plain service's call.
    pub model: Option<ModelId>,
    /// The adapter, if one was asked for.
    pub adapter: Option<AdapterId>,
    /// Whether late answers count as missed.
    pub urgency: Urgency,
    /// For urgent model work when the first token is due, else when the answer is.
    pub deadline: Time,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Tokens still to generate, at most; 0 for a plain service's call.
    pub output: Tokens,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// Whether another replica could take it instead.
    pub may_bounce: bool,
}

/// Why work was not taken, or was given up before it began. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Its estimated end is after its deadline.
    TooLate {
        /// When to come back.
        retry_after: Duration,
    },
    /// The queue is full.
    Full {
        /// When to come back.
        retry_after: Duration,
    },
    /// It waited past its deadline.
    Expired {
        /// When to come back.
        retry_after: Duration,
    },
    /// Over the limit here; another replica may do.
    Bounced,
    /// The upstream takes no new work.
    Leaving,
}

/// What a queue decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send this work to the upstream now.
    Start(AttemptId),
    /// Answer this queued work at once: it was not started.
    GiveUp(AttemptId, Refusal),
    /// Cancel this running work upstream; it is to be submitted again and resumed.
    Preempt(AttemptId),
    /// Cancel this running work upstream for good: its deadline has passed.
    Abandon(AttemptId),
}

/// How running work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a whole answer.
    Whole,
    /// The upstream failed or could not be reached.
    Failed,
    /// It was cancelled, here or by its caller.
    Cancelled,
}

/// Where cancelled work stood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// In the queue: nothing was sent.
    Queued,
    /// At the upstream: it is to be cancelled there.
    Running,
}

/// What an upstream says of its load, late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests worked on.
    pub active: u32,
    /// Requests waiting inside the upstream.
    pub waiting: u32,
    /// Time of the last step of the batch; zero where there is none.
    pub step: Duration,
    /// Whether it will take no new work.
    pub leaving: bool,
}

/// What an entry node looks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The model; none for a plain service's call.
    pub model: Option<ModelId>,
    /// The adapter, if one was asked for.
    pub adapter: Option<AdapterId>,
    /// Whether late answers count as missed.
    pub urgency: Urgency,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
}

/// An upstream that could take a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// 0 in the entry node's failure domain, 1 in its region, 2 elsewhere.
    pub distance: u8,
    /// Whether the adapter asked for is loaded there; true where none was asked for.
    pub has_adapter: bool,
}
