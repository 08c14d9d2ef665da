//! One handler a call.

use std::sync::Arc;

use hgw_node::{OperatorReply, OperatorRequest};
use hgw_wire::operator::{
    ApplyReply, ApplyRequest, GetReply, GetRequest, MAX_MESSAGE, OutcomeRequest, StateReply,
    StateRequest, StatusReply, StatusRequest,
};
use xitca_web::error::{GrpcError, GrpcStatus};
use xitca_web::handler::grpc::Grpc;
use xitca_web::handler::state::StateRef;

use super::{ANSWER_TIMEOUT, Context, convert};

type Result<T> = std::result::Result<Grpc<T>, GrpcError>;

pub(super) async fn apply(
    StateRef(cx): StateRef<'_, Arc<Context>>,
    Grpc(req): Grpc<ApplyRequest, MAX_MESSAGE>,
) -> Result<ApplyReply> {
    let reply = cx.ask(convert::apply_request(req)?).await?;
    convert::apply_reply(reply).map(Grpc)
}

pub(super) async fn outcome(
    StateRef(cx): StateRef<'_, Arc<Context>>,
    Grpc(req): Grpc<OutcomeRequest>,
) -> Result<ApplyReply> {
    let reply = cx.ask(OperatorRequest::Outcome(convert::change_id(&req.id)?)).await?;
    convert::apply_reply(reply).map(Grpc)
}

pub(super) async fn get(
    StateRef(cx): StateRef<'_, Arc<Context>>,
    Grpc(GetRequest {}): Grpc<GetRequest>,
) -> Result<GetReply> {
    convert::get_reply(cx.ask(OperatorRequest::Get).await?).map(Grpc)
}

pub(super) async fn status(
    StateRef(cx): StateRef<'_, Arc<Context>>,
    Grpc(StatusRequest {}): Grpc<StatusRequest>,
) -> Result<StatusReply> {
    convert::status_reply(cx.ask(OperatorRequest::Status).await?).map(Grpc)
}

pub(super) async fn state(
    StateRef(cx): StateRef<'_, Arc<Context>>,
    Grpc(StateRequest {}): Grpc<StateRequest>,
) -> Result<StateReply> {
    convert::state_reply(cx.ask(OperatorRequest::State).await?).map(Grpc)
}

impl Context {
    async fn ask(&self, req: OperatorRequest) -> std::result::Result<OperatorReply, GrpcError> {
        match tokio::time::timeout(ANSWER_TIMEOUT, self.port.call(req)).await {
            Ok(Some(reply)) => Ok(reply),
            Ok(None) => {
                let message = "the node is too busy or stops; nothing was done";
                Err(GrpcError::new(GrpcStatus::Unavailable, message))
            }
            Err(_) => {
                let message = "no answer in time; ask for the outcome by the change's id";
                Err(GrpcError::new(GrpcStatus::DeadlineExceeded, message))
            }
        }
    }
}
