//! How many engines may have executed a request, while other nodes send it to some.

use hgw_direct::{AttemptCount, GrantId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const FIRST: GrantId = GrantId(1);
const SECOND: GrantId = GrantId(2);

/// Guards against a node that goes another way as if the one that it granted attempts to had made fewer of them.
#[test]
fn granted_attempts_count_until_the_other_node_says_what_it_made() {
    let mut count = AttemptCount::default();
    count.grant(FIRST);
    assert_eq!(count.executions(), 1);
    assert!(count.raise(FIRST, 2, 2));
    assert!(!count.raise(FIRST, 3, 2));
    count.end(FIRST, None);
    assert_eq!(count.executions(), 2, "nothing was heard of it");
    let mut count = AttemptCount::default();
    count.grant(FIRST);
    assert!(count.raise(FIRST, 2, 2));
    count.end(FIRST, Some(0));
    assert_eq!(count.in_use(), 0, "the request was refused");
}

/// Guards against two nodes that both take the last attempt.
#[test]
fn last_attempt_goes_to_one_node() {
    let mut count = AttemptCount::default();
    count.grant(FIRST);
    count.grant(SECOND);
    assert!(!count.raise(FIRST, 2, 2) && !count.raise(SECOND, 2, 2));
    let mut count = AttemptCount::default();
    count.grant(FIRST);
    count.set_pending(true);
    assert!(!count.raise(FIRST, 2, 2), "this node has sent it to an engine itself");
}

/// Guards against a question that is repeated, as its answer was lost, and takes another attempt each time.
#[test]
fn repeated_question_takes_no_further_attempt() {
    let mut count = AttemptCount::default();
    count.grant(FIRST);
    assert!((0..3).all(|_| count.raise(FIRST, 2, 3)));
    assert_eq!(count.executions(), 2);
    assert!(!count.raise(FIRST, 4, 5), "no attempt is left out");
    assert!(!count.raise(SECOND, 1, 3), "a grant that is unknown or has ended");
}

/// Guards against a count that falls as a response begins whose node goes on to resume it.
#[test]
fn attempts_that_were_granted_stay_counted_after_the_response_has_begun() {
    let mut count = AttemptCount::default();
    count.grant(FIRST);
    assert!(count.raise(FIRST, 2, 3));
    count.record_made(FIRST, 1);
    assert_eq!(count.executions(), 2);
    assert!(count.raise(FIRST, 2, 3));
    assert_eq!(count.executions(), 2);
}

/// A node to which attempts are granted.
#[derive(Debug)]
struct Peer {
    id: GrantId,
    allowed: u32,
    made: u32,
}

/// Guards against more runs than the route allows, in any order of grants, questions, lost answers, ends and attempts of
/// the node itself.
#[test]
fn nodes_together_never_make_more_attempts_than_the_route_allows() {
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let max = rng.random_range(1..=4);
        let (mut count, mut runs) = (AttemptCount::default(), 0);
        let mut peers: Vec<Peer> = Vec::new();
        for step in 0..40 {
            match rng.random_range(0..5) {
                0 if count.in_use() < max => {
                    let id = GrantId(step);
                    count.grant(id);
                    peers.push(Peer { id, allowed: 1, made: 0 });
                }
                1 if count.in_use() < max => {
                    count.set_pending(true);
                    runs += 1;
                    count.record();
                }
                2 if !peers.is_empty() => {
                    let index = rng.random_range(0..peers.len());
                    let peer = &mut peers[index];
                    let is_granted = count.raise(peer.id, peer.allowed + 1, max);
                    if is_granted && rng.random_bool(0.7) {
                        peer.allowed += 1;
                    }
                }
                3 if !peers.is_empty() => {
                    let index = rng.random_range(0..peers.len());
                    let peer = &mut peers[index];
                    if peer.made < peer.allowed {
                        peer.made += 1;
                        runs += 1;
                    }
                }
                4 if !peers.is_empty() => {
                    let peer = peers.swap_remove(rng.random_range(0..peers.len()));
                    count.end(peer.id, rng.random_bool(0.5).then_some(peer.made));
                }
                _ => {}
            }
            assert!(runs <= max, "seed {seed}: {runs} runs of {max}");
            assert!(runs <= count.in_use(), "seed {seed}: {runs} runs are counted as {count:?}");
        }
    }
}
