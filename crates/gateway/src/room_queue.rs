//! Requests that wait until engines have room for them, or have prefilled other prompts.

use std::cell::RefCell;
use std::rc::Rc;

use hgw_direct::quota::WaiterRank;
use hgw_direct::{BeginTimes, RoomGroup, RoomQueue, RoomReason, TicketId};
use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::shared::Node;

#[derive(Debug, Default)]
pub(crate) struct NodeRoomQueue {
    queue: RefCell<RoomQueue>,
    /// Notify waiting requests that they may try again, or have lost their place.
    notifies: RefCell<IndexMap<TicketId, Rc<Notify>>>,
    /// How long engines take to begin a response.
    pub(crate) begin_times: RefCell<BeginTimes>,
}

impl NodeRoomQueue {
    /// Notifies the first request of each group that there may be room.
    pub(crate) fn notify_room(&self) {
        let queue = self.queue.borrow();
        if queue.is_empty() {
            return;
        }
        queue.firsts().for_each(|ticket| self.notify(ticket));
    }

    /// Whether a request that arrives now has to let another one go first.
    pub(crate) fn goes_behind(&self, group: &RoomGroup, rank: WaiterRank) -> bool {
        self.queue.borrow().goes_behind(group, rank)
    }

    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.queue.borrow().len()
    }

    fn notify(&self, ticket: TicketId) {
        if let Some(notify) = self.notifies.borrow().get(&ticket) {
            notify.notify_one();
        }
    }
}

/// A request's place in the queue until dropped.
pub(crate) struct RoomTicket {
    node: Node,
    id: TicketId,
    notify: Rc<Notify>,
}

impl RoomTicket {
    /// Adds a request with a body of `bytes`; none if the queue is full.
    pub(crate) fn enter(
        node: &Node,
        group: RoomGroup,
        rank: WaiterRank,
        reason: RoomReason,
        bytes: usize,
    ) -> Option<RoomTicket> {
        let entered = node.room_queue.queue.borrow_mut().enter(group, rank, reason, bytes)?;
        let (id, notify) = (entered.ticket, Rc::new(Notify::new()));
        node.room_queue.notifies.borrow_mut().insert(id, Rc::clone(&notify));
        entered.displaced.iter().for_each(|ticket| node.room_queue.notify(*ticket));
        Some(RoomTicket { node: Rc::clone(node), id, notify })
    }

    /// Whether no other request goes first.
    pub(crate) fn is_first(&self) -> bool {
        self.node.room_queue.queue.borrow().is_first(self.id)
    }

    /// Whether it has lost its place to a more urgent request.
    pub(crate) fn is_displaced(&self) -> bool {
        !self.node.room_queue.queue.borrow().contains(self.id)
    }

    /// Whether more urgent requests for other adapters wait, which may use the same engines.
    pub(crate) fn has_more_urgent(&self) -> bool {
        self.node.room_queue.queue.borrow().has_more_urgent(self.id)
    }

    pub(crate) fn set_reason(&self, reason: RoomReason) {
        self.node.room_queue.queue.borrow_mut().set_reason(self.id, reason);
    }

    /// Returns when it may try again, or has lost its place.
    pub(crate) async fn notified(&self) {
        self.notify.notified().await;
    }
}

impl Drop for RoomTicket {
    fn drop(&mut self) {
        self.node.room_queue.queue.borrow_mut().leave(self.id);
        self.node.room_queue.notifies.borrow_mut().swap_remove(&self.id);
        self.node.room_queue.notify_room();
    }
}
