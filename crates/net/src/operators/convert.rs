//! Between the schema's messages and the node's own.

use hgw_node::{ApplyOutcome, MemberStatus, OperatorReply, OperatorRequest};
use hgw_types::{Offset, RecordId};
use hgw_wire::operator::apply_reply::Outcome;
use hgw_wire::operator::{
    Accepted, ApplyReply, ApplyRequest, GetReply, Invalid, Member, NotPublished, StateReply,
    StatusReply, Superseded, Unknown,
};
use xitca_web::error::{GrpcError, GrpcStatus};

type Result<T> = std::result::Result<T, GrpcError>;

pub(super) fn change_id(text: &str) -> Result<RecordId> {
    text.parse().map_err(|e: hgw_types::ParseError| {
        GrpcError::new(GrpcStatus::InvalidArgument, e.to_string())
    })
}

pub(super) fn apply_request(req: ApplyRequest) -> Result<OperatorRequest> {
    let id = if req.id.is_empty() { None } else { Some(change_id(&req.id)?) };
    Ok(OperatorRequest::Apply { id, base: Offset(req.base), document: req.document.into() })
}

pub(super) fn apply_reply(reply: OperatorReply) -> Result<ApplyReply> {
    let OperatorReply::Apply { id, outcome } = reply else { return Err(mismatch()) };
    let outcome = match outcome {
        ApplyOutcome::Accepted(version) => Outcome::Accepted(Accepted { version: version.0 }),
        ApplyOutcome::Superseded { current } => {
            Outcome::Superseded(Superseded { current: current.0 })
        }
        ApplyOutcome::Invalid(faults) => Outcome::Invalid(Invalid { faults }),
        ApplyOutcome::Unknown => Outcome::Unknown(Unknown {}),
        ApplyOutcome::NotPublished => Outcome::NotPublished(NotPublished {}),
    };
    Ok(ApplyReply { id: id.to_string(), outcome: Some(outcome) })
}

pub(super) fn get_reply(reply: OperatorReply) -> Result<GetReply> {
    let OperatorReply::Config { version, document } = reply else { return Err(mismatch()) };
    Ok(GetReply { version: version.0, document: document.into() })
}

pub(super) fn status_reply(reply: OperatorReply) -> Result<StatusReply> {
    let OperatorReply::Status { ready, log_up, members } = reply else { return Err(mismatch()) };
    Ok(StatusReply { ready, log_up, members: members.into_iter().map(member).collect() })
}

fn member(status: MemberStatus) -> Member {
    Member {
        node: status.node.to_string(),
        domain: status.domain.to_string(),
        alive: status.alive,
        config: status.config.0,
    }
}

pub(super) fn state_reply(reply: OperatorReply) -> Result<StateReply> {
    let OperatorReply::State(json) = reply else { return Err(mismatch()) };
    Ok(StateReply { json })
}

fn mismatch() -> GrpcError {
    GrpcError::new(GrpcStatus::Internal, "the node answered another call")
}
