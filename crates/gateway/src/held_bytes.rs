//! Memory that responses and bodies hold at this node until their readers have taken them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use hgw_direct::{HeldBytes, MIN_STREAM_BYTES, ReadAheadBound};
use tokio::sync::Notify;

use crate::shared::Shared;

/// What a piece takes beside its bytes: the allocations around it, and its place in queues.
const PIECE_OVERHEAD: usize = 128;

/// Sums over all accounts. They are only used by one thread; pieces that hyper owns have to be `Send`.
#[derive(Debug, Default)]
struct Totals {
    bytes: AtomicUsize,
    large_streams: AtomicUsize,
}

/// What all streams and calls of this node hold.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeldMemory(Arc<Totals>);

impl HeldMemory {
    pub(crate) fn held(&self) -> HeldBytes {
        HeldBytes {
            total: self.0.bytes.load(Ordering::Relaxed),
            large_streams: self.0.large_streams.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn open_account(&self, is_stream: bool) -> Arc<Account> {
        Arc::new(Account {
            totals: Arc::clone(&self.0),
            is_stream,
            bytes: AtomicUsize::new(0),
            freed: Notify::new(),
        })
    }
}

impl Shared {
    /// Bound of what all accounts hold together.
    pub(crate) fn read_ahead_bound(&self) -> ReadAheadBound {
        ReadAheadBound::of_memory(self.settings.borrow().memory_bytes)
    }
}

/// What one stream or call holds.
#[derive(Debug)]
pub(crate) struct Account {
    totals: Arc<Totals>,
    is_stream: bool,
    bytes: AtomicUsize,
    /// Notified when a part of it is freed.
    pub(crate) freed: Notify,
}

impl Account {
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Charges `data` until its last reference is dropped.
    pub(crate) fn hold(self: &Arc<Self>, data: Vec<u8>) -> Bytes {
        let bytes = data.capacity() + PIECE_OVERHEAD;
        self.add(bytes);
        Bytes::from_owner(HeldPiece { data, bytes, account: Arc::clone(self) })
    }

    /// Charges a copy of `data`. The buffer of a connection, of which `data` may be a small part, is freed.
    pub(crate) fn hold_copy(self: &Arc<Self>, data: &[u8]) -> Bytes {
        self.hold(data.to_vec())
    }

    fn add(&self, bytes: usize) {
        self.totals.bytes.fetch_add(bytes, Ordering::Relaxed);
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        if self.is_stream && before <= MIN_STREAM_BYTES && before + bytes > MIN_STREAM_BYTES {
            self.totals.large_streams.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn remove(&self, bytes: usize) {
        self.totals.bytes.fetch_sub(bytes, Ordering::Relaxed);
        let before = self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        if self.is_stream && before > MIN_STREAM_BYTES && before - bytes <= MIN_STREAM_BYTES {
            self.totals.large_streams.fetch_sub(1, Ordering::Relaxed);
        }
        self.freed.notify_one();
    }
}

/// A piece of a response, charged until it has been written to the caller.
struct HeldPiece {
    data: Vec<u8>,
    /// What it is charged.
    bytes: usize,
    account: Arc<Account>,
}

impl AsRef<[u8]> for HeldPiece {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for HeldPiece {
    fn drop(&mut self) {
        self.account.remove(self.bytes);
    }
}

/// Room for a body that is not read yet, or not yet whole.
#[derive(Debug)]
pub(crate) struct Reservation {
    account: Arc<Account>,
    bytes: usize,
}

impl Reservation {
    pub(crate) fn empty(memory: &HeldMemory) -> Reservation {
        Reservation { account: memory.open_account(false), bytes: 0 }
    }

    /// Extends it to `bytes` if there is room for that.
    pub(crate) fn try_extend(
        &mut self,
        memory: &HeldMemory,
        bound: ReadAheadBound,
        bytes: usize,
    ) -> bool {
        self.extend_if(bytes, |own, more| bound.admits(memory.held(), own, more))
    }

    /// Extends it to `bytes` for a response that an engine has run, if there is room for that.
    pub(crate) fn try_extend_run(
        &mut self,
        memory: &HeldMemory,
        bound: ReadAheadBound,
        bytes: usize,
    ) -> bool {
        self.extend_if(bytes, |own, more| bound.admits_run(memory.held(), own, more))
    }

    /// Extends it to `bytes` if what it has and what it lacks are admitted.
    fn extend_if(&mut self, bytes: usize, admits: impl FnOnce(usize, usize) -> bool) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let has_room = more == 0 || admits(self.bytes, more);
        if has_room {
            self.extend(bytes);
        }
        has_room
    }

    /// Extends it to `bytes` whether or not there is room.
    pub(crate) fn extend(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 {
            self.account.add(more);
            self.bytes += more;
        }
    }

    /// Charges `data` in place of the reservation.
    pub(crate) fn hold(self, data: Vec<u8>) -> Bytes {
        let account = Arc::clone(&self.account);
        drop(self);
        account.hold(data)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.account.remove(self.bytes);
        }
    }
}
