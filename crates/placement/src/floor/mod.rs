//! The residency floor: which engines must keep which model.
//!
//! A pure function of the configuration, the engines that are lost and the floor before it. It does
//! not look at load, so that it changes with configuration and lost engines only, and moves little.

mod region;

use hgw_config::{Document, ServiceKind};
use hgw_types::{Offset, RegionId, ServiceId, UpstreamId};
use indexmap::IndexSet;

use crate::Floor;
use region::Packing;

/// Works out the floor.
///
/// Each region gets a floor of its own, so that regions cut off from each other still reach every
/// model that fits. Models that have no copy yet in an earlier region go first, so that a model left
/// out of one region for want of memory is the last to be left out of the next.
///
/// `lost` are engines that do not answer; they and the leaving ones get no copy. What `previous` holds
/// is kept where it still fits.
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
