//! Starting and ending a process's threads.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use hgw_events::emit;
use hgw_node::{Event, Machine};
use socket2::{Domain, Socket, Type};
use tokio::sync::mpsc;

use crate::callers::{self, Callers};
use crate::control::Control;
use crate::inbox::{Inbox, inbox};
use crate::lifecycle::{Lifecycle, Phase};
use crate::operator_port::ControlPort;
use crate::peers::{self, Identity, Peers};
use crate::platform;
use crate::secret::Secret;
use crate::shared::Shared;
use crate::timer::Timer;
use crate::upstreams;
use crate::{Error, OperatorPort, Result, Settings, meter};

/// Commands that may wait for one of the threads.
const COMMANDS: usize = 8192;

/// Longest wait for the last messages to peers to leave.
const PEER_FLUSH: Duration = Duration::from_millis(500);

/// Addresses that a process listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addrs {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Listeners of a process that has not started yet; connections to them wait.
#[derive(Debug)]
pub struct Bound {
    settings: Settings,
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
    addrs: Addrs,
}

/// A process at work.
pub struct Running {
    addrs: Addrs,
    lifecycle: Lifecycle,
    inbox: Inbox,
    port: Arc<dyn OperatorPort>,
    operators: Option<TcpListener>,
    threads: Vec<JoinHandle<()>>,
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// As planned: the machine had finished.
    Stopped,
    /// At once, by [`Running::kill`].
    Killed,
    /// A thread broke an invariant.
    Broken,
}

/// Binds the listeners of a process and starts its threads.
pub fn start(settings: Settings, machine: Box<dyn Machine>) -> Result<Running> {
    bind(settings)?.start(machine)
}

/// Binds the listeners of a process, so that its addresses are known before its machine is built.
pub fn bind(settings: Settings) -> Result<Bound> {
    let callers = listen("callers", settings.callers)?;
    let peers = listen("peers", settings.peers)?;
    let operators = listen("operators", settings.operators)?;
    let addrs = Addrs { callers: callers.1, peers: peers.1, operators: operators.1 };
    Ok(Bound { settings, callers: callers.0, peers: peers.0, operators: operators.0, addrs })
}

/// Connections that may wait to be accepted. The standard library's 128 are too few for a burst: the
/// rest would be dropped and come again only after a second or more.
const BACKLOG: i32 = 4096;

fn listen(duty: &'static str, addr: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let bound = || -> std::io::Result<(TcpListener, SocketAddr)> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        // A process that is replaced finds its port still in use by ended connections otherwise.
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr()?;
        Ok((listener, addr))
    };
    bound().map_err(|source| Error::Listen { duty, addr, source })
}

impl Bound {
    /// Addresses that the process listens on.
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// `IP:PORT` at which peers reach the process.
    pub fn advertised(&self) -> String {
        self.settings.advertise.clone().unwrap_or_else(|| self.addrs.peers.to_string())
    }

    /// Starts the threads.
    pub fn start(self, machine: Box<dyn Machine>) -> Result<Running> {
        // Before the first count, which would otherwise be lost.
        meter::recorder();
        let me = Identity {
            node: self.settings.node.clone(),
            domain: self.settings.domain.clone(),
            addr: self.advertised(),
            secret: Secret::new(&self.settings.secret),
        };
        let shared = Shared::new(&self.settings);
        let (inbox, events) = inbox(self.settings.inbox);
        let (to_upstreams, upstream_commands) = mpsc::channel(COMMANDS);
        let (to_peers, peer_commands) = mpsc::channel(COMMANDS);
        let (to_platform, platform_commands) = mpsc::channel(COMMANDS);
        let control = Control {
            machine,
            start: shared.start,
            streams: Arc::clone(&shared.streams),
            attempts: Arc::clone(&shared.attempts),
            peers: Arc::clone(&shared.peers),
            calls: Arc::clone(&shared.calls),
            ready: Arc::clone(&shared.ready),
            lifecycle: shared.lifecycle.clone(),
            to_upstreams,
            to_peers,
            to_platform,
        };
        let upstreams = shared.upstreams(&self.settings, &inbox);
        let peers = shared.peers(&self.settings, &inbox, me);
        let platform = shared.platform(&self.settings, &inbox);
        let callers = shared.callers(&self.settings, &inbox);
        let lifecycle = &shared.lifecycle;
        let listener = self.peers;
        let threads = || -> Result<Vec<JoinHandle<()>>> {
            Ok(vec![
                spawn("control", move || control.run(&events))?,
                duty("upstreams", lifecycle, move || upstreams::run(upstreams, upstream_commands))?,
                duty("platform", lifecycle, move || platform::run(platform, platform_commands))?,
                duty("peers", lifecycle, move || serve_peers(peers, listener, peer_commands))?,
                timer(&self.settings, &inbox, lifecycle)?,
                callers_thread(callers, self.callers, &shared, &self.settings)?,
            ])
        };
        // Where one thread cannot be started, those before it end.
        let threads = threads().inspect_err(|_| lifecycle.advance(Phase::Ended))?;
        let port = Arc::new(ControlPort::new(Arc::clone(&shared.calls), inbox.clone()));
        Ok(Running {
            addrs: self.addrs,
            lifecycle: shared.lifecycle,
            inbox,
            port,
            operators: Some(self.operators),
            threads,
        })
    }
}

