//! The HTTP server that every stand-in runs on.

mod answer;
mod conn;

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::process::Child;
use std::sync::Arc;
use std::thread::JoinHandle;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;

use crate::faults::{Faults, Switches};
pub(crate) use answer::{
    Body, bounded_stream, failure, json, query, read_json, stream, with_status,
};
use conn::{Conn, Gate, Ticket};

/// Largest request body.
const MAX_BODY: usize = 64 << 20;

/// Connections that may wait to be taken: thousands come at once when streams are measured.
const BACKLOG: u32 = 4096;

/// An answer, or none.
pub(crate) type Reply = Result<Response<Body>, Lost>;

/// The connection closes without an answer.
#[derive(Debug)]
pub(crate) struct Lost;

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is closed without an answer")
    }
}

impl std::error::Error for Lost {}

/// What one kind of stand-in does.
pub(crate) trait StandIn: Send + Sync + 'static {
    /// Carries out a request and answers it. Goes on to its end when the sender has gone.
    fn answer(self: Arc<Self>, req: Request<Bytes>) -> impl Future<Output = Reply> + Send;

    /// What the stand-in has seen.
    fn record(&self) -> serde_json::Value;

    /// Carries out the faults that happen at once.
    fn switched(&self, _faults: &Faults) {}

    /// Runs beside the server, for as long as it does.
    fn background(self: Arc<Self>) -> impl Future<Output = ()> + Send {
        async {}
    }
}

/// A stand-in at work; it stops when this is dropped.
#[derive(Debug)]
pub struct Running {
    addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    process: Option<Child>,
}

impl Running {
    pub(crate) fn process(process: Child, addr: SocketAddr) -> Running {
        Running { addr, stop: None, thread: None, process: Some(process) }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its process, if it has one of its own.
    pub fn pid(&self) -> Option<rustix::process::Pid> {
        self.process.as_ref().map(rustix::process::Pid::from_child)
    }

    /// Stops it and waits for that.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the stand-in's thread has been printed; there is nothing to add.
            let _ = thread.join();
        }
        if let Some(process) = &mut self.process {
            // Both fail only where the process has ended already.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Listens at `listen` and answers from a thread of its own.
pub(crate) fn serve<S: StandIn>(
    name: &str,
    listen: SocketAddr,
    switches: Arc<Switches>,
    standin: Arc<S>,
) -> io::Result<Running> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let listener = {
        let _entered = runtime.enter();
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(listen)?;
        socket.listen(BACKLOG)?
    };
    let addr = listener.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    let accept = async move {
        tokio::spawn(Arc::clone(&standin).background());
        tokio::select! {
            () = accept_all(listener, switches, standin) => {}
            _ = stopped => {}
        }
    };
    let run = move || runtime.block_on(accept);
    let thread = std::thread::Builder::new().name(format!("standin-{name}")).spawn(run)?;
    Ok(Running { addr, stop: Some(stop), thread: Some(thread), process: None })
}

async fn accept_all<S: StandIn>(listener: TcpListener, switches: Arc<Switches>, standin: Arc<S>) {
    let gate = Arc::new(Gate::default());
    loop {
        // An error here concerns one connection that broke before it was taken.
        let Ok((tcp, _)) = listener.accept().await else { continue };
        let link = Link {
            ticket: Arc::new(Ticket::new(Arc::clone(&gate))),
            gate: Arc::clone(&gate),
            switches: Arc::clone(&switches),
            standin: Arc::clone(&standin),
        };
        tokio::spawn(link.run(tcp));
    }
}

/// One connection and what its requests need.
struct Link<S> {
    ticket: Arc<Ticket>,
    gate: Arc<Gate>,
    switches: Arc<Switches>,
    standin: Arc<S>,
}

impl<S: StandIn> Link<S> {
    async fn run(self, tcp: TcpStream) {
        // Tokens are small writes that must not wait for each other.
        let _ = tcp.set_nodelay(true);
        let mut cuts = self.switches.cuts();
        let ticket = Arc::clone(&self.ticket);
        let io = TokioIo::new(Conn::new(tcp, Arc::clone(&ticket)));
        let link = Arc::new(self);
        let service = service_fn(move |req| Arc::clone(&link).serve(req));
        let conn = http1::Builder::new().serve_connection(io, service);
        let cut = async {
            while cuts.changed().await.is_ok() {
                if !ticket.is_control() {
                    return;
                }
            }
        };
        tokio::select! {
            _ = conn => {}
            () = cut => {}
        }
    }

    async fn serve(self: Arc<Self>, req: Request<Incoming>) -> Reply {
        let (parts, body) = req.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY).collect().await else {
            return Ok(failure(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large or broken"));
        };
        let req = Request::from_parts(parts, body.to_bytes());
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/faults") => Ok(self.switch(&req)),
            (&Method::GET, "/record") => {
                self.ticket.make_control();
                Ok(json(&self.standin.record()))
            }
            _ => self.meet(req).await,
        }
    }

    fn switch(&self, req: &Request<Bytes>) -> Response<Body> {
        let faults: Faults = match read_json(req.body()) {
            Ok(faults) => faults,
            Err(answer) => return *answer,
        };
        self.ticket.make_control();
        self.switches.set(&faults);
        self.standin.switched(&faults);
        if faults.silence {
            self.gate.silence();
        }
        json(&serde_json::json!({}))
    }

    /// Carries out a request as the faults in force let it.
    async fn meet(&self, req: Request<Bytes>) -> Reply {
        let fate = self.switches.fate(req.uri().path(), req.method() != Method::GET);
        if fate.lost {
            return Err(Lost);
        }
        if fate.refused {
            return Ok(failure(StatusCode::SERVICE_UNAVAILABLE, "out of service"));
        }
        let standin = Arc::clone(&self.standin);
        // A task of its own: what a request does must not end with the connection.
        let work = tokio::spawn(async move {
            if !fate.late.is_zero() {
                tokio::time::sleep(fate.late).await;
            }
            let reply = standin.answer(req).await;
            if !fate.answer_late.is_zero() {
                tokio::time::sleep(fate.answer_late).await;
            }
            reply
        });
        let reply = work.await.map_err(|_| Lost)??;
        if fate.answer_lost || self.switches.down() {
            return Err(Lost);
        }
        Ok(reply)
    }
}

/// What a stream of an answer is made of; an error cuts the connection.
pub(crate) type Piece = Result<hyper::body::Frame<Bytes>, Lost>;
