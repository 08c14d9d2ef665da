//! Parts that operators can switch off.

use std::str::FromStr;

use derive_more::{Display, Error};

/// Which optional parts are in use. All of them are by default.
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
    fn default() -> Self {
        Features {
            engine_speed: true,
            engine_memory: true,
            overload_control: true,
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

const NAMES: [&str; 7] = [
    "engine-speed",
    "engine-memory",
    "overload-control",
    "room-queue",
    "engine-subsets",
    "retry-learning",
    "read-ahead",
];

impl Features {
    /// Describes the lists that can be parsed.
    pub fn allowed_names() -> String {
        format!("a comma-separated list of {}", NAMES.join(", "))
    }
}

/// Parses a comma-separated list of the parts that are switched off.
impl FromStr for Features {
    type Err = UnknownFeature;

    fn from_str(disabled: &str) -> Result<Features, UnknownFeature> {
        let mut features = Features::default();
        for name in disabled.split(',').map(str::trim).filter(|name| !name.is_empty()) {
            let feature = match name {
                "engine-speed" => &mut features.engine_speed,
                "engine-memory" => &mut features.engine_memory,
                "overload-control" => &mut features.overload_control,
                "room-queue" => &mut features.room_queue,
                "engine-subsets" => &mut features.engine_subsets,
                "retry-learning" => &mut features.retry_learning,
                "read-ahead" => &mut features.read_ahead,
                _ => return Err(UnknownFeature { name: name.to_owned() }),
            };
            *feature = false;
        }
        Ok(features)
    }
}
