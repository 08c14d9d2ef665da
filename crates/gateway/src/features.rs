//! Parts that operators can switch on and off.

use derive_more::{Display, Error};

/// Which optional parts are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Features {
    /// Engines are chosen by how fast they are.
    pub engine_speed: bool,
    /// Engines are chosen by the memory that requests hold there.
    pub engine_memory: bool,
    /// The leader limits what is admitted to an overloaded service.
    pub overload_control: bool,
    /// Requests wait at this node for room at engines.
    pub room_queue: bool,
    /// Each node uses a stable subset of the engines.
    pub engine_subsets: bool,
    /// Second attempts are made only where they help.
    pub retry_learning: bool,
    /// Streams are read ahead of slow callers.
    pub read_ahead: bool,
}

impl Default for Features {
    /// All but overload control, which refuses calls that engines would still have served late.
    fn default() -> Self {
        Features {
            engine_speed: true,
            engine_memory: true,
            overload_control: false,
            room_queue: true,
            engine_subsets: true,
            retry_learning: true,
            read_ahead: true,
        }
    }
}

/// A name that belongs to no optional part.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("`{name}` is no feature")]
pub struct UnknownFeature {
    #[error(not(source))]
    pub name: String,
}

type Feature = fn(&mut Features) -> &mut bool;

const FEATURES: [(&str, Feature); 7] = [
    ("engine-speed", |features| &mut features.engine_speed),
    ("engine-memory", |features| &mut features.engine_memory),
    ("overload-control", |features| &mut features.overload_control),
    ("room-queue", |features| &mut features.room_queue),
    ("engine-subsets", |features| &mut features.engine_subsets),
    ("retry-learning", |features| &mut features.retry_learning),
    ("read-ahead", |features| &mut features.read_ahead),
];

impl Features {
    /// Describes the lists that can be parsed.
    pub fn allowed_names() -> String {
        let names: Vec<&str> = FEATURES.iter().map(|(name, _)| *name).collect();
        format!("a comma-separated list of {}", names.join(", "))
    }

    /// Switches the parts of a comma-separated list on or off.
    pub fn switch(mut self, names: &str, is_on: bool) -> Result<Features, UnknownFeature> {
        for name in names.split(',').map(str::trim).filter(|name| !name.is_empty()) {
            let feature = FEATURES.iter().find(|(known, _)| *known == name);
            let (_, feature) = feature.ok_or_else(|| UnknownFeature { name: name.to_owned() })?;
            *feature(&mut self) = is_on;
        }
        Ok(self)
    }
}
