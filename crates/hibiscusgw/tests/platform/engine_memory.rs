//! Memory of engines.

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{configuration, holds};
use http::{Method, StatusCode};
use serde_json::json;

use crate::new_fleet;

/// Guards against a request that is sent around although no engine can run it, and against one that is
/// refused for a hint that cannot be read.
#[test]
fn request_larger_than_every_engine_is_refused_at_once() {
    let engine = EngineSettings {
        id: "i-1".into(),
        holds: holds(&[("m", &[])]),
        ..EngineSettings::default()
    };
    let mut fleet = new_fleet(vec![engine]);
    let mut config = configuration(2);
    for service in config["services"].as_array_mut().unwrap() {
        if service["engine"].is_object() {
            service["engine"]["kvTokens"] = json!(3_000);
            service["engine"]["stride"] = json!("four");
        }
    }
    fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
    let node = fleet.start("a");
    let ask = |id: &str, tokens: &str, hint: &str| {
        let headers = [
            ("x-request-id", id),
            ("x-deadline-ms", "8000"),
            ("x-model", "m"),
            ("x-tokens", tokens),
            ("x-length-hint", hint),
        ];
        fleet.nodes[node].call(Method::POST, "/ask/", &headers).unwrap()
    };
    let refused = ask("large", "4000,120", "60");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.body, r#"{"error":"larger than any engine"}"#);
    assert!(!refused.headers.contains_key("retry-after"), "it is no use to come back");
    assert_eq!(fleet.runs("large"), 0);
    for hint in ["60", "-1", "0", "1.5", "99999999999", "x"] {
        let served = ask(&format!("with-{hint}"), "500,12", hint);
        assert_eq!(served.status, StatusCode::OK, "{hint}");
    }
}
