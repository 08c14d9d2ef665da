//! Takes in what engines say of themselves in their responses: that they leave, and that they want rest.

use std::fmt::Display;

use hgw_direct::EngineNotices;
use hgw_events::{Event, emit};

use crate::attempt_guard::AttemptGuard;
use crate::protocol::ResponseInfo;
use crate::shared::Node;

/// Learns from the head of an engine's response to a request.
pub(crate) fn observe(
    node: &Node,
    guard: &AttemptGuard,
    info: &ResponseInfo,
    request_id: &str,
    status: u16,
) {
    if !is_from(guard, info) {
        return;
    }
    log_invalid(node, guard, &info.notices);
    if info.notices.is_leaving {
        log(node, guard, &"leaving", &request_id, status);
    }
    if let Some(rest) = info.notices.rest {
        log(node, guard, &format_args!("rest {rest}"), &request_id, status);
    }
}

/// Whether the response comes from the engine that the request was sent to, in its current incarnation. One to another
/// request, or one that somebody else sent at its address, says nothing of it.
fn is_from(guard: &AttemptGuard, info: &ResponseInfo) -> bool {
    let names_other = info.engine.as_ref().is_some_and(|engine| engine != guard.engine());
    let names_none = info.is_misdirected && info.engine.is_none();
    info.id.is_some() && !names_other && !names_none && !guard.engine_restarted()
}

fn log(
    node: &Node,
    guard: &AttemptGuard,
    notice: &dyn Display,
    answered: &dyn Display,
    status: u16,
) {
    emit(
        Event::EngineNotice,
        &[
            ("node", &node.settings.borrow().node),
            ("upstream", guard.engine()),
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
