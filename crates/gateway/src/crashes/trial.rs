//! Trials: a withheld part is sent once more, by one node, to find out whether it is the culprit.

use std::time::Duration;

use hgw_direct::{CrashSubject, Millis};
use serde::{Deserialize, Serialize};

use crate::peers;
use crate::shared::{Node, Shared};

use super::update;

/// Timeout for the leader's response.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks the leader whether one request with a part may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TrialRequest {
    pub(crate) part: CrashSubject,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TrialResponse {
    pub(crate) is_granted: bool,
}

/// Whether this node may send one request with a withheld part, for which a trial must have been due by then. Only the
/// leader gives trials, so that there is one at a time over all nodes.
pub(crate) async fn request_trial(node: &Node, part: CrashSubject, due_by: Millis) -> bool {
    if !node.crashes.borrow().is_trial_due(part, due_by) {
        return false;
    }
    if node.leadership.borrow().is_leader() {
        return grant(node, part);
    }
    let leader = node.leadership.borrow().leader.as_ref().map(|leader| leader.addr);
    let Some(leader) = leader else { return false };
    let request = TrialRequest { part };
    let response: Option<TrialResponse> =
        peers::call(node, leader, peers::TRIAL_PATH, &request, TRIAL_TIMEOUT).await;
    response.is_some_and(|response| response.is_granted)
}

/// Gives a trial if this node is the leader and one is due.
pub(crate) fn grant(node: &Shared, part: CrashSubject) -> bool {
    let now = node.now();
    node.leadership.borrow().is_leader() && update(node, |crashes| crashes.grant_trial(part, now))
}
