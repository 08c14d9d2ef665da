//! Reads a stream from its engine while its caller reads slowly.
//!
//! An engine is held up, and in the end cuts off the response, when nobody reads. So a task of its own reads the stream into
//! a buffer from which the caller is served; the memory of all such buffers is bounded.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use futures_core::Stream;
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until};

use crate::held_bytes::Account;
use crate::meter;
use crate::response::{BodyAborted, ResponseBody};
use crate::shutdown::ActiveRequest;

use super::stream::ResponseStream;

/// Interval at which a stream without room checks whether other streams have left some. Engines cut off what nobody reads
/// only after seconds.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(500);

type Piece = Result<Bytes, BodyAborted>;

/// What has been read from the engine and not yet been taken by the caller's connection.
#[derive(Default)]
struct Buffer {
    pieces: RefCell<VecDeque<Piece>>,
    /// Whether there are no more pieces than these.
    is_closed: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

impl Buffer {
    fn push(&self, piece: Piece) {
        self.pieces.borrow_mut().push_back(piece);
        self.wake_reader();
    }

    fn close(&self) {
        self.is_closed.set(true);
        self.wake_reader();
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// The caller's end of the buffer.
struct BufferedStream {
    buffer: Rc<Buffer>,
    /// The task that reads from the engine; ends with the caller's connection.
    task: AbortHandle,
    _active: Option<ActiveRequest>,
}

/// Begins to read a stream ahead of its caller.
pub(super) fn start(mut stream: ResponseStream) -> ResponseBody {
    let node = Rc::clone(&stream.req.node);
    let active = stream.req.active.take();
    let buffer = Rc::new(Buffer::default());
    let account = node.held_memory.open_account(true);
    let filled = fill(stream, Rc::clone(&buffer), account);
    let task = tokio::task::spawn_local(filled).abort_handle();
    ResponseBody::Stream(Box::pin(BufferedStream { buffer, task, _active: active }))
}

async fn fill(mut stream: ResponseStream, buffer: Rc<Buffer>, account: Arc<Account>) {
    loop {
        if !wait_for_room(&mut stream, &account).await {
            let (aborted, _) = stream.abort();
            buffer.push(aborted);
            break;
        }
        let Some((piece, next)) = stream.next_piece().await else { break };
        stream = next;
        buffer.push(piece.map(|bytes| account.hold_copy(&bytes)));
    }
    buffer.close();
}

/// Waits until the stream may be read further ahead; returns false if its time is over before.
async fn wait_for_room(stream: &mut ResponseStream, account: &Account) -> bool {
    let node = Rc::clone(&stream.req.node);
    let may_read = || node.read_ahead_bound().may_read(node.held_memory.held(), account.bytes());
    if may_read() {
        return true;
    }
    meter::read_ahead_stopped();
    stream.record_held_up();
    while !may_read() {
        tokio::select! {
            () = account.freed.notified() => {}
            () = sleep(ROOM_CHECK_INTERVAL) => {}
            () = sleep_until(stream.req.deadline_at) => return false,
        }
    }
    true
}

impl Stream for BufferedStream {
    type Item = Piece;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Piece>> {
        let buffer = &self.buffer;
        if let Some(piece) = buffer.pieces.borrow_mut().pop_front() {
            return Poll::Ready(Some(piece));
        }
        if buffer.is_closed.get() {
            return Poll::Ready(None);
        }
        buffer.reader.replace(Some(cx.waker().clone()));
        Poll::Pending
    }
}

impl Drop for BufferedStream {
    fn drop(&mut self) {
        // An engine must not go on working for a caller that has left.
        self.task.abort();
        if self.buffer.is_closed.get() && !self.buffer.pieces.borrow().is_empty() {
            meter::response_unread();
        }
    }
}
