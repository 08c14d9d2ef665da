//! What every part of a node works with: the time, ids, and the way out for its actions.

use std::collections::VecDeque;

use hgw_types::{AttemptId, NodeId, RecordId, Time};
use hgw_wire::peer::Message;

use crate::{Action, Settings};

/// Makes ids that no other node or start of a process makes.
#[derive(Debug)]
pub(crate) struct Ids {
    boot: u64,
    seq: u64,
}

impl Ids {
    pub(crate) fn new(boot: u64) -> Self {
        Ids { boot, seq: 0 }
    }

    fn next(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }
}

/// What a part needs to act on one event.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    pub(crate) settings: &'a Settings,
    pub(crate) ids: &'a mut Ids,
    pub(crate) out: &'a mut Vec<Action>,
    /// Messages of this node to itself, handled before the next event.
    pub(crate) local: &'a mut VecDeque<Message>,
}

impl Context<'_> {
    pub(crate) fn attempt(&mut self) -> AttemptId {
        AttemptId { boot: self.ids.boot, seq: self.ids.next() }
    }

    pub(crate) fn record(&mut self) -> RecordId {
        RecordId { boot: self.ids.boot, seq: self.ids.next() }
    }

    pub(crate) fn act(&mut self, action: Action) {
        self.out.push(action);
    }

    /// Says something to a node, which may be this one: both ways run the same code.
    pub(crate) fn send(&mut self, to: &NodeId, message: Message) {
        if *to == self.settings.node {
            self.local.push_back(message);
        } else {
            self.act(Action::Send { to: to.clone(), message: Box::new(message) });
        }
    }
}
