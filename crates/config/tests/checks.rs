//! Each fault that a document may have, with the message that the operator gets.

use hgw_config::{Document, check, check_change, parse};
use serde_json::{Value, json};

fn valid() -> Value {
    json!({
        "domains": {"d1": {"region": "r1"}, "d2": {"region": "r1"}},
        "services": {
            "llm": {
                "kind": "model",
                "classes": {
                    "urgent": {"urgency": "urgent", "deadline_ms": 690},
                    "night": {"urgency": "deferrable", "deadline_ms": 3600000}
                },
                "default_class": "urgent",
                "models": {
                    "m1": {"version": "v1", "size": 70, "adapters": {"a1": {"version": "v1", "size": 5}}},
                    "m2": {"version": "v1", "size": 60}
                }
            },
            "app": {
                "kind": "plain",
                "classes": {"urgent": {"urgency": "urgent", "deadline_ms": 2000}},
                "default_class": "urgent",
                "plain": {"idempotent_methods": ["GET"]}
            }
        },
        "upstreams": {
            "e1": {"service": "llm", "domain": "d1", "addr": "127.0.0.1:9001", "memory": 110, "slots": 8},
            "e2": {"service": "llm", "domain": "d2", "addr": "127.0.0.1:9002", "memory": 110, "slots": 8},
            "p1": {"service": "app", "domain": "d1", "addr": "127.0.0.1:9003", "slots": 8}
        }
    })
}

/// Sets the value at a JSON pointer whose parent exists.
fn set(document: &mut Value, pointer: &str, value: Value) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    document.pointer_mut(parent).unwrap()[key] = value;
}

fn with(changes: &[(&str, Value)]) -> Document {
    let mut document = valid();
    for (pointer, value) in changes {
        set(&mut document, pointer, value.clone());
    }
    parse(document.to_string().as_bytes()).unwrap()
}

fn messages(result: Result<(), Vec<hgw_config::Fault>>) -> Vec<String> {
    let faults = result.err().unwrap_or_default();
    faults.iter().map(ToString::to_string).collect()
}

macro_rules! faults {
    ($($name:ident: [$($pointer:literal = $value:tt),*] => [$($message:literal),*];)*) => {$(
        #[test]
        fn $name() {
            let document = with(&[$(($pointer, json!($value))),*]);
            let expected: Vec<&str> = vec![$($message),*];
            assert_eq!(messages(check(&document)), expected);
        }
    )*};
}

