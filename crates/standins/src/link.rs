//! A way between two processes on loopback that can be slowed, held up, silenced or cut.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};

/// What the way is like.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Condition {
    /// It carries everything.
    #[default]
    Open,
    /// Each piece comes so much later.
    Slow(Duration),
    /// Nothing comes through, and what was held up does when this ends.
    Held,
    /// Nothing comes back, and what was held up does when this ends.
    OneWay,
    /// Connections are reset, and new ones as well.
    Cut,
}

/// A way to a server, which listens at an address of its own. It ends when this is dropped.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    condition: watch::Sender<Condition>,
    /// Connections made before the last change of this carry nothing any more and stay open.
    silenced: watch::Sender<u64>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Link {
    /// A way to the server at `target`.
    pub fn to(target: SocketAddr) -> io::Result<Link> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let listener = runtime.block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))?;
        let addr = listener.local_addr()?;
        let (condition, silenced) = (watch::Sender::default(), watch::Sender::new(0));
        let (stop, stopped) = oneshot::channel();
        let way = Way { condition: condition.subscribe(), silenced: silenced.subscribe() };
        let run = move || {
            runtime.block_on(async {
                tokio::select! {
                    () = accept(listener, target, Arc::new(way)) => {}
                    _ = stopped => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name("link".to_owned()).spawn(run)?;
        Ok(Link { addr, condition, silenced, stop: Some(stop), thread: Some(thread) })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes what the way is like.
    pub fn set(&self, condition: Condition) {
        self.condition.send_replace(condition);
    }

    /// Connections that there are carry nothing any more and stay open; new ones work.
    pub fn silence(&self) {
        self.silenced.send_modify(|n| *n += 1);
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

#[derive(Debug)]
struct Way {
    condition: watch::Receiver<Condition>,
    silenced: watch::Receiver<u64>,
}

async fn accept(listener: TcpListener, target: SocketAddr, way: Arc<Way>) {
    loop {
        // An error here concerns one connection that broke before it was taken.
        let Ok((from, _)) = listener.accept().await else { continue };
        tokio::spawn(carry(from, target, Arc::clone(&way)));
    }
}

/// Carries one connection until it ends, or is cut.
async fn carry(from: TcpStream, target: SocketAddr, way: Arc<Way>) {
    let mut cut = way.condition.clone();
    let silenced = *way.silenced.borrow();
    let whole = async {
        let Ok(to) = TcpStream::connect(target).await else { return };
        // Events are small writes that must not wait for each other.
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
        let there = pump(from_read, to_write, Arc::clone(&way), silenced, false);
        let back = pump(to_read, from_write, Arc::clone(&way), silenced, true);
        tokio::join!(there, back);
    };
    tokio::select! {
        () = whole => {}
        _ = cut.wait_for(|condition| *condition == Condition::Cut) => {}
    }
}

/// Carries the bytes of one direction.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Arc<Way>,
    silenced: u64,
    is_back: bool,
) {
    let mut condition = way.condition.clone();
    let mut buf = vec![0; 16 << 10];
    while let Ok(read @ 1..) = from.read(&mut buf).await {
        let passes = |c: &Condition| match c {
            Condition::Held => false,
            Condition::OneWay => !is_back,
            Condition::Open | Condition::Slow(_) | Condition::Cut => true,
        };
        let now = match condition.wait_for(passes).await {
            Ok(now) => *now,
            Err(_) => return,
        };
        if let Condition::Slow(late) = now {
            tokio::time::sleep(late).await;
        }
        if *way.silenced.borrow() != silenced {
            // Both ends stay open, and nothing comes any more.
            return std::future::pending().await;
        }
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
