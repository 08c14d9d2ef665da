//! What the silence of engines says while requests of this node wait there.
//!
//! An engine that is silent while others of its service are heard may be lost. If none is heard, the silence says
//! nothing about any one of them: they pause together, or this node's path to them has failed.

use crate::{Engine, Engines, Millis, ServiceId};

/// Silence after which an engine counts as silent. A full engine sends nothing for up to 350 ms while it prefills
/// several long prompts.
const SILENT_AFTER: Millis = 400;

/// Silent engines from which their silence may be one that all have in common.
const MIN_COMMON: usize = 2;

/// Engines of a service at which requests of this node wait.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceSilence {
    pub waiting: usize,
    /// Those of them that are silent.
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

    /// Whether nothing is heard from any engine, so that the silence of one is no evidence against it.
    pub fn is_common(&self) -> bool {
        self.silent >= MIN_COMMON && self.silent == self.waiting
    }
}

/// Whether requests of this node wait at the engine and nothing comes from it on any connection.
pub fn is_silent(engine: &Engine, now: Millis) -> bool {
    engine.own_requests > 0 && now.saturating_sub(engine.last_heard) >= SILENT_AFTER
}
