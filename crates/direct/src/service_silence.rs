//! What the silence of engines says while requests of this node wait there.
//!
//! An engine that is silent while others of its service are heard may be lost. If none is heard, the silence alone says
//! nothing about any one of them: they may pause together, or this node's path to them has failed.

use crate::{Engine, Engines, Millis, ServiceId};

/// Silence after which an engine counts as silent. A full engine sends nothing for up to 350 ms while it prefills
/// several long prompts.
const SILENT_AFTER: Millis = 400;

/// Silent engines from which their silence may be one that all have in common.
const MIN_COMMON: usize = 2;

/// Engines of a service, by what comes from them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceSilence {
    /// Those at which requests of this node wait.
    pub waiting: usize,
    /// Those of them that are silent.
    pub silent: usize,
    /// Those from which something has come lately, whether requests wait there or not.
    pub heard: usize,
}

impl ServiceSilence {
    pub fn of(engines: &Engines, service: &ServiceId, now: Millis) -> ServiceSilence {
        let mut silence = ServiceSilence::default();
        for engine in engines.of_service(service) {
            silence.waiting += usize::from(engine.own_requests > 0);
            silence.silent += usize::from(is_silent(engine, now));
            silence.heard += usize::from(!is_quiet(engine, now));
        }
        silence
    }

    /// Whether nothing is heard from any engine, so that the silence of one is no evidence against it.
    pub fn is_common(&self) -> bool {
        self.silent >= MIN_COMMON && self.heard == 0
    }
}

/// Whether requests of this node wait at the engine and nothing comes from it on any connection.
pub fn is_silent(engine: &Engine, now: Millis) -> bool {
    engine.own_requests > 0 && is_quiet(engine, now)
}

fn is_quiet(engine: &Engine, now: Millis) -> bool {
    now.saturating_sub(engine.last_heard) >= SILENT_AFTER
}
