//! The configuration in force at this node, and operators' changes of it.

mod pending;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hgw_config::{Change, Document, Fold, Refresher, Verdict};
use hgw_events::{Event as LogEvent, emit};
use hgw_types::{DomainId, NodeId, Offset, RecordId, RegionId, StreamName, Time};
use hgw_wire::peer::Message;

use crate::context::Context;
use crate::scope::LogReader;
use crate::{Action, ApplyOutcome, CallId, OperatorReply, PlatformError, ReadOutcome};
use pending::Pending;

/// The fold of the configuration stream, and the changes of operators at this node.
#[derive(Debug)]
pub(crate) struct Configuration {
    fold: Fold,
    reader: LogReader,
    /// Whether the version in force somewhere is known here.
    known: bool,
    /// Since when the log has been read to its end without telling which version is in force.
    unsure: Option<Time>,
    refresher: Refresher,
    /// Since when members have shown a newer version than this node's.
    behind: Option<Time>,
    pending: Pending,
}

/// How long a member may show a newer version before it is asked for it. Reading the log is usually
/// faster; this is for nodes that cannot reach it.
const BEHIND_BOUND: Duration = Duration::from_millis(400);

/// How long a log without its start and without a refresh is read before the configuration counts as
/// lost: several times what it takes to hear of a member with a newer version and to ask it.
const LOST_BOUND: Duration = Duration::from_secs(10);

impl Configuration {
    /// Starts before the first record; the log keeps records for `retention`.
    pub(crate) fn new(retention: Duration) -> Self {
        Configuration {
            fold: Fold::new(),
            reader: LogReader::new(StreamName::config()),
            known: false,
            unsure: None,
            refresher: Refresher::new(Time::ZERO, retention / 4, retention / 64),
            behind: None,
            pending: Pending::default(),
        }
    }

    pub(crate) fn version(&self) -> Offset {
        self.fold.version()
    }

    pub(crate) fn document(&self) -> &Document {
        self.fold.document()
    }

    pub(crate) fn shared(&self) -> &Arc<Document> {
        self.fold.document()
    }

    pub(crate) fn is_known(&self) -> bool {
        self.known
    }

    pub(crate) fn region_of(&self, domain: &DomainId) -> Option<RegionId> {
        self.document().domains.get(domain).map(|d| d.region.clone())
    }

    /// Takes the answer to a read; whether another configuration is in force now.
    pub(crate) fn on_read(&mut self, cx: &mut Context<'_>, outcome: ReadOutcome) -> bool {
        let before = self.version();
        match outcome {
            ReadOutcome::Records { records, next } => {
                let caught_up = records.len() < hgw_wire::platform::MAX_BATCH;
                for (offset, data) in records {
                    self.take(cx, offset, &data);
                }
                if caught_up {
                    self.settle_version(cx);
                }
                self.reader.answered(next);
            }
            ReadOutcome::Trimmed { first } => {
                self.fold.trimmed(first);
                self.reader.answered(first);
            }
            ReadOutcome::Failed => self.reader.failed(cx.now),
        }
        self.reader.read_on(cx);
        self.version() != before
    }

    /// Decides, at the end of the log, whether the version in force is known.
    ///
    /// Refreshes are written well before records expire. Where the start of the stream is gone and none
    /// is found, no node was running when the last one expired: the configuration is lost. A node that
    /// went on waiting for it would never be ready nor take a new one from an operator. Members that
    /// have it are found within the bound and say so.
    fn settle_version(&mut self, cx: &Context<'_>) {
        if self.known || self.fold.is_exact() {
            self.known = true;
            return;
        }
        let since = *self.unsure.get_or_insert(cx.now);
        if cx.now.since(since) >= LOST_BOUND {
            emit(LogEvent::ConfigLost, &[("node", &cx.settings.node)]);
            self.fold.begin_empty();
            self.known = true;
        }
    }

    fn take(&mut self, cx: &mut Context<'_>, offset: Offset, data: &[u8]) {
        let verdict = self.fold.apply(offset, data);
        match verdict {
            Verdict::Superseded { .. } | Verdict::Invalid { .. } | Verdict::Unreadable => {
                let reason = format!("{verdict:?}");
                let node = &cx.settings.node;
                let fields: [(&str, &dyn std::fmt::Display); 3] =
                    [("node", node), ("offset", &offset), ("reason", &reason)];
                emit(LogEvent::ConfigRejected, &fields);
            }
            // A change says what is in force as well as a refresh does.
            Verdict::Accepted | Verdict::Refreshed => self.refresher.seen(cx.now),
            Verdict::Duplicate | Verdict::Undecided => {}
        }
        self.pending.settle(cx, &self.fold);
    }

