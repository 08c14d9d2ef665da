//! Servers that are full at times hand out second copies of a few of their answers, late.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::Clients;
use crate::node::{Folder, Node};
use crate::plain::{Plain, Settings};
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 6] = ["stgo-a", "stgo-a", "stgo-b", "stgo-b", "rancagua", "talca"];
const SERVERS: [&str; 4] = ["stgo-a", "stgo-b", "rancagua", "talca"];

/// Servers that are faulty: not over the share of 0.6 of four.
const FAULTY: usize = 2;

/// Largest part of the answers of each that have a second copy.
const EXTRA: f64 = 0.03;

/// Requests a second: nine tenths of what the servers can run, so that they are full at times.
const RATE: f64 = 24.0;

/// Each cycle has one time in which servers are faulty.
const CYCLE: f64 = 8.0;
const FAULTY_FROM: f64 = 1.5;
const FAULTY_TIME: f64 = 5.0;

const LENGTH: Duration = Duration::from_secs(80);
const DEADLINE: Duration = Duration::from_secs(8);
const UNSAFE_SHARE: f64 = 0.71;

fn configuration() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":8000,\"sloMs\":2000,\"priority\":2,\"service\":\"desk\",\"attempts\":2}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":96}}],\
         \"limits\":{{\"headerBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route("print", "unsafe"),
        route("look", "safe")
    )
}

pub fn run(path: &Path, has_trouble: bool) -> Outcome {
    let record = Arc::new(Record::new(u64::from(std::process::id())));
    let folder = Folder::new();
    let (store, store_addr) = Store::start();
    store.put("keyed.op", "config", configuration().as_bytes());
    let servers = SERVERS.iter().enumerate().map(|(n, _)| {
        let settings = Settings {
            id: format!("i-{n}"),
            slots: 6,
            queue: 3,
            work: Duration::from_millis(900),
            extra: EXTRA,
        };
        Plain::start(settings, &record)
    });
    let servers: Vec<Arc<Plain>> = servers.collect();
    let beats = (Arc::clone(&store), servers.clone());
    thread::spawn(move || {
        for seq in 1.. {
            for (server, zone) in beats.1.iter().zip(SERVERS) {
                let entry = format!(
                    "{{\"service\":\"desk\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\
                     \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq}}}",
                    server.addr
                );
                beats.0.put("keyed.servers", &server.settings.id, entry.as_bytes());
            }
            thread::sleep(Duration::from_millis(1200));
        }
    });
    let mut nodes: Vec<Node> = ZONES
        .iter()
        .enumerate()
        .map(|(n, zone)| Node::start(&folder.0, n, zone, store_addr))
        .collect();
    if !nodes.iter().all(Node::wait_until_ready) {
        return Outcome::NotRun("a node is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let clients = Arc::new(Clients {
        nodes: nodes.iter().map(|node| node.front).collect(),
        attempts: Default::default(),
    });
    let started = Instant::now();
    let (mut next, mut number, mut threads) = (Instant::now(), 0, Vec::new());
    while started.elapsed() < LENGTH {
        let in_cycle = started.elapsed().as_secs_f64() % CYCLE;
        let is_faulty = has_trouble && (FAULTY_FROM..FAULTY_FROM + FAULTY_TIME).contains(&in_cycle);
        for server in &servers[..FAULTY] {
            if server.is_faulty.swap(is_faulty, Ordering::Relaxed) != is_faulty {
                record.note(&format!("{} faulty: {is_faulty}", server.settings.id));
            }
        }
        next += Duration::from_secs_f64(2.0 * record.chance() / RATE);
        thread::sleep(next.saturating_duration_since(Instant::now()));
        number += 1;
        let (clients, record) = (Arc::clone(&clients), Arc::clone(&record));
        let is_unsafe = record.chance() < UNSAFE_SHARE;
        threads.push(thread::spawn(move || clients.send(&record, number, is_unsafe, DEADLINE)));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    thread::sleep(Duration::from_secs(1));
    let ended = nodes.iter_mut().any(Node::has_ended);
    drop(nodes);
    let outcome = check(&record, &clients, &servers);
    record.write(path);
    if ended { Outcome::NotRun("a node ended by itself".to_owned()) } else { outcome }
}

/// TWICE and REFUSED: what is not idempotent runs once at most, and not at all where the answer promises that.
fn check(record: &Record, clients: &Clients, servers: &[Arc<Plain>]) -> Outcome {
    let attempts = clients.attempts.lock().unwrap().clone();
    let (mut twice, mut refused) = (Vec::new(), Vec::new());
    for attempt in attempts.iter().filter(|attempt| attempt.is_unsafe) {
        let runs: u32 = servers.iter().map(|server| server.runs(&attempt.id)).sum();
        if runs > 1 {
            twice.push(&attempt.id);
        }
        if runs > 0 && matches!(attempt.status, Some(408 | 421 | 429 | 503)) {
            refused.push(&attempt.id);
        }
    }
    let served = attempts.iter().filter(|attempt| attempt.status == Some(200)).count();
    let counts = servers.iter().map(|server| server.counts());
    let copies: Vec<String> =
        counts.map(|(answers, copies)| format!("{copies} of {answers}")).collect();
    let summary = format!(
        "{} attempts, {served} answered 200; second copies by server: {}; TWICE: {}; REFUSED: {}",
        attempts.len(),
        copies.join(", "),
        twice.len(),
        refused.len()
    );
    println!("{summary}");
    record.note(&summary);
    for id in twice.iter().chain(&refused) {
        for line in record.of(id) {
            record.note(&format!("TRACE {line}"));
        }
    }
    if served == 0 {
        return Outcome::NotRun("nothing was served".to_owned());
    }
    if twice.is_empty() && refused.is_empty() { Outcome::Held } else { Outcome::Broken }
}
