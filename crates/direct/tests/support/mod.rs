//! Engines for tests.

use hgw_direct::{
    AtHand, Cursor, EngineId, Engines, Held, Listed, ServiceId, Standing, Start, Wanted,
};

/// Parses `MODEL` or `MODEL/ADAPTER`.
pub(crate) fn wanted(text: &str) -> Wanted {
    text.parse().unwrap()
}

/// An engine with these models and adapters.
pub(crate) fn listed(id: &str, domain: &str, holds: &[&str]) -> Listed {
    let mut held: Vec<Held> = Vec::new();
    for one in holds.iter().map(|h| wanted(h)) {
        let at = held.iter().position(|h| h.model == one.model).unwrap_or_else(|| {
            held.push(Held { model: one.model.clone(), adapters: Vec::new() });
            held.len() - 1
        });
        held[at].adapters.extend(one.adapter);
    }
    let number = id.bytes().last().unwrap();
    Listed {
        id: EngineId::from(id),
        at: Cursor::default(),
        service: service(),
        addr: format!("127.0.0.1:{}", 9000 + u16::from(number)).parse().unwrap(),
        domain: domain.to_owned(),
        slots: 64,
        start: Start::default(),
        standing: Standing::Ready,
        held,
        at_hand: AtHand::default(),
        cold_ms: 0,
    }
}

pub(crate) fn service() -> ServiceId {
    ServiceId::from("service")
}

pub(crate) fn engines(all: &[(&str, &str, &[&str])]) -> Engines {
    let mut engines = Engines::default();
    for (id, domain, holds) in all {
        engines.list(listed(id, domain, holds));
    }
    engines
}
