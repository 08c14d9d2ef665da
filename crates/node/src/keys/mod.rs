//! The owner role: lets each idempotency key of a shard run at most once.

mod run;

use std::time::Duration;

use hgw_claim::Action as ClaimAction;
use hgw_events::Event as LogEvent;
use hgw_once::{Action as ShardAction, Call, Event as ShardEvent, Reply, RunOutcome, Shard};
use hgw_types::{
    AttemptId, IdempotencyKey, NodeId, Offset, RecordId, Scope, ServiceId, StreamName,
};
use hgw_wire::peer::{Keyed, KeyedAnswer, Message, NotStarted, Outcome, RecordedAnswer};
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::codec::{decode, encode};
use crate::context::Context;
use crate::handover::millis;
use crate::scope::{ScopeLog, TermEvents};
use crate::view::View;
use crate::{PlatformError, ReadOutcome};
use run::{Finished, Runs};

/// Live nodes that read a shard's stream, so as to take over without delay.
const CANDIDATES: usize = 3;

/// A shard that this node reads.
#[derive(Debug)]
struct KeyShard {
    scope: ScopeLog,
    shard: Shard,
}

/// A keyed call that came to this node as owner.
#[derive(Debug)]
struct Asked {
    from: NodeId,
    shard: u32,
    keyed: Keyed,
}

/// The shards that this node reads or owns.
#[derive(Debug)]
pub(crate) struct Keys {
    shards: IndexMap<u32, KeyShard>,
    asked: IndexMap<AttemptId, Asked>,
    runs: Runs,
    stopping: bool,
}

impl Keys {
    pub(crate) fn new(chooser: hgw_dispatch::Chooser) -> Self {
        let runs = Runs::new(chooser);
        Keys { shards: IndexMap::new(), asked: IndexMap::new(), runs, stopping: false }
    }

    /// Calls that this node has begun and that have not ended.
    pub(crate) fn running(&self) -> usize {
        self.runs.len()
    }

    /// Calls that have no answer yet.
    pub(crate) fn waiting(&self) -> usize {
        self.asked.len()
    }

    /// Shards that this node owns.
    pub(crate) fn owned(&self) -> Vec<u32> {
        self.shards.iter().filter(|(_, s)| s.scope.held().is_some()).map(|(n, _)| *n).collect()
    }

    /// Follows the shards that this node should be ready to own, and claims those that are due.
    pub(crate) fn review(&mut self, cx: &mut Context<'_>, view: &View<'_>) {
        for number in 0..cx.settings.key_shards {
            let scope = Scope::key_shard(number);
            let order = view.members.order_of_all(scope.as_str());
            let candidate = order.iter().take(CANDIDATES).any(|n| n == view.me);
            if candidate && !self.shards.contains_key(&number) {
                let boot = cx.settings.boot ^ xxh3_64(scope.as_str().as_bytes());
                let shard = Shard::new(hgw_once::Settings::default(), boot);
                let events = TermEvents {
                    gained: LogEvent::OwnerGained,
                    lost: LogEvent::OwnerLost,
                    field: "shard",
                    value: number.to_string(),
                };
                let scope = ScopeLog::new(cx, scope, events);
                self.shards.insert(number, KeyShard { scope, shard });
            }
            let is_held = |s: &KeyShard| s.scope.held().is_some();
            if !candidate && self.shards.get(&number).is_some_and(|s| !is_held(s)) {
                self.shards.swap_remove(&number);
            }
            let Some(shard) = self.shards.get_mut(&number) else { continue };
            let preferred = order.first() == Some(view.me);
            let acts = shard.scope.review(cx, preferred, |n| view.members.is_alive(n));
            self.take_claim(cx, view, number, acts);
        }
    }

    fn number_of(&self, stream: &StreamName) -> Option<u32> {
        self.shards.iter().find(|(_, s)| s.scope.stream() == stream).map(|(n, _)| *n)
    }

