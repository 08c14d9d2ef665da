//! A closed loop of callers: each one sends its next request when it has the whole answer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use hgw_standins::deployment::name;
use hgw_types::{AttemptId, Tokens};
use hgw_wire::upstream::Generate;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Threads that the callers are spread over.
const THREADS: usize = 3;
/// Longest time that is told apart, in microseconds: a minute.
const LONGEST_US: u64 = 60_000_000;
/// What every request asks.
const PROMPT: &str = "How much petty cash may a school hold over the summer?";

/// Where requests go.
#[derive(Debug, Clone)]
pub enum Route {
    /// Straight to a stand-in engine.
    Engine {
        /// Its listener.
        addr: SocketAddr,
        /// The model asked for.
        model: String,
    },
    /// To a node.
    Node {
        /// Its listener for callers.
        addr: SocketAddr,
        /// The model asked for.
        model: String,
    },
}

/// What is sent.
#[derive(Debug, Clone)]
pub struct Load {
    /// Where to.
    pub route: Route,
    /// Callers at work at once.
    pub connections: usize,
    /// Requests in all.
    pub requests: u64,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Longest time; what is not sent by then is left out.
    pub longest: Duration,
}

/// What came of it. Times are in microseconds.
#[derive(Debug)]
pub struct Driven {
    /// From the request to its first token.
    pub first: Histogram<u64>,
    /// Between one token and the next.
    pub between: Histogram<u64>,
    /// Answers that came whole.
    pub whole: u64,
    /// Requests without a whole answer.
    pub failed: u64,
    /// Time from the first request to the last answer.
    pub elapsed: Duration,
}

impl Driven {
    fn new() -> Self {
        let hist = || Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are valid");
        Driven { first: hist(), between: hist(), whole: 0, failed: 0, elapsed: Duration::ZERO }
    }

    fn add(&mut self, other: &Driven) {
        self.first.add(&other.first).expect("the histograms grow");
        self.between.add(&other.between).expect("the histograms grow");
        self.whole += other.whole;
        self.failed += other.failed;
    }

    /// All of them as one; the times add up.
    pub fn sum(all: &[Driven]) -> Driven {
        let mut sum = Driven::new();
        for driven in all {
            sum.add(driven);
            sum.elapsed += driven.elapsed;
        }
        sum
    }

    /// Whole answers a second.
    pub fn rate(&self) -> f64 {
        self.whole as f64 / self.elapsed.as_secs_f64()
    }

    /// One line for people.
    pub fn summary(&self) -> String {
        let at = |hist: &Histogram<u64>, q| hist.value_at_quantile(q);
        format!(
            "{} whole, {} failed, {:.0} a second; first token {} / {} us, between tokens {} / {} us \
             at median / p99",
            self.whole,
            self.failed,
            self.rate(),
            at(&self.first, 0.5),
            at(&self.first, 0.99),
            at(&self.between, 0.5),
            at(&self.between, 0.99),
        )
    }
}

impl Route {
    fn addr(&self) -> SocketAddr {
        match self {
            Route::Engine { addr, .. } | Route::Node { addr, .. } => *addr,
        }
    }

    /// Body of request number `seq`.
    fn body(&self, seq: u64, tokens: u32) -> Bytes {
        let value = match self {
            Route::Engine { model, .. } => json!(Generate {
                attempt: AttemptId { boot: u64::from(std::process::id()), seq },
                model: name(model),
                version: name("v1"),
                adapter: None,
                prompt: PROMPT.into(),
                max_tokens: Tokens(tokens),
                priority: 0,
                resume: Vec::new(),
            }),
            Route::Node { model, .. } => json!({
                "model": model,
                "stream": true,
                "max_tokens": tokens,
                "messages": [{ "role": "user", "content": PROMPT }],
            }),
        };
        value.to_string().into()
    }

    /// What a token's event has and no other event.
    fn token_mark(&self) -> &'static [u8] {
        match self {
            Route::Engine { .. } => b"\"kind\":\"token\"",
            Route::Node { .. } => b"\"content\":",
        }
    }
}

