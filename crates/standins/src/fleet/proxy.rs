//! A server before an engine, which passes requests on and sends something else in place of responses.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::JoinHandle;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// A server before an engine; it stops when this is dropped.
#[derive(Debug)]
pub(super) struct Proxy {
    addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts one before the engine at `engine`; `serve` serves each connection of a node, with one to the engine.
    pub(super) fn start<S, F>(engine: SocketAddr, serve: S) -> io::Result<Proxy>
    where
        S: Fn(TcpStream, TcpStream) -> F + Clone + Send + 'static,
        F: Future<Output = io::Result<()>> + Send + 'static,
    {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let listener = runtime.block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let accept = async move {
            tokio::select! {
                () = accept_all(listener, engine, serve) => {}
                _ = stopped => {}
            }
        };
        let run = move || runtime.block_on(accept);
        let thread = std::thread::Builder::new().name("standin-proxy".into()).spawn(run)?;
        Ok(Proxy { addr, stop: Some(stop), thread: Some(thread) })
    }

    /// Where it listens.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed; there is nothing to add.
            let _ = thread.join();
        }
    }
}

async fn accept_all<S, F>(listener: TcpListener, engine: SocketAddr, serve: S)
where
    S: Fn(TcpStream, TcpStream) -> F + Clone + Send + 'static,
    F: Future<Output = io::Result<()>> + Send + 'static,
{
    loop {
        // An error here concerns one connection that broke before it was taken.
        let Ok((node, _)) = listener.accept().await else { continue };
        let serve = serve.clone();
        tokio::spawn(async move {
            let Ok(engine) = TcpStream::connect(engine).await else { return };
            let _ = (node.set_nodelay(true), engine.set_nodelay(true));
            // How a connection ends is for its two ends to see.
            let _ = serve(node, engine).await;
        });
    }
}

/// A request or a response; both may have a body.
pub(super) struct Message {
    pub(super) head: String,
    pub(super) body: Vec<u8>,
}

impl Message {
    pub(super) async fn read(from: &mut TcpStream) -> io::Result<Message> {
        let head = read_head(from).await?;
        let body = read_body(from, &head).await?;
        Ok(Message { head, body })
    }

    pub(super) fn bytes(&self) -> Vec<u8> {
        [self.head.as_bytes(), &self.body].concat()
    }
}

/// Reads a head with the empty line after it.
pub(super) async fn read_head(from: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(from.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// Reads the body after a head as it comes, with its framing.
pub(super) async fn read_body(from: &mut TcpStream, head: &str) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if field(head, "transfer-encoding").is_some() {
        while !body.ends_with(b"0\r\n\r\n") {
            body.push(from.read_u8().await?);
        }
        return Ok(body);
    }
    let length = field(head, "content-length").and_then(|length| length.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    from.read_exact(&mut body).await?;
    Ok(body)
}

pub(super) fn has_name(line: &str, name: &str) -> bool {
    line.split_once(':').is_some_and(|(found, _)| found.eq_ignore_ascii_case(name))
}

/// The value of a field of a head.
pub(super) fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let line = head.split("\r\n").find(|line| has_name(line, name))?;
    line.split_once(':').map(|(_, value)| value.trim())
}
