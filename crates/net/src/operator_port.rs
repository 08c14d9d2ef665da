use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hgw_node::{CallId, Event, OperatorReply, OperatorRequest};
use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::inbox::Inbox;
use crate::streams::lock;

/// Calls that may wait for their answer at one time.
const MAX_CALLS: usize = 256;

/// Answer to a call, or nothing where the control thread is too busy or has ended.
pub type ReplyFuture<'a> = Pin<Box<dyn Future<Output = Option<OperatorReply>> + Send + 'a>>;

/// Where operators' calls are put to the control thread.
pub trait OperatorPort: Send + Sync {
    /// Asks the control thread.
    ///
    /// The caller bounds the wait: dropping the future forgets the call.
    fn call(&self, request: OperatorRequest) -> ReplyFuture<'_>;
}

/// The port of a running process.
#[derive(Debug, Clone)]
pub(crate) struct ControlPort {
    calls: Arc<Calls>,
    inbox: Inbox,
}

/// Calls that wait for their answer.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    next: AtomicU64,
    waiting: std::sync::Mutex<IndexMap<CallId, oneshot::Sender<OperatorReply>>>,
}

impl Calls {
    /// Hands an answer to the call that waits for it, if it still does.
    pub(crate) fn reply(&self, call: CallId, reply: OperatorReply) {
        let waiting = lock(&self.waiting).swap_remove(&call);
        if let Some(tx) = waiting {
            // A call that has been given up needs no answer.
            let _ = tx.send(reply);
        }
    }
}

impl Calls {
    /// Gives up all calls that wait: nobody answers them any more.
    pub(crate) fn abandon(&self) {
        lock(&self.waiting).clear();
    }
}

impl ControlPort {
    pub(crate) fn new(calls: Arc<Calls>, inbox: Inbox) -> Self {
        ControlPort { calls, inbox }
    }

    async fn ask(&self, request: OperatorRequest) -> Option<OperatorReply> {
        let call = CallId(self.calls.next.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        {
            let mut waiting = lock(&self.calls.waiting);
            waiting.retain(|_, tx| !tx.is_closed());
            if waiting.len() >= MAX_CALLS {
                return None;
            }
            waiting.insert(call, tx);
        }
        if !self.inbox.offer(Event::Operator { call, request }) {
            lock(&self.calls.waiting).swap_remove(&call);
            return None;
        }
        rx.await.ok()
    }
}

impl OperatorPort for ControlPort {
    fn call(&self, request: OperatorRequest) -> ReplyFuture<'_> {
        Box::pin(self.ask(request))
    }
}
