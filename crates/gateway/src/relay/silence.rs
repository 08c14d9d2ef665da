//! What this node records when an engine is silent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{AttemptOutcome, Engine, EngineId, ServiceSilence};

use crate::engine_path;
use crate::peers;
use crate::shared::Node;

use super::request::RelayedRequest;

/// What is waited for from a silent engine.
#[derive(Debug, Clone, Copy)]
pub(super) enum Awaited {
    /// The head of a response, on a connection that had been idle for this time, or on a new one.
    Head { addr: SocketAddr, idle: Option<Duration> },
    /// The next event of a stream. Its connection says nothing of new ones.
    Event,
}

impl RelayedRequest {
    /// Records what the silence of an engine says.
    pub(super) fn record_silence(&self, engine: &EngineId, awaited: Awaited) {
        let (node, now) = (&self.node, self.node.now());
        let silence = ServiceSilence::of(&node.state.borrow().engines, &self.service, now);
        if silence.is_common() {
            tokio::task::spawn_local(report_if_confirmed(Rc::clone(node), engine.clone()));
            return;
        }
        if let Awaited::Head { addr, idle } = awaited {
            if let Some(idle) = idle {
                node.pool.record_loss(addr, idle, now);
            }
            engine_path::record_silence(node, engine);
        }
        report_unreachable(node, engine);
    }
}

/// Records that an engine is unreachable or unresponsive, and reports it to the other nodes.
pub(super) fn report_unreachable(node: &Node, engine: &EngineId) {
    node.record_outcome(engine, AttemptOutcome::Unreachable);
    node.mark_broken(engine);
    if let Some(key) = node.engine(engine, Engine::key) {
        peers::report_unreachable(node, key);
    }
}

/// Reports an engine once another one has been reached, unless this one has gone on meanwhile: all may have been silent
/// together.
async fn report_if_confirmed(node: Node, engine: EngineId) {
    let since = node.now();
    let is_confirmed = engine_path::confirm(&node, &engine).await;
    let is_silent = node.engine(&engine, |e| e.last_heard < since) == Some(true);
    if is_confirmed && is_silent {
        report_unreachable(&node, &engine);
    }
}
