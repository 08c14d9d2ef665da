use std::collections::HashMap;
use std::net::SocketAddr;

use hgw_types::UpstreamId;

use super::{Faults, one_of};
use crate::{Document, Fencing, ServiceKind, Upstream};

/// Longest bound for late orders: a day, in milliseconds. With a longer one, memory reserved for an
/// order whose answer was lost would in effect never come back.
const MAX_LATE_ORDER_MS: u64 = 24 * 3600 * 1000;

pub(super) fn check(document: &Document, faults: &mut Faults) {
    let mut owners = HashMap::new();
    for (id, upstream) in &document.upstreams {
        let path = format!("upstreams.{id}");
        references(&path, document, upstream, faults);
        address(&path, id, upstream, &mut owners, faults);
        limits(&path, document, upstream, faults);
    }
}

fn references(path: &str, document: &Document, upstream: &Upstream, faults: &mut Faults) {
    if !document.services.contains_key(&upstream.service) {
        let allowed = one_of(document.services.keys());
        faults.add(format!("{path}.service"), &upstream.service, allowed);
    }
    if !document.domains.contains_key(&upstream.domain) {
        let allowed = one_of(document.domains.keys());
        faults.add(format!("{path}.domain"), &upstream.domain, allowed);
    }
}

/// Two upstreams at one address would be counted as two memories where there is one.
fn address<'a>(
    path: &str,
    id: &'a UpstreamId,
    upstream: &'a Upstream,
    owners: &mut HashMap<SocketAddr, &'a UpstreamId>,
    faults: &mut Faults,
) {
    let path = format!("{path}.addr");
    let Some(addr) = upstream.addr.parse::<SocketAddr>().ok().filter(|addr| addr.port() != 0)
    else {
        faults.add(path, &upstream.addr, "IP:PORT");
        return;
    };
    if let Some(owner) = owners.insert(addr, id) {
        let allowed = format!("an address that upstream `{owner}` does not have");
        faults.add(path, &upstream.addr, allowed);
    }
}

fn limits(path: &str, document: &Document, upstream: &Upstream, faults: &mut Faults) {
    if upstream.slots == 0 {
        faults.add(format!("{path}.slots"), upstream.slots, "at least 1");
    }
    let ignores = upstream.fencing == Fencing::Ignores;
    if ignores && !(1..=MAX_LATE_ORDER_MS).contains(&upstream.late_order_ms) {
        let allowed = format!("1 to {MAX_LATE_ORDER_MS}");
        faults.add(format!("{path}.late_order_ms"), upstream.late_order_ms, allowed);
    }
    let Some(service) = document.services.get(&upstream.service) else { return };
    let memory = upstream.memory;
    match service.kind {
        ServiceKind::Model if memory.0 == 0 => {
            let allowed = "at least 1, as the service is a model service";
            faults.add(format!("{path}.memory"), memory, allowed);
        }
        ServiceKind::Plain if memory.0 != 0 => {
            let allowed = "0, as the service is a plain service";
            faults.add(format!("{path}.memory"), memory, allowed);
        }
        _ => {}
    }
}