faults! {
    valid_document: [] => [];
    target_of_zero: ["/services/llm/target" = 0] =>
        ["services.llm.target: `0` is not allowed: more than 0 and at most 1"];
    target_above_one: ["/services/llm/target" = 1.5] =>
        ["services.llm.target: `1.5` is not allowed: more than 0 and at most 1"];
    negative_move_cost: ["/services/llm/move_cost" = (-1)] =>
        ["services.llm.move_cost: `-1` is not allowed: 0 or more"];
    unknown_default_class: ["/services/llm/default_class" = "fast"] =>
        ["services.llm.default_class: `fast` is not allowed: night, urgent"];
    deadline_of_zero: ["/services/llm/classes/night/deadline_ms" = 0] =>
        ["services.llm.classes.night.deadline_ms: `0` is not allowed: 1 to 604800000"];
    model_id_with_colon: ["/services/llm/models/m:3" = {"version": "v1", "size": 1}] =>
        ["services.llm.models.m:3: `m:3` is not allowed: a name without `:`, as callers write `model:adapter`"];
    plain_service_with_models: ["/services/app/models" = {"m3": {"version": "v1", "size": 1}}] =>
        ["services.app.models: `m3` is not allowed: none, as the service is a plain service"];
    model_in_two_services: ["/services/llm2" = {
        "kind": "model", "classes": {"urgent": {"urgency": "urgent", "deadline_ms": 690}},
        "default_class": "urgent", "models": {"m1": {"version": "v1", "size": 1}}},
        "/upstreams/e3" =
        {"service": "llm2", "domain": "d1", "addr": "127.0.0.1:9009", "memory": 10, "slots": 1}] =>
        ["services.llm2.models.m1: `m1` is not allowed: a model id that service `llm` does not have"];
    model_of_size_zero: ["/services/llm/models/m2/size" = 0] =>
        ["services.llm.models.m2.size: `0` is not allowed: at least 1"];
    model_larger_than_any_engine: ["/services/llm/models/m2/size" = 111] =>
        ["services.llm.models.m2.size: `111` is not allowed: at most 110, the largest engine of the service"];
    adapter_without_room: ["/services/llm/models/m1/adapters/a1/size" = 41] =>
        ["services.llm.models.m1.adapters.a1.size: `41` is not allowed: at most 40, the largest engine less the model"];
    too_much_in_sum: ["/services/llm/models/m3" = {"version": "v1", "size": 95}] =>
        ["services.llm.models: `225 in sum` is not allowed: at most 220, the memory of the service's engines"];
    sum_fits_but_not_the_pieces: ["/services/llm/models/m3" = {"version": "v1", "size": 70}] =>
        ["services.llm.models: `3 models of 60 or more` is not allowed: at most 2 of that size on the service's engines"];
    no_engine_stays: ["/upstreams/e1/leaving" = true, "/upstreams/e2/leaving" = true] =>
        ["services.llm.models: `2 models` is not allowed: none, as no upstream of the service stays"];
    unknown_service: ["/upstreams/p1/service" = "apps"] =>
        ["upstreams.p1.service: `apps` is not allowed: app, llm"];
    unknown_domain: ["/upstreams/p1/domain" = "d9"] =>
        ["upstreams.p1.domain: `d9` is not allowed: d1, d2"];
    address_by_name: ["/upstreams/p1/addr" = "localhost:80"] =>
        ["upstreams.p1.addr: `localhost:80` is not allowed: IP:PORT"];
    address_twice: ["/upstreams/p1/addr" = "127.0.0.1:9001"] =>
        ["upstreams.p1.addr: `127.0.0.1:9001` is not allowed: an address that upstream `e1` does not have"];
    no_slots: ["/upstreams/e1/slots" = 0] =>
        ["upstreams.e1.slots: `0` is not allowed: at least 1"];
    no_late_order_bound: ["/upstreams/e1/late_order_ms" = 0] =>
        ["upstreams.e1.late_order_ms: `0` is not allowed: 1 to 86400000"];
    plain_upstream_with_memory: ["/upstreams/p1/memory" = 5] =>
        ["upstreams.p1.memory: `5` is not allowed: 0, as the service is a plain service"];
    weight_store_without_loads: ["/weight_store" = {"loads_per_second": 0, "parallel": 0}] =>
        ["weight_store.loads_per_second: `0` is not allowed: more than 0",
         "weight_store.parallel: `0` is not allowed: at least 1"];
}

/// A new version of m1 needs room beside the old one. On two engines of 110 that hold 70 and 60 it
/// finds none; with a third engine it does.
#[test]
fn version_change_needs_room_for_both() {
    let old = with(&[]);
    let change = ("/services/llm/models/m1/version", json!("v2"));
    assert_eq!(
        messages(check_change(&old, &with(std::slice::from_ref(&change)))),
        [
            "services.llm.models: `3 models of 60 or more` is not allowed: at most 2 of that size on \
          the service's engines while a version changes, old and new together"
        ]
    );
    let engine = json!({"service": "llm", "domain": "d1", "addr": "127.0.0.1:9009", "memory": 110, "slots": 8});
    let new = with(&[change, ("/upstreams/e3", engine)]);
    assert_eq!(messages(check_change(&old, &new)), Vec::<String>::new());
}

macro_rules! unreadable {
    ($($name:ident: $json:expr => $message:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(parse($json.as_bytes()).unwrap_err().to_string(), $message);
        }
    )*};
}

unreadable! {
    no_json: "{" =>
        "the document cannot be read: EOF while parsing an object at line 1 column 1";
    unknown_key: r#"{"modles": {}}"# =>
        "the document cannot be read: unknown field `modles`, expected one of `domains`, `services`, \
         `upstreams`, `weight_store` at line 1 column 9";
    same_key_twice: r#"{"domains": {"d": {"region": "r"}, "d": {"region": "r"}}}"# =>
        "the document cannot be read: `d` stands twice at line 1 column 56";
    too_large: " ".repeat(3_000_000) =>
        "the document has 3000000 bytes: at most 2097152 are allowed";
}
