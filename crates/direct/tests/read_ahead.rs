//! How a node's memory is divided between responses that wait for their readers.

use hgw_direct::{HeldBytes, MIN_STREAM_BYTES, ReadAheadBound, ResponseSize, SMALL_BODY_BYTES};
use proptest::prelude::*;

const MEMORY: u64 = 120 << 20;
const READ: usize = 8 << 10;

/// Streams of a node of which none is read by its caller.
struct Streams {
    bound: ReadAheadBound,
    own: Vec<usize>,
}

impl Streams {
    fn held(&self) -> HeldBytes {
        let large_streams = self.own.iter().filter(|own| **own > MIN_STREAM_BYTES).count();
        HeldBytes { total: self.own.iter().sum(), large_streams }
    }

    /// Reads as much as may be read, in turn; returns the most that was held.
    fn fill(&mut self) -> usize {
        loop {
            let mut has_read = false;
            for at in 0..self.own.len() {
                if self.bound.may_read(self.held(), self.own[at]) {
                    self.own[at] += READ;
                    has_read = true;
                }
            }
            if !has_read {
                return self.held().total;
            }
        }
    }
}

/// Guards against memory that grows with the number of streams, and against a stream that gets nothing.
#[test]
fn sum_is_bounded_and_each_stream_has_its_minimum() {
    let bound = ReadAheadBound::of_memory(MEMORY);
    for count in [1, 2, 12, 300, 1_725] {
        let mut streams = Streams { bound, own: vec![0; count] };
        let most = streams.fill();
        let minimums = count * (MIN_STREAM_BYTES + READ);
        assert!(most <= bound.bytes() + minimums, "{count} streams hold {most}");
        assert!(streams.own.iter().all(|own| *own >= MIN_STREAM_BYTES), "{count} streams");
        let (least, largest) = (streams.own.iter().min(), streams.own.iter().max());
        assert!(largest.unwrap() - least.unwrap() <= READ, "{count}: {least:?} to {largest:?}");
    }
}

/// Guards against first streams that leave nothing to later ones.
#[test]
fn stream_that_comes_later_finds_room() {
    let mut streams = Streams { bound: ReadAheadBound::of_memory(MEMORY), own: vec![0; 3] };
    streams.fill();
    streams.own.push(0);
    streams.fill();
    assert!(streams.own[3] > 100 * MIN_STREAM_BYTES, "{:?}", streams.own);
}

/// Guards against calls that are refused since slow readers of streams hold all the room.
#[test]
fn streams_leave_room_for_calls() {
    let bound = ReadAheadBound::of_memory(MEMORY);
    let mut streams = Streams { bound, own: vec![0; 300] };
    streams.fill();
    assert!(bound.admits(streams.held(), 0, 1 << 20));
    assert!(!bound.admits(streams.held(), 0, bound.bytes()));
    let full = HeldBytes { total: bound.bytes(), large_streams: 0 };
    assert!(bound.admits(full, 0, SMALL_BODY_BYTES), "a small call needs no room");
    assert!(!bound.admits(full, SMALL_BODY_BYTES, 1));
}

/// Guards against responses that were run and are not delivered as callers read slowly, and against responses without end
/// that take the room of others.
#[test]
fn responses_that_were_run_have_room() {
    let bound = ReadAheadBound::of_memory(MEMORY);
    let full = HeldBytes { total: bound.bytes(), large_streams: 0 };
    assert!(bound.admits_run(full, 0, bound.bytes() / 4));
    assert!(!bound.admits_run(HeldBytes::default(), 0, bound.bytes() + 1));
    let mut endless = vec![0; 200];
    for _ in 0..200 {
        for n in 0..endless.len() {
            let held = HeldBytes { total: endless.iter().sum(), large_streams: 0 };
            // What is not admitted ends, and another response follows.
            endless[n] =
                if bound.admits_run(held, endless[n], READ) { endless[n] + READ } else { 0 };
            let held = HeldBytes { total: endless.iter().sum(), large_streams: 0 };
            assert!(held.total < 2 * bound.bytes());
            assert!(bound.admits_run(held, 0, 4 * SMALL_BODY_BYTES), "others have room");
        }
    }
}

/// Guards against a route whose one large response is forgotten at once, or expected forever.
#[test]
fn expected_size_follows_the_responses() {
    let mut size = ResponseSize::default();
    assert_eq!(size.expected(), 0);
    size.record(1 << 20);
    size.record(100);
    assert!(size.expected() > 900 << 10, "{size:?}");
    (0..300).for_each(|_| size.record(100));
    assert_eq!(size.expected(), 100);
}

proptest! {
    /// Guards against a stream that may hold more than an equal part, whatever the others hold.
    #[test]
    fn no_stream_exceeds_an_equal_part(memory in 0_u64..1 << 32, total in 0_usize..1 << 32, large in 0_usize..2_000, own in 0_usize..1 << 30) {
        let bound = ReadAheadBound::of_memory(memory);
        let held = HeldBytes { total: total.max(own), large_streams: large };
        if own > MIN_STREAM_BYTES && bound.may_read(held, own) {
            prop_assert!(own * large.max(1) <= bound.bytes());
        }
    }
}
