//! What operators configure, as they write it in JSON.

use hgw_types::{
    AdapterId, ClassId, DomainId, MemSize, ModelId, Offset, Rate, RecordId, RegionId, ServiceId,
    UpstreamId, VersionId,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Failure domains and the region that each belongs to.
    #[serde(default, deserialize_with = "crate::parse::unique")]
    pub domains: IndexMap<DomainId, Domain>,
    /// Services by id.
    #[serde(default, deserialize_with = "crate::parse::unique")]
    pub services: IndexMap<ServiceId, Service>,
    /// Upstreams by id.
    #[serde(default, deserialize_with = "crate::parse::unique")]
    pub upstreams: IndexMap<UpstreamId, Upstream>,
    /// Limits of the weight store that all domains share.
    #[serde(default)]
    pub weight_store: WeightStore,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// The region that the domain lies in.
    pub region: RegionId,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Model service or plain service.
    pub kind: ServiceKind,
    /// Share of the urgent requests to be answered in time, above 0 and at most 1.
    #[serde(default = "default_target")]
    pub target: f64,
    /// What one move of a model costs, in urgent requests answered in time that it must gain.
    #[serde(default = "default_move_cost")]
    pub move_cost: f64,
    /// Priority classes by id.
    #[serde(deserialize_with = "crate::parse::unique")]
    pub classes: IndexMap<ClassId, Class>,
    /// Class of a request that names none.
    pub default_class: ClassId,
    /// Models by id; empty for a plain service.
    #[serde(default, deserialize_with = "crate::parse::unique")]
    pub models: IndexMap<ModelId, Model>,
    /// Settings of a plain service; unused for a model service.
    #[serde(default)]
    pub plain: Plain,
}

fn default_target() -> f64 {
    0.95
}

fn default_move_cost() -> f64 {
    1.0
}

/// What a service's upstreams are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain HTTP back ends.
    Plain,
}

/// A priority class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Whether late answers count as missed.
    pub urgency: Urgency,
    /// Time within which a request without a deadline of its own is to be answered, in milliseconds.
    ///
    /// For a model request of an urgent class it bounds the first token.
    pub deadline_ms: u64,
}

/// Whether work counts for the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Must be answered within its deadline.
    Urgent,
    /// May wait, and uses what urgent work leaves.
    Deferrable,
}

impl Urgency {
    /// Whether late answers count as missed.
    pub fn is_urgent(self) -> bool {
        self == Urgency::Urgent
    }
}

/// A model in its current version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version that callers get.
    pub version: VersionId,
    /// Memory that the version takes when resident.
    pub size: MemSize,
    /// Adapters that callers may ask for.
    #[serde(default, deserialize_with = "crate::parse::unique")]
    pub adapters: IndexMap<AdapterId, Adapter>,
}

/// An adapter in its current version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The version that callers get.
    pub version: VersionId,
    /// Memory that the version takes when loaded.
    pub size: MemSize,
}

/// Settings of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// Methods whose calls may be repeated, such as `GET`.
    #[serde(default)]
    pub idempotent_methods: Vec<String>,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The service that it answers for.
    pub service: ServiceId,
    /// The failure domain that it lies in.
    pub domain: DomainId,
    /// `IP:PORT` of its HTTP listener.
    pub addr: String,
    /// Accelerator memory; 0 for a plain service.
    #[serde(default)]
    pub memory: MemSize,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// Time after which an order that was sent can no longer take effect, in milliseconds; used for
    /// engines that ignore fencing numbers.
    #[serde(default = "default_late_order_ms")]
    pub late_order_ms: u64,
    /// Whether orders carry the order token from the nodes' settings.
    #[serde(default)]
    pub order_token: bool,
    /// Whether it is to get no new work.
    #[serde(default)]
    pub leaving: bool,
}

fn default_late_order_ms() -> u64 {
    60_000
}

/// What an engine does with an order that carries an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses the order.
    Refuses,
    /// It carries the order out. The safe assumption where nothing is said.
    #[default]
    Ignores,
}

/// Limits of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Loads that may begin a second.
    pub loads_per_second: Rate,
    /// Loads at once at full speed.
    pub parallel: u32,
}

impl Default for WeightStore {
    fn default() -> Self {
        WeightStore { loads_per_second: Rate::per_second(1.0).unwrap_or_default(), parallel: 4 }
    }
}

/// A change of the configuration, as recorded in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Names the change, for asking again after a lost answer.
    pub id: RecordId,
    /// Version that the change was made from: the offset of an accepted change, or 0 for none.
    pub base: Offset,
    /// The whole configuration after the change.
    pub document: Document,
}
