//! An HTTP server whose answers a test writes byte by byte.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use hgw_types::AttemptId;
use hgw_wire::upstream::{Emitted, Generate};

/// A request as it came.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Received {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }

    pub(crate) fn generate(&self) -> Generate {
        serde_json::from_slice(&self.body).expect("a request for text")
    }
}

/// Serves connections for the rest of the test, each request by `answer`; a connection is closed
/// after its first answer.
pub(crate) fn serve(answer: impl Fn(Received, &mut TcpStream) + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                let mut stream = stream.unwrap();
                stream.set_nodelay(true).unwrap();
                if let Some(received) = receive(&stream) {
                    answer(received, &mut stream);
                }
            });
        }
    });
    addr
}

fn receive(stream: &TcpStream) -> Option<Received> {
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    lines.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut first = line.split(' ');
    let (method, path) = (first.next()?.to_string(), first.next()?.to_string());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        lines.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.push((name.to_lowercase(), value.to_string()));
    }
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let mut body = vec![0; length.map_or(0, |(_, v)| v.parse().unwrap())];
    lines.read_exact(&mut body).ok()?;
    Some(Received { method, path, headers, body })
}

/// Sends the head of a streamed answer, which ends when the connection is closed.
pub(crate) fn begin_events(stream: &mut TcpStream) {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
}

/// Sends one event; false where the connection is gone.
pub(crate) fn emit(stream: &mut TcpStream, event: &Emitted) -> bool {
    let json = serde_json::to_string(event).unwrap();
    stream.write_all(format!("data: {json}\n\n").as_bytes()).is_ok()
}

pub(crate) fn token(attempt: AttemptId, index: u32) -> Emitted {
    Emitted::Token { attempt, index, text: format!("t{index} ") }
}

pub(crate) fn end(attempt: AttemptId, tokens: u32) -> Emitted {
    Emitted::End {
        attempt,
        tokens: hgw_types::Tokens(tokens),
        cached: hgw_types::Tokens::default(),
    }
}

/// Sends a whole answer.
pub(crate) fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &str) {
    let mut head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes()).unwrap();
}

/// An engine that answers with as many tokens as are asked for, and honours `resume`.
pub(crate) fn engine() -> String {
    serve(|received, stream| {
        if received.path != "/v1/chat/completions" {
            return respond(stream, 200, &[], "{}");
        }
        let generate = received.generate();
        begin_events(stream);
        for index in generate.resume.len() as u32..generate.max_tokens.0 {
            if !emit(stream, &token(generate.attempt, index)) {
                return;
            }
        }
        emit(stream, &end(generate.attempt, generate.max_tokens.0));
    })
}

/// An upstream that takes requests and never answers.
pub(crate) fn silent() -> String {
    serve(|_, stream| while stream.read(&mut [0]).is_ok_and(|n| n > 0) {})
}
