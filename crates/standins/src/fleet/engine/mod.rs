//! An engine of the platform: requests with an id and a seal, event streams, models and adapters by order.
//!
//! A request that names no model is a plain call. Its answer is its id and how often it has run here.

mod orders;
mod settings;
mod streams;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::mpsc::channel;

use super::endless::{EndlessRecord, Sender};
use super::fixed;
use super::proxy::Proxy;
use crate::client::Caller;
use crate::faults::{Faults, Switches, lock};
use crate::server::{Body, Reply, Running, StandIn, bounded_stream, failure, json, serve};

pub use settings::{EngineMemory, EngineSettings};
use streams::UNWRITTEN_PIECES;

/// Models, each with its adapters.
pub type Holds = IndexMap<String, Vec<String>>;

/// What an engine has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// How often each request ran, by its id.
    pub runs: IndexMap<String, u32>,
    /// Most prompts that it was reading at a time.
    pub most_reading: u32,
    /// Most requests that ran or waited here at a time.
    pub most_active: u32,
    /// Requests that were meant for another engine, or for a model that is not here.
    pub misdirected: u32,
    /// Orders that were accepted, as `HOLDER FENCE OP MODEL/ADAPTER`.
    pub orders: Vec<String>,
    /// Orders for more than there is room for.
    pub too_much: u32,
    /// Orders with a fencing number below an earlier one.
    pub old_fences: u32,
    /// Customers that it was told of, by request; every value of the field, in order.
    pub customers: IndexMap<String, Vec<String>>,
    /// Requests that came with a key of their caller's.
    pub keys: u32,
    /// Streams that were cut off as nobody read them.
    #[serde(default)]
    pub cut_unread: u32,
    /// Streams that were written to their end.
    #[serde(default)]
    pub complete: u32,
}

/// An engine at work.
#[derive(Debug)]
pub struct Engine {
    running: Running,
    sender: Option<Sender>,
    /// Sends fixed responses in place of its own.
    proxy: Option<Proxy>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    switches: Arc<Switches>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    holds: Holds,
    busy: bool,
    seq: u64,
    fence: u64,
    /// When it was started, in Unix milliseconds.
    born: u64,
    /// Version of its software.
    software: serde_json::Value,
    reading: Duration,
    reading_now: u32,
    running: u32,
    refuse: u32,
    fail: u32,
    /// The text of its rate limit, if it names one.
    limit: Option<String>,
    /// The text of how many requests it may have to reject in a second, if it names that.
    brittle: Option<String>,
    /// The text by which it says in its answers that it leaves, if it does.
    leaving: Option<String>,
    /// The text of the rest that it names as it turns all requests away, if it does.
    rest: Option<String>,
    /// Requests that it runs or lets wait.
    active: u32,
    /// When it rejected requests for want of room.
    rejections: Vec<Instant>,
    /// When requests arrived.
    arrivals: Vec<Instant>,
    /// When it turned requests away as it rests, by request id.
    turned_away: Vec<(Instant, String)>,
    /// Whether it has crashed since its last start.
    has_crashed: bool,
    record: FleetRecord,
}

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// When the first start of each engine was.
const FIRST_BORN: u64 = 1_790_000_000_000;

/// Starts an engine.
pub fn start(settings: EngineSettings) -> io::Result<Engine> {
    let switches = Arc::new(Switches::new());
    let inner = Inner {
        holds: settings.holds.clone(),
        born: FIRST_BORN,
        software: settings.software.clone(),
        reading: settings.reading,
        ..Inner::default()
    };
    let shared =
        Arc::new(Shared { settings, switches: Arc::clone(&switches), inner: Mutex::new(inner) });
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let running = serve("fleet-engine", listen, switches, Arc::clone(&shared))?;
    let endless = shared.settings.endless;
    let sender = endless.map(|endless| Sender::start(running.addr(), endless)).transpose()?;
    let fixed = Some(&shared.settings.fixed).filter(|fixed| !fixed.is_empty());
    let proxy = fixed.map(|fixed| fixed::start(running.addr(), fixed)).transpose()?;
    Ok(Engine { running, sender, proxy, shared })
}

