//! Bodies of requests, which can refuse to leave too late.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, SizeHint};

/// A body that is sent in one piece.
#[derive(Debug)]
pub(crate) struct SendBody {
    bytes: Option<Bytes>,
    gate: Option<Gate>,
}

/// Keeps a body from leaving after a time.
///
/// An order may be held in a process that stands still, and leave when somebody else has long
/// counted it as void. The connection asks for the body just before it writes, so that the time is
/// looked at then and not when the order was made. Without its body an order has no effect.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    until: Instant,
    closed: Arc<AtomicBool>,
}

/// The body was asked for after its time.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("the time to send it has passed")]
pub(crate) struct TooLate;

impl Gate {
    pub(crate) fn new(until: Instant) -> Self {
        Gate { until, closed: Arc::default() }
    }

    /// Whether the body was asked for too late, and so has not left.
    pub(crate) fn has_held_back(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}

impl SendBody {
    pub(crate) fn new(bytes: Bytes) -> Self {
        SendBody { bytes: (!bytes.is_empty()).then_some(bytes), gate: None }
    }

    /// The same body behind a gate.
    pub(crate) fn behind(self, gate: Gate) -> Self {
        SendBody { gate: Some(gate), ..self }
    }
}

impl Body for SendBody {
    type Data = Bytes;
    type Error = TooLate;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TooLate>>> {
        if let Some(gate) = &self.gate
            && Instant::now() > gate.until
        {
            gate.closed.store(true, Ordering::Release);
            return Poll::Ready(Some(Err(TooLate)));
        }
        Poll::Ready(self.bytes.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
