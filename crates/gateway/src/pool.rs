//! Pool of idle keep-alive connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use hgw_http1::{Conn, ConnTimeouts, Result};
use indexmap::IndexMap;

/// An idle connection is not reused if it may be closed within this time: the close could cross the
/// request on the wire.
const EXPIRY_MARGIN: Duration = Duration::from_millis(500);

const MAX_IDLE_PER_ADDR: usize = 64;

/// Idle time after which a connection is not reused: its path may have failed unnoticed.
const MAX_IDLE: Duration = Duration::from_secs(4);

#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<IndexMap<SocketAddr, Vec<Conn>>>,
}

impl Pool {
    /// Returns the most recently used idle connection, so that the others reach their idle time and
    /// are closed.
    pub(crate) fn take(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&addr)?;
        while let Some(mut conn) = conns.pop() {
            if conn.idle_since().elapsed() < MAX_IDLE && conn.is_reusable(EXPIRY_MARGIN) {
                return Some(conn);
            }
        }
        None
    }

    /// Returns an idle connection or opens a new one.
    pub(crate) async fn get(&self, addr: SocketAddr, limits: ConnTimeouts) -> Result<Conn> {
        match self.take(addr) {
            Some(conn) => Ok(conn),
            None => Conn::connect(addr, limits).await,
        }
    }

    /// Returns a connection to the pool once its response has been read completely.
    pub(crate) fn put(&self, addr: SocketAddr, mut conn: Conn) {
        if !conn.is_reusable(EXPIRY_MARGIN) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(addr).or_default();
        if conns.len() < MAX_IDLE_PER_ADDR {
            conns.push(conn);
        }
    }

    /// Closes all idle connections to an address.
    pub(crate) fn forget(&self, addr: SocketAddr) {
        self.idle.borrow_mut().shift_remove(&addr);
    }

    /// Closes idle connections that are not reused any more.
    pub(crate) fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for conns in idle.values_mut() {
            conns.retain_mut(|c| {
                c.idle_since().elapsed() < MAX_IDLE && c.is_reusable(EXPIRY_MARGIN)
            });
        }
        idle.retain(|_, conns| !conns.is_empty());
    }

    /// Closes all idle connections: after a suspension of the machine none can be trusted.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
