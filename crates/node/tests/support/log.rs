use std::time::Duration;

use bytes::Bytes;
use hgw_node::{Event, PlatformError, ReadOutcome};
use hgw_types::{NodeId, Offset, RecordId, StreamName, Time};
use indexmap::IndexMap;

/// How long a read waits for the first record.
const WAIT: Duration = Duration::from_secs(1);

/// The platform's log.
#[derive(Default)]
pub(crate) struct Log {
    streams: IndexMap<StreamName, Vec<Bytes>>,
    waiting: Vec<Waiting>,
    /// Records of each stream that have expired.
    expired: IndexMap<StreamName, u64>,
    pub(crate) down: bool,
    /// Appends take effect, and their answers are lost.
    pub(crate) loses_answers: bool,
}

struct Waiting {
    node: NodeId,
    stream: StreamName,
    from: Offset,
    until: Time,
}

impl Log {
    pub(crate) fn read(
        &mut self,
        now: Time,
        node: &NodeId,
        stream: StreamName,
        from: Offset,
    ) -> Vec<(NodeId, Event)> {
        let waiting = Waiting { node: node.clone(), stream, from, until: now + WAIT };
        if self.down {
            return vec![waiting.answer(ReadOutcome::Failed)];
        }
        if let Some(outcome) = self.records(&waiting) {
            return vec![waiting.answer(outcome)];
        }
        self.waiting.push(waiting);
        Vec::new()
    }

    /// Lets a stream begin with this many records that have expired.
    #[allow(dead_code, reason = "the bench that shares this log lets nothing expire")]
    pub(crate) fn expire(&mut self, stream: &StreamName, records: u64) {
        self.streams.insert(stream.clone(), vec![Bytes::new(); records as usize]);
        self.expired.insert(stream.clone(), records);
    }

    /// Reads that have waited long enough.
    pub(crate) fn late(&mut self, now: Time) -> Vec<(NodeId, Event)> {
        let (late, waiting) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| w.until <= now);
        self.waiting = waiting;
        let late: Vec<Waiting> = late;
        late.into_iter()
            .map(|w| {
                let next = w.from;
                let outcome = if self.down {
                    ReadOutcome::Failed
                } else {
                    ReadOutcome::Records { records: Vec::new(), next }
                };
                w.answer(outcome)
            })
            .collect()
    }

    pub(crate) fn append(
        &mut self,
        node: &NodeId,
        stream: StreamName,
        id: RecordId,
        data: Bytes,
    ) -> Vec<(NodeId, Event)> {
        let appended =
            |outcome| (node.clone(), Event::Appended { stream: stream.clone(), id, outcome });
        if self.down {
            return vec![appended(Err(PlatformError::NotSent))];
        }
        let records = self.streams.entry(stream.clone()).or_default();
        records.push(data);
        let offset = Offset(records.len() as u64);
        let outcome = if self.loses_answers { Err(PlatformError::Unknown) } else { Ok(offset) };
        let mut events = vec![appended(outcome)];
        for waiting in std::mem::take(&mut self.waiting) {
            match self.records(&waiting) {
                Some(outcome) => events.push(waiting.answer(outcome)),
                None => self.waiting.push(waiting),
            }
        }
        events
    }

    fn records(&self, waiting: &Waiting) -> Option<ReadOutcome> {
        let records = self.streams.get(&waiting.stream)?;
        let expired = self.expired.get(&waiting.stream).copied().unwrap_or(0);
        if waiting.from.0 <= expired {
            return Some(ReadOutcome::Trimmed { first: Offset(expired + 1) });
        }
        let first = waiting.from.0.max(1);
        let numbered =
            records.iter().enumerate().map(|(i, data)| (Offset(i as u64 + 1), data.clone()));
        let found: Vec<_> = numbered.filter(|(offset, _)| offset.0 >= first).take(200).collect();
        let next = Offset(found.last()?.0.0 + 1);
        Some(ReadOutcome::Records { records: found, next })
    }
}

impl Waiting {
    fn answer(self, outcome: ReadOutcome) -> (NodeId, Event) {
        (self.node, Event::Read { stream: self.stream, from: self.from, outcome })
    }
}
