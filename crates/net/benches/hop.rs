//! What one node, and two, add to a call: time on an idle machine, and calls and tokens a second for
//! each core that the nodes' own threads use. `cargo bench -p hgw-net` prints both.
//!
//! The state machine is the tests' relay, so the figures are those of the threads alone.

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use hgw_net::Running;
use hgw_node::{Action, Event};
use support::relay::{Relay, settings, start};

/// Calls one after the other, for the added time.
const SINGLE: usize = 5_000;
/// Callers at one time, for the throughput.
const CALLERS: usize = 32;
/// Calls of each of them.
const EACH: usize = 2_000;

/// Streamed answers of each caller, and tokens of each.
const STREAMS: usize = 20;
const TOKENS: u32 = 500;

/// Streams that wait at one time, for their memory.
const WAITING: usize = 2_000;

/// Threads of the node, as they are named; the rest belongs to callers and upstreams.
const OWN_THREADS: [&str; 6] =
    ["control", "upstreams", "callers", "peers", "timer", "xitca-server-wo"];

fn main() {
    let upstream = serve();
    let (relay, _seen) = Relay::new(&upstream.to_string());
    let one = start(settings("n1"), relay);
    let (entry, dispatcher) = pair(&upstream.to_string());
    let direct = measure("direct", upstream, None);
    let (relay, _seen) = Relay::new(&support::upstream::engine());
    let streaming = start(settings("n4"), relay);
    let (stream_entry, stream_dispatcher) = pair(&support::upstream::engine());
    tokens("one node", streaming.addrs().callers);
    tokens("two nodes", stream_entry.addrs().callers);
    for node in [streaming, stream_entry, stream_dispatcher] {
        node.kill();
        node.wait();
    }
    for (name, addr) in [("one node", one.addrs().callers), ("two nodes", entry.addrs().callers)] {
        measure(name, addr, Some(&direct));
        throughput(name, addr);
    }
    for node in [one, entry, dispatcher] {
        node.kill();
    }
    memory();
}

/// Memory of a stream that waits for its first token, callers' and upstreams' sockets included.
fn memory() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut relay, seen) = Relay::new(&listener.local_addr().unwrap().to_string());
    relay.silence = Duration::from_secs(600);
    thread::spawn(move || listener.incoming().collect::<Vec<_>>());
    let node = start(settings("n5"), relay);
    let body = r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}"#;
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length:";
    let request = format!("{head} {}\r\n\r\n{body}", body.len());
    let before = resident();
    let mut callers = Vec::new();
    for _ in 0..WAITING {
        let mut stream = TcpStream::connect(node.addrs().callers).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        callers.push(stream);
        seen.recv().unwrap();
    }
    thread::sleep(Duration::from_secs(1));
    let each = (resident() - before) / WAITING;
    print(&format!("one node: {each} bytes for each of {WAITING} waiting streams"));
    node.kill();
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    let kib: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib << 10
}

/// An entry node and the dispatcher behind it.
fn pair(upstream: &str) -> (Running, Running) {
    let (dispatcher, _seen) = Relay::new(upstream);
    let dispatcher = start(settings("n3"), dispatcher);
    let addr = dispatcher.addrs().peers.to_string();
    let (mut entry, _seen) = Relay::new("");
    entry.via = Some("n3".parse().unwrap());
    entry.hook = Box::new(move |event, out| {
        if matches!(event, Event::CallerRequest { .. }) {
            out.push(Action::Connect { peer: "n3".parse().unwrap(), addr: addr.clone() });
        }
        false
    });
    (start(settings("n2"), entry), dispatcher)
}

/// Serves plain calls over kept connections.
fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || answer_all(stream.unwrap()));
        }
    });
    addr
}

