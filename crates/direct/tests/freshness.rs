//! Tracking of whether a configuration is the newest.

use std::time::Duration;

use hgw_direct::{FreshnessProof, VersionCheck};
use proptest::collection::vec;
use proptest::prelude::{prop_assert, proptest};

const fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn seen(newest: u64, asked: u64) -> VersionCheck {
    VersionCheck { newest, asked_at: s(asked) }
}

#[test]
fn nothing_is_known_before_the_store_was_asked() {
    assert_eq!(FreshnessProof::default().age(7, s(9)), None);
}

#[test]
fn age_counts_from_the_question() {
    let mut proof = FreshnessProof::default();
    proof.record(seen(7, 3));
    assert_eq!(proof.age(7, s(5)), Some(s(2)));
    assert_eq!(proof.age(8, s(5)), Some(s(2)));
}

/// Guards against accepting a key that a newer version has revoked.
#[test]
fn word_of_a_newer_version_proves_nothing_for_an_older_one() {
    let mut proof = FreshnessProof::default();
    proof.record(seen(7, 3));
    proof.record(seen(8, 9));
    assert_eq!(proof.age(7, s(10)), Some(s(7)));
    assert_eq!(proof.age(8, s(10)), Some(s(1)));
}

/// Guards against a delayed response that makes the configuration look older.
#[test]
fn older_question_takes_nothing_away() {
    let mut proof = FreshnessProof::default();
    proof.record(seen(7, 8));
    proof.record(seen(7, 2));
    assert_eq!(proof.age(7, s(9)), Some(s(1)));
}

proptest! {
    /// A version counts as the newest only at times when the store was asked and had none newer.
    #[test]
    fn proof_is_never_younger_than_a_question_that_gave_it(
        words in vec((1_u64..6, 0_u64..50), 1..30),
        version in 1_u64..6,
    ) {
        let mut proof = FreshnessProof::default();
        for (newest, asked) in &words {
            proof.record(seen(*newest, *asked));
        }
        if let Some(held) = proof.latest_check(version) {
            let gives = |(newest, asked): &(u64, u64)| *newest <= version && s(*asked) == held.asked_at;
            prop_assert!(words.iter().any(gives));
        }
    }
}
