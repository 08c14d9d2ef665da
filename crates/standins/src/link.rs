//! A way between two processes on loopback that can be cut.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, watch};

use crate::faults::lock;
use crate::socket_owner::holds_socket;

/// Connections that may wait to be taken.
const BACKLOG: u32 = 128;

/// Bytes carried at a time: all connections that share a rate get their turn.
const CHUNK_BYTES: usize = 4 << 10;

/// How late a timer may be without the rate falling below what it is.
const MAX_LAG: Duration = Duration::from_millis(20);

/// A rate in bytes per second that any number of connections share.
#[derive(Debug, Clone)]
pub struct Rate {
    bytes_per_s: f64,
    /// When all that was to be carried so far has been.
    free_at: Arc<Mutex<Option<Instant>>>,
}

impl Rate {
    /// A rate that nothing has used yet.
    pub fn new(bytes_per_s: f64) -> Rate {
        Rate { bytes_per_s, free_at: Arc::default() }
    }

    /// When so many bytes have been carried after all that were to be carried before.
    fn reserve(&self, bytes: usize) -> Instant {
        let mut free_at = lock(&self.free_at);
        // What a late timer lost is made up for.
        let earliest = Instant::now().checked_sub(MAX_LAG);
        let from = free_at.max(earliest).unwrap_or_else(Instant::now);
        let until = from + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *free_at = Some(until);
        until
    }
}

/// Waits until all of these rates have carried so many bytes.
async fn pace(rates: &[Rate], bytes: usize) {
    if let Some(until) = rates.iter().map(|rate| rate.reserve(bytes)).max() {
        tokio::time::sleep_until(until.into()).await;
    }
}

/// The rates of a way's two directions; each byte passes all of its direction.
#[derive(Debug, Clone, Default)]
pub struct Rates {
    /// Towards the server.
    pub requests: Vec<Rate>,
    /// From the server.
    pub answers: Vec<Rate>,
}

/// What the way is like.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Condition {
    /// It carries everything.
    #[default]
    Open,
    /// Connections end, and new ones as well.
    Cut,
    /// New connections are taken and carry nothing.
    Silent,
    /// Connections end, and new ones are refused, as if the server had crashed.
    Refused,
    /// Nothing is carried for now, on open connections and on new ones.
    Paused,
}

/// How one process is cut off, while the way carries everything for all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessCut {
    /// Nothing is carried, on open connections and on new ones.
    Silent,
    /// Open connections are reset, and new ones as well.
    Reset,
    /// Open connections live on; new ones are reset.
    NewReset,
}

#[derive(Debug, Clone, Default)]
struct State {
    condition: Condition,
    /// By process id.
    cuts: IndexMap<u32, ProcessCut>,
    /// A connection that is sent a request with this text goes silent for good.
    lost_text: Option<String>,
    /// A connection that has been idle for this time goes silent for good.
    idle_limit: Option<Duration>,
}

/// What becomes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Carried,
    Held,
    Closed,
    Reset,
}

impl State {
    fn fate(&self, from: SocketAddr, to: SocketAddr, is_new: bool) -> Fate {
        match self.condition {
            Condition::Cut | Condition::Refused => return Fate::Closed,
            Condition::Paused => return Fate::Held,
            Condition::Silent if is_new => return Fate::Held,
            Condition::Open | Condition::Silent => {}
        }
        let cut = self.cuts.iter().find(|(pid, _)| holds_socket(**pid, from, to));
        match cut.map(|(_, cut)| *cut) {
            Some(ProcessCut::Silent) => Fate::Held,
            Some(ProcessCut::Reset) => Fate::Reset,
            Some(ProcessCut::NewReset) if is_new => Fate::Reset,
            Some(ProcessCut::NewReset) | None => Fate::Carried,
        }
    }
}

