use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// When each slot of an upstream comes free, in microseconds from now.
///
/// Work is laid onto the slots in the order in which it will start; that gives each its start.
#[derive(Debug)]
pub(super) struct Slots(BinaryHeap<Reverse<u64>>);

impl Slots {
    /// Slots from the times at which running work ends; all others are free now.
    pub(super) fn new(count: u32, ends: impl Iterator<Item = u64>) -> Self {
        let mut ends: Vec<u64> = ends.collect();
        ends.sort_unstable();
        let count = count.max(1) as usize;
        // More work than slots: the first to end free no slot.
        let over = ends.len().saturating_sub(count);
        let mut heap: BinaryHeap<_> = ends.drain(over..).map(Reverse).collect();
        while heap.len() < count {
            heap.push(Reverse(0));
        }
        Slots(heap)
    }

    /// Lays work of this length onto the next free slot and returns its start.
    pub(super) fn take(&mut self, length: u64) -> u64 {
        let Reverse(start) = self.0.pop().unwrap_or_default();
        self.0.push(Reverse(start + length));
        start
    }

    /// When the next slot comes free.
    pub(super) fn next(&self) -> u64 {
        self.0.peek().map_or(0, |Reverse(t)| *t)
    }
}