    /// Takes a configuration from a peer; whether it is in force now.
    pub(crate) fn on_peer_config(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        version: Offset,
        document: &Bytes,
    ) -> bool {
        let Ok(document) = hgw_config::parse(document) else { return false };
        if !self.fold.adopt(version, document) {
            return false;
        }
        self.known = true;
        self.behind = None;
        let node = &cx.settings.node;
        emit(LogEvent::ConfigFromPeer, &[("node", node), ("version", &version), ("peer", from)]);
        true
    }

    /// Sends the configuration to a peer that has an older one.
    pub(crate) fn send_newer(&self, cx: &mut Context<'_>, to: &NodeId, have: Offset) {
        let version = self.version();
        if version > have {
            cx.send(to, Message::Config { version, document: self.json() });
        }
    }

    fn json(&self) -> Bytes {
        // A document that was read from JSON has a JSON form.
        serde_json::to_vec(self.document()).expect("a document has a JSON form").into()
    }

    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        self.reader.read_on(cx);
        self.pending.expire(cx);
    }

    /// Says again what is in force when that is due, and catches up with members that are ahead.
    pub(crate) fn review(
        &mut self,
        cx: &mut Context<'_>,
        newest: Option<(NodeId, Offset)>,
        rank: u32,
    ) {
        if self.refresher.due(cx.now, rank)
            && let Some(data) = self.fold.refresh()
        {
            let id = cx.record();
            cx.act(Action::Append { stream: StreamName::config(), id, data });
        }
        self.catch_up(cx, newest);
    }

    /// Asks a member for its configuration when it has shown a newer one for a while.
    fn catch_up(&mut self, cx: &mut Context<'_>, newest: Option<(NodeId, Offset)>) {
        let Some((member, _)) = newest.filter(|(_, version)| *version > self.version()) else {
            self.behind = None;
            return;
        };
        let since = *self.behind.get_or_insert(cx.now);
        if cx.now.since(since) >= BEHIND_BOUND {
            self.behind = Some(cx.now);
            cx.send(&member, Message::AskConfig { have: self.version() });
        }
    }

    /// An operator publishes a configuration; the call is answered when its outcome is known.
    pub(crate) fn apply(
        &mut self,
        cx: &mut Context<'_>,
        call: CallId,
        id: Option<RecordId>,
        base: Offset,
        document: &Bytes,
    ) {
        let id = id.unwrap_or_else(|| cx.record());
        if let Some(outcome) = self.known_outcome(id) {
            answer(cx, call, id, outcome);
            return;
        }
        match self.check(base, document) {
            Ok(document) => self.publish(cx, call, Change { id, base, document }),
            Err(outcome) => answer(cx, call, id, outcome),
        }
    }

    /// Checks a change in full before it is published, so that the log holds no faulty ones.
    fn check(&self, base: Offset, document: &Bytes) -> Result<Document, ApplyOutcome> {
        let faulty = |faults: Vec<String>| ApplyOutcome::Invalid(faults);
        let document = hgw_config::parse(document).map_err(|e| faulty(vec![e.to_string()]))?;
        self.fold
            .check(&document)
            .map_err(|faults| faulty(faults.iter().map(ToString::to_string).collect()))?;
        if !self.known {
            return Err(ApplyOutcome::NotPublished);
        }
        if base != self.version() {
            return Err(ApplyOutcome::Superseded { current: self.version() });
        }
        Ok(document)
    }

    fn publish(&mut self, cx: &mut Context<'_>, call: CallId, change: Change) {
        let id = change.id;
        if self.pending.join(cx, id, call) {
            return;
        }
        let data = change.encode();
        cx.act(Action::Append { stream: StreamName::config(), id, data });
    }

    pub(crate) fn on_appended(
        &mut self,
        cx: &mut Context<'_>,
        id: RecordId,
        outcome: Result<Offset, PlatformError>,
    ) {
        match outcome {
            // Accepted or not is known when the record is read back; a lost answer changes nothing.
            Ok(_) | Err(PlatformError::Unknown) => {}
            Err(PlatformError::Refused | PlatformError::NotSent) => {
                self.pending.answer(cx, id, &ApplyOutcome::NotPublished);
            }
        }
    }

    fn known_outcome(&self, id: RecordId) -> Option<ApplyOutcome> {
        pending::outcome(&self.fold, id)
    }

    pub(crate) fn outcome(&self, id: RecordId) -> OperatorReply {
        let outcome = self.known_outcome(id).unwrap_or(ApplyOutcome::Unknown);
        OperatorReply::Apply { id, outcome }
    }

    pub(crate) fn reply(&self) -> OperatorReply {
        OperatorReply::Config { version: self.version(), document: self.json() }
    }
}

fn answer(cx: &mut Context<'_>, call: CallId, id: RecordId, outcome: ApplyOutcome) {
    cx.act(Action::Reply { call, reply: OperatorReply::Apply { id, outcome } });
}
