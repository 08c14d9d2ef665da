//! Software versions at which streams may begin: the leader keeps the record of them in the store, the other nodes
//! follow it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{
    AdmissionParams, AdmittedVersions, Cursor, Era, Millis, ServiceId, VersionAdmission,
};
use hgw_events::{Event, emit};
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::backoff::wait_to_retry;
use crate::follow::{wait_for_first_update, wait_to_be_told};
use crate::meter;
use crate::protocol::{DecodeError, StoreError, VersionsRecord};
use crate::shared::Node;

/// Interval at which the leader compares the record with the list of engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the leader reads the record: a write that got no response may be carried out late.
const LEADER_READ_INTERVAL: Millis = 30_000;

/// Interval at which a node without updates from a leader reads it.
const OWN_READ_INTERVAL: Millis = 5_000;

/// Time beyond a route's timeout in which a caller may still take up a stream.
const TAKE_UP_TIME: Duration = Duration::from_secs(5);

/// Time beyond the life of a stream for which a version that is not listed stays admitted, for nodes that have not
/// heard of its end.
const RETIRE_MARGIN: Duration = Duration::from_secs(20);

/// Time from the first event of a stream within which it may be taken up: both attempts may use the route's timeout.
pub(crate) fn stream_life(timeout: Duration) -> Duration {
    timeout * 2 + TAKE_UP_TIME
}

/// Content of the record.
#[derive(Debug, Serialize, Deserialize)]
struct RecordBody {
    /// Era of the store in which it was written.
    era: Era,
    versions: AdmittedVersions,
}

/// Reads of the record, which requests share.
#[derive(Debug, Default)]
pub(crate) struct VersionReads {
    lock: Mutex<()>,
    /// Number of reads that were started.
    started: Cell<u64>,
    /// Number of the last one that ended, and its result. A request that ends meanwhile leaves one without.
    result: RefCell<(u64, Option<ReadRecord>)>,
    read_at: Cell<Millis>,
}

#[derive(Debug, Clone)]
struct ReadRecord {
    end: Cursor,
    admitted: Rc<AdmittedVersions>,
}

/// Reads the record from the store, in a call that begins after this one; none if that fails.
pub(crate) async fn read_anew(node: &Node) -> Option<Rc<AdmittedVersions>> {
    read(node).await.map(|read| read.admitted)
}

async fn read(node: &Node) -> Option<ReadRecord> {
    let reads = &node.version_reads;
    let started_before = reads.started.get();
    let _turn = reads.lock.lock().await;
    if let (number, Some(read)) = &*reads.result.borrow()
        && *number > started_before
    {
        return Some(read.clone());
    }
    let number = reads.started.get() + 1;
    reads.started.set(number);
    reads.read_at.set(node.now());
    let read = match node.protocols.store.versions_record().await {
        Ok(record) => {
            meter::store_call("software versions", Ok(()));
            let read = decode(node, record);
            apply(node, AdmittedVersions::clone(&read.admitted));
            Some(read)
        }
        Err(error) => {
            log_failure(node, "read", &error);
            None
        }
    };
    *reads.result.borrow_mut() = (number, read.clone());
    read
}

/// Parses the record. One that cannot be read, as of another release, counts as none, which proves nothing.
fn decode(node: &Node, record: VersionsRecord) -> ReadRecord {
    let VersionsRecord { end, newest } = record;
    let position = newest.as_ref().map_or(Cursor::new(end.era, 0), |r| r.position.plus(1));
    let body = newest.map(|record| serde_json::from_slice::<RecordBody>(&record.data));
    let admitted = match body {
        Some(Ok(body)) => AdmittedVersions::from_record(body.versions, position, body.era),
        Some(Err(e)) => {
            let what = "software versions";
            let error = StoreError::Malformed(DecodeError { what, why: e.to_string() });
            log_failure(node, "read", &error);
            AdmittedVersions::none_at(position)
        }
        None => AdmittedVersions::none_at(position),
    };
    ReadRecord { end, admitted: Rc::new(admitted) }
}

/// Takes in the record, unless a newer one is known.
pub(crate) fn apply(node: &Node, admitted: AdmittedVersions) {
    if position(node).is_some_and(|known| admitted.position <= known) {
        return;
    }
    let name = &node.settings.borrow().node;
    for (service, count) in admitted.counts() {
        let known = node.admitted_versions.borrow();
        if known.as_ref().and_then(|known| known.service(service)) != admitted.service(service) {
            meter::admitted_versions(service, count);
            emit(
                Event::VersionsAdmitted,
                &[("node", name), ("service", service), ("versions", &count)],
            );
        }
    }
    // Nodes that poll this one get it with the next response; ending their polls for it would delay other updates.
    *node.admitted_versions.borrow_mut() = Some(Rc::new(admitted));
}