    /// Takes the answer to a read, if the stream is that of a shard.
    pub(crate) fn on_read(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        stream: &StreamName,
        outcome: ReadOutcome,
    ) {
        let Some(number) = self.number_of(stream) else { return };
        let acts = self.shards[&number].scope.on_read(cx, outcome);
        self.take_claim(cx, view, number, acts);
    }

    pub(crate) fn on_appended(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        stream: &StreamName,
        id: RecordId,
        outcome: Result<Offset, PlatformError>,
    ) {
        let Some(number) = self.number_of(stream) else { return };
        let acts = self.shards[&number].scope.on_appended(cx, id, outcome);
        self.take_claim(cx, view, number, acts);
    }

    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>, view: &View<'_>) {
        let numbers: Vec<u32> = self.shards.keys().copied().collect();
        for number in numbers {
            let Some(shard) = self.shards.get_mut(&number) else { continue };
            let acts = shard.scope.on_tick(cx);
            self.take_claim(cx, view, number, acts);
            self.tell(cx, view, number, ShardEvent::Tick);
        }
        for run in self.runs.overdue(cx.now) {
            self.run_ended(cx, view, run, RunOutcome::Unknown);
        }
    }

    pub(crate) fn on_keyed(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        from: &NodeId,
        keyed: Keyed,
    ) {
        let number = hgw_once::shard_of(&keyed.service, &keyed.key, cx.settings.key_shards);
        if self.stopping || !self.shards.contains_key(&number) {
            let preferred = view.preferred_holder(&Scope::key_shard(number));
            let owner = preferred.filter(|n| n != view.me);
            let answer = KeyedAnswer::NotOwner(owner);
            cx.send(from, Message::KeyedAnswer { attempt: keyed.attempt, answer });
            return;
        }
        let call = Call {
            attempt: keyed.attempt,
            service: keyed.service.clone(),
            key: keyed.key.clone(),
            fingerprint: fingerprint(&keyed.service, &keyed.key, &keyed),
            deadline: cx.now + Duration::from_micros(keyed.left_us),
        };
        self.asked.insert(keyed.attempt, Asked { from: from.clone(), shard: number, keyed });
        self.tell(cx, view, number, ShardEvent::Call(call));
    }

    /// Whether the attempt is a run of a keyed call of this node.
    pub(crate) fn has_run(&self, attempt: AttemptId) -> bool {
        self.runs.contains(attempt)
    }

    /// The dispatcher did not start the run: it may be tried at another upstream.
    pub(crate) fn on_not_started(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        attempt: AttemptId,
        reason: &NotStarted,
    ) {
        if let Some(run) = self.runs.not_started(cx, view, attempt, reason) {
            self.run_ended(cx, view, run, RunOutcome::NotRun);
        }
    }

    pub(crate) fn on_ended(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        attempt: AttemptId,
        outcome: Outcome,
        answer: Option<RecordedAnswer>,
    ) {
        let Some(run) = self.runs.ended(attempt) else { return };
        let outcome = match (outcome, answer) {
            (Outcome::Whole(_), Some(answer)) => RunOutcome::Ran(encode(&answer)),
            (Outcome::NotRun(_), _) => RunOutcome::NotRun,
            (Outcome::Whole(_) | Outcome::Preempted | Outcome::Broken(_), _) => RunOutcome::Unknown,
        };
        self.run_ended(cx, view, run, outcome);
    }

    /// The dispatcher of some runs is gone: it may have sent them on.
    pub(crate) fn on_peer_down(&mut self, cx: &mut Context<'_>, view: &View<'_>, peer: &NodeId) {
        for run in self.runs.lost_with(peer) {
            self.run_ended(cx, view, run, RunOutcome::Unknown);
        }
    }

    fn run_ended(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        run: Finished,
        outcome: RunOutcome,
    ) {
        self.tell(cx, view, run.shard, ShardEvent::Ended { attempt: run.call, outcome });
    }

    fn tell(&mut self, cx: &mut Context<'_>, view: &View<'_>, number: u32, event: ShardEvent) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let mut acts = Vec::new();
        shard.shard.handle(cx.now, event, &mut acts);
        for act in acts {
            self.carry_out(cx, view, number, act);
        }
    }

    fn carry_out(&mut self, cx: &mut Context<'_>, view: &View<'_>, number: u32, act: ShardAction) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        match act {
            ShardAction::Propose { id, data } => {
                let acts = shard.scope.propose(cx, id, data);
                self.take_claim(cx, view, number, acts);
            }
            ShardAction::Snapshot(data) => {
                let acts = shard.scope.snapshot(cx, data);
                self.take_claim(cx, view, number, acts);
            }
            ShardAction::Dispatch(call) => {
                let Some(asked) = self.asked.get(&call) else { return };
                let keyed = asked.keyed.clone();
                if let Some(run) = self.runs.begin(cx, view, number, keyed) {
                    self.run_ended(cx, view, run, RunOutcome::NotRun);
                }
            }
            ShardAction::Reply { attempt, reply } => self.reply(cx, attempt, reply),
        }
    }

    fn reply(&mut self, cx: &mut Context<'_>, attempt: AttemptId, reply: Reply) {
        let Some(asked) = self.asked.swap_remove(&attempt) else { return };
        let holder = self.shards.get(&asked.shard).and_then(|s| s.scope.holder());
        let answer = match reply {
            Reply::Answer(data) => {
                decode(&data).map_or(KeyedAnswer::MayHaveRun, KeyedAnswer::Answer)
            }
            Reply::MayHaveRun => KeyedAnswer::MayHaveRun,
            Reply::NotRun { retry_after } => {
                let retry_after_ms = millis(retry_after);
                KeyedAnswer::NotRun { retry_after_ms }
            }
            Reply::KeyReused => KeyedAnswer::KeyReused,
            Reply::NotOwner => {
                KeyedAnswer::NotOwner(holder.filter(|n| **n != cx.settings.node).cloned())
            }
        };
        cx.send(&asked.from, Message::KeyedAnswer { attempt, answer });
    }

    fn take_claim(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        number: u32,
        acts: Vec<ClaimAction>,
    ) {
        for act in acts {
            let event = match act {
                ClaimAction::LeaseAcquired(term) => ShardEvent::Gained(term),
                ClaimAction::LeaseLost(_) => ShardEvent::Lost,
                ClaimAction::Apply { offset, term, id, data } => {
                    ShardEvent::Apply { offset, term, id, data }
                }
                ClaimAction::Restore { data, .. } => ShardEvent::Restore(data),
                ClaimAction::Dropped { id } => ShardEvent::Dropped(id),
                ClaimAction::SnapshotDue => ShardEvent::SnapshotDue,
                // Keys are kept for less time than the log keeps records, so what was trimmed without
                // a snapshot has expired.
                ClaimAction::NoSnapshot => {
                    let Some(shard) = self.shards.get_mut(&number) else { return };
                    let acts = shard.scope.begin_empty(cx);
                    self.take_claim(cx, view, number, acts);
                    continue;
                }
                ClaimAction::LeaderChanged(_) | ClaimAction::Append { .. } => continue,
            };
            self.tell(cx, view, number, event);
        }
    }

    /// Takes no new calls from now on.
    pub(crate) fn stop(&mut self) {
        self.stopping = true;
    }

    /// Gives up the shards, once no call of this node is under way.
    pub(crate) fn release(&mut self, cx: &mut Context<'_>, view: &View<'_>) {
        let numbers: Vec<u32> = self.shards.keys().copied().collect();
        for number in numbers {
            let Some(shard) = self.shards.get_mut(&number) else { continue };
            let acts = shard.scope.release(cx);
            self.take_claim(cx, view, number, acts);
        }
    }
}

/// Tells one call from another that carries the same key.
fn fingerprint(service: &ServiceId, key: &IdempotencyKey, keyed: &Keyed) -> u64 {
    let work = &keyed.work;
    let mut buf = Vec::new();
    for part in [service.as_str(), key.as_str(), &work.method, &work.path] {
        buf.extend_from_slice(part.as_bytes());
        buf.push(0);
    }
    buf.extend_from_slice(&work.body);
    xxh3_64(&buf)
}
