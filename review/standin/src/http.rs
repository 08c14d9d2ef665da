//! As much of HTTP/1.1 as the stand-ins speak.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A connection and the bytes that have arrived and are not used yet.
pub struct Wire {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 8192];
        let length = self.stream.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(broken("head cut off")) };
            }
        }
    }

    fn bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            if self.fill()? == 0 {
                return Err(broken("body cut off"));
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    /// Reads the head and the body of the next message; none if the connection has ended before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        if message.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| broken("length"))?;
            message.body = self.bytes(length)?;
        }
        Ok(Some(message))
    }

    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let mut message = Message { line, ..Message::default() };
        loop {
            let line = self.line()?.ok_or_else(|| broken("head cut off"))?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').ok_or_else(|| broken("header"))?;
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// The next chunk of a body; none at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.line()?.ok_or_else(|| broken("chunk cut off"))?;
        let size = usize::from_str_radix(&size, 16).map_err(|_| broken("chunk size"))?;
        let bytes = self.bytes(size)?;
        self.line()?.ok_or_else(|| broken("chunk cut off"))?;
        Ok((size > 0).then_some(bytes))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A response with a length.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let reason = if status < 300 { "OK" } else { "No" };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
