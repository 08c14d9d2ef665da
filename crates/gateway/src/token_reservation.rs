//! The memory of an engine that a request of this node holds there, in tokens.

use std::cell::Cell;
use std::rc::Rc;

use hgw_direct::{EngineId, RequestMemory, SendId, StartTime};

use crate::peers::Datagram;
use crate::shared::Node;

/// Counts the tokens that a request holds at an engine until dropped.
pub(crate) struct TokenReservation {
    node: Node,
    engine: EngineId,
    /// Start time of the engine process that the request was sent to.
    started_at: StartTime,
    id: SendId,
    request: RequestMemory,
    tokens: Cell<u32>,
}

impl TokenReservation {
    /// Counts the memory of a request that is sent to an engine.
    pub(crate) fn reserve(
        node: &Node,
        engine: &EngineId,
        started_at: StartTime,
        request_id: &str,
        request: RequestMemory,
    ) -> TokenReservation {
        let reservation = TokenReservation {
            node: Rc::clone(node),
            engine: engine.clone(),
            started_at,
            id: SendId::of(request_id),
            request,
            tokens: Cell::new(0),
        };
        reservation.record_output(0);
        reservation
    }

    /// Records how many tokens of output have arrived.
    pub(crate) fn record_output(&self, output: u32) {
        self.set(self.request.held(output));
    }

    fn set(&self, tokens: u32) {
        let previous = self.tokens.replace(tokens);
        if previous == tokens {
            return;
        }
        if let Some(engine) = self.node.state.borrow_mut().engines.get_mut(&self.engine)
            && !self.started_at.is_before(engine.info.started_at)
        {
            engine.held_tokens.replace_own(previous, tokens);
        }
        let held = Datagram::Held(self.engine.clone(), self.started_at, self.id, tokens);
        self.node.peer_socket.broadcast(&self.node, &held);
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
