//! The platform's metadata store, as far as nodes use it: a log with topics, some of them keyed.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Wire, response};

/// Time of an answer, as on the sheet.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Most rows of one page of the newest records.
const PAGE_ROWS: usize = 500;

#[derive(Default)]
struct Topics(BTreeMap<(String, u32), Vec<Vec<u8>>>);

pub struct Store {
    topics: Mutex<Topics>,
    appended: Condvar,
}

impl Store {
    /// Starts a store; returns it with its address.
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store listens");
        let addr = listener.local_addr().expect("the store has an address");
        let store = Arc::new(Store { topics: Mutex::default(), appended: Condvar::new() });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, addr)
    }

    /// Writes a record of a keyed topic, as the operator or an engine does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.topics.lock().unwrap().0.entry((topic.to_owned(), 0)).or_default().push(record);
        self.appended.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.read() {
            let answer = self.answer(&request);
            thread::sleep(ANSWER_TIME);
            if wire.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let part = request.query("part").and_then(|p| p.parse().ok()).unwrap_or(0);
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok());
        match request.path() {
            "/api/log-append" => self.append((topic, part), number("at"), &request.body),
            "/api/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                self.read((topic, part), number("from").unwrap_or(0), wait)
            }
            "/api/log-newest" => self.newest((topic, part), request.query("after").unwrap_or("")),
            _ => response(404, &[], b"{}"),
        }
    }

    fn append(&self, at: (String, u32), end: Option<u64>, mut body: &[u8]) -> Vec<u8> {
        let mut records = Vec::new();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = (u32::from_be_bytes(*length) as usize).min(rest.len());
            records.push(rest[..length].to_vec());
            body = &rest[length..];
        }
        let mut topics = self.topics.lock().unwrap();
        let log = topics.0.entry(at).or_default();
        let offset = log.len() as u64;
        if end.is_some_and(|end| end != offset) {
            return response(412, &[], format!("{{\"end\":{offset}}}").as_bytes());
        }
        log.extend(records);
        let text = format!("{{\"offset\":{offset},\"end\":{}}}", log.len());
        self.appended.notify_all();
        response(200, &[], text.as_bytes())
    }

    fn read(&self, at: (String, u32), from: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let log = topics.0.entry(at.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if log.len() as u64 > from || left.is_zero() {
                let mut body = (log.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in log.iter().skip(from as usize) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return response(200, &[], &body);
            }
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, at: (String, u32), after: &str) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let empty = Vec::new();
        let log = topics.0.get(&at).unwrap_or(&empty);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            match &record[1 + length..] {
                [] => drop(newest.remove(&key)),
                value => drop(newest.insert(key, (offset, value))),
            }
        }
        let rows: Vec<_> = newest.iter().filter(|(key, _)| key.as_str() > after).collect();
        let items = rows.iter().take(PAGE_ROWS).map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items = items.collect::<Vec<_>>().join(",");
        let more = rows.len() > PAGE_ROWS;
        let text = format!("{{\"items\":[{items}],\"hasMore\":{more},\"end\":{}}}", log.len());
        response(200, &[], text.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0u32, |word, b| word << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let is_used = digit <= chunk.len();
            let value = (word >> (18 - 6 * digit)) & 63;
            text.push(if is_used { DIGITS[value as usize] as char } else { '=' });
        }
    }
    text
}
