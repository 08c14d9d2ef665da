//! Whether the models of a service find room on its engines.
//!
//! All conditions are necessary ones, so that nothing that fits is refused. Adapters are loaded on
//! demand and so are only looked at one by one.

use hgw_types::{MemSize, ServiceId};

use super::Faults;
use crate::{Document, Service, ServiceKind};

pub(super) fn check(document: &Document, faults: &mut Faults) {
    for (id, service) in &document.services {
        if service.kind == ServiceKind::Plain || service.models.is_empty() {
            continue;
        }
        let engines = engines(document, id);
        let path = format!("services.{id}.models");
        if engines.is_empty() {
            let value = format!("{} models", service.models.len());
            faults.add(path, value, "none, as no upstream of the service stays");
            continue;
        }
        let found = faults.0.len();
        each_alone(&path, service, &engines, faults);
        if faults.0.len() > found {
            continue;
        }
        let sizes = service.models.values().map(|model| model.size).collect();
        together(&path, sizes, &engines, "", faults);
    }
}

/// Versions are changed one model at a time. At the first one all old versions are there and one new
/// one; at the last one all new versions and one old one.
pub(super) fn check_change(old: &Document, new: &Document, faults: &mut Faults) {
    for (id, service) in &new.services {
        let Some(before) = old.services.get(id) else { continue };
        let kept = service
            .models
            .iter()
            .filter_map(|(model_id, model)| before.models.get(model_id).map(|old| (old, model)));
        let kept: Vec<_> = kept.collect();
        let changed = kept.iter().filter(|(old, new)| old.version != new.version);
        let changed: Vec<_> = changed.collect();
        let least_new = changed.iter().map(|(_, new)| new.size).min();
        let least_old = changed.iter().map(|(old, _)| old.size).min();
        let (Some(least_new), Some(least_old)) = (least_new, least_old) else { continue };

        let mut first: Vec<_> = kept.iter().map(|(old, _)| old.size).collect();
        first.push(least_new);
        let mut last: Vec<_> = service.models.values().map(|model| model.size).collect();
        last.push(least_old);
        let engines = engines(new, id);
        let path = format!("services.{id}.models");
        let when = " while a version changes, old and new together";
        let found = faults.0.len();
        together(&path, first, &engines, when, faults);
        if faults.0.len() == found {
            together(&path, last, &engines, when, faults);
        }
    }
}

/// Memories of the engines that stay.
fn engines(document: &Document, service: &ServiceId) -> Vec<MemSize> {
    let all = document.upstreams.values();
    let stay = all.filter(|upstream| upstream.service == *service && !upstream.leaving);
    stay.map(|upstream| upstream.memory).collect()
}

fn each_alone(path: &str, service: &Service, engines: &[MemSize], faults: &mut Faults) {
    let largest = engines.iter().max().copied().unwrap_or_default();
    for (id, model) in &service.models {
        if model.size > largest {
            let allowed = format!("at most {largest}, the largest engine of the service");
            faults.add(format!("{path}.{id}.size"), model.size, allowed);
            continue;
        }
        let room = largest.saturating_sub(model.size);
        for (adapter_id, adapter) in &model.adapters {
            if adapter.size > room {
                let allowed = format!("at most {room}, the largest engine less the model");
                let path = format!("{path}.{id}.adapters.{adapter_id}.size");
                faults.add(path, adapter.size, allowed);
            }
        }
    }
}

fn together(
    path: &str,
    mut sizes: Vec<MemSize>,
    engines: &[MemSize],
    when: &str,
    faults: &mut Faults,
) {
    let total: MemSize = engines.iter().copied().sum();
    let sum: MemSize = sizes.iter().copied().sum();
    if sum > total {
        let allowed = format!("at most {total}, the memory of the service's engines{when}");
        faults.add(path, format!("{sum} in sum"), allowed);
        return;
    }
    // Models of at least a given size cannot be more than what each engine holds of that size: three
    // models of 70 do not fit two engines of 110, though the sum does.
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    for (index, size) in sizes.iter().enumerate() {
        let count = index as u64 + 1;
        let places: u64 = engines.iter().map(|engine| engine.0 / size.0.max(1)).sum();
        if count > places {
            let allowed = format!("at most {places} of that size on the service's engines{when}");
            faults.add(path, format!("{count} models of {size} or more"), allowed);
            return;
        }
    }
}
