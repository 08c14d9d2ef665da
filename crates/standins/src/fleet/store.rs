//! The platform's store: logs with offsets, conditional appends, and topics that keep the newest of each key.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Bound;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use indexmap::IndexMap;
use percent_encoding::percent_decode_str;
use serde_json::json;
use tokio::sync::Notify;

use crate::faults::{Faults, Switches, lock};
use crate::server::{Body, Reply, Running, StandIn, failure, json, query, serve, with_status};

/// Longest wait of a read.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Records in one page of newest records, unless another number is set.
const PAGE: usize = 500;

/// What names a topic that keeps the newest record of each key.
const KEYED: &str = "keyed.";

/// A store at work, and the hand of those who write to it beside the system: operators and engines.
#[derive(Debug)]
pub struct Store {
    running: Running,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    topics: Mutex<IndexMap<String, Topic>>,
    grown: Notify,
    calls: Mutex<IndexMap<String, u64>>,
    /// Records that were given of each topic.
    given: Mutex<IndexMap<String, u64>>,
    /// Which life of it this is, where it tells.
    era: Mutex<Option<String>>,
    /// Records in one page of newest records.
    page: AtomicUsize,
    /// Whether it refuses each call for another page than the first.
    refuses_next_pages: AtomicBool,
    switches: Arc<Switches>,
}

/// What a store had at a time.
#[derive(Debug, Clone)]
pub struct Backup(IndexMap<String, Topic>);

#[derive(Debug, Clone, Default)]
struct Topic {
    /// Records that are kept; the first has the offset `first`.
    records: Vec<Bytes>,
    first: u64,
    /// The newest record of each key: its value and offset. Pages of them go by the bytes of their keys.
    newest: BTreeMap<Vec<u8>, (Bytes, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

impl Store {
    /// Starts a store.
    pub fn start() -> io::Result<Store> {
        let switches = Arc::new(Switches::new());
        let shared = Arc::new(Shared {
            topics: Mutex::default(),
            grown: Notify::new(),
            calls: Mutex::default(),
            given: Mutex::default(),
            era: Mutex::default(),
            page: AtomicUsize::new(PAGE),
            refuses_next_pages: AtomicBool::new(false),
            switches: Arc::clone(&switches),
        });
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let running = serve("store", listen, switches, Arc::clone(&shared))?;
        Ok(Store { running, shared })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.running.addr()
    }

    /// Writes a key, as an operator or an engine does; an empty value drops it.
    pub fn put(&self, topic: &str, key: impl AsRef<[u8]>, value: &[u8]) {
        let key = key.as_ref();
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key);
        record.put_slice(value);
        self.shared.append(topic, vec![record.freeze()]);
    }

    /// Forgets all records but the newest of each key.
    pub fn compact(&self, topic: &str) {
        if let Some(topic) = self.shared.topics().get_mut(topic) {
            topic.first = topic.end();
            topic.records.clear();
        }
    }

    /// What it has now.
    pub fn backup(&self) -> Backup {
        Backup(self.shared.topics().clone())
    }

    /// Goes on from what it had then: what was written since is lost, and its offsets are given out again. It tells its
    /// era from now on, one higher each time.
    pub fn come_back(&self, backup: &Backup) {
        let mut era = lock(&self.shared.era);
        let next = era.as_ref().and_then(|era| era.parse().ok()).unwrap_or(0) + 1;
        *era = Some(u32::to_string(&next));
        *self.shared.topics() = backup.0.clone();
        drop(era);
        self.shared.grown.notify_waiters();
    }

    /// Tells this for its era from now on.
    pub fn tell_era(&self, era: &str) {
        *lock(&self.shared.era) = Some(era.to_owned());
    }

    /// Records of a topic that are kept.
    pub fn records(&self, topic: &str) -> Vec<Bytes> {
        self.shared.topics().get(topic).map(|t| t.records.clone()).unwrap_or_default()
    }

    /// Calls so far, by name.
    pub fn calls(&self) -> IndexMap<String, u64> {
        lock(&self.shared.calls).clone()
    }

    /// Records of a topic that were given to whoever read it.
    pub fn given(&self, topic: &str) -> u64 {
        lock(&self.shared.given).get(topic).copied().unwrap_or(0)
    }

    /// Gives so many records in one page from now on.
    pub fn give_pages_of(&self, records: usize) {
        self.shared.page.store(records, Ordering::Relaxed);
    }

    /// Refuses each call for another page than the first from now on.
    pub fn refuse_next_pages(&self) {
        self.shared.refuses_next_pages.store(true, Ordering::Relaxed);
    }

    /// Shows faults from now on.
    pub fn fault(&self, faults: &Faults) {
        self.shared.switches.set(faults);
    }
}

impl Shared {
    fn topics(&self) -> MutexGuard<'_, IndexMap<String, Topic>> {
        lock(&self.topics)
    }

