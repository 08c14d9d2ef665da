//! A caller that sends its requests one after the other on one connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bound on each wait: a guard against hanging, far above anything expected.
const GUARD: Duration = Duration::from_secs(60);

/// A connection that is kept open between requests.
#[derive(Debug)]
pub struct KeptCaller {
    tcp: BufReader<TcpStream>,
}

/// A whole response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptResponse {
    /// HTTP status.
    pub status: u16,
    /// Whether the response says that the connection is closed after it.
    pub closes: bool,
    /// The body as text.
    pub body: String,
}

/// The framing of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
}

impl KeptCaller {
    /// Opens a connection.
    pub fn connect(addr: SocketAddr) -> io::Result<KeptCaller> {
        let tcp = TcpStream::connect(addr)?;
        tcp.set_nodelay(true)?;
        tcp.set_read_timeout(Some(GUARD))?;
        Ok(KeptCaller { tcp: BufReader::new(tcp) })
    }

    /// Sends a whole request and waits for nothing.
    pub fn send(&mut self, path: &str, headers: &[(&str, &str)], body: &str) -> io::Result<()> {
        let mut req = format!("POST {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            req += &format!("{name}: {value}\r\n");
        }
        req += &format!("content-length: {}\r\n\r\n{body}", body.len());
        self.tcp.get_mut().write_all(req.as_bytes())
    }

    /// Sends a part of a request.
    pub fn send_part(&mut self, part: &str) -> io::Result<()> {
        self.tcp.get_mut().write_all(part.as_bytes())
    }

    /// Waits until the connection has ended; fails if anything else arrives.
    pub fn wait_end(&mut self) -> io::Result<()> {
        match self.tcp.read(&mut [0]) {
            Ok(0) => Ok(()),
            Ok(_) => Err(io::ErrorKind::InvalidData.into()),
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Waits for the whole response to the last request.
    pub fn receive(&mut self) -> io::Result<KeptResponse> {
        let status_line = self.line()?;
        let status = status_line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let (mut closes, mut framing) = (false, Framing::Length(0));
        loop {
            let line = self.line()?.to_ascii_lowercase();
            match line.split_once(':').map(|(name, value)| (name, value.trim())) {
                None => break,
                Some(("connection", value)) => closes = value == "close",
                Some(("transfer-encoding", "chunked")) => framing = Framing::Chunked,
                Some(("content-length", value)) => {
                    framing = Framing::Length(value.parse().map_err(io::Error::other)?);
                }
                Some(_) => {}
            }
        }
        Ok(KeptResponse { status, closes, body: self.body(framing)? })
    }

    fn body(&mut self, framing: Framing) -> io::Result<String> {
        let mut body = Vec::new();
        match framing {
            Framing::Length(length) => self.bytes(length, &mut body)?,
            Framing::Chunked => loop {
                let line = self.line()?;
                let size = usize::from_str_radix(&line, 16).map_err(io::Error::other)?;
                self.bytes(size, &mut body)?;
                self.line()?;
                if size == 0 {
                    break;
                }
            },
        }
        String::from_utf8(body).map_err(io::Error::other)
    }

    fn bytes(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<()> {
        let start = body.len();
        body.resize(start + length, 0);
        self.tcp.read_exact(&mut body[start..])
    }

    /// The next line, without its end.
    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.tcp.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }
}
