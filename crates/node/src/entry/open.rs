use std::sync::Arc;

use hgw_config::Urgency;
use hgw_dispatch::Ask;
use hgw_types::{
    AdapterId, AttemptId, IdempotencyKey, ModelId, NodeId, RequestId, ServiceId, Time, Tokens,
    UpstreamId, VersionId,
};
use hgw_wire::peer::{ModelWork, PlainWork, Work};
use indexmap::IndexSet;

/// A caller's request that has no answer yet.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) request: RequestId,
    pub(crate) service: ServiceId,
    pub(crate) urgency: Urgency,
    pub(crate) deadline: Time,
    pub(crate) task: Task,
    pub(crate) phase: Phase,
    /// Upstreams that could not serve it, in this round of looking for one.
    pub(crate) tried: IndexSet<UpstreamId>,
    /// Times that it was sent on without having been started.
    pub(crate) hops: u8,
    /// Times that it went on elsewhere after it broke off with something new delivered.
    pub(crate) moves: u8,
    /// Whether an upstream may have begun it at some time.
    pub(crate) may_have_run: bool,
    /// Until when a next upstream is looked for, once one has failed.
    pub(crate) look_until: Option<Time>,
}

/// What a request asks for, in this node's terms.
#[derive(Debug)]
pub(crate) enum Task {
    Model {
        model: ModelId,
        version: VersionId,
        adapter: Option<AdapterId>,
        prompt: Arc<str>,
        max_tokens: Tokens,
        prefix: Vec<u64>,
        /// Tokens that the caller has from attempts that have ended.
        delivered: Vec<Arc<str>>,
    },
    Plain {
        work: PlainWork,
        idempotent: bool,
        key: Option<IdempotencyKey>,
    },
}

/// Where a request stands.
#[derive(Debug)]
pub(crate) enum Phase {
    /// With a dispatcher.
    Submitted(Current),
    /// With the owner of its key's shard.
    Keyed { attempt: AttemptId, owner: NodeId, redirected: bool },
    /// What the caller has been given is being found out, to go on from there. `free` says that going
    /// on needs nothing from the retry budget.
    Sealing { free: bool },
    /// Looking for an upstream to go on with.
    Looking { next: Time },
}

/// The attempt that the caller is attached to.
#[derive(Debug)]
pub(crate) struct Current {
    pub(crate) attempt: AttemptId,
    pub(crate) upstream: UpstreamId,
    pub(crate) dispatcher: NodeId,
    pub(crate) started: bool,
}

impl Open {
    pub(crate) fn attempt(&self) -> Option<AttemptId> {
        match &self.phase {
            Phase::Submitted(current) => Some(current.attempt),
            Phase::Keyed { attempt, .. } => Some(*attempt),
            Phase::Sealing { .. } | Phase::Looking { .. } => None,
        }
    }

    /// The node that works on it now.
    pub(crate) fn worker(&self) -> Option<&NodeId> {
        match &self.phase {
            Phase::Submitted(current) => Some(&current.dispatcher),
            Phase::Keyed { owner, .. } => Some(owner),
            Phase::Sealing { .. } | Phase::Looking { .. } => None,
        }
    }

    /// Whether running it again does no harm.
    pub(crate) fn is_idempotent(&self) -> bool {
        match &self.task {
            Task::Model { .. } => true,
            Task::Plain { idempotent, .. } => *idempotent,
        }
    }

    /// Tokens that the caller has.
    pub(crate) fn delivered(&self) -> usize {
        match &self.task {
            Task::Model { delivered, .. } => delivered.len(),
            Task::Plain { .. } => 0,
        }
    }

    /// Whether the caller has a part of the answer.
    pub(crate) fn has_begun(&self) -> bool {
        self.delivered() > 0
    }

    /// When the next word must have come: a stream that its caller is reading is past the deadline for
    /// its first token, and waits as long as an upstream is looked for.
    pub(crate) fn due(&self) -> Time {
        let looking = self.look_until.filter(|_| self.has_begun());
        looking.map_or(self.deadline, |until| until.max(self.deadline))
    }

    pub(crate) fn ask(&self) -> Ask {
        let (model, adapter, prefix) = match &self.task {
            Task::Model { model, adapter, prefix, .. } => {
                (Some(model.clone()), adapter.clone(), prefix.clone())
            }
            Task::Plain { .. } => (None, None, Vec::new()),
        };
        Ask { model, adapter, urgency: self.urgency, prefix }
    }

    pub(crate) fn work(&self) -> Work {
        match &self.task {
            Task::Model { model, version, adapter, prompt, max_tokens, delivered, .. } => {
                Work::Model(ModelWork {
                    model: model.clone(),
                    version: version.clone(),
                    adapter: adapter.clone(),
                    prompt: Arc::clone(prompt),
                    max_tokens: *max_tokens,
                    resume: delivered.clone(),
                })
            }
            Task::Plain { work, .. } => Work::Plain(work.clone()),
        }
    }
}
