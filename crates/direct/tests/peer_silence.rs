//! Which peers count as dead.

use std::time::Duration;

use hgw_direct::{Millis, PeerContact, PeerSilence};

const LIMIT: Duration = Duration::from_secs(5);

/// The first of these looks, each of a time, what is unanswered and the time since the last acknowledgement, at which
/// the peer is dead.
fn dead_at(looks: &[(Millis, u32, Millis)]) -> Option<Millis> {
    let mut silence = PeerSilence::default();
    let mut is_dead = |&(now, unanswered, since_ack): &(Millis, u32, Millis)| {
        let contact = PeerContact { unanswered, since_ack: Duration::from_millis(since_ack) };
        silence.record(contact, LIMIT, now)
    };
    looks.iter().find(|look| is_dead(look)).map(|(now, ..)| *now)
}

macro_rules! peers {
    ($($name:ident: $why:literal, $looks:expr, $dead_at:expr;)*) => {$(
        #[doc = $why]
        #[test]
        fn $name() {
            assert_eq!(dead_at(&$looks), $dead_at);
        }
    )*};
}

peers! {
    peer_that_acknowledges_nothing_is_dead:
        "Guards against engines that work on for callers that have lost power.",
        [(1_000, 2, 1_000), (5_000, 4, 5_000), (6_000, 5, 6_000)], Some(6_000);
    peer_with_a_closed_window_is_alive:
        "Guards against resetting callers that read nothing and acknowledge each probe.",
        [(6_000, 0, 5_200), (12_000, 0, 5_500), (13_000, 0, 6_500)], None;
    probe_under_way_is_no_silence:
        "Guards against resetting a caller that acknowledges each probe, looked at twice just after one was sent.",
        [(6_400, 1, 6_400), (12_800, 1, 6_400), (25_600, 1, 12_800)], None;
    peer_that_nothing_is_sent_to_is_alive:
        "Guards against closing connections on which nothing has to be acknowledged.",
        [(10_000, 0, 10_000), (11_000, 0, 11_000)], None;
    peer_that_is_back_is_alive:
        "Guards against closing the connection of a peer that was silent for less than the limit.",
        [(4_500, 4, 4_500), (5_500, 0, 300), (6_500, 1, 1_300)], None;
    node_that_stood_still_does_not_blame_the_peer:
        "Guards against taking the time in which the node itself did not run for a silence of the peer.",
        [(1_000, 1, 300), (31_000, 1, 5_100), (32_000, 0, 40)], None;
}