    fn append(&self, name: &str, records: Vec<Bytes>) -> (u64, u64) {
        let mut topics = self.topics();
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.end();
        for (record, offset) in records.into_iter().zip(offset..) {
            if name.starts_with(KEYED)
                && let Some((key, value)) = keyed(&record)
            {
                if value.is_empty() {
                    topic.newest.remove(&key);
                } else {
                    topic.newest.insert(key, (value, offset));
                }
            }
            topic.records.push(record);
        }
        let end = topic.end();
        drop(topics);
        self.grown.notify_waiters();
        (offset, end)
    }

    fn append_call(&self, req: &Request<Bytes>) -> Response<Body> {
        let Some(topic) = partition(req) else {
            return failure(StatusCode::BAD_REQUEST, "no topic");
        };
        if topic == "keyed.op" || topic == "keyed.servers" {
            return failure(StatusCode::FORBIDDEN, "not the system's");
        }
        let Some(records) = split(req.body().clone()) else {
            return failure(StatusCode::BAD_REQUEST, "records are cut short");
        };
        let end = self.topics().get(&topic).map_or(0, Topic::end);
        if query::<u64>(req.uri(), "at").is_some_and(|at| at != end) {
            return with_status(StatusCode::PRECONDITION_FAILED, &json!({ "end": end }));
        }
        let (offset, end) = self.append(&topic, records);
        json(&json!({ "offset": offset, "end": end }))
    }

    async fn read_call(&self, req: &Request<Bytes>) -> Response<Body> {
        let topic = partition(req).unwrap_or_default();
        let from = query::<u64>(req.uri(), "from").unwrap_or(0);
        let wait = Duration::from_millis(query(req.uri(), "waitMs").unwrap_or(0)).min(MAX_WAIT);
        let until = tokio::time::Instant::now() + wait;
        loop {
            let grown = self.grown.notified();
            tokio::pin!(grown);
            grown.as_mut().enable();
            match self.read_now(&topic, from) {
                Ok((records, body)) => {
                    *lock(&self.given).entry(topic.clone()).or_default() += records as u64;
                    if records > 0 || tokio::time::timeout_at(until, grown).await.is_err() {
                        return raw(body);
                    }
                }
                Err(first) => {
                    return with_status(StatusCode::GONE, &json!({ "first": first }));
                }
            }
        }
    }

    /// The end, the first record that is kept, and records from `from` on.
    fn read_now(&self, topic: &str, from: u64) -> Result<(usize, Bytes), u64> {
        let topics = self.topics();
        let empty = Topic::default();
        let topic = topics.get(topic).unwrap_or(&empty);
        if from < topic.first || from > topic.end() {
            return Err(topic.first);
        }
        let mut body = BytesMut::new();
        body.put_u64(topic.end());
        body.put_u64(topic.first);
        let skip = usize::try_from(from - topic.first).unwrap_or(usize::MAX);
        let records: Vec<&Bytes> = topic.records.iter().skip(skip).collect();
        for record in &records {
            body.put_u32(record.len() as u32);
            body.put_slice(record);
        }
        Ok((records.len(), body.freeze()))
    }

