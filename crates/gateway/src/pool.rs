use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use hgw_http1::{Conn, ConnTimeouts, Result};
use indexmap::IndexMap;

/// A kept connection is not used again when it may end within this time: its end would cross the request.
const MARGIN: Duration = Duration::from_millis(500);

/// Connections without a request that are kept for each address.
const MOST_KEPT: usize = 64;

/// Time after which a kept connection is not trusted: it may have gone silent unnoticed.
const TRUSTED_FOR: Duration = Duration::from_secs(4);

/// Kept connections by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    kept: RefCell<IndexMap<SocketAddr, Vec<Conn>>>,
}

impl Pool {
    /// A kept connection that can be used, the one used last first: those before it run out of use and
    /// are closed.
    pub(crate) fn take(&self, addr: SocketAddr) -> Option<Conn> {
        let mut kept = self.kept.borrow_mut();
        let conns = kept.get_mut(&addr)?;
        while let Some(mut conn) = conns.pop() {
            if conn.idle_since().elapsed() < TRUSTED_FOR && conn.is_reusable(MARGIN) {
                return Some(conn);
            }
        }
        None
    }

    /// A kept connection, or a new one.
    pub(crate) async fn get(&self, addr: SocketAddr, limits: ConnTimeouts) -> Result<Conn> {
        match self.take(addr) {
            Some(conn) => Ok(conn),
            None => Conn::connect(addr, limits).await,
        }
    }

    /// Keeps a connection whose answer was whole.
    pub(crate) fn put(&self, addr: SocketAddr, mut conn: Conn) {
        if !conn.is_reusable(MARGIN) {
            return;
        }
        let mut kept = self.kept.borrow_mut();
        let conns = kept.entry(addr).or_default();
        if conns.len() < MOST_KEPT {
            conns.push(conn);
        }
    }

    /// Drops all kept connections to an address.
    pub(crate) fn forget(&self, addr: SocketAddr) {
        self.kept.borrow_mut().shift_remove(&addr);
    }

    /// Drops connections that are not trusted any more.
    pub(crate) fn sweep(&self) {
        let mut kept = self.kept.borrow_mut();
        for conns in kept.values_mut() {
            conns.retain_mut(|c| c.idle_since().elapsed() < TRUSTED_FOR && c.is_reusable(MARGIN));
        }
        kept.retain(|_, conns| !conns.is_empty());
    }

    /// Drops all kept connections: after the machine stood still none can be trusted.
    pub(crate) fn clear(&self) {
        self.kept.borrow_mut().clear();
    }
}
