//! A claim together with the reading of its stream.

mod log_reader;

use bytes::Bytes;
use hgw_claim::{Action as ClaimAction, AppendOutcome, Claim, Event as ClaimEvent};
use hgw_events::{Event as LogEvent, emit};
use hgw_types::{NodeId, Offset, RecordId, Scope, Term};
use hgw_wire::platform::MAX_BATCH;
use xxhash_rust::xxh3::xxh3_64;

use crate::context::Context;
use crate::{Action, PlatformError, ReadOutcome};
pub(crate) use log_reader::LogReader;

/// How a role's terms are logged: its events, and what names the scope among their fields.
#[derive(Debug)]
pub(crate) struct TermEvents {
    pub(crate) gained: LogEvent,
    pub(crate) lost: LogEvent,
    pub(crate) field: &'static str,
    pub(crate) value: String,
}

/// This node's part in one scope: reads its stream, and claims it when it should.
#[derive(Debug)]
pub(crate) struct ScopeLog {
    claim: Claim,
    reader: LogReader,
    events: TermEvents,
}

impl ScopeLog {
    pub(crate) fn new(cx: &Context<'_>, scope: Scope, events: TermEvents) -> Self {
        let reader = LogReader::new(scope.stream());
        // Each scope makes record ids of its own: its number must differ from all others here.
        let boot = cx.settings.boot ^ xxh3_64(scope.as_str().as_bytes());
        let quarter = cx.settings.log_retention / 4;
        let defaults = hgw_claim::Settings::default();
        let cfg =
            hgw_claim::Settings { snapshot_age: defaults.snapshot_age.min(quarter), ..defaults };
        ScopeLog { claim: Claim::new(cfg, scope, cx.settings.node.clone(), boot), reader, events }
    }

    pub(crate) fn stream(&self) -> &hgw_types::StreamName {
        self.reader.stream()
    }

    pub(crate) fn held(&self) -> Option<Term> {
        self.claim.leader_term()
    }

    pub(crate) fn holder(&self) -> Option<&NodeId> {
        self.claim.leader().map(|h| &h.node)
    }

    /// Takes the answer to a read of the stream.
    pub(crate) fn on_read(
        &mut self,
        cx: &mut Context<'_>,
        outcome: ReadOutcome,
    ) -> Vec<ClaimAction> {
        let mut acts = Vec::new();
        match outcome {
            ReadOutcome::Records { records, next } => {
                let caught_up = records.len() < MAX_BATCH;
                for (offset, data) in records {
                    self.claim.handle(cx.now, ClaimEvent::Read { offset, data }, &mut acts);
                }
                if caught_up {
                    self.claim.handle(cx.now, ClaimEvent::CaughtUp, &mut acts);
                }
                self.reader.answered(next);
            }
            ReadOutcome::Trimmed { first } => {
                self.claim.handle(cx.now, ClaimEvent::Trimmed { first }, &mut acts);
                self.reader.answered(first);
            }
            ReadOutcome::Failed => {
                self.claim.handle(cx.now, ClaimEvent::ReadFailed, &mut acts);
                self.reader.failed(cx.now);
            }
        }
        self.reader.read_on(cx);
        self.pass_appends(cx, acts)
    }

    pub(crate) fn on_appended(
        &mut self,
        cx: &mut Context<'_>,
        id: RecordId,
        outcome: Result<Offset, PlatformError>,
    ) -> Vec<ClaimAction> {
        let outcome = match outcome {
            Ok(offset) => AppendOutcome::Stored(offset),
            Err(PlatformError::Refused | PlatformError::NotSent) => AppendOutcome::NotStored,
            Err(PlatformError::Unknown) => AppendOutcome::Unknown,
        };
        self.handle(cx, ClaimEvent::Appended { id, outcome })
    }

    /// Reads on, and sends what waits.
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) -> Vec<ClaimAction> {
        self.reader.read_on(cx);
        self.handle(cx, ClaimEvent::Tick)
    }

    /// Claims the scope when this node should hold it and its holder is not alive.
    pub(crate) fn review(
        &mut self,
        cx: &mut Context<'_>,
        preferred: bool,
        is_alive: impl Fn(&NodeId) -> bool,
    ) -> Vec<ClaimAction> {
        let holder_alive = self.holder().is_some_and(is_alive);
        self.handle(cx, ClaimEvent::Membership { preferred, leader_alive: holder_alive })
    }

    pub(crate) fn propose(
        &mut self,
        cx: &mut Context<'_>,
        id: RecordId,
        data: Bytes,
    ) -> Vec<ClaimAction> {
        let mut acts = Vec::new();
        self.claim.propose(cx.now, id, data, &mut acts);
        self.pass_appends(cx, acts)
    }

    pub(crate) fn snapshot(&mut self, cx: &mut Context<'_>, data: Bytes) -> Vec<ClaimAction> {
        let mut acts = Vec::new();
        self.claim.snapshot(cx.now, data, &mut acts);
        self.pass_appends(cx, acts)
    }

    /// The state before the oldest record kept has expired for its users as well.
    pub(crate) fn begin_empty(&mut self, cx: &mut Context<'_>) -> Vec<ClaimAction> {
        let mut acts = Vec::new();
        self.claim.begin_empty(cx.now, &mut acts);
        self.pass_appends(cx, acts)
    }

    pub(crate) fn release(&mut self, cx: &mut Context<'_>) -> Vec<ClaimAction> {
        let mut acts = Vec::new();
        self.claim.release(cx.now, &mut acts);
        self.pass_appends(cx, acts)
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: ClaimEvent) -> Vec<ClaimAction> {
        let mut acts = Vec::new();
        self.claim.handle(cx.now, event, &mut acts);
        self.pass_appends(cx, acts)
    }

    fn log_term(&self, cx: &Context<'_>, event: LogEvent, term: Term) {
        let TermEvents { field, value, .. } = &self.events;
        emit(event, &[("node", &cx.settings.node), (field, value), ("term", &term)]);
    }

    /// Sends appends on to the log and gives the rest to the owner of the scope.
    fn pass_appends(&self, cx: &mut Context<'_>, acts: Vec<ClaimAction>) -> Vec<ClaimAction> {
        let mut rest = Vec::new();
        for act in acts {
            match &act {
                ClaimAction::LeaseAcquired(term) => self.log_term(cx, self.events.gained, *term),
                ClaimAction::LeaseLost(term) => self.log_term(cx, self.events.lost, *term),
                _ => {}
            }
            match act {
                ClaimAction::Append { id, data } => {
                    cx.act(Action::Append { stream: self.stream().clone(), id, data });
                }
                other => rest.push(other),
            }
        }
        rest
    }
}