impl Running {
    /// Addresses that the process listens on.
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// Where operators' calls are put to the control thread.
    pub fn operator_port(&self) -> Arc<dyn OperatorPort> {
        Arc::clone(&self.port)
    }

    /// The bound listener for operators, once, for whoever serves it.
    pub fn take_operators(&mut self) -> Option<TcpListener> {
        self.operators.take()
    }

    /// What ends the process, for another thread than the one that waits for its end.
    pub fn stopper(&self) -> Stopper {
        Stopper { inbox: self.inbox.clone(), lifecycle: self.lifecycle.clone() }
    }

    /// Begins the planned stop.
    pub fn stop(&self) {
        self.stopper().stop();
    }

    /// Ends the process at once.
    pub fn kill(&self) {
        self.stopper().kill();
    }

    /// Waits for the end of all threads.
    pub fn wait(self) -> Exit {
        let mut broken = false;
        for thread in self.threads {
            broken |= thread.join().is_err();
        }
        broken |= self.lifecycle.is_broken();
        match (broken, self.lifecycle.was_stopped()) {
            (true, _) => Exit::Broken,
            (false, true) => Exit::Stopped,
            (false, false) => Exit::Killed,
        }
    }
}

/// Ends a process.
#[derive(Debug, Clone)]
pub struct Stopper {
    inbox: Inbox,
    lifecycle: Lifecycle,
}

impl Stopper {
    /// Begins the planned stop.
    pub fn stop(&self) {
        self.inbox.post(Event::Stop);
    }

    /// Ends the process at once.
    pub fn kill(&self) {
        self.lifecycle.advance(Phase::Ended);
    }
}

fn timer(settings: &Settings, inbox: &Inbox, lifecycle: &Lifecycle) -> Result<JoinHandle<()>> {
    let mut timer = Timer::default();
    let inbox = inbox.clone();
    // A tick that finds the ring full is left out: the events before it make the machine look at
    // the time as well.
    timer.subscribe(settings.tick, move || {
        inbox.offer(Event::Tick);
    });
    timer.start(lifecycle.clone())
}

/// Serves callers, and ends the process when their last bytes are out.
fn callers_thread(
    callers: Arc<Callers>,
    listener: TcpListener,
    shared: &Shared,
    Settings { node, drain, .. }: &Settings,
) -> Result<JoinHandle<()>> {
    let (lifecycle, drain) = (shared.lifecycle.clone(), *drain);
    let peers = Arc::clone(&shared.peers);
    let node = node.clone();
    let work = move || async move {
        callers::run(callers, listener, drain).await;
        let flushed = tokio::time::timeout(PEER_FLUSH, peers.flushed()).await;
        if flushed.is_err() {
            emit(hgw_events::Event::MessagesLeft, &[("node", &node)]);
        }
        lifecycle.advance(Phase::Ended);
    };
    spawn_runtime("callers", move |rt| rt.block_on(work()))
}

async fn serve_peers(
    peers: Arc<Peers>,
    listener: TcpListener,
    commands: mpsc::Receiver<peers::Command>,
) {
    let listener = tokio::net::TcpListener::from_std(listener)
        .expect("a listener that was bound can be registered");
    peers::run(peers, listener, commands).await;
}

/// Starts a thread whose work is a future, which ends with the process.
fn duty<F, M>(name: &'static str, lifecycle: &Lifecycle, make: M) -> Result<JoinHandle<()>>
where
    F: Future<Output = ()>,
    M: FnOnce() -> F + Send + 'static,
{
    let lifecycle = lifecycle.clone();
    spawn_runtime(name, move |rt| rt.block_on(lifecycle.until(Phase::Ended, make())))
}

fn spawn_runtime(
    name: &'static str,
    work: impl FnOnce(&tokio::runtime::Runtime) + Send + 'static,
) -> Result<JoinHandle<()>> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let rt = rt.map_err(|source| Error::Thread { duty: name, source })?;
    spawn(name, move || {
        work(&rt);
        rt.shutdown_background();
    })
}

fn spawn(name: &'static str, work: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    let thread = thread::Builder::new().name(name.into()).spawn(work);
    thread.map_err(|source| Error::Thread { duty: name, source })
}
