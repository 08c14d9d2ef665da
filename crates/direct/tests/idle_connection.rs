//! When callers' idle connections are closed.

use hgw_direct::{ConnectionLimits, IdleConnection};

const IDLE: u64 = 1_500;
const HEAD: u64 = 1_000;
const LIMITS: ConnectionLimits = ConnectionLimits { idle: IDLE, head: HEAD };
const SHORTER: ConnectionLimits = ConnectionLimits { idle: 100, head: HEAD };

/// Guards against connections that stay open for ever.
#[test]
fn idle_connection_is_closed_after_its_limit() {
    let mut connection = IdleConnection::new(1_000, LIMITS);
    assert!(!connection.close_or_extend(2_499, 2_499, LIMITS));
    assert!(connection.close_or_extend(2_500, 2_500, LIMITS));
}

/// Guards against a node that takes the time in which it did not run for its caller's silence.
#[test]
fn late_node_keeps_a_connection_for_as_long_as_it_was_late() {
    let mut connection = IdleConnection::new(0, LIMITS);
    assert!(!connection.close_or_extend(IDLE + 600, IDLE, LIMITS));
    assert_eq!(connection.close_at(LIMITS), IDLE + 1_200);
    assert!(connection.close_or_extend(IDLE + 1_200, IDLE + 1_200, LIMITS));
}

/// Guards against a check that was planned for later, as the limit was longer, and counts as late.
#[test]
fn check_that_was_planned_for_later_is_not_late() {
    let mut connection = IdleConnection::new(0, LIMITS);
    assert!(connection.close_or_extend(IDLE + 600, IDLE + 600, LIMITS));
}

/// Guards against a node that is always late and never closes a connection.
#[test]
fn connection_of_a_node_that_is_always_late_is_closed_in_the_end() {
    let mut connection = IdleConnection::new(0, LIMITS);
    assert!(!connection.close_or_extend(60_000, IDLE, LIMITS));
    assert_eq!(connection.close_at(LIMITS), 60_000 + IDLE);
    assert!(connection.close_or_extend(90_000, 60_000 + IDLE, LIMITS));
}

/// Guards against connections that are closed by a limit of which their callers could not know.
#[test]
fn shorter_limit_counts_from_the_next_use() {
    let mut connection = IdleConnection::new(0, LIMITS);
    assert_eq!(connection.close_at(SHORTER), IDLE);
    connection.record_activity(700);
    assert_eq!(connection.close_at(SHORTER), 700 + IDLE);
    assert_eq!(IdleConnection::new(800, SHORTER).close_at(SHORTER), 900);
}

/// Guards against connections that are closed while their callers count on a limit that has become longer.
#[test]
fn longer_limit_counts_at_once() {
    let longer = ConnectionLimits { idle: 15_000, ..LIMITS };
    assert_eq!(IdleConnection::new(0, LIMITS).close_at(longer), 15_000);
}

/// Guards against callers that keep a connection for ever by sending a head byte by byte.
#[test]
fn head_has_a_time_from_its_first_byte_on() {
    let mut connection = IdleConnection::new(0, LIMITS);
    for now in (400..=1_300).step_by(300) {
        connection.record_head_bytes(now);
        assert_eq!(connection.close_at(LIMITS), 400 + HEAD);
    }
    connection.begin_request();
    assert_eq!(connection.close_at(LIMITS), 1_300 + IDLE);
}

/// Guards against a use of the connection that leaves the time added for a late node in force.
#[test]
fn activity_ends_the_added_time() {
    let mut connection = IdleConnection::new(0, LIMITS);
    assert!(!connection.close_or_extend(IDLE + 600, IDLE, LIMITS));
    connection.record_activity(2_200);
    assert_eq!(connection.close_at(LIMITS), 2_200 + IDLE);
}