/// Position of the record that this node knows.
pub(crate) fn position(node: &Node) -> Option<Cursor> {
    node.admitted_versions.borrow().as_ref().map(|admitted| admitted.position)
}

/// The record, for a node that knows it up to `known`.
pub(crate) fn newer_than(node: &Node, known: Option<Cursor>) -> Option<AdmittedVersions> {
    let admitted = node.admitted_versions.borrow();
    let newer = admitted.as_ref().filter(|admitted| known.is_none_or(|at| admitted.position > at));
    newer.map(|admitted| AdmittedVersions::clone(admitted))
}

/// Follows the record, and keeps it if this node is the leader, until the process ends.
pub(crate) async fn follow(node: Node) {
    wait_for_first_update(&node).await;
    wait_to_be_told(&node, |node| position(node).is_some()).await;
    let mut writing: Option<RecordWriter> = None;
    loop {
        let is_leader = node.leadership.borrow().is_leader();
        if !is_leader {
            writing = None;
        }
        let is_done = match (is_leader, &mut writing) {
            (false, _) => !should_read(&node) || read(&node).await.is_some(),
            (true, Some(writer)) if !writer.is_outdated(&node) => writer.update(&node).await,
            (true, _) => {
                writing = RecordWriter::start(&node, writing).await;
                writing.is_some()
            }
        };
        if !is_done {
            writing = None;
            wait_to_retry(&node).await;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Whether this node has to read the record itself.
fn should_read(node: &Node) -> bool {
    if position(node).is_none() {
        return true;
    }
    let age = node.now().saturating_sub(node.version_reads.read_at.get());
    !node.has_recent_leader_updates() && age >= OWN_READ_INTERVAL
}

/// The leader's work on the record.
#[derive(Debug)]
struct RecordWriter {
    admission: VersionAdmission,
    /// End of the record's log.
    end: Cursor,
    read_at: Millis,
}

impl RecordWriter {
    async fn start(node: &Node, previous: Option<RecordWriter>) -> Option<RecordWriter> {
        let read_at = node.now();
        let end = read(node).await?.end;
        let admission = previous.map(|writer| writer.admission).unwrap_or_default();
        Some(RecordWriter { admission, end, read_at })
    }

    fn is_outdated(&self, node: &Node) -> bool {
        let age = node.now().saturating_sub(self.read_at);
        self.end.era != node.protocols.store.era() || age >= LEADER_READ_INTERVAL
    }

    /// Writes a record if it has to change. Returns whether that holds now.
    async fn update(&mut self, node: &Node) -> bool {
        let Some(next) = self.next_record(node) else { return true };
        let body = RecordBody { era: self.end.era, versions: next };
        let data = serde_json::to_vec(&body).expect("a record is valid JSON");
        match node.protocols.store.store_versions(self.end, data.into()).await {
            Ok(()) => {
                meter::store_call("software versions", Ok(()));
                self.end = self.end.plus(1);
                apply(node, body.versions.at(self.end));
                true
            }
            Err(error) => {
                log_failure(node, "written", &error);
                false
            }
        }
    }

    fn next_record(&mut self, node: &Node) -> Option<AdmittedVersions> {
        let state = node.state.borrow();
        let catalog = state.catalog.clone().filter(|_| state.has_engine_list)?;
        let routes = catalog.routes.iter().filter(|r| r.kind.is_stream() && r.kind.may_repeat());
        let routes: Vec<_> = routes.collect();
        let mut services: Vec<ServiceId> =
            routes.iter().flat_map(|r| r.targets.iter().map(|t| t.service.clone())).collect();
        services.sort_unstable();
        services.dedup();
        let timeout = routes.iter().map(|r| r.timeout).max().unwrap_or_default();
        let nothing_was_written = self.end == Cursor::new(Era::FIRST, 0);
        let params = AdmissionParams {
            services: &services,
            is_first_start: node.settings.borrow().is_first_start && nothing_was_written,
            stream_life: (stream_life(timeout) + RETIRE_MARGIN).as_millis() as Millis,
        };
        let current = node.admitted_versions.borrow().clone()?;
        self.admission.next_record(&current, &state.engines, &params, node.now())
    }
}

fn log_failure(node: &Node, done: &str, error: &StoreError) {
    meter::store_call("software versions", Err(error));
    let name = &node.settings.borrow().node;
    emit(Event::VersionsUnknown, &[("node", name), ("not", &done), ("why", error)]);
}