fn answer_all(stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(&stream);
    loop {
        let mut id = String::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            if line == "\r\n" {
                break;
            }
            if line.starts_with("x-attempt-id") {
                id = line;
            }
        }
        let answer = format!("HTTP/1.1 200 OK\r\n{id}content-length: 5\r\n\r\nhello");
        if (&stream).write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// One caller's kept connection.
struct Caller {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Caller {
    fn new(addr: SocketAddr) -> Caller {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_nodelay(true).unwrap();
        Caller { stream, buf: vec![0; 4096] }
    }

    /// Makes a call and waits until the answer's body has come.
    fn call(&mut self) {
        self.stream.write_all(b"GET /svc/s/x HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        let mut got = 0;
        loop {
            let n = self.stream.read(&mut self.buf[got..]).unwrap();
            assert!(n > 0, "the connection was closed");
            got += n;
            let text = &self.buf[..got];
            assert!(text.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(text));
            if text.ends_with(b"0\r\n\r\n") || text.ends_with(b"\r\n\r\nhello") {
                return;
            }
        }
    }
}

/// Times of calls one after the other, at the median and the 99th of 100.
struct Times {
    median: Duration,
    p99: Duration,
}

fn measure(name: &str, addr: SocketAddr, direct: Option<&Times>) -> Times {
    let mut caller = Caller::new(addr);
    (0..200).for_each(|_| caller.call());
    let mut times: Vec<Duration> = (0..SINGLE)
        .map(|_| {
            let start = Instant::now();
            caller.call();
            start.elapsed()
        })
        .collect();
    times.sort();
    let times = Times { median: times[SINGLE / 2], p99: times[SINGLE * 99 / 100] };
    print(&format!("{name}: median {:?}, p99 {:?}", times.median, times.p99));
    if let Some(direct) = direct {
        let (median, p99) =
            (times.median.saturating_sub(direct.median), times.p99.saturating_sub(direct.p99));
        print(&format!("{name}: added median {median:?}, p99 {p99:?}"));
    }
    times
}

fn throughput(name: &str, addr: SocketAddr) {
    let before = own_cpu();
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            thread::spawn(move || {
                let mut caller = Caller::new(addr);
                (0..EACH).for_each(|_| caller.call());
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let (wall, after) = (start.elapsed(), own_cpu());
    let calls = (CALLERS * EACH) as f64;
    let per_second = calls / wall.as_secs_f64();
    let used: f64 = after.iter().zip(&before).map(|(a, b)| a.1 - b.1).sum();
    print(&format!("{name}: {per_second:.0} calls/s, {:.0} calls/s a core", calls / used));
    for ((thread, after), (_, before)) in after.iter().zip(&before) {
        let micros = (after - before) / calls * 1e6;
        print(&format!("{name}: {thread} {micros:.1} us a call"));
    }
}

/// Streams answers of many tokens to several callers at one time.
fn tokens(name: &str, addr: SocketAddr) {
    let before = own_cpu();
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            thread::spawn(move || {
                for _ in 0..STREAMS {
                    let answer = support::caller::chat(addr, TOKENS, true).whole();
                    assert!(answer.body.ends_with("[DONE]\n\n"));
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let (wall, after) = (start.elapsed(), own_cpu());
    let count = (CALLERS * STREAMS) as f64 * f64::from(TOKENS);
    let used: f64 = after.iter().zip(&before).map(|(a, b)| a.1 - b.1).sum();
    let per_second = count / wall.as_secs_f64();
    print(&format!("{name}: {per_second:.0} tokens/s, {:.0} tokens/s a core", count / used));
}

/// Processor seconds of the nodes' own threads so far, by name.
fn own_cpu() -> Vec<(String, f64)> {
    let mut sums: Vec<(String, f64)> = OWN_THREADS.map(|name| (name.to_string(), 0.0)).to_vec();
    for task in std::fs::read_dir("/proc/self/task").unwrap() {
        let dir = task.unwrap().path();
        let Ok(stat) = std::fs::read_to_string(dir.join("schedstat")) else { continue };
        let name = std::fs::read_to_string(dir.join("comm")).unwrap_or_default();
        let nanos: f64 = stat.split(' ').next().unwrap().parse().unwrap();
        if let Some(sum) = sums.iter_mut().find(|(own, _)| *own == name.trim()) {
            sum.1 += nanos / 1e9;
        }
    }
    sums
}

fn print(line: &str) {
    let mut out = std::io::stdout();
    writeln!(out, "{line}").unwrap();
}
