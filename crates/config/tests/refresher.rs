//! Who says again what is in force, and when.

use std::time::Duration;

use hgw_config::Refresher;
use hgw_types::Time;

/// The first node by rank is dead or cut off from the log. The second one waits for its refresh, then
/// writes one itself; while none is read it tries again, at a bounded rate.
#[test]
fn next_node_steps_in() {
    let hour = Duration::from_secs(3600);
    let minute = Duration::from_secs(60);
    let mut refresher = Refresher::new(Time::ZERO, hour, minute);
    assert!(!refresher.due(Time::ZERO + hour, 1), "the first node has its minute");
    assert!(refresher.due(Time::ZERO + hour + minute, 1));
    assert!(!refresher.due(Time::ZERO + hour + minute + minute / 2, 1), "it was just sent");
    assert!(refresher.due(Time::ZERO + hour + 2 * minute, 1), "and was not read");
    refresher.seen(Time::ZERO + hour + 3 * minute);
    assert!(!refresher.due(Time::ZERO + 2 * hour, 1));
}