/// A way to a server, which listens at an address of its own. It ends when this is dropped.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    state: watch::Sender<State>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Link {
    /// A way to the server at `target`.
    pub fn to(target: SocketAddr) -> io::Result<Link> {
        Link::with_rates(target, Rates::default())
    }

    /// A way to the server at `target` that carries no more than these rates.
    pub fn with_rates(target: SocketAddr, rates: Rates) -> io::Result<Link> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let listener = runtime.block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))?;
        let addr = listener.local_addr()?;
        let state = watch::Sender::default();
        let (stop, stopped) = oneshot::channel();
        let states = state.subscribe();
        let run = move || {
            runtime.block_on(async {
                tokio::select! {
                    () = accept(listener, target, states, rates) => {}
                    _ = stopped => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name("link".to_owned()).spawn(run)?;
        Ok(Link { addr, state, stop: Some(stop), thread: Some(thread) })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes what the way is like.
    pub fn set(&self, condition: Condition) {
        self.state.send_modify(|state| state.condition = condition);
    }

    /// Loses each request with this text from now on, and all that follows it on its connection; or none.
    pub fn lose(&self, text: Option<&str>) {
        self.state.send_modify(|state| state.lost_text = text.map(str::to_owned));
    }

    /// Drops connections without notice from now on once they have been idle for this time; or none.
    pub fn drop_idle(&self, limit: Option<Duration>) {
        self.state.send_modify(|state| state.idle_limit = limit);
    }

    /// Cuts one process off, or ends that.
    pub fn cut_process(&self, pid: u32, cut: Option<ProcessCut>) {
        self.state.send_modify(|state| match cut {
            Some(cut) => drop(state.cuts.insert(pid, cut)),
            None => drop(state.cuts.swap_remove(&pid)),
        });
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the link's thread has been printed; there is nothing to add.
            let _ = thread.join();
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mut states: watch::Receiver<State>,
    rates: Rates,
) {
    let Ok(addr) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    loop {
        if states.borrow_and_update().condition == Condition::Refused {
            listener = None;
            let _ = states.wait_for(|state| state.condition != Condition::Refused).await;
        }
        if listener.is_none() {
            listener = bind_again(addr).ok();
        }
        let Some(open) = &listener else { return };
        tokio::select! {
            // An error here concerns one connection that broke before it was taken.
            taken = open.accept() => if let Ok((from, _)) = taken {
                tokio::spawn(carry(from, target, states.clone(), rates.clone()));
            },
            changed = states.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// Listens at an address that was in use before.
fn bind_again(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Carries requests to the server until the client ends, but none that is to be lost.
async fn carry_requests(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    states: &watch::Receiver<State>,
    rates: &[Rate],
    carried_at: &Mutex<Instant>,
) -> io::Result<()> {
    let mut buf = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut buf).await?;
        if length == 0 {
            return Ok(());
        }
        let is_lost = states.borrow().lost_text.as_ref().is_some_and(|text| {
            buf[..length].windows(text.len()).any(|window| window == text.as_bytes())
        });
        let idle = std::mem::replace(&mut *lock(carried_at), Instant::now()).elapsed();
        let is_dropped = states.borrow().idle_limit.is_some_and(|limit| idle >= limit);
        if is_lost || is_dropped {
            std::future::pending::<()>().await;
        }
        pace(rates, length).await;
        to.write_all(&buf[..length]).await?;
    }
}

/// Carries answers to the client until the server ends.
async fn carry_answers(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    rates: &[Rate],
    carried_at: &Mutex<Instant>,
) -> io::Result<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buf).await?;
        if length == 0 {
            return Ok(());
        }
        pace(rates, length).await;
        to.write_all(&buf[..length]).await?;
        *lock(carried_at) = Instant::now();
    }
}

/// Carries one connection until it ends, or is cut.
async fn carry(
    mut from: TcpStream,
    target: SocketAddr,
    mut states: watch::Receiver<State>,
    rates: Rates,
) {
    let (Ok(addr), Ok(own_addr)) = (from.peer_addr(), from.local_addr()) else { return };
    let Ok(second_handle) = from.as_fd().try_clone_to_owned() else { return };
    let losses = states.clone();
    let whole = async move {
        let Ok(mut to) = TcpStream::connect(target).await else { return };
        // Events are small writes that must not wait for each other.
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let ((mut from_rd, mut from_wr), (mut to_rd, mut to_wr)) = (from.split(), to.split());
        let carried_at = Mutex::new(Instant::now());
        let requests = async {
            let rates = &rates.requests;
            let _ = carry_requests(&mut from_rd, &mut to_wr, &losses, rates, &carried_at).await;
            let _ = to_wr.shutdown().await;
        };
        let answers = async {
            // How a connection ends is for its two ends to see.
            let rates = &rates.answers;
            let _ = carry_answers(&mut to_rd, &mut from_wr, rates, &carried_at).await;
            let _ = from_wr.shutdown().await;
        };
        tokio::join!(requests, answers);
    };
    let mut whole = std::pin::pin!(whole);
    let mut is_new = true;
    loop {
        let fate = states.borrow_and_update().fate(addr, own_addr, is_new);
        tokio::select! {
            () = &mut whole, if fate == Fate::Carried => return,
            changed = states.changed(), if matches!(fate, Fate::Carried | Fate::Held) => {
                if changed.is_err() {
                    return;
                }
            }
            else => {
                if fate == Fate::Reset {
                    // Closes with a reset; fails only where the connection has ended.
                    let _ = SockRef::from(&second_handle).set_linger(Some(Duration::ZERO));
                }
                return;
            }
        }
        is_new &= fate != Fate::Carried;
    }
}
