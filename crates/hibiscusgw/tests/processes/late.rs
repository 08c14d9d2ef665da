//! A node that did not run for a while.

use std::time::Duration;

use hgw_standins::cluster::Signal;
use hgw_standins::kept_caller::KeptCaller;

use crate::{settings, start};

/// Connections of one play.
const CALLERS: usize = 48;

/// Longer than a new connection may stay without a request.
const STALL: Duration = Duration::from_millis(10_500);

/// Guards against requests that are closed unread as the node takes the time in which it did not run for its callers'
/// silence on new connections.
#[test]
fn first_requests_are_read_by_a_node_that_did_not_run_for_a_while() {
    let cluster = start(settings());
    let node = &cluster.nodes[0];
    let connect = |_| KeptCaller::connect(node.addrs.callers).expect("the node listens");
    let mut callers: Vec<KeptCaller> = (0..CALLERS).map(connect).collect();
    // The node accepts the connections.
    std::thread::sleep(Duration::from_millis(200));
    node.signal(Signal::STOP).expect("the node is stopped");
    for caller in &mut callers {
        caller.send("/no-such-route", &[("host", "desk.example")], "body").expect("it is sent");
    }
    std::thread::sleep(STALL);
    node.signal(Signal::CONT).expect("the node goes on");
    let responses = callers.iter_mut().map(KeptCaller::receive);
    let unanswered = responses.filter(Result::is_err).count();
    assert_eq!(unanswered, 0, "of {CALLERS} have no answer");
}
