//! Messages that carry the list of engines between nodes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    CachedWeights, ChangePosition, Cursor, Engine, EngineId, EngineInfo, EngineState, Engines,
    LoadedModel, SoftwareVersion, StartTime,
};

use super::ListVersion;

/// Wire form of an engine's list entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    pub engine: EngineId,
    /// Position of the entry in the store's log.
    #[serde(rename = "at")]
    pub position: Cursor,
    #[serde(rename = "start")]
    pub started_at: StartTime,
    pub service: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    pub addr: SocketAddr,
    pub domain: String,
    pub slots: u32,
    pub leaving: bool,
    pub unreadable: bool,
    /// Whether it is still warming up after its start.
    #[serde(rename = "cold")]
    pub warming_up: bool,
    #[serde(rename = "held")]
    pub loaded: Vec<LoadedModel>,
}

/// An update of the list of engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// Version of the list with this update; the lowest if more is to come.
    #[serde(rename = "place")]
    pub version: ListVersion,
    /// Position in the sender's changes with this update.
    #[serde(default, rename = "heard")]
    pub seen: ChangePosition,
    /// Position at which the backup ends that the store was restored from, as far as the sender
    /// knows.
    #[serde(rename = "copy_end")]
    pub backup_end: Cursor,
    #[serde(rename = "part")]
    pub kind: ListUpdateKind,
    /// Whether the sender has more, which it sends in the response to the next poll.
    #[serde(default, rename = "more", skip_serializing_if = "std::ops::Not::not")]
    pub has_more: bool,
    pub engines: Vec<EngineRecord>,
    /// Removed engines, with the position of the removal.
    #[serde(rename = "gone")]
    pub removed: Vec<(EngineId, Cursor)>,
}

/// What an update contains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListUpdateKind {
    #[default]
    Changes,
    /// The full list, or the first part of it.
    #[serde(rename = "Whole")]
    Full,
    /// Nothing: the sender has no list yet, or another node has to send it.
    Unknown,
}

impl ListUpdate {
    pub fn unknown() -> ListUpdate {
        ListUpdate { kind: ListUpdateKind::Unknown, ..ListUpdate::default() }
    }

    /// Whether it changes anything.
    pub fn is_empty(&self) -> bool {
        self.kind != ListUpdateKind::Full && self.engines.is_empty() && self.removed.is_empty()
    }
}

impl EngineRecord {
    pub(super) fn of(engine: &Engine) -> EngineRecord {
        let info = &engine.info;
        EngineRecord {
            engine: info.id.clone(),
            position: info.position,
            started_at: info.started_at,
            service: info.service.0.clone(),
            software: info.software.clone(),
            addr: info.addr,
            domain: info.domain.clone(),
            slots: info.slots,
            leaving: matches!(info.state, EngineState::Leaving { .. }),
            unreadable: info.state == EngineState::Unreadable,
            warming_up: info.warmup_ms_left > 0,
            loaded: info.loaded.clone(),
        }
    }

    pub(super) fn into_info(self, engines: &Engines) -> EngineInfo {
        let known =
            engines.get(&self.engine).filter(|e| !e.info.started_at.is_before(self.started_at));
        let state = match (self.leaving, self.unreadable) {
            (_, true) => EngineState::Unreadable,
            (true, false) => EngineState::Leaving { terminates_at: None },
            (false, false) => EngineState::Ready,
        };
        EngineInfo {
            id: self.engine,
            position: self.position,
            started_at: self.started_at,
            service: self.service.into(),
            software: self.software,
            addr: self.addr,
            domain: self.domain,
            slots: self.slots,
            state,
            loaded: known
                .filter(|e| e.placement_reported_at.is_some())
                .map_or(self.loaded, |e| e.info.loaded.clone()),
            cached: CachedWeights::default(),
            warmup_ms_left: u64::from(self.warming_up),
        }
    }
}
