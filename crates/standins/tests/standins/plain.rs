use bytes::Bytes;
use hgw_standins::plain::{PlainAnswer, PlainRecord, Settings, start};
use hgw_standins::{Faults, Running};
use http::Method;

use crate::{caller, cases, fault};

fn plain() -> Running {
    start(Settings::default()).expect("a port of the loopback")
}

#[test]
fn each_run_of_a_call_is_counted_and_its_attempt_echoed() {
    let plain = plain();
    let headers = [("x-attempt-id", "0000000000000007-3"), ("x-call", "voucher")];
    for run in 1..=2 {
        let answer = caller(&plain).call(Method::POST, "/print?n=1", &headers, "12");
        let answer = answer.expect("an answer");
        assert_eq!(answer.headers["x-attempt-id"], "0000000000000007-3");
        assert_eq!(answer.json::<PlainAnswer>().expect("a plain answer").run, run);
    }
    let record: PlainRecord = caller(&plain).record().expect("a record");
    assert_eq!((record.calls["POST /print?n=1 12"], record.named["voucher"]), (2, 2));
}

fn check_lost(faults: &Faults, runs: u64) {
    let plain = plain();
    fault(&plain, faults);
    assert!(caller(&plain).call(Method::POST, "/print", &[], Bytes::new()).is_err());
    let record: PlainRecord = caller(&plain).record().expect("a record");
    assert_eq!(record.runs, runs);
}

cases! { check_lost:
    a_call_whose_answer_is_lost_has_run(&Faults { lose_answers: 1, ..Faults::default() }, 1);
    a_lost_call_has_not_run(&Faults { lose_requests: 1, ..Faults::default() }, 0);
    a_service_that_is_down_runs_nothing(&Faults { down: true, ..Faults::default() }, 0);
}

#[test]
fn a_crossed_answer_carries_another_attempt_id() {
    let plain = plain();
    fault(&plain, &Faults { cross_answers: 1, ..Faults::default() });
    let headers = [("x-attempt-id", "0000000000000007-3")];
    let answer = caller(&plain).call(Method::GET, "/job/7", &headers, Bytes::new());
    assert_ne!(answer.expect("an answer").headers["x-attempt-id"], "0000000000000007-3");
}
