//! The bounded ring of events before the control thread.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hgw_node::Event;

use crate::meter;
use crate::streams::lock;

/// Pause before the next try to put an event that must not be lost into a full ring.
const FULL_PAUSE: Duration = Duration::from_millis(1);

/// The sending side.
#[derive(Debug, Clone)]
pub(crate) struct Inbox {
    tx: SyncSender<Event>,
    spill: Arc<Spill>,
}

/// Events from places that can neither wait nor lose one; at most one for each open request.
#[derive(Debug, Default)]
struct Spill {
    used: AtomicBool,
    events: Mutex<Vec<Event>>,
}

/// The control thread's side.
#[derive(Debug)]
pub(crate) struct Events {
    rx: Receiver<Event>,
    spill: Arc<Spill>,
}

/// Builds a ring for `size` events.
pub(crate) fn inbox(size: usize) -> (Inbox, Events) {
    let (tx, rx) = sync_channel(size);
    let spill = Arc::new(Spill::default());
    (Inbox { tx, spill: Arc::clone(&spill) }, Events { rx, spill })
}

impl Inbox {
    /// Puts an event in unless the ring is full or the control thread has ended.
    pub(crate) fn offer(&self, event: Event) -> bool {
        let sent = self.tx.try_send(event).is_ok();
        if !sent {
            meter::ring_full("control");
        }
        sent
    }

    /// Puts an event in, waiting for room: the wait holds back the connection that it came from.
    pub(crate) async fn deliver(&self, event: Event) {
        let mut event = event;
        loop {
            match self.tx.try_send(event) {
                Err(TrySendError::Full(back)) => event = back,
                Ok(()) | Err(TrySendError::Disconnected(_)) => return,
            }
            meter::ring_full("control");
            tokio::time::sleep(FULL_PAUSE).await;
        }
    }

    /// Puts an event in without waiting and without losing it.
    pub(crate) fn post(&self, event: Event) {
        if let Err(TrySendError::Full(event)) = self.tx.try_send(event) {
            meter::ring_full("control");
            lock(&self.spill.events).push(event);
            self.spill.used.store(true, Ordering::Release);
        }
    }
}

impl Events {
    /// Waits for an event and adds those that are there to `out`, at most `max`.
    pub(crate) fn drain(&self, wait: Duration, max: usize, out: &mut Vec<Event>) {
        match self.rx.recv_timeout(wait) {
            Ok(event) => out.push(event),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
        }
        out.extend(self.rx.try_iter().take(max));
        if self.spill.used.swap(false, Ordering::Acquire) {
            out.append(&mut lock(&self.spill.events));
        }
    }
}