    fn newest_call(&self, req: &Request<Bytes>) -> Response<Body> {
        let name = partition(req).unwrap_or_default();
        let Ok(after) = decoded_query(req.uri(), "after") else {
            return failure(StatusCode::BAD_REQUEST, "a malformed escape");
        };
        if after.is_some() && self.refuses_next_pages.load(Ordering::Relaxed) {
            return failure(StatusCode::BAD_REQUEST, "no more pages");
        }
        let topics = self.topics();
        let empty = Topic::default();
        let topic = topics.get(&name).unwrap_or(&empty);
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = topic.newest.range((start, Bound::Unbounded));
        let items: Vec<_> = rest
            .by_ref()
            .take(self.page.load(Ordering::Relaxed))
            .map(|(key, (value, offset))| {
                // What JSON cannot hold of a key is replaced.
                let key = String::from_utf8_lossy(key);
                json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
            })
            .collect();
        let more = rest.next().is_some();
        *lock(&self.given).entry(name).or_default() += items.len() as u64;
        json(&json!({ "items": items, "hasMore": more, "end": topic.end() }))
    }
}

impl StandIn for Shared {
    async fn answer(self: Arc<Self>, req: Request<Bytes>) -> Reply {
        let path = req.uri().path().to_owned();
        *lock(&self.calls).entry(path.clone()).or_default() += 1;
        let mut answer = match (req.method(), path.as_str()) {
            (&Method::POST, "/api/log-append") => self.append_call(&req),
            (&Method::GET, "/api/log-read") => self.read_call(&req).await,
            (&Method::GET, "/api/log-newest") => self.newest_call(&req),
            _ => failure(StatusCode::NOT_FOUND, "no such call"),
        };
        if let Some(era) = lock(&self.era).as_ref() {
            let era = HeaderValue::from_str(era).expect("tests tell eras that a field can hold");
            answer.headers_mut().insert("store-era", era);
        }
        Ok(answer)
    }

    fn record(&self) -> serde_json::Value {
        json!(*lock(&self.calls))
    }
}

/// The topic of a call, with the number of the partition unless it is the first.
fn partition(req: &Request<Bytes>) -> Option<String> {
    let topic = query::<String>(req.uri(), "topic")?;
    match query::<u32>(req.uri(), "part").unwrap_or(0) {
        0 => Some(topic),
        part => Some(format!("{topic}/{part}")),
    }
}

fn raw(body: Bytes) -> Response<Body> {
    let mut answer = Response::new(Full::from(body).map_err(|e| match e {}).boxed_unsync());
    let kind = HeaderValue::from_static("application/octet-stream");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

fn split(mut data: Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while !data.is_empty() {
        if data.len() < 4 {
            return None;
        }
        let length = data.get_u32() as usize;
        if data.len() < length {
            return None;
        }
        records.push(data.split_to(length));
    }
    Some(records)
}

fn keyed(record: &Bytes) -> Option<(Vec<u8>, Bytes)> {
    let mut record = record.clone();
    let length = usize::from(*record.first()?);
    record.advance(1);
    if record.len() < length {
        return None;
    }
    let key = record.split_to(length);
    Some((key.to_vec(), record))
}

/// An escape that is none.
#[derive(Debug, Clone, Copy)]
struct MalformedEscape;

/// The value of `name` in the query, decoded as servers do: escapes of bytes, and `+` for a blank.
fn decoded_query(uri: &Uri, name: &str) -> Result<Option<Vec<u8>>, MalformedEscape> {
    let mut pairs = uri.query().unwrap_or_default().split('&').filter_map(|p| p.split_once('='));
    let Some((_, value)) = pairs.find(|(key, _)| *key == name) else { return Ok(None) };
    let is_escape = |rest: &str| {
        let digits = rest.as_bytes().get(..2);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    };
    if !value.split('%').skip(1).all(is_escape) {
        return Err(MalformedEscape);
    }
    let value = value.replace('+', " ");
    Ok(Some(percent_decode_str(&value).collect()))
}
