//! A whole small deployment of stand-ins, and the configuration that describes it.

use std::io;
use std::net::SocketAddr;

use hgw_config::{
    Adapter, Class, Document, Domain, Fencing, Model, Plain, Service, ServiceKind, Upstream,
    Urgency, WeightStore,
};
use hgw_types::{MemSize, Rate, UpstreamId};
use indexmap::IndexMap;

use crate::{Place, Running, engine, plain, platform, weights};

/// The model service of the deployment.
pub const MODEL_SERVICE: &str = "asesor-llm";
/// Its plain service.
pub const PLAIN_SERVICE: &str = "caja-app";
/// The class for work that must be in time.
pub const URGENT: &str = "urgent";
/// The class for work that may wait.
pub const OVERNIGHT: &str = "overnight";
/// The adapter of each model.
pub const ADAPTER: &str = "school";

/// What to start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where the stand-ins run. As processes, the platform, the weight store and the plain services
    /// have their usual settings.
    pub place: Place,
    /// Failure domains, all in one region.
    pub domains: Vec<DomainSettings>,
    /// Models and their sizes.
    pub models: Vec<(&'static str, u64)>,
    /// Settings of each engine; its address and weight store are filled in.
    pub engine: engine::Settings,
    /// Settings of each plain service.
    pub plain: plain::Settings,
    /// Settings of the platform.
    pub platform: platform::Settings,
    /// Settings of the weight store.
    pub weights: weights::Settings,
    /// Time within which urgent work is to be answered, in milliseconds.
    pub urgent_ms: u64,
}

/// A failure domain and its upstreams.
#[derive(Debug, Clone, Copy)]
pub struct DomainSettings {
    /// Its id.
    pub id: &'static str,
    /// Engines in it.
    pub engines: usize,
    /// Plain services in it.
    pub plains: usize,
}

impl DomainSettings {
    /// A domain with so many engines and plain services.
    pub fn new(id: &'static str, engines: usize, plains: usize) -> DomainSettings {
        DomainSettings { id, engines, plains }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            place: Place::default(),
            domains: vec![DomainSettings::new("stgo-a", 1, 1), DomainSettings::new("stgo-b", 1, 1)],
            models: vec![("rules", 50), ("notes", 50)],
            engine: engine::Settings::default(),
            plain: plain::Settings::default(),
            platform: platform::Settings::default(),
            // Tests and the demo wait for loads; the users' own store is slower.
            weights: weights::Settings {
                loads_per_second: 20.0,
                units_per_second: 500.0,
                ..weights::Settings::default()
            },
            urgent_ms: 10_000,
        }
    }
}

/// Stand-ins at work.
#[derive(Debug)]
pub struct Deployment {
    /// The log and the list of VMs.
    pub platform: Running,
    /// The weight store.
    pub weights: Running,
    /// Model engines, by the upstream id that the document gives them.
    pub engines: IndexMap<UpstreamId, Running>,
    /// Plain services, by the upstream id that the document gives them.
    pub plains: IndexMap<UpstreamId, Running>,
    /// The configuration that describes them.
    pub document: Document,
}

/// Starts the stand-ins and describes them.
pub fn start(settings: &Settings) -> io::Result<Deployment> {
    let platform = settings.place.platform(&settings.platform)?;
    let weights = settings.place.weights(&settings.weights)?;
    let mut document = describe(settings);
    let (mut engines, mut plains) = (IndexMap::new(), IndexMap::new());
    for DomainSettings { id: domain, engines: engine_count, plains: plain_count } in
        &settings.domains
    {
        for n in 1..=*engine_count {
            let id: UpstreamId = name(&format!("engine-{domain}-{n}"));
            let weights = Some(weights.addr());
            let engine =
                settings.place.engine(engine::Settings { weights, ..settings.engine.clone() })?;
            document.upstreams.insert(id.clone(), engine_entry(settings, domain, engine.addr()));
            engines.insert(id, engine);
        }
        for n in 1..=*plain_count {
            let id: UpstreamId = name(&format!("plain-{domain}-{n}"));
            let plain = settings.place.plain(&settings.plain)?;
            document.upstreams.insert(id.clone(), plain_entry(domain, plain.addr()));
            plains.insert(id, plain);
        }
    }
    Ok(Deployment { platform, weights, engines, plains, document })
}

/// The configuration without its upstreams.
fn describe(settings: &Settings) -> Document {
    let domain = |d: &DomainSettings| (name(d.id), Domain { region: name("cl-central") });
    let mut services = IndexMap::new();
    services.insert(name(MODEL_SERVICE), model_service(settings));
    services.insert(name(PLAIN_SERVICE), plain_service(settings));
    let loads = Rate::per_second(settings.weights.loads_per_second);
    Document {
        domains: settings.domains.iter().map(domain).collect(),
        services,
        upstreams: IndexMap::new(),
        weight_store: WeightStore {
            loads_per_second: loads.unwrap_or_default(),
            parallel: settings.weights.parallel,
        },
    }
}

fn model_service(settings: &Settings) -> Service {
    let model = |(id, size): &(&'static str, u64)| {
        let adapter = Adapter { version: name("a1"), size: MemSize(1) };
        let adapters = IndexMap::from([(name(ADAPTER), adapter)]);
        (name(id), Model { version: name("v1"), size: MemSize(*size), adapters })
    };
    Service {
        models: settings.models.iter().map(model).collect(),
        ..service(settings, ServiceKind::Model)
    }
}

fn plain_service(settings: &Settings) -> Service {
    let plain = Plain { idempotent_methods: vec!["GET".into()] };
    Service { plain, ..service(settings, ServiceKind::Plain) }
}

fn service(settings: &Settings, kind: ServiceKind) -> Service {
    let urgent = Class { urgency: Urgency::Urgent, deadline_ms: settings.urgent_ms };
    let overnight = Class { urgency: Urgency::Deferrable, deadline_ms: 60_000 };
    Service {
        kind,
        target: 0.95,
        move_cost: 1.0,
        classes: IndexMap::from([(name(URGENT), urgent), (name(OVERNIGHT), overnight)]),
        default_class: name(URGENT),
        models: IndexMap::new(),
        plain: Plain::default(),
    }
}

fn engine_entry(settings: &Settings, domain: &str, addr: SocketAddr) -> Upstream {
    let engine = &settings.engine;
    Upstream {
        service: name(MODEL_SERVICE),
        memory: engine.memory,
        slots: u32::try_from(engine.slots).unwrap_or(u32::MAX),
        fencing: if engine.refuses_old_orders { Fencing::Refuses } else { Fencing::Ignores },
        order_token: engine.order_token.is_some(),
        ..plain_entry(domain, addr)
    }
}

fn plain_entry(domain: &str, addr: SocketAddr) -> Upstream {
    Upstream {
        service: name(PLAIN_SERVICE),
        domain: name(domain),
        addr: addr.to_string(),
        memory: MemSize(0),
        slots: 8,
        fencing: Fencing::default(),
        late_order_ms: 5_000,
        order_token: false,
        leaving: false,
    }
}

/// `text` as a name.
///
/// # Panics
///
/// Where `text` is none: names here are written in the program.
pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}
