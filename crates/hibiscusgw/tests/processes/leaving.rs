//! A leaving upstream gets no new work after a few seconds.

use hgw_standins::cluster::wait;
use hgw_standins::{Faults, Running};

use crate::{engine_record, fault, long_question, settings, start};

/// Requests in a row that must all go elsewhere.
const IN_A_ROW: u32 = 100;

fn new_work(engine: &Running) -> u64 {
    engine_record(engine).after_leaving
}

/// Callers see nothing of it. One engine reports that it is about to leave; when the nodes have learnt
/// that, all new requests go to the other one, through whichever node they come.
#[test]
fn an_engine_that_reports_leaving_gets_no_new_work() {
    let cluster = start(settings());
    let question = hgw_standins::cluster::Question { max_tokens: 1, ..long_question() };
    let leaving = &cluster.deployment.engines[0];
    fault(leaving, &Faults { leaving: true, ..Faults::default() });
    let ask_all = |times: u32| {
        for n in 0..times as usize {
            let node = &cluster.nodes[n % cluster.nodes.len()];
            assert!(node.chat(&question).expect("an answer").whole);
        }
    };
    wait("new work goes elsewhere", || {
        let before = new_work(leaving);
        ask_all(10);
        new_work(leaving) == before
    })
    .expect("the nodes learn that the engine leaves");
    let before = new_work(leaving);
    ask_all(IN_A_ROW);
    assert_eq!(new_work(leaving), before);
}
