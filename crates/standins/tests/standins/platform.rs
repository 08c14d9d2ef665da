use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hgw_standins::{Faults, Running, log, vms};
use hgw_types::Offset;
use hgw_wire::platform::{Appended, Batch, Trimmed, Vm, VmList};
use http::{Method, StatusCode};

use crate::engine::id;
use crate::{caller, cases, fault, until};

fn log(settings: log::Settings) -> Running {
    log::start(settings).expect("a port of the loopback")
}

fn append(log: &Running, text: &str) -> Offset {
    let answer = caller(log).call(Method::POST, "/streams/s/records", &[], text.to_owned());
    answer.expect("an answer").json::<Appended>().expect("an offset").offset
}

fn read(log: &Running, query: &str) -> Batch {
    caller(log).get(&format!("/streams/s/records?{query}")).expect("a batch")
}

fn texts(batch: &Batch) -> Vec<(u64, String)> {
    let text = |data: &str| STANDARD.decode(data).expect("base64");
    let records = batch.records.iter();
    records.map(|r| (r.offset.0, String::from_utf8(text(&r.data)).expect("text"))).collect()
}

#[test]
fn records_are_read_back_in_order_from_offset_1() {
    let log = log(log::Settings::default());
    let offsets = ["a", "b", "c"].map(|text| append(&log, text).0);
    assert_eq!(offsets, [1, 2, 3]);
    let batch = read(&log, "from=2&max=5");
    assert_eq!(texts(&batch), [(2, "b".to_owned()), (3, "c".to_owned())]);
    assert_eq!(batch.next, Offset(4));
}

#[test]
fn a_read_waits_for_the_first_record() {
    let log = log(log::Settings::default());
    let batch = std::thread::scope(|scope| {
        let reader = scope.spawn(|| read(&log, "from=1&wait_ms=20000"));
        std::thread::sleep(Duration::from_millis(50));
        append(&log, "a");
        reader.join().expect("the reader does not panic")
    });
    assert_eq!(texts(&batch), [(1, "a".to_owned())]);
}

#[test]
fn a_read_without_records_ends_after_its_wait() {
    let log = log(log::Settings::default());
    let batch = read(&log, "from=1&wait_ms=30");
    assert_eq!((batch.records.len(), batch.next), (0, Offset(1)));
}

fn check_trimmed(settings: log::Settings, faults: &Faults, first: u64) {
    let log = log(settings);
    for text in ["a", "b", "c"] {
        append(&log, text);
    }
    fault(&log, faults);
    let answer = caller(&log).call(Method::GET, "/streams/s/records?from=1", &[], "");
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::GONE);
    assert_eq!(answer.json::<Trimmed>().expect("the first offset").first, Offset(first));
}

cases! { check_trimmed:
    old_records_go_when_there_are_too_many(
        log::Settings { keep_records: 2, ..log::Settings::default() }, &Faults::default(), 2,
    );
    all_records_expire_when_asked_to(
        log::Settings::default(), &Faults { expire: true, ..Faults::default() }, 4,
    );
}

#[test]
fn appends_over_the_rate_are_refused_and_not_stored() {
    let log = log(log::Settings { appends_per_second: 1.0, ..log::Settings::default() });
    let status = |_| {
        let answer = caller(&log).call(Method::POST, "/streams/s/records", &[], "x");
        answer.expect("an answer").status
    };
    let statuses: Vec<StatusCode> = (0..20).map(status).collect();
    let taken = statuses.iter().filter(|status| status.is_success()).count();
    assert!(statuses.contains(&StatusCode::TOO_MANY_REQUESTS));
    assert_eq!(read(&log, "from=1").records.len(), taken);
}

fn check_append(faults: &Faults, stored: usize) {
    let log = log(log::Settings::default());
    fault(&log, faults);
    let answer = caller(&log).call(Method::POST, "/streams/s/records", &[], "x");
    assert!(!answer.is_ok_and(|answer| answer.status.is_success()));
    fault(&log, &Faults::default());
    assert_eq!(read(&log, "from=1").records.len(), stored);
}

cases! { check_append:
    an_append_whose_answer_is_lost_is_stored(&Faults { lose_answers: 1, ..Faults::default() }, 1);
    a_lost_append_is_not_stored(&Faults { lose_requests: 1, ..Faults::default() }, 0);
    an_outage_stores_nothing(&Faults { refuse: true, ..Faults::default() }, 0);
}

#[test]
fn a_list_that_was_set_is_shown_later() {
    let lag = Duration::from_secs(2);
    let vms = vms::start(vms::Settings { lag, ..Default::default() }).expect("a port");
    let vm = Vm { node: id("n1"), domain: id("d"), addr: "127.0.0.1:1".into(), leaving: false };
    let list = VmList { vms: vec![vm], leaving_upstreams: Vec::new() };
    let body = serde_json::to_vec(&list).expect("a list is JSON");
    caller(&vms).call(Method::PUT, "/vms", &[], body).expect("an answer");
    assert_eq!(caller(&vms).get::<VmList>("/vms").expect("a list"), VmList::default());
    until("the list is shown", || caller(&vms).get("/vms") == Ok(list.clone()));
}
