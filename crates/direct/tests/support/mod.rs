//! Engines for tests.

use hgw_direct::{
    CachedWeights, Cursor, EngineId, EngineInfo, EngineState, Engines, LoadedModel, ModelRef,
    ServiceId, StartTime,
};

/// Parses `MODEL` or `MODEL/ADAPTER`.
pub(crate) fn wanted(text: &str) -> ModelRef {
    text.parse().unwrap()
}

/// An engine with these models and adapters.
pub(crate) fn listed(id: &str, domain: &str, holds: &[&str]) -> EngineInfo {
    let mut held: Vec<LoadedModel> = Vec::new();
    for one in holds.iter().map(|h| wanted(h)) {
        let at = held.iter().position(|h| h.model == one.model).unwrap_or_else(|| {
            held.push(LoadedModel { model: one.model.clone(), adapters: Vec::new() });
            held.len() - 1
        });
        held[at].adapters.extend(one.adapter);
    }
    let number = id.bytes().last().unwrap();
    EngineInfo {
        id: EngineId::from(id),
        position: Cursor::default(),
        service: service(),
        addr: format!("127.0.0.1:{}", 9000 + u16::from(number)).parse().unwrap(),
        domain: domain.to_owned(),
        slots: 64,
        started_at: StartTime::default(),
        state: EngineState::Ready,
        loaded: held,
        cached: CachedWeights::default(),
        warmup_ms_left: 0,
    }
}

pub(crate) fn service() -> ServiceId {
    ServiceId::from("service")
}

pub(crate) fn engines(all: &[(&str, &str, &[&str])]) -> Engines {
    let mut engines = Engines::default();
    for (id, domain, holds) in all {
        engines.upsert(listed(id, domain, holds));
    }
    engines
}
