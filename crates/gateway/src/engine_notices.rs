//! Takes in what engines say of themselves in their responses: that they leave, and that they want rest.

use std::cell::RefCell;
use std::fmt::Display;

use hgw_direct::in_flight::EngineKey;
use hgw_direct::{EngineId, EngineNotices, Millis, RestTime};
use hgw_events::{Event, emit};
use hgw_http1::Head;
use http::StatusCode;
use rand::random;

use crate::attempt_guard::AttemptGuard;
use crate::leader;
use crate::peers::{self, Datagram};
use crate::protocol::ResponseInfo;
use crate::shared::Node;

/// Time for which polls repeat that an engine leaves, as a datagram may be lost.
const TOLD_FOR: Millis = 2_000;

/// Engines that have told this node that they leave.
#[derive(Debug, Default)]
pub(crate) struct RecentLeaving(RefCell<Vec<(EngineKey, Millis)>>);

impl RecentLeaving {
    fn record(&self, engine: EngineKey, now: Millis) {
        self.forget(now);
        self.0.borrow_mut().push((engine, now));
    }

    /// Those to tell with a poll.
    pub(crate) fn to_tell(&self, now: Millis) -> Vec<EngineKey> {
        self.forget(now);
        self.0.borrow().iter().map(|(engine, _)| *engine).collect()
    }

    fn forget(&self, now: Millis) {
        self.0.borrow_mut().retain(|(_, at)| now.saturating_sub(*at) < TOLD_FOR);
    }
}

/// Learns from the head of an engine's response to a request.
pub(crate) fn observe(
    node: &Node,
    guard: &AttemptGuard,
    info: &ResponseInfo,
    request_id: &str,
    status: StatusCode,
) {
    if !is_from(guard, info, status) {
        return;
    }
    let status = status.as_u16();
    log_invalid(node, guard, &info.notices);
    if info.notices.is_leaving {
        record_own_leaving(node, guard.engine_key(), &request_id, status);
    }
    if let Some(rest) = info.notices.rest {
        record_rest(node, guard, rest, request_id, status);
    }
}

/// Sends an engine nothing more from this node until it has rested.
fn record_rest(node: &Node, guard: &AttemptGuard, rest: RestTime, request_id: &str, status: u16) {
    let now = node.now();
    let until = rest.end(now, random());
    if node.state.borrow_mut().engines.record_rest(guard.engine_key(), until, now) {
        log(node, guard.engine(), &format_args!("rest {rest}"), &request_id, status);
    }
}

/// Learns from the head of an engine's response to a call that is no request of a caller. The call was sent to the
/// incarnation with this key.
pub(crate) fn observe_call(
    node: &Node,
    engine: &EngineId,
    key: EngineKey,
    head: &Head,
    call: &dyn Display,
) {
    // The call is judged by who made it.
    let Ok(info) = node.protocols.upstreams.parse_head(head) else { return };
    if info.notices.is_leaving && !info.is_misdirected && info.may_come_from(engine) {
        record_own_leaving(node, key, call, head.status.as_u16());
    }
}

/// Records what an engine has told this node, and tells the others.
fn record_own_leaving(node: &Node, key: EngineKey, answered: &dyn Display, status: u16) {
    if record_leaving(node, key, answered, status) {
        node.recent_leaving.record(key, node.now());
        peers::send_engine_news(node, &Datagram::EngineLeaving(key));
    }
}

/// Applies what another node tells. Returns whether it is news.
pub(crate) fn apply_leaving(node: &Node, engines: &[EngineKey]) -> bool {
    let mut has_news = false;
    for key in engines.iter().filter(|key| record_leaving(node, **key, &"peer", 0)) {
        // The node that this one polls may not know it either.
        node.recent_leaving.record(*key, node.now());
        has_news = true;
    }
    has_news
}

/// Sends nothing more to an engine; the nodes that poll this one learn it with the list.
fn record_leaving(node: &Node, key: EngineKey, answered: &dyn Display, status: u16) -> bool {
    let engine = {
        let mut state = node.state.borrow_mut();
        if !state.engines.record_leaving(key) {
            return false;
        }
        state.engines.by_key(key).map(|engine| engine.info.id.clone())
    };
    if let Some(engine) = engine {
        log(node, &engine, &"leaving", answered, status);
    }
    leader::notify_list_change(node);
    node.update_available.notify_waiters();
    node.placement_changed.notify_waiters();
    true
}

/// Whether the response comes from the engine that the request was sent to, in its current incarnation. A success without
/// a signature or an id, or what somebody else sent at its address, says nothing of it; responses to other requests have been
/// dropped by their ids.
fn is_from(guard: &AttemptGuard, info: &ResponseInfo, status: StatusCode) -> bool {
    let is_unproved = status.is_success() && !(info.is_signed && info.id.is_some());
    info.may_come_from(guard.engine()) && !is_unproved && !guard.engine_restarted()
}

fn log(node: &Node, engine: &EngineId, notice: &dyn Display, answered: &dyn Display, status: u16) {
    emit(
        Event::EngineNotice,
        &[
            ("node", &node.settings.borrow().node),
            ("upstream", engine),
            ("notice", notice),
            ("in", answered),
            ("status", &status),
        ],
    );
}

fn log_invalid(node: &Node, guard: &AttemptGuard, notices: &EngineNotices) {
    let Some(reason) = notices.invalid.first() else { return };
    if node.engine_limits.borrow_mut().record_invalid(guard.engine_key()) {
        let name = &node.settings.borrow().node;
        emit(
            Event::EngineNoticeInvalid,
            &[("node", name), ("upstream", guard.engine()), ("reason", reason)],
        );
    }
}
