//! When a node asks others who leads.

use hgw_direct::LeaderSearch;

/// Guards against questions that go on at full rate through a long outage of the store, and against a node that asks late as
/// an earlier outage has lengthened its pause.
#[test]
fn questions_become_rarer_until_the_node_is_up_to_date() {
    let mut search = LeaderSearch::default();
    let mut asked = |from: u64, until: u64| {
        (from..until).step_by(100).filter(|now| search.is_due(*now, true)).collect::<Vec<_>>()
    };
    assert_eq!(asked(1_000, 8_000), [1_000, 1_300, 1_900, 3_100, 5_100, 7_100]);
    assert!(!search.is_due(8_000, false));
    assert!(search.is_due(8_100, true));
}
