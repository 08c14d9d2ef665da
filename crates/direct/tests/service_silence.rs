//! What the silence of engines says while requests of this node wait there.

use hgw_direct::{Engines, Millis, ServiceSilence, is_silent};

mod support;

const NOW: Millis = 10_000;

/// Engines of one service: requests of this node there, and time since the last byte.
fn engines(all: &[(u32, Millis)]) -> Engines {
    let ids = ["i-0", "i-1", "i-2"];
    let mut engines = support::engines(
        &ids[..all.len()].iter().map(|id| (*id, "a", &[][..])).collect::<Vec<_>>(),
    );
    for (engine, (own_requests, quiet)) in engines.iter_mut().zip(all) {
        (engine.own_requests, engine.last_heard) = (*own_requests, NOW - quiet);
    }
    engines
}

macro_rules! silences {
    ($($(#[$doc:meta])* $name:ident: $engines:expr, $is_common:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let silence = ServiceSilence::of(&engines(&$engines), &support::service(), NOW);
            assert_eq!(silence.is_common(), $is_common, "{silence:?}");
        }
    )*};
}

silences! {
    /// Guards against each of many engines that pause together being taken for lost.
    silence_of_all_is_no_evidence_against_one: [(3, 700), (1, 650), (2, 900)], true;
    /// Guards against a lost engine being used on because others are busy.
    silence_beside_an_engine_that_is_heard_is_evidence: [(3, 700), (1, 650), (2, 30)], false;
    /// Guards against lost engines being used on as the others have answered all that they were asked.
    silence_beside_an_engine_that_has_answered_is_evidence: [(3, 700), (2, 800), (0, 50)], false;
    /// An engine that nobody has asked for long says nothing.
    engine_without_requests_does_not_speak_for_the_others: [(3, 700), (2, 800), (0, 9_000)], true;
    /// Guards against a lost engine being used on by a node with few requests.
    silence_of_a_single_engine_is_evidence: [(1, 900)], false;
    /// A full engine is quiet for a moment while it prefills.
    pauses_of_full_engines_are_no_silence: [(3, 700), (2, 350)], false;
}

/// Guards against a stream that leaves a silent engine for one that is idle only because nobody asks it.
#[test]
fn engine_that_nobody_waits_for_is_not_silent() {
    let engines = engines(&[(0, 9_000), (1, 9_000)]);
    let silent: Vec<bool> = engines.iter().map(|e| is_silent(e, NOW)).collect();
    assert_eq!(silent, [false, true]);
}
