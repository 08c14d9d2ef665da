//! Tracking of the prefill backlog.

use hgw_direct::{PrefillBacklog, PrefillRate, SendId};

#[test]
fn prompt_waits_until_it_is_read() {
    let mut unread = PrefillBacklog::default();
    unread.add_own(SendId(1), 700, 1_000);
    unread.add_own(SendId(2), 300, 1_010);
    assert_eq!(unread.tokens(60_000), 1_000);
    assert_eq!(unread.finish(SendId(1), 1_040), Some((700, 40)));
    assert_eq!(unread.finish(SendId(2), 1_060), Some((1_000, 50)));
    assert_eq!(unread.tokens(1_060), 0);
}

/// Guards against an engine that is avoided for good because the node that reported a prompt was
/// killed.
#[test]
fn prompt_of_a_node_that_ended_is_forgotten() {
    let mut unread = PrefillBacklog::default();
    unread.add_from_peer(SendId(1), 700, 1_000);
    assert_eq!(unread.tokens(1_500), 700);
    assert_eq!(unread.tokens(3_000), 0);
    assert_eq!(unread.finish(SendId(1), 3_000), None);
}

/// Guards against unbounded memory when nodes report many prompts.
#[test]
fn word_of_very_many_prompts_is_not_kept() {
    let mut unread = PrefillBacklog::default();
    unread.add_own(SendId(0), 1, 1_000);
    for id in 1..5_000 {
        unread.add_from_peer(SendId(id), 1, 1_000);
    }
    assert_eq!(unread.tokens(1_000), 1_024);
    assert_eq!(unread.finish(SendId(0), 1_001), Some((1, 1)));
}

#[test]
fn pace_follows_what_is_seen() {
    let mut pace = PrefillRate::default();
    for _ in 0..100 {
        pace.record(1_000, 100);
    }
    let time = pace.estimate_ms(500);
    assert!((49.0..51.0).contains(&time), "{time}");
}
