//! A server of a plain service, as the pages describe it.

use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Wire, response};
use crate::record::Record;

/// Connections that it takes from all callers together.
const MAX_CONNS: u32 = 96;

/// How often a run looks whether its caller has left.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

pub struct Settings {
    pub id: String,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// Largest part of its answers that have a second copy.
    pub extra: f64,
}

#[derive(Default)]
struct Work {
    running: usize,
    waiting: VecDeque<u64>,
    next_ticket: u64,
    /// How often each request has run here.
    runs: HashMap<String, u32>,
}

pub struct Plain {
    pub settings: Settings,
    pub addr: SocketAddr,
    work: Mutex<Work>,
    room: Condvar,
    conns: AtomicU32,
    answers: AtomicU32,
    copies: AtomicU32,
    /// Whether it hands out second copies now: they come late, where the next answer on the connection is expected.
    pub is_faulty: AtomicBool,
    record: Arc<Record>,
}

impl Plain {
    pub fn start(settings: Settings, record: &Arc<Record>) -> Arc<Plain> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the server listens");
        let plain = Arc::new(Plain {
            settings,
            addr: listener.local_addr().expect("the server has an address"),
            work: Mutex::default(),
            room: Condvar::new(),
            conns: AtomicU32::new(0),
            answers: AtomicU32::new(0),
            copies: AtomicU32::new(0),
            is_faulty: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&plain);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let plain = Arc::clone(&serving);
                if plain.conns.fetch_add(1, Ordering::Relaxed) >= MAX_CONNS {
                    plain.conns.fetch_sub(1, Ordering::Relaxed);
                    continue;
                }
                thread::spawn(move || {
                    plain.serve(stream);
                    plain.conns.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        plain
    }

    pub fn runs(&self, id: &str) -> u32 {
        self.work.lock().unwrap().runs.get(id).copied().unwrap_or(0)
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = wire.read() {
            let id = request.header("x-request-id").unwrap_or("-").to_owned();
            if let Some(bytes) = extra.take() {
                // The second copy of an earlier answer, at the point where the next one is expected.
                self.record.note(&format!(
                    "{} hands out a late copy before the answer to {id}",
                    self.settings.id
                ));
                if wire.write(&bytes).is_err() {
                    return;
                }
            }
            let Some(answer) = self.answer(&wire.stream, &request) else { return };
            if wire.write(&answer).is_err() {
                return;
            }
            if self.is_doubled(&request, &answer) {
                self.record.note(&format!(
                    "{} will repeat its rejection of a health check",
                    self.settings.id
                ));
                extra = Some(answer);
            }
        }
    }

    /// Whether a second copy of this answer comes late. What is at fault is how it rejects health checks; it hands out no
    /// more copies than its share of all its answers.
    fn is_doubled(&self, request: &Message, answer: &[u8]) -> bool {
        let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let is_rejected_check =
            request.header("x-request-id").is_none() && answer.starts_with(b"HTTP/1.1 503");
        let copies = self.copies.load(Ordering::Relaxed);
        let is_doubled = is_rejected_check
            && self.is_faulty.load(Ordering::Relaxed)
            && f64::from(copies + 1) <= self.settings.extra * f64::from(answers);
        self.copies.fetch_add(u32::from(is_doubled), Ordering::Relaxed);
        is_doubled
    }

    /// Answers and second copies so far.
    pub fn counts(&self) -> (u32, u32) {
        (self.answers.load(Ordering::Relaxed), self.copies.load(Ordering::Relaxed))
    }

    /// The answer to a request; none if its caller has left.
    fn answer(&self, stream: &TcpStream, request: &Message) -> Option<Vec<u8>> {
        let id = request.header("x-request-id");
        let is_health = id.is_none() && request.method() == "GET" && request.path() == "/health";
        let mut headers = vec![("X-Instance", self.settings.id.clone())];
        headers.extend(id.map(|id| ("X-Request-Id", id.to_owned())));
        let not_run = |status: u16, mut headers: Vec<(&'static str, String)>| {
            let of = id.unwrap_or("a health check");
            self.record.note(&format!("{} rejects {of} with {status}", self.settings.id));
            headers.push(("X-Not-Run", "1".to_owned()));
            headers.push(("X-Load", self.load()));
            Some(response(status, &headers, b""))
        };
        if request.header("x-expect-instance").is_some_and(|meant| meant != self.settings.id) {
            return not_run(421, headers);
        }
        if id.is_none() && !is_health {
            return not_run(400, headers);
        }
        let deadline = request.header("x-deadline-ms").and_then(|ms| ms.parse().ok());
        let until = Instant::now() + Duration::from_millis(deadline.unwrap_or(60_000));
        if !self.take_slot(until) {
            return not_run(503, headers);
        }
        let is_left = has_left(stream);
        if let Some(id) = id.filter(|_| !is_left) {
            self.record.note(&format!("{} runs {id}", self.settings.id));
            *self.work.lock().unwrap().runs.entry(id.to_owned()).or_default() += 1;
        }
        let work = if is_health { Duration::from_millis(1) } else { self.settings.work };
        let end = (Instant::now() + work).min(until);
        let mut is_left = is_left;
        while !is_left && Instant::now() < end {
            thread::sleep(LOOK_INTERVAL.min(end.saturating_duration_since(Instant::now())));
            is_left = has_left(stream);
        }
        self.free_slot();
        if is_left {
            return None;
        }
        headers.push(("X-Load", self.load()));
        headers.push(("Keep-Alive", "timeout=15".to_owned()));
        if is_health {
            return Some(response(200, &headers, b""));
        }
        headers
            .push(("X-Response-Seal", format!("{}.{}", self.settings.id, id.unwrap_or_default())));
        let status = if Instant::now() >= until { 504 } else { 200 };
        Some(response(status, &headers, format!("done {}", id.unwrap_or_default()).as_bytes()))
    }

    fn load(&self) -> String {
        let work = self.work.lock().unwrap();
        format!("{},{},{}", work.running, work.waiting.len(), self.settings.slots)
    }

    /// Waits for a slot in turn; returns whether there is one in time.
    fn take_slot(&self, until: Instant) -> bool {
        let mut work = self.work.lock().unwrap();
        if work.running < self.settings.slots && work.waiting.is_empty() {
            work.running += 1;
            return true;
        }
        if work.waiting.len() >= self.settings.queue {
            return false;
        }
        let ticket = work.next_ticket;
        work.next_ticket += 1;
        work.waiting.push_back(ticket);
        loop {
            if work.running < self.settings.slots && work.waiting.front() == Some(&ticket) {
                work.waiting.pop_front();
                work.running += 1;
                self.room.notify_all();
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                work.waiting.retain(|other| *other != ticket);
                self.room.notify_all();
                return false;
            }
            work = self.room.wait_timeout(work, left).unwrap().0;
        }
    }

    fn free_slot(&self) {
        self.work.lock().unwrap().running -= 1;
        self.room.notify_all();
    }
}

/// Whether the caller has closed its connection.
fn has_left(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}
