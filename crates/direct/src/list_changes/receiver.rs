//! Applies the updates of the engine list that other nodes send.

use indexmap::IndexMap;

use crate::{EngineId, EngineInfo, Engines};

use super::{ListUpdate, ListUpdateKind, ListVersion};

/// Applies updates, and collects a full list that arrives in several of them.
///
/// Engines are used as soon as they arrive; engines that the list lacks are removed once it is
/// complete.
#[derive(Debug, Default)]
pub struct ListReceiver {
    incomplete: Option<IncompleteList>,
}

/// The received part of a full list.
#[derive(Debug)]
struct IncompleteList {
    /// Identifier of the process that sends it.
    sender: u64,
    engines: IndexMap<EngineId, EngineInfo>,
}

impl ListReceiver {
    /// Whether the rest of a full list is awaited.
    pub fn is_incomplete(&self) -> bool {
        self.incomplete.is_some()
    }

    /// Discards the received part of a full list, because the list is known from elsewhere.
    pub fn discard(&mut self) {
        self.incomplete = None;
    }

    /// Applies an update. Returns the version that the list now has, or none if the sender has
    /// more.
    pub fn apply(&mut self, update: ListUpdate, engines: &mut Engines) -> Option<ListVersion> {
        let ListUpdate { version, seen, backup_end, kind, has_more, engines: records, removed } =
            update;
        engines.set_backup_end(backup_end);
        let infos: Vec<EngineInfo> = records.into_iter().map(|r| r.into_info(engines)).collect();
        let sender = seen.process_id();
        if kind == ListUpdateKind::Full {
            self.incomplete = Some(IncompleteList { sender, engines: IndexMap::new() });
        }
        if let Some(mut list) = self.incomplete.take().filter(|list| list.sender == sender) {
            list.engines.extend(infos.iter().map(|info| (info.id.clone(), info.clone())));
            for (id, _) in &removed {
                list.engines.swap_remove(id);
            }
            if !has_more {
                let snapshot = list.engines.into_values().collect();
                engines.apply_snapshot(snapshot, version.position(), false);
                for (id, position) in &removed {
                    engines.remove(id, *position);
                }
                return Some(version);
            }
            self.incomplete = Some(list);
        }
        for info in infos {
            engines.upsert(info);
        }
        for (id, position) in &removed {
            engines.remove(id, *position);
        }
        if has_more {
            return None;
        }
        engines.record_complete(version.position());
        Some(version)
    }
}
