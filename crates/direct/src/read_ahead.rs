//! How much of its memory a node uses for responses and bodies that wait for their readers.

/// Share of a node's memory for them. The process itself takes up to a fifth of the smallest node; the kernel's
/// socket buffers and bursts need room as well.
const MEMORY_SHARE: f64 = 0.2;

/// Part of it that streams may use, so that slow readers of streams do not use up the room for calls.
const STREAM_SHARE: f64 = 0.75;

/// Memory that responses may use which engines have run, as a multiple of that share.
const RUN_SHARES: usize = 2;

/// What a stream may hold even while there is no room: one read from an engine, in bytes, without which a
/// caller that does read would wait.
pub const MIN_STREAM_BYTES: usize = 8 << 10;

/// Largest body of a call, in bytes, that needs no room: a connection's own buffers are as large.
pub const SMALL_BODY_BYTES: usize = 16 << 10;

/// What is held now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldBytes {
    pub total: usize,
    /// Streams that hold more than [`MIN_STREAM_BYTES`].
    pub large_streams: usize,
}

/// Bound of what all streams and calls of a node hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadAheadBound {
    bytes: usize,
}

impl ReadAheadBound {
    /// The bound of a node with this much memory.
    pub fn of_memory(memory_bytes: u64) -> ReadAheadBound {
        ReadAheadBound { bytes: (memory_bytes as f64 * MEMORY_SHARE) as usize }
    }

    pub fn bytes(self) -> usize {
        self.bytes
    }

    /// Whether a stream that holds `own` bytes may be read further ahead of its caller.
    ///
    /// Each stream gets at most an equal part, and no more than what is free: whatever the first ones hold, there is
    /// room for those that come after them.
    pub fn may_read(self, held: HeldBytes, own: usize) -> bool {
        if own < MIN_STREAM_BYTES {
            return true;
        }
        let bytes = (self.bytes as f64 * STREAM_SHARE) as usize;
        let is_counted = own > MIN_STREAM_BYTES;
        let streams = held.large_streams + usize::from(!is_counted);
        own < (bytes / streams.max(1)).min(bytes.saturating_sub(held.total))
    }

    /// Whether a response that an engine has run may take `bytes` more beside the `own` bytes that it holds.
    ///
    /// It may take as much again as what is admitted, so that it is delivered though callers read slowly, but no more than it
    /// leaves free: responses without end leave room for others, however many they are.
    pub fn admits_run(self, held: HeldBytes, own: usize, bytes: usize) -> bool {
        let free = (RUN_SHARES * self.bytes).saturating_sub(held.total + bytes);
        own + bytes <= SMALL_BODY_BYTES || own + bytes <= free
    }

    /// Whether a call may take `bytes` more beside the `own` bytes that it holds.
    pub fn admits(self, held: HeldBytes, own: usize, bytes: usize) -> bool {
        own + bytes <= SMALL_BODY_BYTES || held.total + bytes <= self.bytes
    }
}

/// Expected size of a route's responses, from the sizes of the last ones.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResponseSize {
    bytes: f64,
}

/// Part of the expected size that one smaller response leaves.
const SIZE_DECAY: f64 = 0.95;

impl ResponseSize {
    /// Takes in the size of a response: a larger one counts at once, smaller ones by and by.
    pub fn record(&mut self, bytes: usize) {
        self.bytes = (bytes as f64).max(self.bytes * SIZE_DECAY);
    }

    /// Bytes that the next response may have; 0 while nothing is known.
    pub fn expected(self) -> usize {
        self.bytes as usize
    }
}
