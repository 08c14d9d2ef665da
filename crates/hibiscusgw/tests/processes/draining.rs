//! A draining upstream gets no new work after a few seconds.

use hgw_standins::cluster::wait;
use hgw_standins::{Faults, Running};

use crate::{engine_record, fault, long_question, settings, start};

/// Consecutive requests that must all go to the other engine.
const IN_A_ROW: u32 = 100;

fn new_work(engine: &Running) -> u64 {
    engine_record(engine).after_leaving
}

/// When the nodes have learnt that an engine is draining, no node may send new requests to it, and callers
/// must not be affected.
#[test]
fn an_engine_that_reports_leaving_gets_no_new_work() {
    let cluster = start(settings());
    let question = hgw_standins::cluster::Question { max_tokens: 1, ..long_question() };
    let leaving = &cluster.deployment.engines[0];
    fault(leaving, &Faults { leaving: true, ..Faults::default() });
    let ask_all = |times: u32| {
        for n in 0..times as usize {
            let node = &cluster.nodes[n % cluster.nodes.len()];
            assert!(node.chat(&question).expect("a response").whole);
        }
    };
    wait("new requests go to the other engine", || {
        let before = new_work(leaving);
        ask_all(10);
        new_work(leaving) == before
    })
    .expect("the nodes learn that the engine is draining");
    let before = new_work(leaving);
    ask_all(IN_A_ROW);
    assert_eq!(new_work(leaving), before);
}
