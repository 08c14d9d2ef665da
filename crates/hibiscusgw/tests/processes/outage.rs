//! Requests are served while the platform or an engine is down.

use hgw_standins::Faults;
use http::{Method, StatusCode};

use crate::{fault, long_question, settings, start};

/// While the log and the list of VMs are down, loaded models and idempotent calls must be served.
#[test]
fn work_goes_on_while_the_log_is_down() {
    let cluster = start(settings());
    fault(&cluster.deployment.platform, &Faults { down: true, ..Faults::default() });
    let question = long_question();
    for node in &cluster.nodes {
        let chat = node.chat(&question).expect("a response");
        assert_eq!(chat.text, question.expected("v1"));
        let job = node.plain(Method::GET, "/svc/caja-app/status", &[], "").expect("a response");
        assert_eq!(job.status, StatusCode::OK, "{}", job.body);
    }
}

/// Every model must be served through every node by its copies in the other failure domain when an engine
/// dies while the log is down.
#[test]
fn models_stay_reachable_when_an_engine_dies_while_the_log_is_down() {
    let cluster = start(settings());
    fault(&cluster.deployment.platform, &Faults { down: true, ..Faults::default() });
    fault(
        &cluster.deployment.engines[0],
        &Faults { restart: true, down: true, ..Faults::default() },
    );
    cluster.wait_served().expect("every model is served through every node");
}
