//! Pool of idle keep-alive connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::subset::{IdleConnections, IdleShare};
use hgw_direct::{Engine, IdleTrust, Millis, SHORT_IDLE};
use hgw_http1::{Conn, ConnTimeouts, Result};
use indexmap::IndexMap;

/// An idle connection is not reused if it may be closed within this time: the close could cross the
/// request on the wire.
const EXPIRY_MARGIN: Duration = Duration::from_millis(500);

const MAX_IDLE_PER_ADDR: usize = 64;

/// Maximum number of idle connections to all addresses. The smallest nodes have some 3,000 descriptors for everything.
const MAX_IDLE_CONNS: usize = 512;

/// Maximum number of engines whose idle connections are judged; far more than there are.
const MAX_JUDGED: usize = 4_096;

#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<IndexMap<SocketAddr, Vec<IdleConn>>>,
    trust: RefCell<IndexMap<SocketAddr, IdleTrust>>,
}

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    /// Idle time after which it is closed.
    max_idle: Duration,
}

impl IdleConn {
    fn idle(&self) -> Duration {
        self.conn.idle_since().elapsed()
    }

    fn is_reusable(&mut self) -> bool {
        self.idle() < self.max_idle && self.conn.is_reusable(EXPIRY_MARGIN)
    }
}

impl Pool {
    /// Returns the most recently used idle connection, so that the others reach their idle time and
    /// are closed; none if it has been idle for `max_idle`.
    pub(crate) fn take(&self, addr: SocketAddr, max_idle: Duration) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&addr)?;
        loop {
            if conns.last()?.idle() >= max_idle {
                return None;
            }
            let mut last = conns.pop()?;
            if last.is_reusable() && !last.conn.has_input() {
                return Some(last.conn);
            }
        }
    }

    /// Returns a connection that was used lately or opens a new one.
    pub(crate) async fn get(&self, addr: SocketAddr, limits: ConnTimeouts) -> Result<Conn> {
        match self.take(addr, SHORT_IDLE) {
            Some(conn) => Ok(conn),
            None => Conn::connect(addr, limits).await,
        }
    }

    /// Returns a connection to the pool once its response has been read completely.
    pub(crate) fn put(&self, addr: SocketAddr, conn: Conn) {
        self.insert(addr, conn, MAX_IDLE_PER_ADDR, SHORT_IDLE);
    }

    /// Returns a connection to an engine, which is kept as long as the engine does if this node's share allows.
    pub(crate) fn put_engine(&self, addr: SocketAddr, conn: Conn, share: IdleShare) {
        let keep_alive = conn.keep_alive_timeout().filter(|_| share.is_long);
        let max_idle = keep_alive.map_or(SHORT_IDLE, |timeout| {
            timeout.saturating_sub(EXPIRY_MARGIN).min(hgw_direct::LONG_IDLE)
        });
        self.insert(addr, conn, share.max_count.min(MAX_IDLE_PER_ADDR), max_idle);
    }

    fn insert(&self, addr: SocketAddr, conn: Conn, max_count: usize, max_idle: Duration) {
        let mut conn = IdleConn { conn, max_idle };
        if !conn.is_reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.values().map(Vec::len).sum::<usize>() >= MAX_IDLE_CONNS {
            close_oldest(&mut idle);
        }
        let conns = idle.entry(addr).or_default();
        if conns.len() >= max_count {
            conns.remove(0);
        }
        conns.push(conn);
    }

    /// Closes all idle connections to an address. An engine that starts anew may treat them differently.
    pub(crate) fn forget(&self, addr: SocketAddr) {
        self.idle.borrow_mut().shift_remove(&addr);
        self.trust.borrow_mut().shift_remove(&addr);
    }

    /// Closes idle connections that are not reused any more.
    pub(crate) fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for conns in idle.values_mut() {
            conns.retain_mut(IdleConn::is_reusable);
        }
        idle.retain(|_, conns| !conns.is_empty());
    }

    /// Closes all idle connections: after a suspension of the machine none can be trusted.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Records that a connection to an engine brought a response after it had been idle for this time.
    pub(crate) fn record_response(&self, addr: SocketAddr, idle: Duration) {
        self.judge(addr, |trust| trust.record_response(idle));
    }

    /// Records that a connection to an engine brought none after it had been idle for this time.
    pub(crate) fn record_loss(&self, addr: SocketAddr, idle: Duration, now: Millis) {
        self.judge(addr, |trust| trust.record_loss(idle, now));
    }

    fn judge(&self, addr: SocketAddr, record: impl FnOnce(&mut IdleTrust)) {
        let mut trust = self.trust.borrow_mut();
        if trust.len() >= MAX_JUDGED && !trust.contains_key(&addr) {
            trust.drain(..MAX_JUDGED / 2);
        }
        record(trust.entry(addr).or_default());
    }
}

/// Closes the connection that has been idle for longest.
fn close_oldest(idle: &mut IndexMap<SocketAddr, Vec<IdleConn>>) {
    let first = |conns: &Vec<IdleConn>| conns.first().map(|c| c.conn.idle_since());
    let oldest = idle.iter().filter_map(|(addr, conns)| Some((first(conns)?, *addr))).min();
    if let Some(conns) = oldest.and_then(|(_, addr)| idle.get_mut(&addr)) {
        conns.remove(0);
    }
}

/// The idle connections that a request may be sent on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReusableConns<'a> {
    pub(crate) pool: &'a Pool,
    /// Whether the request can be sent again if the connection is dead.
    pub(crate) may_repeat: bool,
    /// Whether connections are reused after a longer idle time.
    pub(crate) allows_long_idle: bool,
    pub(crate) now: Millis,
}

impl ReusableConns<'_> {
    /// Idle time up to which a connection to the engine is reused.
    pub(crate) fn max_idle(&self, engine: &Engine) -> Duration {
        if !self.allows_long_idle {
            return SHORT_IDLE;
        }
        let since_heard = Duration::from_millis(self.now.saturating_sub(engine.last_heard));
        let trust = self.pool.trust.borrow().get(&engine.info.addr).copied().unwrap_or_default();
        trust.max_idle(self.may_repeat, since_heard, self.now)
    }
}

impl IdleConnections for ReusableConns<'_> {
    fn has_idle(&self, engine: &Engine) -> bool {
        let idle = self.pool.idle.borrow();
        let last = idle.get(&engine.info.addr).and_then(|conns| conns.last());
        last.is_some_and(|last| last.idle() < last.max_idle.min(self.max_idle(engine)))
    }
}
