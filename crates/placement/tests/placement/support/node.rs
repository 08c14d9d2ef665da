//! Nodes, messages and faults of the simulation.

use std::time::Duration;

use hgw_placement::{Leader, LeaderAction, LeaderEntry, LeaderEvent, OrderResult};
use hgw_types::{RecordId, Term, Time, UpstreamId};
use hgw_wire::peer::Demand;
use hgw_wire::upstream::{Order, OrderKind};

use super::id;

/// Fault of the next order that can increase memory use.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fault {
    None,
    /// The order is lost.
    Lost,
    /// The order arrives after this time, without a response.
    Delayed(Duration),
    /// The order is executed, but the response is lost.
    ResponseLost,
    /// The order is executed; the response takes this time.
    ResponseDelayed(Duration),
    /// The order cannot be sent.
    NotSent,
}

#[derive(Debug, Clone)]
pub(crate) enum Record {
    Claim(usize),
    Entry { term: Term, id: RecordId, entry: LeaderEntry },
}

#[derive(Debug)]
pub(crate) enum Message {
    Order { node: usize, upstream: UpstreamId, order: Order, answered: bool, delay: Duration },
    Response { node: usize, order: RecordId, result: OrderResult },
    State { node: usize, upstream: UpstreamId, asked: Time },
}

pub(crate) struct Node {
    pub(crate) leader: Leader,
    pub(crate) next_record: usize,
    pub(crate) latest_claim: Option<(Term, usize)>,
    pub(crate) paused: bool,
    pub(crate) dead: bool,
    pub(crate) reads_log: bool,
    /// Whether it pauses when it is about to send an order that can increase memory use.
    pub(crate) pauses_on_load: bool,
    pub(crate) pending_actions: Vec<LeaderAction>,
    pub(crate) pending_events: Vec<LeaderEvent>,
}

impl Node {
    pub(crate) fn new(leader: Leader) -> Node {
        Node {
            leader,
            next_record: 0,
            latest_claim: None,
            paused: false,
            dead: false,
            reads_log: true,
            pauses_on_load: false,
            pending_actions: Vec::new(),
            pending_events: Vec::new(),
        }
    }
}

pub(crate) fn demand(model: &str) -> Demand {
    let model = id(model);
    Demand { model, urgent: 0, deferrable: 0, unmet: 0, busy_ms: 0, adapters: Vec::new() }
}

pub(crate) fn node_name(node: usize) -> char {
    char::from(b'A' + u8::try_from(node % 26).unwrap_or_default())
}

pub(crate) fn format_order(kind: &OrderKind) -> String {
    match kind {
        OrderKind::Fence => "fence".into(),
        OrderKind::Load { model, version, .. } => format!("load {model}@{version}"),
        OrderKind::Evict { model, version } => format!("evict {model}@{version}"),
        OrderKind::LoadAdapter { adapter, version, .. } => format!("load +{adapter}@{version}"),
        OrderKind::EvictAdapter { adapter, version, .. } => format!("evict +{adapter}@{version}"),
        OrderKind::Role { role } => format!("role {role:?}"),
    }
}
