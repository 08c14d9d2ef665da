//! When callers' idle connections are closed.

use hgw_direct::IdleConnection;

const LIMIT: u64 = 1_500;

/// Guards against connections that stay open for ever.
#[test]
fn idle_connection_is_closed_after_its_limit() {
    let mut connection = IdleConnection::new(1_000, LIMIT);
    assert!(!connection.may_close(2_499, LIMIT));
    assert!(connection.may_close(2_500, LIMIT));
}

/// Guards against a node that takes the time in which it did not run for its caller's silence.
#[test]
fn late_node_keeps_a_connection_for_as_long_as_it_was_late() {
    let mut connection = IdleConnection::new(0, LIMIT);
    assert!(!connection.may_close(LIMIT + 600, LIMIT));
    assert_eq!(connection.close_at(LIMIT), LIMIT + 1_200);
    assert!(connection.may_close(LIMIT + 1_200, LIMIT));
}

/// Guards against a node that is always late and never closes a connection.
#[test]
fn connection_of_a_node_that_is_always_late_is_closed_in_the_end() {
    let mut connection = IdleConnection::new(0, LIMIT);
    assert!(!connection.may_close(60_000, LIMIT));
    assert_eq!(connection.close_at(LIMIT), 60_000 + LIMIT);
    assert!(connection.may_close(90_000, LIMIT));
}

/// Guards against connections that are closed by a limit of which their callers could not know.
#[test]
fn shorter_limit_counts_from_the_next_use() {
    let mut connection = IdleConnection::new(0, LIMIT);
    assert_eq!(connection.close_at(100), LIMIT);
    connection.record_bytes(700);
    assert_eq!(connection.close_at(100), 700 + LIMIT);
    connection.record_use(800, 100);
    assert_eq!(connection.close_at(100), 900);
}

/// Guards against connections that are closed while their callers count on a limit that has become longer.
#[test]
fn longer_limit_counts_at_once() {
    assert_eq!(IdleConnection::new(0, LIMIT).close_at(15_000), 15_000);
}

/// Guards against a use of the connection that leaves the time added for a late node in force.
#[test]
fn use_ends_the_added_time() {
    let mut connection = IdleConnection::new(0, LIMIT);
    assert!(!connection.may_close(LIMIT + 600, LIMIT));
    connection.record_bytes(2_200);
    assert_eq!(connection.close_at(LIMIT), 2_200 + LIMIT);
}
