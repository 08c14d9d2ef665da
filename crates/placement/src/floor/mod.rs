//! The residency floor: the replicas that must stay loaded, by model and engine.
//!
//! A pure function of the configuration, the unreachable engines and the previous floor. It ignores
//! load, so it changes only when configuration or reachability do.

mod packing;

use hgw_config::{Document, ServiceKind};
use hgw_types::{Offset, RegionId, ServiceId, UpstreamId};
use indexmap::IndexSet;

use crate::Floor;
use packing::{EngineSpace, Packing};

/// Computes the floor.
///
/// Each region gets its own floor, so that regions that cannot reach each other still serve every
/// model that fits. Models without a replica in an earlier region are placed first, so that a model
/// left out of one region for lack of memory is included in the next.
///
/// Unreachable and leaving engines get no replicas. Replicas in `previous` are kept where
/// they still fit.
pub fn floor(
    document: &Document,
    version: Offset,
    unreachable: &[UpstreamId],
    previous: Option<&Floor>,
) -> Floor {
    let mut floor = Floor { config: version, ..Floor::default() };
    for (id, service) in &document.services {
        if service.kind != ServiceKind::Model {
            continue;
        }
        for model in service.models.keys() {
            floor.models.entry(model.clone()).or_default();
        }
        for region in regions(document) {
            let engines = engines(document, id, region, unreachable);
            let packing = Packing::best(service, engines, &floor, previous);
            packing.add_to(&mut floor);
        }
    }
    floor
}

fn regions(document: &Document) -> IndexSet<&RegionId> {
    document.domains.values().map(|d| &d.region).collect()
}

fn engines<'a>(
    document: &'a Document,
    service: &ServiceId,
    region: &RegionId,
    unreachable: &[UpstreamId],
) -> Vec<EngineSpace<'a>> {
    let is_in_region = |u: &hgw_config::Upstream| {
        u.service == *service
            && document.domains.get(&u.domain).is_some_and(|d| d.region == *region)
    };
    let is_usable =
        |id: &UpstreamId, u: &hgw_config::Upstream| !u.leaving && !unreachable.contains(id);
    let usable = document.upstreams.iter().filter(|(id, u)| is_in_region(u) && is_usable(id, u));
    usable.map(|(id, u)| EngineSpace::new(id, &u.domain, u.memory)).collect()
}
