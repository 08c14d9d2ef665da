//! Attempts that this node grants to others that forward its requests.
//!
//! A forwarder may send a request to one engine. For each further one it asks the node that took the request, which alone
//! knows what all nodes have used of the attempts that the route allows.

use std::cell::RefCell;
use std::rc::Rc;

use hgw_direct::{AttemptCount, GrantId};
use hgw_events::{Event, emit};
use indexmap::IndexMap;
use rand::random;

use crate::shared::Node;

/// The attempts of a request, which it shares with the nodes that forward it.
#[derive(Debug)]
pub(crate) struct RequestAttempts {
    request_id: String,
    /// Attempts that its route allows.
    max: u32,
    count: RefCell<AttemptCount>,
}

impl RequestAttempts {
    /// Begins with attempts that were made elsewhere.
    pub(crate) fn new(request_id: String, max: u32, made: u32) -> RequestAttempts {
        RequestAttempts { request_id, max, count: RefCell::new(AttemptCount::starting_at(made)) }
    }

    /// Attempts that an engine may have executed; that may not yet be known of a pending one.
    pub(crate) fn executions(&self) -> u32 {
        self.count.borrow().executions()
    }

    /// The same, with a pending one.
    pub(crate) fn in_use(&self) -> u32 {
        self.count.borrow().in_use()
    }

    /// Whether another attempt is left.
    pub(crate) fn has_one_left(&self) -> bool {
        self.in_use() < self.max
    }

    pub(crate) fn set_pending(&self, is_pending: bool) {
        self.count.borrow_mut().set_pending(is_pending);
    }

    pub(crate) fn is_pending(&self) -> bool {
        self.count.borrow().is_pending()
    }

    /// Counts the pending attempt.
    pub(crate) fn record(&self) {
        self.count.borrow_mut().record();
    }

    /// Takes back an attempt that was counted and has not run.
    pub(crate) fn take_back(&self) {
        self.count.borrow_mut().take_back();
    }
}

/// Requests with attempts at other nodes.
pub(crate) type AttemptGrants = RefCell<IndexMap<GrantId, Rc<RequestAttempts>>>;

/// What a request grants to one other node, until dropped. Then all that was granted counts as executed.
pub(crate) struct Grant {
    node: Node,
    id: GrantId,
    attempts: Rc<RequestAttempts>,
}

impl Grant {
    /// Grants a first attempt.
    pub(crate) fn begin(node: &Node, attempts: &Rc<RequestAttempts>) -> Grant {
        let id = GrantId(random());
        attempts.count.borrow_mut().grant(id);
        node.attempt_grants.borrow_mut().insert(id, Rc::clone(attempts));
        Grant { node: Rc::clone(node), id, attempts: Rc::clone(attempts) }
    }

    pub(crate) fn id(&self) -> GrantId {
        self.id
    }

    /// Records what the other node says it has made so far.
    pub(crate) fn record_made(&self, made: u32) {
        self.attempts.count.borrow_mut().record_made(self.id, made);
    }

    /// Ends it, as the other node says that it has made so many and makes no more.
    pub(crate) fn settle(&self, made: u32) {
        self.attempts.count.borrow_mut().end(self.id, Some(made));
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.attempts.count.borrow_mut().end(self.id, None);
        self.node.attempt_grants.borrow_mut().swap_remove(&self.id);
    }
}

/// Whether the other node that holds a grant may make so many attempts in all.
pub(crate) fn raise(node: &Node, id: GrantId, attempts: u32) -> bool {
    let request = node.attempt_grants.borrow().get(&id).map(Rc::clone);
    let Some(request) = request else { return false };
    let is_granted = request.count.borrow_mut().raise(id, attempts, request.max);
    emit(
        Event::AttemptRequested,
        &[
            ("node", &node.settings.borrow().node),
            ("id", &request.request_id),
            ("grant", &id),
            ("attempts", &attempts),
            ("granted", &is_granted),
            ("runs", &request.executions()),
        ],
    );
    is_granted
}
