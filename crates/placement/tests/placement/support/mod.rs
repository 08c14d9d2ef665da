//! Fakes of the leader's surroundings: log, engines and network.

mod engine;
mod node;
mod world;

use std::sync::Arc;

use hgw_config::{Document, Fencing};
use serde_json::json;

pub(crate) use engine::FakeEngine;
pub(crate) use node::Fault;
pub(crate) use world::{STEP, World};

/// A configuration of one model service: engines as `(id, domain, memory, fencing)` and models as
/// `(id, version, size)`, each with the adapter `id-a` of size 2 in version `1`. Domains `d1`, `d2`
/// lie in region `r1`, others in `r2`.
pub(crate) fn document(
    engines: &[(&str, &str, u64, Fencing)],
    models: &[(&str, &str, u64)],
) -> Arc<Document> {
    let mut doc = json!({ "domains": {}, "upstreams": {}, "services": { "s": {
        "kind": "model", "default_class": "c", "models": {},
        "classes": { "c": { "urgency": "urgent", "deadline_ms": 1000 } },
    }}, "weight_store": { "loads_per_second": 40.0, "parallel": 32 } });
    for (id, domain, memory, fencing) in engines {
        let region = if ["d1", "d2"].contains(domain) { "r1" } else { "r2" };
        doc["domains"][domain] = json!({ "region": region });
        doc["upstreams"][id] = json!({
            "service": "s", "domain": domain, "addr": "127.0.0.1:1", "memory": memory, "slots": 4,
            "fencing": fencing, "late_order_ms": 20_000,
        });
    }
    for (id, version, size) in models {
        let adapters = json!({ format!("{id}-a"): { "version": "1", "size": 2 } });
        doc["services"]["s"]["models"][id] =
            json!({ "version": version, "size": size, "adapters": adapters });
    }
    Arc::new(serde_json::from_value(doc).expect("a valid document"))
}

/// The same configuration after `change` was made to it.
pub(crate) fn changed(document: &Document, change: impl FnOnce(&mut Document)) -> Arc<Document> {
    let mut document = document.clone();
    change(&mut document);
    Arc::new(document)
}

pub(crate) fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid id")
}
