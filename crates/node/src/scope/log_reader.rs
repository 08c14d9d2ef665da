use std::time::Duration;

use hgw_types::{Offset, StreamName, Time};

use crate::Action;
use crate::context::Context;

/// Pause after a read that the log did not answer. While the log is down every stream of every node
/// asks again this often; once a second is little load and finds the log back soon enough.
const RETRY: Duration = Duration::from_secs(1);

/// Reads one stream on and on, with one read under way at a time.
#[derive(Debug)]
pub(crate) struct LogReader {
    stream: StreamName,
    next: Offset,
    reading: bool,
    not_before: Time,
}

impl LogReader {
    pub(crate) fn new(stream: StreamName) -> Self {
        LogReader { stream, next: Offset(1), reading: false, not_before: Time::ZERO }
    }

    pub(crate) fn stream(&self) -> &StreamName {
        &self.stream
    }

    /// Asks for the next records unless a read is under way.
    pub(crate) fn read_on(&mut self, cx: &mut Context<'_>) {
        if self.reading || cx.now < self.not_before {
            return;
        }
        self.reading = true;
        cx.act(Action::Read { stream: self.stream.clone(), from: self.next });
    }

    /// A read was answered; the next one begins at `next`.
    pub(crate) fn answered(&mut self, next: Offset) {
        self.reading = false;
        self.next = self.next.max(next);
    }

    /// A read was not answered.
    pub(crate) fn failed(&mut self, now: Time) {
        self.reading = false;
        self.not_before = now + RETRY;
    }
}
