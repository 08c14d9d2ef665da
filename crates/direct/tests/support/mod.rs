//! Engines for tests.

use hgw_direct::{
    CachedWeights, Cursor, EngineId, EngineInfo, EngineState, Engines, LoadedModel, ModelRef,
    ServiceId, StartTime,
};

/// Parses `MODEL` or `MODEL/ADAPTER`.
pub(crate) fn model_ref(text: &str) -> ModelRef {
    text.parse().unwrap()
}

/// An engine with these models and adapters.
pub(crate) fn engine_info(id: &str, domain: &str, models: &[&str]) -> EngineInfo {
    let mut loaded: Vec<LoadedModel> = Vec::new();
    for parsed in models.iter().map(|m| model_ref(m)) {
        let index = loaded.iter().position(|l| l.model == parsed.model).unwrap_or_else(|| {
            loaded.push(LoadedModel { model: parsed.model.clone(), adapters: Vec::new() });
            loaded.len() - 1
        });
        loaded[index].adapters.extend(parsed.adapter);
    }
    let number = id.bytes().last().unwrap();
    EngineInfo {
        id: EngineId::from(id),
        position: Cursor::default(),
        service: service(),
        software: None,
        addr: format!("127.0.0.1:{}", 9000 + u16::from(number)).parse().unwrap(),
        domain: domain.to_owned(),
        slots: 64,
        started_at: StartTime::default(),
        state: EngineState::Ready,
        loaded,
        cached: CachedWeights::default(),
        warmup_ms_left: 0,
    }
}

pub(crate) fn service() -> ServiceId {
    ServiceId::from("service")
}

pub(crate) fn engines(all: &[(&str, &str, &[&str])]) -> Engines {
    let mut engines = Engines::default();
    for (id, domain, models) in all {
        engines.upsert(engine_info(id, domain, models));
    }
    engines
}
