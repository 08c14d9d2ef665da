//! Queue of requests that wait for engines to prefill other prompts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::shared::Node;

#[derive(Debug, Default)]
pub(crate) struct PrefillQueue {
    /// Model and priority by arrival number.
    waiting: RefCell<IndexMap<u64, (String, u8)>>,
    last_number: Cell<u64>,
    /// Notified when an engine has prefilled a prompt or a request has left the queue.
    pub(crate) changed: Notify,
}

/// A request's place in the queue until dropped. Requests for the same model are ordered by
/// priority, then by arrival.
pub(crate) struct PrefillTicket {
    node: Node,
    number: u64,
}

impl PrefillTicket {
    pub(crate) fn enqueue(node: &Node, model: &str, priority: u8) -> PrefillTicket {
        let number = node.prefill_queue.last_number.get() + 1;
        node.prefill_queue.last_number.set(number);
        node.prefill_queue.waiting.borrow_mut().insert(number, (model.to_owned(), priority));
        PrefillTicket { node: Rc::clone(node), number }
    }

    /// Whether no other request for the same model goes first.
    pub(crate) fn is_first(&self) -> bool {
        let waiting = self.node.prefill_queue.waiting.borrow();
        let Some((model, priority)) = waiting.get(&self.number) else { return true };
        let mut others = waiting.iter().filter(|(_, (other, _))| other == model);
        others.all(|(number, (_, other))| (priority, self.number) <= (other, *number))
    }
}

impl Drop for PrefillTicket {
    fn drop(&mut self) {
        self.node.prefill_queue.waiting.borrow_mut().swap_remove(&self.number);
        self.node.prefill_queue.changed.notify_waiters();
    }
}
