//! A way between two processes on loopback that can be cut.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::JoinHandle;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, watch};

/// Connections that may wait to be taken.
const BACKLOG: u32 = 128;

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
}

/// A way to a server, which listens at an address of its own. It ends when this is dropped.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    condition: watch::Sender<Condition>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Link {
    /// A way to the server at `target`.
    pub fn to(target: SocketAddr) -> io::Result<Link> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let listener = runtime.block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))?;
        let addr = listener.local_addr()?;
        let condition = watch::Sender::default();
        let (stop, stopped) = oneshot::channel();
        let conditions = condition.subscribe();
        let run = move || {
            runtime.block_on(async {
                tokio::select! {
                    () = accept(listener, target, conditions) => {}
                    _ = stopped => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name("link".to_owned()).spawn(run)?;
        Ok(Link { addr, condition, stop: Some(stop), thread: Some(thread) })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes what the way is like.
    pub fn set(&self, condition: Condition) {
        self.condition.send_replace(condition);
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
    mut conditions: watch::Receiver<Condition>,
) {
    let Ok(addr) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    loop {
        if *conditions.borrow_and_update() == Condition::Refused {
            listener = None;
            let _ = conditions.wait_for(|condition| *condition != Condition::Refused).await;
        }
        if listener.is_none() {
            listener = bind_again(addr).ok();
        }
        let Some(open) = &listener else { return };
        tokio::select! {
            // An error here concerns one connection that broke before it was taken.
            taken = open.accept() => if let Ok((from, _)) = taken {
                tokio::spawn(carry(from, target, conditions.clone()));
            },
            changed = conditions.changed() => if changed.is_err() {
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

/// Carries one connection until it ends, or is cut.
async fn carry(
    mut from: TcpStream,
    target: SocketAddr,
    mut conditions: watch::Receiver<Condition>,
) {
    if *conditions.borrow() == Condition::Silent {
        // Whoever waits for an answer on it gives it up; nothing is left to carry then.
        let _ = conditions.wait_for(ends_connections).await;
        return;
    }
    let whole = async {
        let Ok(mut to) = TcpStream::connect(target).await else { return };
        // Events are small writes that must not wait for each other.
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        // How a connection ends is for its two ends to see.
        let _ = tokio::io::copy_bidirectional(&mut from, &mut to).await;
    };
    tokio::select! {
        () = whole => {}
        _ = conditions.wait_for(ends_connections) => {}
    }
}

fn ends_connections(condition: &Condition) -> bool {
    matches!(condition, Condition::Cut | Condition::Refused)
}
