use std::time::Duration;

use assert_matches::assert_matches;
use hgw_standins::engine::{EngineRecord, Settings, start};
use hgw_standins::{Count, Faults, Late, Running};
use hgw_types::{MemSize, RecordId, Term};
use hgw_wire::upstream::{EngineState, Order, OrderAnswer, OrderKind, OrderOutcome};
use http::{Method, StatusCode};

use crate::engine::id;
use crate::{caller, cases, fault, until};

fn engine(settings: Settings) -> Running {
    let load_time = Duration::from_millis(20);
    start(Settings { memory: MemSize(100), load_time, ..settings }).expect("a port of the loopback")
}

fn load(seq: u64, fence: u64, model: &str, size: u64) -> Order {
    let kind = OrderKind::Load { model: id(model), version: id("v1"), size: MemSize(size) };
    Order { id: RecordId { boot: 1, seq }, fence: Term(fence), kind }
}

fn evict(seq: u64, model: &str) -> Order {
    let kind = OrderKind::Evict { model: id(model), version: id("v1") };
    Order { kind, ..load(seq, 9, model, 0) }
}

fn give(engine: &Running, order: &Order) -> OrderOutcome {
    let answer = caller(engine).post("/orders", order).expect("an answer");
    answer.json::<OrderAnswer>().expect("an order's answer").outcome
}

fn state(engine: &Running) -> EngineState {
    caller(engine).get("/state").expect("a state")
}

fn record(engine: &Running) -> EngineRecord {
    caller(engine).record().expect("a record")
}

#[test]
fn a_loaded_model_is_resident_and_an_evicted_one_is_not() {
    let engine = engine(Settings::default());
    assert_eq!(give(&engine, &load(1, 9, "m", 60)), OrderOutcome::Done);
    assert!(state(&engine).models[0].ready);
    assert_eq!(give(&engine, &evict(2, "m")), OrderOutcome::Done);
    assert_eq!(state(&engine).models, []);
}

#[test]
fn an_order_id_is_carried_out_once() {
    let engine = engine(Settings::default());
    give(&engine, &load(1, 9, "m", 60));
    give(&engine, &evict(2, "m"));
    assert_eq!(give(&engine, &load(1, 9, "m", 60)), OrderOutcome::Done);
    assert_eq!(state(&engine).models, []);
}

#[test]
fn more_than_the_memory_is_refused_and_recorded() {
    let engine = engine(Settings::default());
    give(&engine, &load(1, 9, "a", 60));
    assert_matches!(give(&engine, &load(2, 9, "b", 60)), OrderOutcome::Refused { .. });
    let record = record(&engine);
    assert_eq!((record.high_water, record.overcommits.len()), (MemSize(120), 1));
}

fn check_old_fence(refuses_old_orders: bool, expected: &OrderOutcome) {
    let engine = engine(Settings { refuses_old_orders, ..Settings::default() });
    let fence = Order { kind: OrderKind::Fence, ..load(1, 5, "m", 1) };
    assert_eq!(give(&engine, &fence), OrderOutcome::Done);
    assert_eq!(give(&engine, &load(2, 4, "m", 60)), *expected);
    assert_eq!(state(&engine).fence, Term(5));
}

cases! { check_old_fence:
    an_old_order_is_refused(true, &OrderOutcome::OldFence { current: Term(5) });
    an_old_order_is_carried_out_where_fences_are_ignored(false, &OrderOutcome::Done);
}

#[test]
fn an_order_without_the_token_is_refused() {
    let engine = engine(Settings { order_token: Some("s3cret".into()), ..Settings::default() });
    let order = serde_json::to_vec(&load(1, 9, "m", 60)).expect("an order is JSON");
    let send = |headers: &[(&str, &str)]| {
        let answer = caller(&engine).call(Method::POST, "/orders", headers, order.clone());
        answer.expect("an answer").status
    };
    assert_eq!(send(&[]), StatusCode::FORBIDDEN);
    assert_eq!(send(&[("x-order-token", "s3cret")]), StatusCode::OK);
    assert_eq!(record(&engine).unauthorized, 1);
}

#[test]
fn an_order_whose_answer_is_lost_has_taken_effect() {
    let engine = engine(Settings::default());
    fault(&engine, &Faults { lose_answers: 1, ..Faults::default() });
    assert!(caller(&engine).post("/orders", &load(1, 9, "m", 60)).is_err());
    assert!(state(&engine).models[0].ready);
}

#[test]
fn a_lost_order_has_no_effect() {
    let engine = engine(Settings::default());
    fault(&engine, &Faults { lose_requests: 1, ..Faults::default() });
    assert!(caller(&engine).post("/orders", &load(1, 9, "m", 60)).is_err());
    assert_eq!(record(&engine).orders, []);
}

#[test]
fn a_late_order_takes_effect_though_nobody_waits() {
    let engine = engine(Settings::default());
    let late = Late { ms: 2000, requests: Count(1) };
    fault(&engine, &Faults { late_requests: Some(late), ..Faults::default() });
    caller(&engine).post_and_leave("/orders", &load(1, 9, "m", 60)).expect("it is sent");
    assert_eq!(record(&engine).orders, []);
    until("the order arrives", || !record(&engine).orders.is_empty());
}

#[test]
fn a_restart_ends_a_load_under_way() {
    let engine = engine(Settings { load_time: Duration::from_secs(2), ..Settings::default() });
    caller(&engine).post_and_leave("/orders", &load(1, 9, "m", 60)).expect("it is sent");
    until("the load begins", || !state(&engine).models.is_empty());
    fault(&engine, &Faults { restart: true, ..Faults::default() });
    until("the load ends", || record(&engine).orders[0].outcome.is_some());
    assert_eq!(state(&engine).models, []);
}

#[test]
fn loads_go_through_the_weight_store() {
    let settings = hgw_standins::weights::Settings {
        loads_per_second: 5.0,
        units_per_second: 1000.0,
        ..Default::default()
    };
    let store = hgw_standins::weights::start(settings).expect("a port of the loopback");
    let engine = engine(Settings { weights: Some(store.addr()), ..Settings::default() });
    for seq in 1..=8 {
        assert_eq!(give(&engine, &load(seq, 9, &format!("m{seq}"), 10)), OrderOutcome::Done);
    }
    let record: hgw_standins::weights::WeightsRecord = caller(&store).record().expect("a record");
    assert_eq!(record.loads, 8);
}
