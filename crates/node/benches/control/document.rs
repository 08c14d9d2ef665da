//! Configurations of a given size.

use std::fmt::Write;

use bytes::Bytes;
use hgw_node::{CallerRequest, CallerWork};
use hgw_types::{ModelId, Tokens};
use hgw_wire::peer::PlainWork;

use crate::world::name;

/// Memory of an engine, and size of each model: an engine holds 20.
const MEMORY: u32 = 800;
const SIZE: u32 = 40;

/// How large a configuration is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) domains: usize,
    pub(crate) models: usize,
    pub(crate) engines: usize,
}

/// Two failure domains a region, engines spread over them, one plain back end in each.
pub(crate) fn json(size: Size) -> String {
    let list = |n: usize, f: &dyn Fn(usize) -> String| (0..n).map(f).collect::<Vec<_>>().join(",");
    let domains = list(size.domains, &|i| format!(r#""d{i}":{{"region":"r{}"}}"#, i / 2));
    let models = list(size.models, &|i| format!(r#""m{i}":{{"version":"v1","size":{SIZE}}}"#));
    let class =
        r#""default_class":"urgent","classes":{"urgent":{"urgency":"urgent","deadline_ms":5000}}"#;
    let mut upstreams = list(size.engines, &|i| {
        let domain = i % size.domains;
        format!(
            r#""e{i}":{{"service":"chat","domain":"d{domain}","addr":"10.0.{}.{}:8000","memory":{MEMORY},"slots":64,"fencing":"refuses"}}"#,
            i / 250,
            i % 250
        )
    });
    for i in 0..size.domains {
        let comma = if upstreams.is_empty() { "" } else { "," };
        let _ = write!(
            upstreams,
            r#"{comma}"p{i}":{{"service":"ledger","domain":"d{i}","addr":"10.1.0.{i}:8000","slots":200}}"#
        );
    }
    format!(
        r#"{{"domains":{{{domains}}},"services":{{"chat":{{"kind":"model",{class},"models":{{{models}}}}},
"ledger":{{"kind":"plain",{class},"plain":{{"idempotent_methods":["GET"]}}}}}},
"upstreams":{{{upstreams}}},"weight_store":{{"loads_per_second":100000.0,"parallel":10000}}}}"#
    )
}

/// A request for 8 tokens of a model.
pub(crate) fn chat(model: &ModelId) -> CallerRequest {
    let prompt = "what is a receipt".into();
    let (model, adapter, max_tokens) = (model.clone(), None, Tokens(8));
    let work = CallerWork::Chat { model, adapter, prompt, max_tokens };
    CallerRequest { id: name("r1"), class: None, deadline: None, key: None, work }
}

/// A keyed call of the plain service.
pub(crate) fn keyed(key: &str) -> CallerRequest {
    let body = Bytes::from_static(b"7");
    let work = PlainWork { method: "POST".into(), path: "/v".into(), headers: Vec::new(), body };
    let work = CallerWork::Plain { service: name("ledger"), work };
    CallerRequest { id: name("r1"), class: None, deadline: None, key: Some(name(key)), work }
}
