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
    Late(Duration),
    /// The order is executed, but the response is lost.
    AnswerLost,
    /// The order is executed; the response takes this time.
    AnswerLate(Duration),
    /// The order cannot be sent.
    NotSent,
}

#[derive(Debug, Clone)]
pub(crate) enum Record {
    Claim(usize),
    Entry { term: Term, id: RecordId, entry: LeaderEntry },
}

#[derive(Debug)]
pub(crate) enum Wire {
    Order { node: usize, upstream: UpstreamId, order: Order, answered: bool, late: Duration },
    Answer { node: usize, order: RecordId, result: OrderResult },
    State { node: usize, upstream: UpstreamId, asked: Time },
}

pub(crate) struct Node {
    pub(crate) keeper: Leader,
    pub(crate) read: usize,
    pub(crate) latest: Option<(Term, usize)>,
    pub(crate) frozen: bool,
    pub(crate) dead: bool,
    pub(crate) reads: bool,
    /// Whether it pauses when it is about to send an order that can increase memory use.
    pub(crate) freezes_on_load: bool,
    pub(crate) hand: Vec<LeaderAction>,
    pub(crate) inbox: Vec<LeaderEvent>,
}

impl Node {
    pub(crate) fn new(keeper: Leader) -> Node {
        Node {
            keeper,
            read: 0,
            latest: None,
            frozen: false,
            dead: false,
            reads: true,
            freezes_on_load: false,
            hand: Vec::new(),
            inbox: Vec::new(),
        }
    }
}

pub(crate) fn demand(model: &str) -> Demand {
    let model = id(model);
    Demand { model, urgent: 0, deferrable: 0, unmet: 0, busy_ms: 0, adapters: Vec::new() }
}

pub(crate) fn name(node: usize) -> char {
    char::from(b'A' + u8::try_from(node % 26).unwrap_or_default())
}

pub(crate) fn show(kind: &OrderKind) -> String {
    match kind {
        OrderKind::Fence => "fence".into(),
        OrderKind::Load { model, version, .. } => format!("load {model}@{version}"),
        OrderKind::Evict { model, version } => format!("evict {model}@{version}"),
        OrderKind::LoadAdapter { adapter, version, .. } => format!("load +{adapter}@{version}"),
        OrderKind::EvictAdapter { adapter, version, .. } => format!("evict +{adapter}@{version}"),
        OrderKind::Role { role } => format!("role {role:?}"),
    }
}
