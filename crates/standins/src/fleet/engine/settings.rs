//! Settings of an engine.

use std::time::Duration;

use indexmap::IndexMap;

use super::Holds;
use crate::fleet::{Endless, FixedResponse};

/// Memory of an engine for models and adapters, in megabytes.
#[derive(Debug, Clone, Copy)]
pub struct EngineMemory {
    /// Memory for all of them.
    pub total_mb: f64,
    /// Size of each model.
    pub model_mb: f64,
    /// Size of each adapter.
    pub adapter_mb: f64,
}

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Its identity.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its failure domain.
    pub zone: String,
    /// Version of its software at its first start, in its entry.
    pub software: serde_json::Value,
    /// Whether each event names that version.
    pub names_software: bool,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Requests that it lets wait beside them; any number if none is set.
    pub queue: Option<u32>,
    /// What it holds at the start.
    pub holds: Holds,
    /// Models that it has room for.
    pub models: usize,
    /// Places for adapters, over all models.
    pub adapters: usize,
    /// Memory for models and adapters and what they take, if it is checked.
    pub memory: Option<EngineMemory>,
    /// Time of a load of a model.
    pub load: Duration,
    /// Time that it reads a prompt, before the head of a stream.
    pub reading: Duration,
    /// Time between two events of a stream.
    pub pause: Duration,
    /// Events of a stream.
    pub events: u64,
    /// Whether it refuses orders with an old fencing number.
    pub fences: bool,
    /// A part of prompts, but for the last, on which it crashes as it begins to write.
    pub crash_part: Option<String>,
    /// Whether its streams have neither a length nor chunks and end with their connections.
    pub unframed: bool,
    /// Bytes that each event has beside its text.
    pub event_bytes: usize,
    /// Time after which it cuts off a stream that nobody reads; never if none is set.
    pub unread_limit: Option<Duration>,
    /// How long it says that it keeps idle connections; nothing if none is set.
    pub keep_alive: Option<Duration>,
    /// What it sends without end in place of its responses or after them, if it does.
    pub endless: Option<Endless>,
    /// What it sends in place of its responses, by the id of the request up to its first dot.
    pub fixed: IndexMap<String, FixedResponse>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            id: "i-1".into(),
            service: "models".into(),
            zone: "a".into(),
            software: "v1".into(),
            names_software: false,
            slots: 8,
            queue: None,
            holds: Holds::new(),
            models: 3,
            adapters: 4,
            memory: None,
            load: Duration::from_millis(200),
            reading: Duration::ZERO,
            pause: Duration::from_millis(5),
            events: 20,
            fences: true,
            crash_part: None,
            unframed: false,
            event_bytes: 0,
            unread_limit: None,
            keep_alive: None,
            endless: None,
            fixed: IndexMap::new(),
        }
    }
}
