use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::shared::Node;

/// Requests that wait until engines have read what they have to read.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// Model and priority, by the order in which they came.
    waiting: RefCell<IndexMap<u64, (String, u8)>>,
    last: Cell<u64>,
    /// Told when an engine has read a prompt, and when a request waits no more.
    pub(crate) next: Notify,
}

/// A request's place among those that wait for a model, until this is dropped: the most urgent first, then by their
/// coming.
pub(crate) struct Turn {
    node: Node,
    number: u64,
}

impl Turn {
    pub(crate) fn wait(node: &Node, model: &str, priority: u8) -> Turn {
        let number = node.turns.last.get() + 1;
        node.turns.last.set(number);
        node.turns.waiting.borrow_mut().insert(number, (model.to_owned(), priority));
        Turn { node: Rc::clone(node), number }
    }

    /// Whether nobody else goes first.
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
