//! The platform's append-only log: streams, retention, a rate limit, outages, lost answers.

use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hgw_types::Offset;
use hgw_wire::platform::{Appended, Batch, Stored, Trimmed};
use http::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::faults::{Faults, Switches, lock};
use crate::server::{Body, Reply, Running, StandIn, failure, json, query, serve, with_status};

/// Settings of a stand-in log.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Records of a stream that are kept at most.
    pub keep_records: usize,
    /// Age up to which records are kept.
    pub keep_for: Duration,
    /// Appends a second over all streams; more are answered with 429.
    pub appends_per_second: f64,
    /// Time that an append takes.
    pub append_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            keep_records: usize::MAX,
            keep_for: Duration::from_secs(3600),
            appends_per_second: 300.0,
            append_time: Duration::from_millis(1),
        }
    }
}

/// Answer to `GET /record`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Records appended, by stream.
    pub appended: IndexMap<String, u64>,
    /// Appends refused for their rate.
    pub limited: u64,
    /// Reads answered.
    pub reads: u64,
}

/// Starts a stand-in log.
pub fn start(settings: Settings) -> io::Result<Running> {
    let switches = Arc::new(Switches::new());
    let listen = settings.listen;
    let log = Log::new(settings, Arc::clone(&switches));
    serve("log", listen, switches, Arc::new(log))
}

/// Longest wait of a read.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Records in one answer, where the reader names no number.
const MAX_RECORDS: usize = 1000;

pub(crate) struct Log {
    settings: Settings,
    switches: Arc<Switches>,
    inner: Mutex<Inner>,
    grown: Notify,
}

struct Inner {
    streams: IndexMap<String, Stream>,
    record: LogRecord,
    /// Appends that may be done now; refilled by time, at most a second's worth.
    allowance: f64,
    refilled: Instant,
}

/// One stream; the first record kept has offset `next - records.len()`.
#[derive(Debug)]
struct Stream {
    records: VecDeque<(Instant, Bytes)>,
    next: u64,
}

impl Stream {
    fn new() -> Self {
        Stream { records: VecDeque::new(), next: 1 }
    }

    fn first(&self) -> u64 {
        self.next - self.records.len() as u64
    }

    fn expire(&mut self, settings: &Settings) {
        while self.records.len() > settings.keep_records
            || self.records.front().is_some_and(|(at, _)| at.elapsed() > settings.keep_for)
        {
            self.records.pop_front();
        }
    }

    /// Records from `from` on, at most `max`.
    fn read(&self, from: u64, max: usize) -> Batch {
        let skip = usize::try_from(from - self.first()).unwrap_or(usize::MAX);
        let numbered = (from..).zip(self.records.iter().skip(skip)).take(max);
        let stored = |(offset, (_, data)): (u64, &(Instant, Bytes))| Stored {
            offset: Offset(offset),
            data: STANDARD.encode(data),
        };
        let records: Vec<Stored> = numbered.map(stored).collect();
        let next = Offset(from + records.len() as u64);
        Batch { records, next }
    }
}

impl Log {
    pub(crate) fn new(settings: Settings, switches: Arc<Switches>) -> Self {
        let inner = Inner {
            streams: IndexMap::new(),
            record: LogRecord::default(),
            allowance: settings.appends_per_second,
            refilled: Instant::now(),
        };
        Log { settings, switches, inner: Mutex::new(inner), grown: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    async fn append(&self, stream: &str, data: Bytes) -> Response<Body> {
        if !self.lock().may_append(self.settings.appends_per_second) {
            return failure(StatusCode::TOO_MANY_REQUESTS, "too many appends a second");
        }
        let time = self.switches.slowed(self.settings.append_time);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        let mut inner = self.lock();
        *inner.record.appended.entry(stream.to_owned()).or_default() += 1;
        let stream = inner.streams.entry(stream.to_owned()).or_insert_with(Stream::new);
        let offset = Offset(stream.next);
        stream.records.push_back((Instant::now(), data));
        stream.next += 1;
        drop(inner);
        self.grown.notify_waiters();
        json(&Appended { offset })
    }

    /// Answers when there is a record, the wait is over, or the start is gone.
    async fn read(&self, stream: &str, from: u64, max: usize, wait: Duration) -> Response<Body> {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let grown = self.grown.notified();
            tokio::pin!(grown);
            grown.as_mut().enable();
            let answer = self.read_now(stream, from, max);
            match answer {
                Ok(batch) if batch.records.is_empty() => {
                    if tokio::time::timeout_at(until, grown).await.is_err() {
                        return json(&batch);
                    }
                }
                Ok(batch) => return json(&batch),
                Err(trimmed) => return with_status(StatusCode::GONE, &trimmed),
            }
        }
    }

    fn read_now(&self, name: &str, from: u64, max: usize) -> Result<Batch, Trimmed> {
        let mut inner = self.lock();
        inner.record.reads += 1;
        let Some(stream) = inner.streams.get_mut(name) else {
            return Ok(Batch { records: Vec::new(), next: Offset(from) });
        };
        stream.expire(&self.settings);
        if from < stream.first() {
            return Err(Trimmed { first: Offset(stream.first()) });
        }
        Ok(stream.read(from, max))
    }
}

impl Inner {
    fn may_append(&mut self, rate: f64) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.refilled).as_secs_f64() * rate;
        self.allowance = (self.allowance + earned).min(rate);
        self.refilled = now;
        if self.allowance < 1.0 {
            self.record.limited += 1;
            return false;
        }
        self.allowance -= 1.0;
        true
    }
}

impl StandIn for Log {
    async fn answer(self: Arc<Self>, req: Request<Bytes>) -> Reply {
        let path = req.uri().path().to_owned();
        let stream = path.strip_prefix("/streams/").and_then(|rest| rest.strip_suffix("/records"));
        let answer = match (req.method(), stream) {
            (&Method::POST, Some(stream)) => self.append(stream, req.into_body()).await,
            (&Method::GET, Some(stream)) => {
                let from = query(req.uri(), "from").unwrap_or(1).max(1);
                let max = query(req.uri(), "max").unwrap_or(MAX_RECORDS).clamp(1, MAX_RECORDS);
                let wait = Duration::from_millis(query(req.uri(), "wait_ms").unwrap_or(0));
                self.read(stream, from, max, wait.min(MAX_WAIT)).await
            }
            _ => failure(StatusCode::NOT_FOUND, "no such call"),
        };
        Ok(answer)
    }

    fn record(&self) -> serde_json::Value {
        serde_json::json!(self.lock().record)
    }

    fn switched(&self, faults: &Faults) {
        if faults.expire {
            for stream in self.lock().streams.values_mut() {
                stream.records.clear();
            }
        }
    }
}
