//! A caller that reads its answer only as it is told.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use socket2::{Domain, SockFilter, SockRef, Socket, Type};

/// Receive buffer of its socket, in bytes, so that the kernel holds little of what it does not read.
const RECEIVE_BUFFER: usize = 32 << 10;

/// The same once it reads on: with a small window each round trip carries next to nothing.
const FAST_RECEIVE_BUFFER: usize = 256 << 10;

/// What a slow caller reads at a time, in bytes, and the pause before each read. Its window opens once half of the
/// receive buffer is free.
const TRICKLE_BYTES: usize = 2 << 10;
const TRICKLE_PAUSE: Duration = Duration::from_millis(200);

/// Bound on each wait: a guard against hanging, far above anything expected.
const GUARD: Duration = Duration::from_secs(120);

/// A request whose answer is read as slowly as the test wants.
#[derive(Debug)]
pub struct SlowCaller {
    tcp: TcpStream,
    received: Vec<u8>,
}

impl SlowCaller {
    /// Sends a request and reads nothing.
    pub fn send(
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<SlowCaller> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        socket.connect(&addr.into())?;
        let mut tcp = TcpStream::from(socket);
        tcp.set_read_timeout(Some(GUARD))?;
        let mut head = format!("POST {path} HTTP/1.1\r\nconnection: close\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        write!(tcp, "{head}content-length: {}\r\n\r\n", body.len())?;
        tcp.write_all(body)?;
        Ok(SlowCaller { tcp, received: Vec::new() })
    }

    /// Drops all packets that arrive from now on, so that nothing is acknowledged, as if its machine had lost power.
    pub fn fall_silent(&self) -> io::Result<()> {
        const RETURN_CONSTANT: u16 = 0x06;
        SockRef::from(&self.tcp).attach_filter(&[SockFilter::new(RETURN_CONSTANT, 0, 0, 0)])
    }

    /// Reads until this text has come.
    pub fn read_until(&mut self, text: &str) -> io::Result<()> {
        let mut buf = [0; 512];
        while !String::from_utf8_lossy(&self.received).contains(text) {
            let length = self.tcp.read(&mut buf)?;
            if length == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.received.extend_from_slice(&buf[..length]);
        }
        Ok(())
    }

    /// Reads a little again and again until told to stop, or to the end.
    pub fn trickle(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut buf = [0; TRICKLE_BYTES];
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(TRICKLE_PAUSE);
            let length = self.tcp.read(&mut buf)?;
            self.received.extend_from_slice(&buf[..length]);
        }
        Ok(())
    }

    /// Reads to the end and returns the body; fails if it is not whole.
    pub fn rest(mut self) -> io::Result<String> {
        SockRef::from(&self.tcp).set_recv_buffer_size(FAST_RECEIVE_BUFFER)?;
        self.tcp.read_to_end(&mut self.received)?;
        let text = String::from_utf8_lossy(&self.received).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").ok_or(io::ErrorKind::UnexpectedEof)?;
        if !head.to_ascii_lowercase().contains("transfer-encoding: chunked") {
            return Ok(body.to_owned());
        }
        without_chunks(body).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// The body without its chunked framing; nothing if the last chunk is missing.
fn without_chunks(mut framed: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, rest) = framed.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body += rest.get(..size)?;
        framed = rest.get(size..)?.strip_prefix("\r\n")?;
    }
}
