//! A model engine: continuous batching, memory, orders, and the faults of all of them.

mod batch;
mod cache;
mod memory;
mod orders;
mod record;
mod requests;
mod text;

use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hgw_types::{Generation, MemSize, ModelId, Term, VersionId};
use hgw_wire::upstream::{EngineState, LoadReport};
use http::{Method, Request, StatusCode};
use tokio::sync::Notify;

use crate::faults::{Faults, Switches, lock};
use crate::server::{Reply, Running, StandIn, failure, json, serve};
use batch::{Batch, Left};
use cache::PrefixCache;
use memory::{Item, Memory};
use orders::Orders;

pub use memory::Overcommit;
pub use record::{EngineRecord, SeenOrder};
pub(crate) use requests::other;
pub use text::Source;

/// Settings of a stand-in engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Accelerator memory.
    pub memory: MemSize,
    /// Requests worked on at once.
    pub slots: usize,
    /// Time of one step; with zero, steps follow each other at once.
    pub step: Duration,
    /// Words of a prompt that are read in one step where they are not cached.
    pub prefill_per_step: u32,
    /// Blocks of 16 words that the prefix cache holds.
    pub cache_blocks: usize,
    /// Whether orders with an old fencing number are refused; otherwise they are carried out.
    pub refuses_old_orders: bool,
    /// Token that orders must carry.
    pub order_token: Option<String>,
    /// The weight store; without one, loads take `load_time`.
    pub weights: Option<SocketAddr>,
    /// Time of a load where there is no weight store.
    pub load_time: Duration,
    /// How far load reports lag behind.
    pub load_lag: Duration,
    /// Models that are resident at the start.
    pub resident: Vec<(ModelId, VersionId, MemSize)>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            memory: MemSize(160),
            slots: 8,
            step: Duration::from_millis(5),
            prefill_per_step: 512,
            cache_blocks: 4096,
            refuses_old_orders: true,
            order_token: None,
            weights: None,
            load_time: Duration::from_millis(200),
            load_lag: Duration::from_millis(300),
            resident: Vec::new(),
        }
    }
}

/// Starts a stand-in engine.
pub fn start(settings: Settings) -> io::Result<Running> {
    let switches = Arc::new(Switches::new());
    let listen = settings.listen;
    let engine = Engine::new(settings, Arc::clone(&switches));
    serve("engine", listen, switches, Arc::new(engine))
}

/// How many load reports are under way at a time, the oldest being answered.
const REPORTS_UNDER_WAY: u32 = 4;

struct Engine {
    settings: Settings,
    switches: Arc<Switches>,
    inner: Mutex<Inner>,
    work: Notify,
}

struct Inner {
    generation: Generation,
    fence: Term,
    memory: Memory,
    batch: Batch,
    cache: PrefixCache,
    orders: Orders,
    record: EngineRecord,
    reports: VecDeque<LoadReport>,
    left_at: Option<Instant>,
}

impl Engine {
    fn new(settings: Settings, switches: Arc<Switches>) -> Self {
        let mut memory = Memory::new(settings.memory);
        for (model, version, size) in &settings.resident {
            let item = Item::Model((model.clone(), version.clone()));
            let order = hgw_types::RecordId { boot: 0, seq: 0 };
            // What does not fit is not resident, and stands in the record as overcommitted.
            let _ = memory.reserve(order, &item, *size).and_then(|()| memory.loaded(&item));
        }
        let inner = Inner {
            generation: Generation(1),
            fence: Term(0),
            memory,
            batch: Batch::new(settings.slots),
            cache: PrefixCache::new(settings.cache_blocks),
            orders: Orders::default(),
            record: EngineRecord::default(),
            reports: VecDeque::new(),
            left_at: None,
        };
        Engine { settings, switches, inner: Mutex::new(inner), work: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    fn state(&self) -> EngineState {
        let inner = self.lock();
        let models = inner.memory.models(|held| {
            inner.batch.count(|req| req.model == held.model && req.version == held.version)
        });
        EngineState {
            generation: inner.generation,
            fence: inner.fence,
            memory: inner.memory.size(),
            models,
            adapters: inner.memory.adapters(),
            leaving: self.switches.leaving(),
        }
    }

    fn load(&self) -> LoadReport {
        self.lock().reports.front().cloned().unwrap_or_default()
    }

    /// Puts the load as it is now behind the reports under way.
    fn report_load(&self) {
        let step = self.switches.slowed(self.settings.step);
        let mut inner = self.lock();
        let report = LoadReport {
            generation: inner.generation,
            active: inner.batch.running(),
            waiting: inner.batch.waiting(),
            step_us: u64::try_from(step.as_micros()).unwrap_or(u64::MAX),
            leaving: self.switches.leaving(),
        };
        inner.reports.push_back(report);
        if inner.reports.len() > REPORTS_UNDER_WAY as usize {
            inner.reports.pop_front();
        }
    }

    /// One step of the batch.
    fn step(&self) {
        let mut inner = self.lock();
        for attempt in inner.batch.fill() {
            let attempt = attempt.to_string();
            let runs = &mut inner.record.runs;
            if runs.len() < record::MAX_REMEMBERED || runs.contains_key(&attempt) {
                *runs.entry(attempt).or_default() += 1;
            }
        }
        for left in inner.batch.step() {
            match left {
                Left::Whole => inner.record.whole += 1,
                Left::Abandoned => inner.record.abandoned += 1,
                Left::Failed => inner.record.failed += 1,
            }
        }
    }

    async fn steps(&self) {
        loop {
            if self.lock().batch.is_empty() {
                self.work.notified().await;
            }
            let step = self.switches.slowed(self.settings.step);
            if step.is_zero() {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(step).await;
            }
            self.step();
        }
    }

    async fn reports(&self) {
        let pause = (self.settings.load_lag / REPORTS_UNDER_WAY).max(Duration::from_millis(1));
        loop {
            self.report_load();
            tokio::time::sleep(pause).await;
        }
    }
}

impl StandIn for Engine {
    async fn answer(self: Arc<Self>, req: Request<Bytes>) -> Reply {
        let answer = match (req.method(), req.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.generate(&req),
            (&Method::POST, "/cancel") => self.cancel(&req),
            (&Method::POST, "/orders") => self.order(&req).await,
            (&Method::GET, "/state") => json(&self.state()),
            (&Method::GET, "/load") => json(&self.load()),
            _ => failure(StatusCode::NOT_FOUND, "no such call"),
        };
        Ok(answer)
    }

    fn record(&self) -> serde_json::Value {
        let inner = self.lock();
        let record = EngineRecord {
            high_water: inner.memory.high_water,
            overcommits: inner.memory.overcommits.clone(),
            ..inner.record.clone()
        };
        serde_json::json!(record)
    }

    fn switched(&self, faults: &Faults) {
        let mut inner = self.lock();
        if !faults.leaving {
            inner.left_at = None;
        } else if inner.left_at.is_none() {
            inner.left_at = Some(Instant::now());
        }
        if faults.restart {
            inner.generation.0 += 1;
            inner.memory.clear();
            inner.batch.clear();
            inner.cache.clear();
        }
    }

    async fn background(self: Arc<Self>) {
        tokio::join!(self.steps(), self.reports());
    }
}
