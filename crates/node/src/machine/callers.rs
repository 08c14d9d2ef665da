use hgw_types::Time;

use super::{Node, context, view};
use crate::entry::stopping_answer;
use crate::{Action, CallerRequest, StreamId};

impl Node {
    pub(super) fn on_request(
        &mut self,
        now: Time,
        stream: StreamId,
        request: CallerRequest,
        out: &mut Vec<Action>,
    ) {
        if self.stop.has_begun() {
            out.push(Action::Answer { stream, answer: stopping_answer() });
            return;
        }
        self.entry.on_request(&mut context!(self, now, out), &view!(self), stream, request);
    }
}
