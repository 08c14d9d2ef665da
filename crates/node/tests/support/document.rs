use bytes::Bytes;
use hgw_config::Document;
use hgw_node::{CallerRequest, CallerWork};
use hgw_types::Tokens;
use hgw_wire::peer::PlainWork;

use super::name;

/// Two failure domains of one region, each with an engine that has room for both models, and a plain
/// service's back end.
pub(crate) const DOCUMENT: &str = r#"{
  "domains": {"d1": {"region": "r"}, "d2": {"region": "r"}},
  "services": {
    "chat": {
      "kind": "model", "default_class": "urgent",
      "classes": {"urgent": {"urgency": "urgent", "deadline_ms": 1000},
                  "batch": {"urgency": "deferrable", "deadline_ms": 60000}},
      "models": {"m1": {"version": "v1", "size": 40}, "m2": {"version": "v1", "size": 40}}
    },
    "ledger": {
      "kind": "plain", "default_class": "urgent",
      "classes": {"urgent": {"urgency": "urgent", "deadline_ms": 1000}},
      "plain": {"idempotent_methods": ["GET"]}
    }
  },
  "upstreams": {
    "e1": {"service": "chat", "domain": "d1", "addr": "10.0.0.1:1", "memory": 140, "slots": 4, "fencing": "refuses"},
    "e2": {"service": "chat", "domain": "d2", "addr": "10.0.0.2:1", "memory": 140, "slots": 4, "fencing": "refuses"},
    "p1": {"service": "ledger", "domain": "d1", "addr": "10.0.0.3:1", "slots": 4}
  },
  "weight_store": {"loads_per_second": 10.0, "parallel": 8}
}"#;

pub(crate) fn document() -> Document {
    hgw_config::parse(DOCUMENT.as_bytes()).unwrap()
}

/// A request for 8 tokens of a model.
pub(crate) fn chat(model: &str) -> CallerRequest {
    CallerRequest {
        id: name("r1"),
        class: None,
        deadline: None,
        key: None,
        work: CallerWork::Chat {
            model: name(model),
            adapter: None,
            prompt: "what is a receipt".into(),
            max_tokens: Tokens(8),
        },
    }
}

/// A call of the plain service, with a key where one is given.
pub(crate) fn post(key: Option<&str>) -> CallerRequest {
    let work = PlainWork {
        method: "POST".to_owned(),
        path: "/voucher".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"7"),
    };
    let work = CallerWork::Plain { service: name("ledger"), work };
    CallerRequest { id: name("r1"), class: None, deadline: None, key: key.map(name), work }
}
