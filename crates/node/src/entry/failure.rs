//! The failures that an entry node tells its callers.

use std::time::Duration;

use hgw_wire::peer::NotStarted;

use crate::{Failure, FailureCode, Ran};

/// When to come back after a node or an engine was lost: detection and a takeover take about this.
pub(crate) const TAKEOVER: Duration = Duration::from_secs(2);

pub(crate) fn failure(
    code: FailureCode,
    ran: Ran,
    retry_after: Option<Duration>,
    message: &str,
) -> Failure {
    Failure { code, ran, retry_after, message: message.to_owned() }
}

pub(crate) fn not_found(message: String) -> Failure {
    Failure { code: FailureCode::NotFound, ran: Ran::NotRun, retry_after: None, message }
}

pub(crate) fn stopping() -> Failure {
    let soon = Some(Duration::from_secs(1));
    failure(
        FailureCode::Stopping,
        Ran::NotRun,
        soon,
        "this node stops; another one will take the request",
    )
}

pub(crate) fn unavailable(ran: Ran) -> Failure {
    let message = "no upstream that could serve the request can be reached";
    failure(FailureCode::Unavailable, ran, Some(TAKEOVER), message)
}

pub(crate) fn too_late(ran: Ran, retry_after: Duration) -> Failure {
    let message = "the request cannot be answered within its deadline";
    failure(FailureCode::TooLate, ran, Some(retry_after), message)
}

pub(crate) fn broken(ran: Ran) -> Failure {
    let message = "the upstream failed and the request could not be taken on elsewhere";
    failure(FailureCode::UpstreamFailed, ran, Some(TAKEOVER), message)
}

/// The final refusal of a dispatcher, or nothing where another one may do.
pub(crate) fn refusal(reason: &NotStarted, ran: Ran) -> Option<Failure> {
    match reason {
        NotStarted::TooLate { retry_after_ms } | NotStarted::Expired { retry_after_ms } => {
            Some(too_late(ran, Duration::from_millis(*retry_after_ms)))
        }
        NotStarted::Full { retry_after_ms } => {
            let later = Some(Duration::from_millis(*retry_after_ms));
            Some(failure(FailureCode::Overloaded, ran, later, "the queues are full"))
        }
        NotStarted::NotMine
        | NotStarted::NotHere
        | NotStarted::Leaving
        | NotStarted::Bounced
        | NotStarted::Unreachable => None,
    }
}
