//! The weight store: `GET /weights/{name}/{version}?size=N` answers when the weights have come.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::faults::{Switches, lock};
use crate::server::{Body, Reply, Running, StandIn, failure, json, query, serve};

/// Settings of a stand-in weight store.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Loads that may begin a second; more are answered with 429.
    pub loads_per_second: f64,
    /// Loads at once at full speed; more share the speed of this many.
    pub parallel: u32,
    /// Memory units a second that one load gets at full speed.
    pub units_per_second: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            loads_per_second: 1.5,
            parallel: 6,
            units_per_second: 20.0,
        }
    }
}

/// Answer to `GET /record`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRecord {
    /// Loads begun.
    pub loads: u64,
    /// Loads refused for their rate.
    pub limited: u64,
    /// Most loads at once.
    pub most_at_once: u32,
}

/// Time between two looks at how far a load has come.
const LOOK: Duration = Duration::from_millis(10);

/// Starts a stand-in weight store.
pub fn start(settings: Settings) -> io::Result<Running> {
    let switches = Arc::new(Switches::new());
    let listen = settings.listen;
    let inner = Inner {
        record: WeightsRecord::default(),
        active: 0,
        allowance: settings.loads_per_second.max(1.0),
        refilled: Instant::now(),
    };
    let store = Store { settings, switches: Arc::clone(&switches), inner: Mutex::new(inner) };
    serve("weights", listen, switches, Arc::new(store))
}

struct Store {
    settings: Settings,
    switches: Arc<Switches>,
    inner: Mutex<Inner>,
}

struct Inner {
    record: WeightsRecord,
    active: u32,
    /// Loads that may begin now; refilled by time, at most a second's worth.
    allowance: f64,
    refilled: Instant,
}

impl Store {
    async fn load(&self, size: f64) -> Response<Body> {
        if !lock(&self.inner).begin(self.settings.loads_per_second) {
            return failure(StatusCode::TOO_MANY_REQUESTS, "too many loads a second");
        }
        let mut left = size;
        while left > 0.0 {
            tokio::time::sleep(LOOK).await;
            left -= self.speed() * LOOK.as_secs_f64();
        }
        lock(&self.inner).active -= 1;
        json(&serde_json::json!({ "size": size }))
    }

    /// Units a second that each load gets now.
    fn speed(&self) -> f64 {
        let active = lock(&self.inner).active.max(1);
        let share = f64::from(self.settings.parallel) / f64::from(active);
        let slowness = self.switches.slowed(Duration::from_secs(1)).as_secs_f64();
        self.settings.units_per_second * share.min(1.0) / slowness
    }
}

impl Inner {
    fn begin(&mut self, rate: f64) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.refilled).as_secs_f64() * rate;
        self.allowance = (self.allowance + earned).min(rate.max(1.0));
        self.refilled = now;
        if self.allowance < 1.0 {
            self.record.limited += 1;
            return false;
        }
        self.allowance -= 1.0;
        self.active += 1;
        self.record.loads += 1;
        self.record.most_at_once = self.record.most_at_once.max(self.active);
        true
    }
}

impl StandIn for Store {
    async fn answer(self: Arc<Self>, req: Request<Bytes>) -> Reply {
        let is_load = *req.method() == Method::GET && req.uri().path().starts_with("/weights/");
        match query(req.uri(), "size") {
            Some(size) if is_load => Ok(self.load(size).await),
            _ => Ok(failure(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    fn record(&self) -> serde_json::Value {
        serde_json::json!(lock(&self.inner).record)
    }
}
