//! Software versions of engines.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{EngineInfo, StartTime};

/// Version of the software that an engine runs, as the engine names it. Versions have no order.
#[derive(Debug, Clone, From, PartialEq, Eq, Serialize, Deserialize)]
#[from(String, &str)]
pub struct SoftwareVersion(pub String);

/// Identifies the engines at which the same stream may go on: those of one service that run the same
/// software version. An engine that names no version shares it with none.
///
/// It is the same on all nodes.
#[derive(
    Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct VersionKey(u64);

impl VersionKey {
    /// Equal to the key of no engine.
    pub const UNKNOWN: VersionKey = VersionKey(0);

    pub fn of(info: &EngineInfo) -> VersionKey {
        let mut hasher = Xxh3Default::new();
        hasher.update(info.service.0.as_bytes());
        match &info.software {
            Some(version) => {
                hasher.update(b"\0version\0");
                hasher.update(version.0.as_bytes());
            }
            None => {
                let StartTime(started_at) = info.started_at;
                hasher.update(b"\0engine\0");
                hasher.update(&started_at.unwrap_or_default().to_le_bytes());
                hasher.update(info.id.0.as_bytes());
            }
        }
        VersionKey(hasher.digest())
    }
}
