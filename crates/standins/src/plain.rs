//! A plain service: answers any path and counts how often each call ran.
//!
//! `/load`, `/faults` and `/record` are its own. Its answer is a [`PlainAnswer`].

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hgw_types::{AttemptId, Generation};
use hgw_wire::upstream::{ATTEMPT_HEADER, LoadReport};
use http::{HeaderValue, Method, Request};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::engine::other;
use crate::faults::{Faults, Switches, lock};
use crate::server::{Reply, Running, StandIn, json, serve};

/// Header by which a caller may name a call, besides its method, path and body.
pub const CALL_HEADER: &str = "x-call";

/// Settings of a stand-in plain service.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Time from the moment at which a call has taken effect to its answer.
    pub delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), delay: Duration::ZERO }
    }
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// Method of the call.
    pub method: String,
    /// Its path and query.
    pub path: String,
    /// Its body, as text.
    pub body: String,
    /// How often this call has run, this time included.
    pub run: u32,
}

/// Answer to `GET /record`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainRecord {
    /// Runs by `METHOD PATH BODY`.
    pub calls: IndexMap<String, u32>,
    /// Runs by the [`CALL_HEADER`].
    pub named: IndexMap<String, u32>,
    /// Runs by attempt id.
    pub attempts: IndexMap<String, u32>,
    /// All runs.
    pub runs: u64,
    /// Calls that came while the service said that it was leaving.
    pub after_leaving: u64,
    /// Time after it first said so at which the last of them came, in milliseconds.
    pub last_after_leaving_ms: u64,
}

/// Calls that are remembered at most; under load the rest is only counted.
const MAX_REMEMBERED: usize = 100_000;

/// Starts a stand-in plain service.
pub fn start(settings: Settings) -> io::Result<Running> {
    let switches = Arc::new(Switches::new());
    let listen = settings.listen;
    let inner = Inner { record: PlainRecord::default(), generation: 1, active: 0, left_at: None };
    let plain = Plain { settings, switches: Arc::clone(&switches), inner: Mutex::new(inner) };
    serve("plain", listen, switches, Arc::new(plain))
}

struct Plain {
    settings: Settings,
    switches: Arc<Switches>,
    inner: Mutex<Inner>,
}

struct Inner {
    record: PlainRecord,
    generation: u64,
    active: u32,
    left_at: Option<Instant>,
}

impl Plain {
    fn load(&self) -> LoadReport {
        let inner = lock(&self.inner);
        LoadReport {
            generation: Generation(inner.generation),
            active: inner.active,
            leaving: self.switches.leaving(),
            ..LoadReport::default()
        }
    }

    async fn run(&self, req: &Request<Bytes>) -> Reply {
        let answer = lock(&self.inner).take_in(req);
        tokio::time::sleep(self.switches.slowed(self.settings.delay)).await;
        lock(&self.inner).active -= 1;
        let mut answer = json(&answer);
        if let Some(attempt) = req.headers().get(ATTEMPT_HEADER) {
            answer.headers_mut().insert(ATTEMPT_HEADER, self.signature(attempt));
        }
        Ok(answer)
    }

    /// The attempt id that the answer carries.
    fn signature(&self, attempt: &HeaderValue) -> HeaderValue {
        let parsed = attempt.to_str().ok().and_then(|text| text.parse::<AttemptId>().ok());
        match parsed {
            Some(id) if self.switches.crossed() => {
                HeaderValue::try_from(other(id).to_string()).unwrap_or_else(|_| attempt.clone())
            }
            _ => attempt.clone(),
        }
    }
}

impl Inner {
    /// The effect of a call: it is counted.
    fn take_in(&mut self, req: &Request<Bytes>) -> PlainAnswer {
        self.active += 1;
        self.record.runs += 1;
        if let Some(since) = self.left_at {
            self.record.after_leaving += 1;
            self.record.last_after_leaving_ms =
                u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
        }
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let body = String::from_utf8_lossy(req.body()).into_owned();
        let method = req.method().to_string();
        let header = |name| req.headers().get(name).and_then(|value| value.to_str().ok());
        if let Some(name) = header(CALL_HEADER) {
            count(&mut self.record.named, name.to_owned());
        }
        if let Some(attempt) = header(ATTEMPT_HEADER) {
            count(&mut self.record.attempts, attempt.to_owned());
        }
        let run = count(&mut self.record.calls, format!("{method} {path} {body}"));
        PlainAnswer { method, path, body, run }
    }
}

/// Counts one more of `name`.
fn count(counts: &mut IndexMap<String, u32>, name: String) -> u32 {
    if counts.len() >= MAX_REMEMBERED && !counts.contains_key(&name) {
        return 1;
    }
    let runs = counts.entry(name).or_default();
    *runs += 1;
    *runs
}

impl StandIn for Plain {
    async fn answer(self: Arc<Self>, req: Request<Bytes>) -> Reply {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/load") => Ok(json(&self.load())),
            _ => self.run(&req).await,
        }
    }

    fn record(&self) -> serde_json::Value {
        serde_json::json!(lock(&self.inner).record)
    }

    fn switched(&self, faults: &Faults) {
        let mut inner = lock(&self.inner);
        if !faults.leaving {
            inner.left_at = None;
        } else if inner.left_at.is_none() {
            inner.left_at = Some(Instant::now());
        }
        if faults.restart {
            inner.generation += 1;
        }
    }
}
