//! How many engines of a service are silent while requests of this node wait there.

use crate::{Engine, Engines, Millis, ServiceId};

/// Silence after which an engine counts as silent: streams that run there bring events more often.
const SILENT_AFTER: Millis = 250;

/// Engines of a service at which requests of this node wait.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceSilence {
    pub waiting: usize,
    /// Those of them from which nothing has come on any connection for a while.
    pub silent: usize,
}

impl ServiceSilence {
    pub fn of(engines: &Engines, service: &ServiceId, now: Millis) -> ServiceSilence {
        let mut silence = ServiceSilence::default();
        for engine in engines.of_service(service).filter(|e| e.own_requests > 0) {
            silence.waiting += 1;
            silence.silent += usize::from(is_silent(engine, now));
        }
        silence
    }
}

/// Whether requests of this node wait at the engine and nothing comes from it.
fn is_silent(engine: &Engine, now: Millis) -> bool {
    engine.own_requests > 0 && now.saturating_sub(engine.last_heard) >= SILENT_AFTER
}
