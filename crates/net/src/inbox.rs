//! The bounded ring of events before the control thread.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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
    requests: Arc<Requests>,
}

/// Callers' requests in the ring.
#[derive(Debug)]
struct Requests {
    waiting: AtomicUsize,
    limit: usize,
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
    requests: Arc<Requests>,
}

/// Builds a ring for `size` events.
pub(crate) fn inbox(size: usize) -> (Inbox, Events) {
    let (tx, rx) = sync_channel(size);
    let spill = Arc::new(Spill::default());
    let requests = Arc::new(Requests { waiting: AtomicUsize::new(0), limit: size / 2 });
    let inbox = Inbox { tx, spill: Arc::clone(&spill), requests: Arc::clone(&requests) };
    (inbox, Events { rx, spill, requests })
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

    /// Puts a caller's request in unless half of the ring is taken by requests.
    ///
    /// A burst of callers fills the ring faster than the control thread empties it. Ends of answers
    /// and peers' messages would wait behind requests that can only be refused; the other half of
    /// the ring stays free for them.
    pub(crate) fn offer_request(&self, event: Event) -> bool {
        let waiting = self.requests.waiting.fetch_add(1, Ordering::Relaxed);
        let sent = if waiting < self.requests.limit {
            self.offer(event)
        } else {
            meter::ring_full("requests");
            false
        };
        if !sent {
            self.requests.waiting.fetch_sub(1, Ordering::Relaxed);
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
        let is_request = |event: &&Event| matches!(event, Event::CallerRequest { .. });
        let requests = out.iter().filter(is_request).count();
        self.requests.waiting.fetch_sub(requests, Ordering::Relaxed);
        if self.spill.used.swap(false, Ordering::Acquire) {
            out.append(&mut lock(&self.spill.events));
        }
    }
}
