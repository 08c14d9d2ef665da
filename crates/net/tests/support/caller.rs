//! A caller that speaks HTTP/1.1 over a socket of its own.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::HANG;

/// A connection of a caller with an answer that is being read.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    reader: BufReader<TcpStream>,
}

/// An answer that was read to its end.
#[derive(Debug)]
pub(crate) struct Whole {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: String,
    /// Whether the body came to its announced end.
    pub(crate) complete: bool,
}

impl Whole {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).expect("a body in JSON")
    }
}

/// Connects.
pub(crate) fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(HANG)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Sends a request and reads the head of the answer.
pub(crate) fn send(addr: SocketAddr, line: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let mut stream = connect(addr);
    let mut head = format!("{line} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes()).unwrap();
    // The server may answer and close before it has read a body that is too large.
    let _ = stream.write_all(body.as_bytes());
    read_head(stream)
}

/// Reads the head of an answer.
pub(crate) fn read_head(stream: TcpStream) -> Answer {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let status = line.split(' ').nth(1).map_or(0, |s| s.parse().unwrap());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_lowercase(), value.trim().to_string()));
    }
    Answer { status, headers, reader }
}

impl Answer {
    /// Reads the rest.
    pub(crate) fn whole(mut self) -> Whole {
        let find =
            |name: &str| self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone());
        let (body, complete) = if find("transfer-encoding").is_some() {
            chunked(&mut self.reader)
        } else {
            let length = find("content-length").map_or(0, |v| v.parse().unwrap());
            let mut body = vec![0; length];
            let complete = self.reader.read_exact(&mut body).is_ok();
            (body, complete)
        };
        let body = String::from_utf8(body).unwrap();
        Whole { status: self.status, headers: self.headers, body, complete }
    }

    /// Reads one line of the body as it comes, framing included.
    pub(crate) fn line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line
    }
}

fn chunked(reader: &mut impl BufRead) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let mut size = String::new();
        if reader.read_line(&mut size).unwrap_or(0) == 0 {
            return (body, false);
        }
        let size = usize::from_str_radix(size.trim(), 16).unwrap();
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Asks for a chat completion.
pub(crate) fn chat(addr: SocketAddr, tokens: u32, stream: bool) -> Answer {
    let body = format!(
        r#"{{"model":"m","messages":[{{"role":"user","content":"hi"}}],"max_tokens":{tokens},"stream":{stream}}}"#
    );
    send(addr, "POST /v1/chat/completions", &[("content-type", "application/json")], &body)
}

/// The texts of a streamed answer, and whether it was said to be done.
pub(crate) fn texts(body: &str) -> (Vec<String>, bool) {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut done = false;
    let mut texts = Vec::new();
    for data in data {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let event: serde_json::Value = serde_json::from_str(data).unwrap();
        if let Some(text) = event["choices"][0]["delta"]["content"].as_str() {
            texts.push(text.to_string());
        }
    }
    (texts, done)
}

/// Reads the head of an answer that has no body, and gives the connection back.
pub(crate) fn read_head_only(stream: TcpStream) -> (u16, TcpStream) {
    let answer = read_head(stream);
    assert!(answer.reader.buffer().is_empty(), "bytes behind the head");
    (answer.status, answer.reader.into_inner())
}
