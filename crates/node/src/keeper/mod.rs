//! The keeper role: joins the claim on a failure domain with the keeper's decisions.

use std::sync::Arc;

use hgw_claim::Action as ClaimAction;
use hgw_config::Document;
use hgw_events::{Event as LogEvent, emit};
use hgw_placement::{
    Floor, Leader, LeaderAction, LeaderEntry, LeaderEvent, LeaderSettings, OrderResult,
};
use hgw_types::{NodeId, Offset, RecordId, Scope, StreamName, Term, Time, UpstreamId};
use hgw_wire::peer::{Holding, Message, Placement};
use hgw_wire::upstream::{EngineState, Order, OrderOutcome};
use indexmap::IndexMap;

use crate::codec::{decode, encode};
use crate::context::Context;
use crate::scope::{ScopeLog, TermEvents};
use crate::view::View;
use crate::{Action, ReadOutcome};

/// Nodes of a domain that read its keeper's stream, so as to take over without delay. The others
/// need only what the keeper tells them, which keeps reads of the log few.
const CANDIDATES: usize = 3;

/// This node's part in keeping its failure domain.
#[derive(Debug)]
pub(crate) struct KeeperRole {
    scope: ScopeLog,
    keeper: Leader,
    /// Whether this node reads the scope's stream.
    following: bool,
    term: Option<Term>,
    /// Number of the last placement message of this term.
    number: u64,
    lost_engines: Vec<UpstreamId>,
}

impl KeeperRole {
    pub(crate) fn new(cx: &Context<'_>) -> Self {
        let domain = &cx.settings.domain;
        let events = TermEvents {
            gained: LogEvent::KeeperGained,
            lost: LogEvent::KeeperLost,
            field: "domain",
            value: domain.to_string(),
        };
        KeeperRole {
            keeper: Leader::new(LeaderSettings::default(), domain.clone(), cx.settings.boot),
            scope: ScopeLog::new(cx, Scope::keeper(domain), events),
            following: false,
            term: None,
            number: 0,
            lost_engines: Vec::new(),
        }
    }

    pub(crate) fn stream(&self) -> &StreamName {
        self.scope.stream()
    }

    /// The term under which this node keeps the domain.
    pub(crate) fn term(&self) -> Option<Term> {
        self.term
    }

    /// Engines that do not answer, if this node keeps the domain.
    pub(crate) fn lost_engines(&self) -> Option<&[UpstreamId]> {
        self.term.map(|_| self.lost_engines.as_slice())
    }

    pub(crate) fn on_read(&mut self, cx: &mut Context<'_>, view: &View<'_>, outcome: ReadOutcome) {
        let log_up = outcome != ReadOutcome::Failed;
        let acts = self.scope.on_read(cx, outcome);
        self.take(cx, view, acts);
        self.handle(cx, view, LeaderEvent::LogUp(log_up));
    }