impl Engine {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        let sender = self.sender.as_ref().map(Sender::addr);
        sender.or(self.proxy.as_ref().map(Proxy::addr)).unwrap_or(self.running.addr())
    }

    /// What became of what it sent without end.
    pub fn endless(&self) -> EndlessRecord {
        self.sender.as_ref().map(Sender::record).unwrap_or_default()
    }

    /// The server, without what this process knows of it.
    pub(crate) fn into_running(self) -> Running {
        self.running
    }

    /// Its identity.
    pub fn id(&self) -> &str {
        &self.shared.settings.id
    }

    /// Its entry in the list of engines, in a state.
    pub fn entry(&self, state: &str) -> serde_json::Value {
        let Shared { settings, .. } = &*self.shared;
        let models: Vec<_> = self.shared.models();
        json!({
            "service": settings.service,
            "addr": self.addr().to_string(),
            "zone": settings.zone,
            "version": self.shared.lock().software,
            "slots": settings.slots,
            "state": state,
            "coldLeftMs": 0,
            "models": models,
            "seq": 1,
            "born": self.shared.lock().born,
        })
    }

    /// What it has seen.
    pub fn record(&self) -> FleetRecord {
        self.shared.lock().record.clone()
    }

    /// What it holds.
    pub fn holds(&self) -> Holds {
        self.shared.lock().holds.clone()
    }

    /// Shows faults from now on.
    pub fn fault(&self, faults: &Faults) {
        let caller = Caller::new(self.addr()).expect("a client needs no network yet");
        caller.faults(faults).expect("the engine takes faults");
    }

    /// Starts anew under its identity: it holds nothing, has accepted no order and seen no fencing number.
    pub fn start_anew(&self) {
        let mut inner = self.shared.lock();
        inner.holds.clear();
        (inner.busy, inner.seq, inner.fence) = (false, 0, 0);
        (inner.limit, inner.leaving, inner.rest) = (None, None, None);
        inner.has_crashed = false;
        inner.born += 1;
    }

    /// The same with other software.
    pub fn start_anew_with(&self, software: &str) {
        self.start_anew();
        self.shared.lock().software = software.into();
    }

    /// Whether it has crashed since its last start. It writes nothing more; its connections are to be cut.
    pub fn has_crashed(&self) -> bool {
        self.shared.lock().has_crashed
    }

    /// Reads each prompt for so long from now on.
    pub fn read_for(&self, reading: Duration) {
        self.shared.lock().reading = reading;
    }

    /// Holds these models without an order, as an engine that was given them at its start.
    pub fn hold(&self, holds: Holds) {
        self.shared.lock().holds = holds;
    }

    /// Rejects so many requests as full, without running them.
    pub fn refuse(&self, requests: u32) {
        self.shared.lock().refuse = requests;
    }

    /// Names this rate limit in all its answers from now on, or none. Several values, each in a header of
    /// its own, are divided by `|`.
    pub fn limit(&self, text: Option<&str>) {
        self.shared.lock().limit = text.map(str::to_owned);
    }

    /// Names in all its answers from now on how many requests it may have to reject in a second, or nothing.
    pub fn brittle(&self, text: Option<&str>) {
        self.shared.lock().brittle = text.map(str::to_owned);
    }

    /// Says by this text in all its answers from now on that it leaves, or nothing of it. Several values, each in a header of
    /// its own, are divided by `|`.
    pub fn leave(&self, text: Option<&str>) {
        self.shared.lock().leaving = text.map(str::to_owned);
    }

    /// Turns all requests away from now on and names this rest, or takes them again.
    pub fn rest(&self, text: Option<&str>) {
        self.shared.lock().rest = text.map(str::to_owned);
    }

    /// When it turned requests away as it rests, with their ids.
    pub fn turned_away(&self) -> Vec<(Instant, String)> {
        self.shared.lock().turned_away.clone()
    }

    /// When it rejected requests for want of room.
    pub fn rejections(&self) -> Vec<Instant> {
        self.shared.lock().rejections.clone()
    }

    /// When requests arrived, whatever became of them.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.shared.lock().arrivals.clone()
    }

    /// Whether it neither runs a request nor lets one wait.
    pub fn is_idle(&self) -> bool {
        self.shared.lock().active == 0
    }

    /// Runs so many requests and answers them with a failure of its own.
    pub fn fail(&self, requests: u32) {
        self.shared.lock().fail = requests;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    fn models(&self) -> Vec<serde_json::Value> {
        let inner = self.lock();
        let one = |(name, adapters): (&String, &Vec<String>)| json!({ "name": name, "version": 1, "adapters": adapters });
        inner.holds.iter().map(one).collect()
    }

    fn misdirected(&self) -> Response<Body> {
        self.lock().record.misdirected += 1;
        let mut answer = not_run(failure(StatusCode::MISDIRECTED_REQUEST, "not here"));
        let id = HeaderValue::from_str(&self.settings.id).unwrap_or(HeaderValue::from_static("?"));
        answer.headers_mut().insert("x-instance", id);
        answer
    }

    async fn request(self: &Arc<Self>, req: Request<Bytes>) -> Response<Body> {
        let text = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
        let Some(id) = text("x-request-id").map(str::to_owned) else {
            return not_run(failure(StatusCode::BAD_REQUEST, "no id"));
        };
        if text("x-expect-instance").is_some_and(|meant| meant != self.settings.id) {
            return self.misdirected();
        }
        let model = text("x-model");
        if model.is_some_and(|m| !self.holds(m)) {
            return self.misdirected();
        }
        self.note_sender(&id, req.headers());
        if let Some(rest) = self.turn_away(&id) {
            return self.echo(&id, rest);
        }
        let Some(active) = Active::begin(self) else {
            return not_run(failure(StatusCode::SERVICE_UNAVAILABLE, "full"));
        };
        let Some((run, fails)) = self.begin(&id) else {
            return not_run(failure(StatusCode::SERVICE_UNAVAILABLE, "full"));
        };
        let echoed = if self.switches.crossed() { "another".to_owned() } else { id.clone() };
        if fails {
            return self.sealed(failure(StatusCode::INTERNAL_SERVER_ERROR, "failed"), &echoed);
        }
        if model.is_none() {
            tokio::time::sleep(self.settings.pause).await;
            return self.sealed(json(&json!({ "id": id, "run": run })), &echoed);
        }
        let reading = self.begin_reading();
        tokio::time::sleep(reading).await;
        self.lock().reading_now -= 1;
        let from = text("last-event-id").and_then(|l| l.parse().ok()).unwrap_or(0);
        let (tx, rx) = channel(UNWRITTEN_PIECES);
        if self.crashes_on(text("x-prompt-prefix").unwrap_or_default()) {
            self.lock().has_crashed = true;
            // The connection stays silent until it is cut.
            tokio::spawn(async move { tx.closed().await });
        } else {
            tokio::spawn(Arc::clone(self).events(tx, from, active));
        }
        let mut answer = self.sealed(bounded_stream(rx), &echoed);
        if self.settings.unframed {
            // A body whose end is that of its connection.
            *answer.version_mut() = http::Version::HTTP_10;
        }
        answer
    }

    /// Whether a part of the prompt, but for the last, makes it crash.
    fn crashes_on(&self, prefix: &str) -> bool {
        let Some(crash_part) = &self.settings.crash_part else { return false };
        let ids = prefix.split(',').filter_map(|part| part.split_once(':')).map(|(id, _)| id);
        let ids: Vec<&str> = ids.collect();
        ids.split_last().is_some_and(|(_, shared)| shared.contains(&crash_part.as_str()))
    }

    /// The rejection of a request while it rests.
    fn turn_away(&self, id: &str) -> Option<Response<Body>> {
        let mut inner = self.lock();
        let rest = inner.rest.clone()?;
        inner.turned_away.push((Instant::now(), id.to_owned()));
        let mut answer = not_run(failure(StatusCode::SERVICE_UNAVAILABLE, "shed"));
        for value in rest.split('|') {
            let value =
                HeaderValue::from_str(value).expect("tests name rests that a field can hold");
            answer.headers_mut().append("retry-after", value);
        }
        Some(answer)
    }

    /// Names the request in an answer without a seal.
    fn echo(&self, id: &str, mut answer: Response<Body>) -> Response<Body> {
        let id = HeaderValue::from_str(id).unwrap_or(HeaderValue::from_static("?"));
        answer.headers_mut().insert("x-request-id", id);
        answer
    }

    fn name_limits(&self, answer: &mut Response<Body>) {
        let (limit, brittle, leaving) = {
            let inner = self.lock();
            (inner.limit.clone(), inner.brittle.clone(), inner.leaving.clone())
        };
        let all =
            [("server-limit", limit), ("server-brittle", brittle), ("server-leaving", leaving)];
        for (name, text) in all {
            for value in text.iter().flat_map(|text| text.split('|')) {
                if let Ok(value) = HeaderValue::from_str(value) {
                    answer.headers_mut().append(name, value);
                }
            }
        }
    }

    /// Notes who sends a request, as it was told.
    fn note_sender(&self, id: &str, headers: &HeaderMap) {
        let mut inner = self.lock();
        inner.record.keys += u32::from(headers.contains_key(http::header::AUTHORIZATION));
        let told = headers.get_all("x-tenant").iter();
        let told: Vec<String> = told.filter_map(|v| v.to_str().ok().map(str::to_owned)).collect();
        if !told.is_empty() {
            inner.record.customers.insert(id.to_owned(), told);
        }
    }

    /// Counts a prompt that is being read, and tells for how long.
    fn begin_reading(&self) -> Duration {
        let mut inner = self.lock();
        inner.reading_now += 1;
        inner.record.most_reading = inner.record.most_reading.max(inner.reading_now);
        inner.reading
    }

    /// Counts a run, and tells whether it fails; nothing where it is rejected.
    fn begin(&self, id: &str) -> Option<(u32, bool)> {
        let mut inner = self.lock();
        if take(&mut inner.refuse) {
            return None;
        }
        let run = inner.record.runs.entry(id.to_owned()).or_default();
        *run += 1;
        let run = *run;
        Some((run, take(&mut inner.fail)))
    }

    fn holds(&self, wanted: &str) -> bool {
        let inner = self.lock();
        match wanted.split_once('/') {
            None => inner.holds.contains_key(wanted),
            Some((model, adapter)) => {
                inner.holds.get(model).is_some_and(|all| all.iter().any(|a| a == adapter))
            }
        }
    }

    fn sealed(&self, mut answer: Response<Body>, id: &str) -> Response<Body> {
        let headers = answer.headers_mut();
        let active = lock(&self.inner).active;
        let (running, waiting) =
            (active.min(self.settings.slots), active.saturating_sub(self.settings.slots));
        let load = format!("{running},{waiting},{}", self.settings.slots);
        let seal = format!("seal-{}", self.settings.id);
        for (name, value) in [("x-request-id", id), ("x-response-seal", &seal), ("x-load", &load)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
        if let Some(keep_alive) = self.settings.keep_alive {
            let value = format!("timeout={}", keep_alive.as_secs());
            headers.extend(HeaderValue::from_str(&value).ok().map(|v| (KEEP_ALIVE, v)));
        }
        answer
    }
}

/// A request that takes a place until it has ended.
struct Active(Arc<Shared>);

impl Active {
    /// Takes a place; none if all are taken.
    fn begin(shared: &Arc<Shared>) -> Option<Active> {
        let mut inner = shared.lock();
        let places = shared.settings.queue.map(|queue| shared.settings.slots + queue);
        if places.is_some_and(|places| inner.active >= places) {
            inner.rejections.push(Instant::now());
            return None;
        }
        inner.active += 1;
        inner.record.most_active = inner.record.most_active.max(inner.active);
        Some(Active(Arc::clone(shared)))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.lock().active -= 1;
    }
}

impl StandIn for Shared {
    async fn answer(self: Arc<Self>, req: Request<Bytes>) -> Reply {
        let mut answer = match (req.method(), req.uri().path()) {
            (&Method::GET, "/api/report") => self.report(),
            (&Method::POST, "/api/order") => self.order(&req),
            _ => {
                self.lock().arrivals.push(Instant::now());
                self.request(req).await
            }
        };
        self.name_limits(&mut answer);
        Ok(answer)
    }

    fn record(&self) -> serde_json::Value {
        json!(self.lock().record)
    }
}

fn take(left: &mut u32) -> bool {
    let some = *left > 0;
    *left = left.saturating_sub(1);
    some
}

fn not_run(mut answer: Response<Body>) -> Response<Body> {
    answer.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
    answer
}
