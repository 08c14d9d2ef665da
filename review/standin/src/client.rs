//! A client, as the pages describe it: it asks again only where that is allowed.

use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Wire;
use crate::record::Record;

/// Longest time until a connection is established.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub is_unsafe: bool,
    /// None if there was no complete answer.
    pub status: Option<u16>,
}

pub struct Clients {
    pub nodes: Vec<SocketAddr>,
    pub attempts: Mutex<Vec<Attempt>>,
}

impl Clients {
    /// Sends a request, and once more if it was promised that it has not run.
    pub fn send(&self, record: &Record, number: u64, is_unsafe: bool, deadline: Duration) {
        let until = Instant::now() + deadline;
        for retry in 0..2 {
            let id =
                format!("{number:08x}{retry:02x}{:06x}", (record.chance() * 16_777_216.0) as u32);
            let node =
                self.nodes[(record.chance() * self.nodes.len() as f64) as usize % self.nodes.len()];
            let left = until.saturating_duration_since(Instant::now());
            let answer = self.attempt(record, &id, node, is_unsafe, left);
            let status = answer.map(|(status, _)| status);
            let (is_promise, pause) = match answer {
                Some((status, pause)) => (matches!(status, 408 | 421 | 429 | 503), pause),
                None => (false, Duration::ZERO),
            };
            let text = status.map_or("nothing".to_owned(), |status| status.to_string());
            record.note(&format!("{id} is answered {text}"));
            self.attempts.lock().unwrap().push(Attempt { id, is_unsafe, status });
            let fails = status.is_none_or(|status| status >= 500);
            let left = until.saturating_duration_since(Instant::now());
            if !(is_promise || !is_unsafe && fails) || left < Duration::from_millis(300) {
                return;
            }
            thread::sleep(pause.min(left / 3));
        }
    }

    /// The status of the answer and the time after which to come back; none if there is no complete answer.
    fn attempt(
        &self,
        record: &Record,
        id: &str,
        node: SocketAddr,
        is_unsafe: bool,
        left: Duration,
    ) -> Option<(u16, Duration)> {
        let (method, path) = if is_unsafe { ("POST", "/print/slip") } else { ("GET", "/look/up") };
        record.note(&format!("{id} is sent to {node}: {method} {path}"));
        let stream = TcpStream::connect_timeout(&node, CONNECT_TIME).ok()?;
        stream.set_read_timeout(Some(left + Duration::from_millis(200))).ok()?;
        let body = if is_unsafe { "one slip" } else { "" };
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n",
            left.as_millis()
        );
        if is_unsafe {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        text.push_str(body);
        let mut wire = Wire::new(stream);
        wire.write(text.as_bytes()).ok()?;
        let answer = wire.read().ok()??;
        let pause = answer.header("retry-after").and_then(|v| v.parse().ok()).unwrap_or(0.0);
        Some((answer.status(), Duration::from_secs_f64(pause)))
    }
}
