//! The residency floor: the replicas that must stay loaded, by model and engine.
//!
//! A pure function of the configuration, the unreachable engines and the previous floor. It ignores
//! load, so it changes only when configuration or reachability do.

mod region;

use hgw_config::{Document, ServiceKind};
use hgw_types::{Offset, RegionId, ServiceId, UpstreamId};
use indexmap::IndexSet;

use crate::Floor;
use region::Packing;

/// Computes the floor.
///
/// Each region gets its own floor, so that regions that cannot reach each other still serve every
/// model that fits. Models without a replica in an earlier region are placed first, so that a model
/// left out of one region for lack of memory is included in the next.
///
/// Unreachable (`lost`) and leaving engines get no replicas. Replicas in `previous` are kept where
/// they still fit.
pub fn floor(
    document: &Document,
    version: Offset,
    lost: &[UpstreamId],
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
            let engines = engines(document, id, region, lost);
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
    lost: &[UpstreamId],
) -> Vec<region::Room<'a>> {
    let here = |u: &hgw_config::Upstream| {
        u.service == *service
            && document.domains.get(&u.domain).is_some_and(|d| d.region == *region)
    };
    let stays = |id: &UpstreamId, u: &hgw_config::Upstream| !u.leaving && !lost.contains(id);
    let usable = document.upstreams.iter().filter(|(id, u)| here(u) && stays(id, u));
    usable.map(|(id, u)| region::Room::new(id, &u.domain, u.memory)).collect()
}
