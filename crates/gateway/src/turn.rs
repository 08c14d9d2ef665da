//! Queue of requests that wait for engines to prefill other prompts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::shared::Node;

#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// Model and priority by arrival number.
    waiting: RefCell<IndexMap<u64, (String, u8)>>,
    last_number: Cell<u64>,
    /// Notified when an engine has prefilled a prompt or a request has left the queue.
    pub(crate) next: Notify,
}

/// A request's place in the queue until dropped. Requests for the same model are ordered by
/// priority, then by arrival.
pub(crate) struct Turn {
    node: Node,
    number: u64,
}

impl Turn {
    pub(crate) fn enqueue(node: &Node, model: &str, priority: u8) -> Turn {
        let number = node.turns.last_number.get() + 1;
        node.turns.last_number.set(number);
        node.turns.waiting.borrow_mut().insert(number, (model.to_owned(), priority));
        Turn { node: Rc::clone(node), number }
    }

    /// Whether no other request for the same model goes first.
    pub(crate) fn is_first(&self) -> bool {
        let waiting = self.node.turns.waiting.borrow();
        let Some((model, priority)) = waiting.get(&self.number) else { return true };
        let mut others = waiting.iter().filter(|(_, (other, _))| other == model);
        others.all(|(number, (_, other))| (priority, self.number) <= (other, *number))
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.node.turns.waiting.borrow_mut().swap_remove(&self.number);
        self.node.turns.next.notify_waiters();
    }
}
