use hgw_types::Time;
use serde::Serialize;

use super::{Node, context};
use crate::{Action, CallId, OperatorReply, OperatorRequest};

/// The dump of a process's state, for people and tools.
#[derive(Debug, Serialize)]
struct State {
    node: String,
    domain: String,
    ready: bool,
    stopping: bool,
    log_up: bool,
    config: u64,
    keeper: Option<u64>,
    shards: Vec<u32>,
    regions: Vec<String>,
    members: Vec<String>,
    requests: usize,
    keyed_calls: usize,
    queues: Vec<crate::dispatcher::QueueState>,
    engines: Vec<EngineRoutes>,
    leaving: Vec<String>,
}

/// What an engine of the own failure domain holds, as the keeper has said.
#[derive(Debug, Serialize)]
struct EngineRoutes {
    upstream: String,
    models: Vec<String>,
    adapters: Vec<String>,
}

impl Node {
    pub(super) fn on_operator(
        &mut self,
        now: Time,
        call: CallId,
        request: OperatorRequest,
        out: &mut Vec<Action>,
    ) {
        let reply = match request {
            OperatorRequest::Apply { id, base, document } => {
                let cx = &mut context!(self, now, out);
                self.configuration.apply(cx, call, id, base, &document);
                return;
            }
            OperatorRequest::Outcome(id) => self.configuration.outcome(id),
            OperatorRequest::Get => self.configuration.reply(),
            OperatorRequest::Status => self.status(),
            OperatorRequest::State => OperatorReply::State(self.state_json()),
        };
        out.push(Action::Reply { call, reply });
    }

    fn status(&self) -> OperatorReply {
        let members = self.members.status(self.configuration.version());
        OperatorReply::Status { ready: self.ready, log_up: self.log_up, members }
    }

    fn state_json(&self) -> String {
        let held = self.planners.values().filter(|p| p.is_held());
        let domain = &self.settings.domain;
        let state = State {
            node: self.settings.node.to_string(),
            domain: domain.to_string(),
            ready: self.ready,
            stopping: self.stop.has_begun(),
            log_up: self.log_up,
            config: self.configuration.version().0,
            keeper: self.keeper.term().map(|t| t.0),
            shards: self.keys.owned(),
            regions: held.map(|p| p.region().to_string()).collect(),
            members: self.members.all_live().map(|m| m.node.to_string()).collect(),
            requests: self.entry.open_requests(),
            keyed_calls: self.keys.waiting(),
            queues: self.dispatcher.state(),
            engines: self.routes.engines(domain).map(|(id, h)| engine_routes(id, h)).collect(),
            leaving: self.routes.leaving().iter().map(ToString::to_string).collect(),
        };
        // All fields are numbers, texts and lists of them.
        serde_json::to_string_pretty(&state).expect("the state has a JSON form")
    }
}

fn engine_routes(id: &hgw_types::UpstreamId, holding: &hgw_wire::peer::Holding) -> EngineRoutes {
    EngineRoutes {
        upstream: id.to_string(),
        models: holding.models.iter().map(|(m, v)| format!("{m}@{v}")).collect(),
        adapters: holding.adapters.iter().map(|(m, a, v)| format!("{m}:{a}@{v}")).collect(),
    }
}
