use hgw_config::{Document, ServiceKind, Upstream};
use hgw_dispatch::{Job, Queue, QueueSettings};
use hgw_types::{AttemptId, NodeId, Time, Tokens, UpstreamId};
use hgw_wire::peer::{Submit, Work};
use indexmap::IndexMap;

/// One upstream's queue at this node, with the work that passes through it.
#[derive(Debug)]
pub(super) struct UpstreamQueue {
    pub(super) addr: String,
    pub(super) queue: Queue,
    pub(super) tasks: IndexMap<AttemptId, Task>,
    pub(super) next_report: Time,
}

/// Work that an entry node submitted.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) from: NodeId,
    pub(super) submit: Submit,
    pub(super) stage: Stage,
    /// When the upstream got it.
    pub(super) started: Option<Time>,
}

/// What is to become of work that is with the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// In the queue.
    Queued,
    /// With the upstream.
    Running,
    /// Being cancelled in favour of urgent work.
    Preempting,
    /// Being cancelled, as its deadline has passed.
    Abandoning,
    /// Being cancelled, as nobody waits for it.
    Forgotten,
}

impl UpstreamQueue {
    pub(super) fn new(document: &Document, upstream: &Upstream) -> Self {
        let service = document.services.get(&upstream.service);
        let plain = service.is_some_and(|s| s.kind == ServiceKind::Plain);
        let settings = QueueSettings { slots: upstream.slots, plain, ..QueueSettings::default() };
        UpstreamQueue {
            addr: upstream.addr.clone(),
            queue: Queue::new(settings),
            tasks: IndexMap::new(),
            next_report: Time::ZERO,
        }
    }
}

/// Characters a token, on average; used to estimate the length of a prompt.
const CHARS_PER_TOKEN: usize = 4;

/// What the queue needs to know of submitted work.
pub(super) fn job(now: Time, submit: &Submit) -> Job {
    let (model, adapter, prompt, output, prefix) = match &submit.work {
        Work::Model(work) => {
            let done = u32::try_from(work.resume.len()).unwrap_or(u32::MAX);
            let prompt = u32::try_from(work.prompt.len() / CHARS_PER_TOKEN).unwrap_or(u32::MAX);
            let output = Tokens(work.max_tokens.0.saturating_sub(done));
            let prefix = hgw_dispatch::prefix_hashes(&work.prompt);
            (Some(work.model.clone()), work.adapter.clone(), Tokens(prompt), output, prefix)
        }
        Work::Plain(_) => (None, None, Tokens(0), Tokens(0), Vec::new()),
    };
    Job {
        attempt: submit.attempt,
        model,
        adapter,
        urgency: submit.urgency,
        deadline: now + std::time::Duration::from_micros(submit.left_us),
        prompt,
        output,
        prefix,
        may_bounce: submit.may_bounce,
    }
}

/// Upstreams and their queues at this node.
pub(super) type UpstreamQueues = IndexMap<UpstreamId, UpstreamQueue>;