    pub(crate) fn on_appended(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        id: RecordId,
        outcome: Result<Offset, crate::PlatformError>,
    ) {
        let acts = self.scope.on_appended(cx, id, outcome);
        self.take(cx, view, acts);
    }

    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>, view: &View<'_>) {
        if self.following {
            let acts = self.scope.on_tick(cx);
            self.take(cx, view, acts);
        }
        self.handle(cx, view, LeaderEvent::Tick);
    }

    /// Follows the scope if this node may have to take it, and claims it when due.
    pub(crate) fn review(&mut self, cx: &mut Context<'_>, view: &View<'_>) {
        let scope = Scope::keeper(view.domain);
        let order = view.members.order_in(view.domain, scope.as_str());
        let rank = order.iter().position(|n| n == view.me);
        self.following = self.scope.held().is_some() || rank.is_some_and(|r| r < CANDIDATES);
        if self.following {
            let preferred = rank == Some(0);
            let acts = self.scope.review(cx, preferred, |n| view.members.is_alive(n));
            self.take(cx, view, acts);
        }
    }

    pub(crate) fn on_config(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        version: Offset,
        document: Arc<Document>,
    ) {
        self.handle(cx, view, LeaderEvent::Config { version, document });
    }

    pub(crate) fn on_floor(&mut self, cx: &mut Context<'_>, view: &View<'_>, floor: Floor) {
        self.handle(cx, view, LeaderEvent::Floor(floor));
    }

    pub(crate) fn on_state(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        upstream: UpstreamId,
        asked: Time,
        state: Option<EngineState>,
    ) {
        self.handle(cx, view, LeaderEvent::State { upstream, asked, state });
    }

    pub(crate) fn on_answer(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
        order: RecordId,
        result: OrderResult,
    ) {
        if result != OrderResult::Answered(OrderOutcome::Done) {
            let shown = format!("{result:?}");
            let node = &cx.settings.node;
            let fields: [(&str, &dyn std::fmt::Display); 4] =
                [("node", node), ("upstream", upstream), ("order", &order), ("result", &shown)];
            emit(LogEvent::OrderNotDone, &fields);
        }
        self.handle(cx, view, LeaderEvent::OrderResult { order, result });
    }

    /// Takes an event that is already in the keeper's terms.
    pub(crate) fn handle(&mut self, cx: &mut Context<'_>, view: &View<'_>, event: LeaderEvent) {
        let mut acts = Vec::new();
        self.keeper.handle(cx.now, event, &mut acts);
        for act in acts {
            self.carry_out(cx, view, act);
        }
    }

    fn carry_out(&mut self, cx: &mut Context<'_>, view: &View<'_>, act: LeaderAction) {
        match act {
            LeaderAction::Record { id, entry } => {
                let acts = self.scope.propose(cx, id, encode(&entry));
                self.take(cx, view, acts);
            }
            LeaderAction::Order { upstream, order, send_by } => {
                let Some(known) = view.document.upstreams.get(&upstream) else { return };
                let timeout = cx.settings.order_timeout;
                let (addr, token) = (known.addr.clone(), known.order_token);
                log_order(cx, &upstream, &order);
                cx.act(Action::Order { upstream, addr, order, token, timeout, send_by });
            }
            LeaderAction::ReadState(upstream) => {
                let Some(known) = view.document.upstreams.get(&upstream) else { return };
                let addr = known.addr.clone();
                cx.act(Action::AskState { upstream, addr });
            }
            LeaderAction::Placement(engines) => self.publish(cx, view, engines),
            LeaderAction::UnreachableEngines(engines) => {
                if engines != self.lost_engines {
                    log_lost(cx, &engines);
                    self.lost_engines = engines;
                }
            }
        }
    }

    /// Tells the changed part of the placement to all live nodes of the domain.
    fn publish(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        engines: IndexMap<UpstreamId, Holding>,
    ) {
        let Some(term) = self.term else { return };
        self.number += 1;
        // The first of a term goes out whole: nobody has a number of this term to go on from.
        let whole = self.number == 1;
        let domain = view.domain.clone();
        let placement = Placement { domain, term, number: self.number, whole, engines };
        for node in view.members.live_in(view.domain) {
            cx.send(node, Message::Placement(placement.clone()));
        }
    }

    /// Sends the whole placement to one node, if this node keeps the domain.
    pub(crate) fn send_whole(&self, cx: &mut Context<'_>, to: &NodeId) {
        let Some(term) = self.term.filter(|_| self.number > 0) else { return };
        let domain = cx.settings.domain.clone();
        let engines = self.keeper.placement().clone();
        let placement = Placement { domain, term, number: self.number, whole: true, engines };
        cx.send(to, Message::Placement(placement));
    }

    fn take(&mut self, cx: &mut Context<'_>, view: &View<'_>, acts: Vec<ClaimAction>) {
        for act in acts {
            match act {
                ClaimAction::LeaseAcquired(term) => {
                    self.term = Some(term);
                    self.number = 0;
                    self.handle(cx, view, LeaderEvent::LeaseAcquired(term));
                }
                ClaimAction::LeaseLost(_) => {
                    self.term = None;
                    self.handle(cx, view, LeaderEvent::LeaseLost);
                }
                ClaimAction::Apply { id, data, .. } => {
                    if let Some(entry) = decode::<LeaderEntry>(&data) {
                        self.handle(cx, view, LeaderEvent::Apply { id, entry });
                    }
                }
                ClaimAction::Restore { data, .. } => {
                    let entries = decode::<Vec<LeaderEntry>>(&data).unwrap_or_default();
                    self.handle(cx, view, LeaderEvent::Restore(entries));
                }
                ClaimAction::Dropped { id } => self.handle(cx, view, LeaderEvent::Dropped(id)),
                ClaimAction::SnapshotDue => {
                    let data = encode(&self.keeper.snapshot());
                    let acts = self.scope.snapshot(cx, data);
                    self.take(cx, view, acts);
                }
                // Intents before the oldest record kept are older than any late order's bound.
                ClaimAction::NoSnapshot => {
                    let acts = self.scope.begin_empty(cx);
                    self.take(cx, view, acts);
                }
                ClaimAction::LeaderChanged(_) | ClaimAction::Append { .. } => {}
            }
        }
    }

    /// Gives the domain up; a successor reads every engine's state before it acts.
    pub(crate) fn release(&mut self, cx: &mut Context<'_>, view: &View<'_>) {
        let acts = self.scope.release(cx);
        self.take(cx, view, acts);
    }
}

fn log_order(cx: &Context<'_>, upstream: &UpstreamId, order: &Order) {
    let kind = format!("{:?}", order.kind);
    let node = &cx.settings.node;
    let fields: [(&str, &dyn std::fmt::Display); 4] =
        [("node", node), ("upstream", upstream), ("order", &order.id), ("kind", &kind)];
    emit(LogEvent::OrderSent, &fields);
}

fn log_lost(cx: &Context<'_>, engines: &[UpstreamId]) {
    let shown = engines.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    emit(LogEvent::EnginesLost, &[("node", &cx.settings.node), ("engines", &shown)]);
}