/// Sends the load and waits for all answers.
pub fn drive(load: &Load) -> io::Result<Driven> {
    let left = Arc::new(AtomicU64::new(load.requests));
    let started = Instant::now();
    let threads: Vec<_> = (0..THREADS.min(load.connections))
        .map(|n| {
            let (load, left) = (load.clone(), Arc::clone(&left));
            std::thread::spawn(move || drive_part(&load, &left, n, started))
        })
        .collect();
    let mut all = Driven::new();
    for thread in threads {
        let part = thread.join().map_err(|_| io::Error::other("a caller's thread panicked"))?;
        all.add(&part?);
    }
    all.elapsed = started.elapsed();
    Ok(all)
}

/// The callers of one thread: number `part`, and every [`THREADS`]th after it.
fn drive_part(
    load: &Load,
    left: &Arc<AtomicU64>,
    part: usize,
    started: Instant,
) -> io::Result<Driven> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut callers = JoinSet::new();
        for _ in (part..load.connections).step_by(THREADS) {
            let caller = OneCaller { load: load.clone(), left: Arc::clone(left), started };
            callers.spawn(caller.run());
        }
        let mut all = Driven::new();
        while let Some(one) = callers.join_next().await {
            all.add(&one.map_err(io::Error::other)??);
        }
        Ok(all)
    })
}

struct OneCaller {
    load: Load,
    left: Arc<AtomicU64>,
    started: Instant,
}

impl OneCaller {
    async fn run(self) -> io::Result<Driven> {
        let mut driven = Driven::new();
        let mut sender = connect(self.load.route.addr()).await?;
        while self.started.elapsed() < self.load.longest
            && let Some(seq) = self.next()
        {
            match self.ask(&mut sender, seq, &mut driven).await {
                Ok(true) => driven.whole += 1,
                Ok(false) => driven.failed += 1,
                Err(_) => {
                    driven.failed += 1;
                    sender = connect(self.load.route.addr()).await?;
                }
            }
        }
        Ok(driven)
    }

    /// Number of the next request, if one is left.
    fn next(&self) -> Option<u64> {
        let take = |left: u64| left.checked_sub(1);
        self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).ok()
    }

    /// Sends one request; whether its answer is whole.
    async fn ask(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        seq: u64,
        driven: &mut Driven,
    ) -> hyper::Result<bool> {
        let route = &self.load.route;
        let req = Request::post("/v1/chat/completions")
            .header(header::HOST, "loopback")
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(route.body(seq, self.load.tokens)))
            .expect("the parts are valid");
        sender.ready().await?;
        let mut last = Instant::now();
        let mut answer = sender.send_request(req).await?;
        let mut tokens = 0;
        while let Some(frame) = answer.frame().await {
            let frame = frame?;
            let Some(data) = frame.data_ref() else { continue };
            let came = occurrences(data, route.token_mark());
            if came == 0 {
                continue;
            }
            let waited = u64::try_from(last.elapsed().as_micros()).unwrap_or(u64::MAX);
            let hist = if tokens == 0 { &mut driven.first } else { &mut driven.between };
            hist.saturating_record(waited);
            last = Instant::now();
            tokens += came;
        }
        Ok(tokens == self.load.tokens)
    }
}

async fn connect(addr: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let tcp = TcpStream::connect(addr).await?;
    tcp.set_nodelay(true)?;
    let (sender, conn) = handshake(TokioIo::new(tcp)).await.map_err(io::Error::other)?;
    tokio::spawn(conn);
    Ok(sender)
}

/// How often `mark` stands in `data`. Events are written whole, so that none is cut in two.
fn occurrences(data: &[u8], mark: &[u8]) -> u32 {
    let found = data.windows(mark.len()).filter(|window| *window == mark).count();
    u32::try_from(found).unwrap_or(u32::MAX)
}
