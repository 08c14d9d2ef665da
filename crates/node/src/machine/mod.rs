//! The state machine itself: gives each event to the part that it is for.

mod callers;
mod log;
mod messages;
mod operators;
mod peers;
mod stop;
mod ticks;

use std::collections::VecDeque;

use hgw_dispatch::{Chooser, ChooserSettings, RetryBudget, RetrySettings};
use hgw_types::{RegionId, Time, UpstreamId};
use hgw_wire::peer::Message;
use indexmap::{IndexMap, IndexSet};

use crate::configuration::Configuration;
use crate::context::{Context, Ids};
use crate::dispatcher::Dispatcher;
use crate::entry::Entry;
use crate::keeper::KeeperRole;
use crate::keys::Keys;
use crate::members::Members;
use crate::planner::PlannerRole;
use crate::routes::Routes;
use crate::timer::{Duty, Timers};
use crate::{Action, Event, Machine, Settings};
use stop::Stop;

/// One node of the system.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    ids: Ids,
    timers: Timers,
    /// Messages of this node to itself.
    local: VecDeque<Message>,
    members: Members,
    configuration: Configuration,
    routes: Routes,
    entry: Entry,
    dispatcher: Dispatcher,
    /// Upstreams that the keeper was last told to be leaving.
    told_leaving: IndexSet<UpstreamId>,
    keeper: KeeperRole,
    planners: IndexMap<RegionId, PlannerRole>,
    keys: Keys,
    stop: Stop,
    ready: bool,
    log_up: bool,
}

/// What the parts act with, borrowed so that the parts themselves stay free.
macro_rules! context {
    ($node:ident, $now:expr, $out:expr) => {
        crate::context::Context {
            now: $now,
            settings: &$node.settings,
            ids: &mut $node.ids,
            out: &mut *$out,
            local: &mut $node.local,
        }
    };
}

/// What the parts look at, borrowed so that the parts themselves stay free.
macro_rules! view {
    ($node:ident) => {
        crate::view::View {
            me: &$node.settings.node,
            domain: &$node.settings.domain,
            document: $node.configuration.document(),
            routes: &$node.routes,
            members: &$node.members,
        }
    };
}

use {context, view};

impl Machine for Node {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.on_event(now, event, out);
        let me = self.settings.node.clone();
        while let Some(message) = self.local.pop_front() {
            self.on_message(now, &me, message, out);
        }
    }
}

impl Node {
    /// Builds a node that knows nothing yet: it finds its peers, the configuration and its roles by
    /// the events that it is given.
    pub fn new(settings: Settings) -> Self {
        let mut ids = Ids::new(settings.boot);
        let mut local = VecDeque::new();
        let out = &mut Vec::new();
        let cx =
            Context { now: Time::ZERO, settings: &settings, ids: &mut ids, out, local: &mut local };
        let keeper = KeeperRole::new(&cx);
        let chooser = |salt| Chooser::new(ChooserSettings::default(), settings.boot ^ salt);
        Node {
            timers: Self::timers(&settings),
            members: Members::new(&settings),
            configuration: Configuration::new(settings.log_retention),
            routes: Routes::default(),
            entry: Entry::new(chooser(1), RetryBudget::new(RetrySettings::default())),
            dispatcher: Dispatcher::default(),
            told_leaving: IndexSet::new(),
            keeper,
            planners: IndexMap::new(),
            keys: Keys::new(chooser(2)),
            stop: Stop::default(),
            ready: false,
            log_up: true,
            ids,
            local,
            settings,
        }
    }

    fn timers(settings: &Settings) -> Timers {
        Timers::default()
            .subscribe(Duty::Members, settings.members_period)
            .subscribe(Duty::Review, settings.review_period)
            .subscribe(Duty::Demand, settings.demand_period)
            .subscribe(Duty::Vms, settings.vms_period)
    }

    fn on_event(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::CallerRequest { stream, request } => self.on_request(now, stream, *request, out),
            Event::CallerGone { stream } => {
                self.entry.on_caller_gone(&mut context!(self, now, out), stream);
            }
            Event::Sealed { stream, tokens, begun } => {
                let cx = &mut context!(self, now, out);
                self.entry.on_sealed(cx, &view!(self), stream, tokens, begun);
            }
            Event::PeerUp { peer, domain, addr } => self.on_peer_up(now, peer, domain, addr, out),
            Event::PeerDown { peer } => self.on_peer_down(now, &peer, out),
            Event::Message { from, message } => self.on_message(now, &from, *message, out),
            Event::Progress { attempt, tokens } => {
                self.dispatcher.on_progress(now, attempt, tokens)
            }
            Event::Ended(ended) => self.dispatcher.on_ended(&mut context!(self, now, out), ended),
            Event::OrderAnswer { upstream, order, result } => {
                let cx = &mut context!(self, now, out);
                self.keeper.on_answer(cx, &view!(self), &upstream, order, result);
            }
            Event::State { upstream, asked, state } => {
                let cx = &mut context!(self, now, out);
                self.keeper.on_state(cx, &view!(self), upstream, asked, state);
            }
            Event::Load { upstream, report } => {
                self.dispatcher.on_load(&mut context!(self, now, out), &upstream, report);
            }
            Event::Read { stream, outcome, .. } => self.on_read(now, &stream, outcome, out),
            Event::Appended { stream, id, outcome } => {
                self.on_appended(now, &stream, id, outcome, out);
            }
            Event::Vms(list) => self.on_vms(now, list, out),
            Event::Operator { call, request } => self.on_operator(now, call, request, out),
            Event::Tick => self.on_tick(now, out),
            Event::Stop => self.begin_stop(now, out),
        }
    }
}
