//! A streamed answer whose caller is watched.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use futures_core::Stream;

use super::connection::Connection;

/// Notes when bytes of a streamed answer wait for the caller.
///
/// The server asks for more until there is nothing, or enough, and then writes all of it before it
/// asks again. So a question after a `Pending` means that everything has been written; after an
/// item it means only that the server is not held up now. Taking both for written would miss every
/// caller that stalls just after a `Pending`.
pub(super) struct Watched<S> {
    connection: Option<Arc<Connection>>,
    stream: Pin<Box<S>>,
    was_pending: bool,
}

impl<S> Watched<S> {
    pub(super) fn new(connection: Option<Arc<Connection>>, stream: S) -> Self {
        Watched { connection, stream: Box::pin(stream), was_pending: false }
    }
}

impl<S: Stream> Stream for Watched<S> {
    type Item = S::Item;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<S::Item>> {
        let this = &mut *self;
        match &this.connection {
            Some(connection) if this.was_pending => connection.wrote(),
            Some(connection) => connection.writes(),
            None => {}
        }
        this.was_pending = true;
        let item = ready!(this.stream.as_mut().poll_next(cx));
        this.was_pending = false;
        if let Some(connection) = &this.connection {
            connection.writes();
        }
        Poll::Ready(item)
    }
}
