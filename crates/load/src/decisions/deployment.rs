//! The two deployments of today, as configuration documents.

use std::time::Duration;

use hgw_config::{
    Adapter, Class, Document, Domain, Fencing, Model, Plain, Service, ServiceKind, Upstream,
    Urgency, WeightStore,
};
use hgw_types::{MemSize, ModelId, Rate};
use indexmap::IndexMap;

/// A deployment's sizes.
#[derive(Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    domains: [&'static str; 4],
    models: usize,
    /// Smallest and largest model.
    sizes: (u64, u64),
    /// Shortest and longest load, in milliseconds.
    loads: (u64, u64),
    memory: u64,
    loads_per_second: f64,
    parallel: u32,
    move_cost: f64,
    fencing: Fencing,
}

/// Model engines, requests that each works on at once.
pub const ENGINES: (usize, u32) = (9, 8);
/// Plain back ends, and calls that each works on at once.
pub const PLAIN: (usize, u32) = (4, 16);
/// First token of urgent work, or a plain answer, in milliseconds.
pub const URGENT_MS: u64 = 690;
const DEFERRABLE_MS: u64 = 600_000;
const ADAPTERS: usize = 60;

/// Petty cash: attainment weighs more, engines refuse old fencing numbers.
pub const VALDIVIESO: Deployment = Deployment {
    name: "valdivieso",
    domains: ["stgo-a", "stgo-b", "rancagua", "talca"],
    models: 13,
    sizes: (40, 70),
    loads: (1000, 4000),
    memory: 240,
    loads_per_second: 1.5,
    parallel: 6,
    move_cost: 5.0,
    fencing: Fencing::Refuses,
};

/// Mould flow: moves are watched closely, engines ignore fencing numbers.
pub const TASMAN: Deployment = Deployment {
    name: "tasman",
    domains: ["launceston", "hobart", "burnie", "devonport"],
    models: 17,
    sizes: (65, 70),
    loads: (1000, 6000),
    memory: 360,
    loads_per_second: 1.0,
    parallel: 7,
    move_cost: 20.0,
    fencing: Fencing::Ignores,
};

impl Deployment {
    /// How many models there are.
    pub fn models(&self) -> usize {
        self.models
    }

    /// The model at this place of the configuration.
    pub fn model(&self, i: usize) -> ModelId {
        name(format!("model-{i}"))
    }

    /// How long the weight store takes to deliver a model.
    pub fn load_time(&self, model: usize) -> Duration {
        Duration::from_millis(self.spread(model, self.loads))
    }

    /// Adapters of one model.
    pub fn adapters(&self, model: usize) -> usize {
        ADAPTERS / self.models + usize::from(model < ADAPTERS % self.models)
    }

    /// Spreads a property evenly over the models, out of step with their popularity.
    fn spread(&self, model: usize, (low, high): (u64, u64)) -> u64 {
        let place = (model * 5 % self.models) as u64;
        low + (high - low) * place / (self.models as u64 - 1)
    }

    /// The configuration: engines first, then plain back ends, dealt over the domains in turn.
    pub fn document(&self) -> Document {
        let domain = |d: &&str| (name(*d), Domain { region: name("today") });
        let llm = self.service(ServiceKind::Model, self.model_list());
        let app = self.service(ServiceKind::Plain, IndexMap::new());
        let upstream = |(i, service, slots): (usize, &str, u32)| {
            let upstream = Upstream {
                service: name(service),
                domain: name(self.domains[i % self.domains.len()]),
                addr: format!("127.0.0.1:{}", 7000 + i),
                memory: MemSize(if service == "llm" { self.memory } else { 0 }),
                slots,
                fencing: self.fencing,
                late_order_ms: 60_000,
                order_token: false,
                leaving: false,
            };
            (name(format!("{service}-{i}")), upstream)
        };
        let engines = (0..ENGINES.0).map(|i| (i, "llm", ENGINES.1));
        let plain = (0..PLAIN.0).map(|i| (i, "app", PLAIN.1));
        Document {
            domains: self.domains.iter().map(domain).collect(),
            services: [(name("llm"), llm), (name("app"), app)].into_iter().collect(),
            upstreams: engines.chain(plain).map(upstream).collect(),
            weight_store: WeightStore {
                loads_per_second: Rate::per_second(self.loads_per_second).unwrap_or_default(),
                parallel: self.parallel,
            },
        }
    }

    fn model_list(&self) -> IndexMap<ModelId, Model> {
        let adapter = |a| {
            let adapter = Adapter { version: name("1"), size: MemSize(1) };
            (name(format!("adapter-{a}")), adapter)
        };
        let model = |m| Model {
            version: name("1"),
            size: MemSize(self.spread(m, self.sizes)),
            adapters: (0..self.adapters(m)).map(adapter).collect(),
        };
        (0..self.models).map(|m| (self.model(m), model(m))).collect()
    }

    fn service(&self, kind: ServiceKind, models: IndexMap<ModelId, Model>) -> Service {
        let class = |urgency, deadline_ms| Class { urgency, deadline_ms };
        let classes = [
            (name("quote"), class(Urgency::Urgent, URGENT_MS)),
            (name("nightly"), class(Urgency::Deferrable, DEFERRABLE_MS)),
        ];
        Service {
            kind,
            target: 0.95,
            move_cost: self.move_cost,
            classes: classes.into_iter().collect(),
            default_class: name("quote"),
            models,
            plain: Plain::default(),
        }
    }
}

fn name<T: std::str::FromStr>(text: impl AsRef<str>) -> T
where
    T::Err: std::fmt::Debug,
{
    text.as_ref().parse().expect("the names here keep to the rule")
}
