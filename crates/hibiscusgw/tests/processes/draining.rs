//! A draining upstream gets no new work after a few seconds.

use hgw_standins::cluster::{Cluster, wait};
use hgw_standins::{Faults, Running};
use hgw_types::UpstreamId;
use serde_json::Value;

use crate::{engine_record, fault, long_question, settings, start, state};

/// Consecutive requests that must all go to the other engine.
const IN_A_ROW: u32 = 100;

fn new_work(engine: &Running) -> u64 {
    engine_record(engine).after_leaving
}

/// Whether all nodes that dispatch for this engine know that it leaves, and at least one does dispatch for it.
fn is_known_to_leave(cluster: &Cluster, engine: &UpstreamId) -> bool {
    let states: Vec<Value> = cluster.nodes.iter().map(state).collect();
    let queues = states.iter().filter_map(|state| state["queues"].as_array()).flatten();
    let mut known =
        queues.filter(|q| q["upstream"] == engine.to_string().as_str()).map(|q| &q["leaving"]);
    let first = known.next();
    first.is_some_and(|leaving| *leaving == true) && known.all(|leaving| *leaving == true)
}

/// Guards against new requests at an engine after the nodes have learnt that it drains, and against callers who are
/// affected by that.
#[test]
fn an_engine_that_reports_leaving_gets_no_new_work() {
    let cluster = start(settings());
    let question = hgw_standins::cluster::Question { max_tokens: 1, ..long_question() };
    let (id, leaving) = cluster.deployment.engines.first().expect("there are engines");
    let ask_all = |times: u32| {
        for n in 0..times as usize {
            let node = &cluster.nodes[n % cluster.nodes.len()];
            assert!(node.chat(&question).expect("a response").whole);
        }
    };
    // An engine without the model gets no requests, whether the nodes know that it leaves or not.
    wait("the engine has run a request", || {
        ask_all(10);
        !engine_record(leaving).runs.is_empty()
    })
    .expect("the engine has the model");
    fault(leaving, &Faults { leaving: true, ..Faults::default() });
    wait("the nodes know that it leaves", || is_known_to_leave(&cluster, id))
        .expect("the nodes learn that the engine is draining");
    wait("new requests go to the other engine", || {
        let before = new_work(leaving);
        ask_all(10);
        new_work(leaving) == before
    })
    .expect("requests on their way have arrived");
    let before = new_work(leaving);
    ask_all(IN_A_ROW);
    assert_eq!(new_work(leaving), before);
}
