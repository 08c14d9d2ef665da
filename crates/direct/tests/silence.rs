//! Since when the node that gives orders is silent.

use hgw_direct::{Cursor, Era, Silence};

fn at(offset: u64) -> Cursor {
    Cursor::new(Era::FIRST, offset)
}

fn told() -> Silence {
    let mut silence = Silence::default();
    silence.answers(Some((at(40), 9_000)));
    silence
}

/// The holder is killed. A node that it told all reads the log for the first time, a second and a half later: it ends
/// where the holder's last renewal stood, and the lease counts from that.
#[test]
fn silence_of_a_dead_holder_counts_from_its_last_renewal() {
    let mut silence = told();
    silence.is_silent();
    assert_eq!(silence.since(at(40), 10_500), 9_000);
}

/// The holder has renewed since, and only its word to this node was lost.
#[test]
fn holder_that_renewed_since_is_not_silent() {
    let mut silence = told();
    silence.is_silent();
    assert_eq!(silence.since(at(41), 10_500), 10_500);
}

/// The store was away for longer than the lease and is back. The holder answers the nodes; it goes on.
#[test]
fn outage_of_the_store_is_no_silence_of_the_holder() {
    assert_eq!(told().since(at(40), 20_000), 20_000);
}

#[test]
fn holder_that_answers_again_is_not_silent() {
    let mut silence = told();
    silence.is_silent();
    silence.answers(Some((at(42), 10_000)));
    assert_eq!(silence.since(at(42), 10_600), 10_600);
    assert_eq!(Silence::default().since(at(0), 5), 5);
}
