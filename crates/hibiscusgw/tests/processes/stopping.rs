//! A graceful shutdown cuts off no request in progress.

use hgw_standins::cluster::{Cluster, Signal};
use hgw_standins::{Faults, engine};

use crate::{TOKENS_BEFORE_FAULT, cases, fault, long_question, slow_engine_settings, start};

/// Streams in progress when the node is told to stop.
const STREAMS: usize = 4;

fn check_shutdown(node: usize, log_down: bool) {
    let mut cluster = start(slow_engine_settings());
    let question = long_question();
    let mut streams = open_all(&cluster, &question);
    for stream in &mut streams {
        stream.read(TOKENS_BEFORE_FAULT).expect("tokens arrive");
    }
    if log_down {
        fault(&cluster.deployment.platform, &Faults { down: true, ..Faults::default() });
    }
    cluster.nodes[node].signal(Signal::TERM).expect("the node can be told to stop");
    let expected = question.expected("v1");
    for stream in streams {
        let chat = stream.rest().expect("the response continues");
        assert_eq!((chat.text.as_str(), chat.error, chat.whole), (expected.as_str(), None, true));
    }
    let status = cluster.nodes[node].wait_exit().expect("the node ends");
    assert_eq!(status.code(), Some(0));
}

fn open_all(
    cluster: &Cluster,
    question: &hgw_standins::cluster::Question,
) -> Vec<hgw_standins::cluster::ChatStream> {
    let nodes = cluster.nodes.iter().cycle().take(STREAMS);
    nodes.map(|node| node.open_chat(question).expect("a response begins")).collect()
}

cases! { check_shutdown:
    // A stopping node must complete the streams of its own callers and those that it dispatches
    // for other nodes, and exit with 0.
    stopping_the_first_node_cuts_nothing(0, false);
    stopping_the_second_node_cuts_nothing(1, false);
    stopping_the_third_node_cuts_nothing(2, false);
    // It must do so even if it cannot release its leases because the log is down.
    stopping_the_first_node_cuts_nothing_with_the_log_down(0, true);
}

/// A second signal must end the process at once, with an error code.
#[test]
fn a_second_signal_ends_at_once() {
    let mut settings = slow_engine_settings();
    let step = std::time::Duration::from_secs(1);
    settings.deployment.models = vec![("rules", 50)];
    settings.deployment.engine = engine::Settings { step, ..settings.deployment.engine };
    let mut cluster = start(settings);
    let mut stream = cluster.nodes[0].open_chat(&long_question()).expect("a response begins");
    stream.read(1).expect("a token arrives");
    cluster.nodes[0].signal(Signal::TERM).expect("the node can be told to stop");
    hgw_standins::cluster::wait("the node is no longer ready", || {
        cluster.nodes[0].status_of("/readyz") != Some(http::StatusCode::OK)
    })
    .expect("readiness is withdrawn");
    cluster.nodes[0].signal(Signal::TERM).expect("the node can be told to stop again");
    let status = cluster.nodes[0].wait_exit().expect("the node ends");
    assert_ne!(status.code(), Some(0));
}
