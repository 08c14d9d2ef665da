use hgw_membership::Member;
use hgw_placement::LeaderEvent;
use hgw_types::{DomainId, NodeId, Time};
use hgw_wire::peer::Heartbeat;
use hgw_wire::platform::VmList;
use indexmap::IndexSet;

use super::{Node, context, view};
use crate::Action;
use crate::members::Change;

impl Node {
    pub(super) fn on_peer_up(
        &mut self,
        now: Time,
        peer: NodeId,
        domain: DomainId,
        addr: String,
        out: &mut Vec<Action>,
    ) {
        let version = self.configuration.version();
        let member = Member { node: peer.clone(), domain, addr };
        let changes = self.members.on_peer_up(&mut context!(self, now, out), version, member);
        self.members_changed(now, changes, out);
        // What the peer was told on an earlier connection may not have reached it.
        self.keeper.send_whole(&mut context!(self, now, out), &peer);
    }

    pub(super) fn on_peer_down(&mut self, now: Time, peer: &NodeId, out: &mut Vec<Action>) {
        let version = self.configuration.version();
        let changes = self.members.on_peer_down(&mut context!(self, now, out), version, peer);
        self.members_changed(now, changes, out);
        let cx = &mut context!(self, now, out);
        self.entry.on_peer_down(cx, peer);
        self.keys.on_peer_down(cx, &view!(self), peer);
        self.dispatcher.on_peer_down(cx, peer);
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Time,
        from: &NodeId,
        heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        let version = self.configuration.version();
        let cx = &mut context!(self, now, out);
        let changes = self.members.on_heartbeat(cx, version, from, heartbeat);
        self.members_changed(now, changes, out);
    }

    pub(super) fn on_leaving(&mut self, now: Time, from: &NodeId, out: &mut Vec<Action>) {
        let version = self.configuration.version();
        let changes = self.members.on_leaving(&mut context!(self, now, out), version, from);
        self.members_changed(now, changes, out);
    }

    /// A node that has come is told the placement, if this one keeps the domain. One that has gone
    /// takes no part any more; what it worked on is taken care of when its connection breaks.
    pub(super) fn members_changed(
        &mut self,
        now: Time,
        changes: Vec<Change>,
        out: &mut Vec<Action>,
    ) {
        for change in changes {
            match change {
                Change::Up(node) => {
                    hgw_events::emit(
                        hgw_events::Event::MemberUp,
                        &[("node", &self.settings.node), ("member", &node)],
                    );
                    self.keeper.send_whole(&mut context!(self, now, out), &node);
                }
                Change::Down(node) => {
                    hgw_events::emit(
                        hgw_events::Event::MemberDown,
                        &[("node", &self.settings.node), ("member", &node)],
                    );
                }
            }
        }
    }

    pub(super) fn on_vms(&mut self, now: Time, list: Option<VmList>, out: &mut Vec<Action>) {
        let Some(list) = list else { return };
        let version = self.configuration.version();
        let changes = self.members.on_listed(&mut context!(self, now, out), version, &list);
        self.members_changed(now, changes, out);
        let leaving: IndexSet<_> = list.leaving_upstreams.into_iter().collect();
        if leaving != *self.routes.leaving() {
            self.routes.set_leaving(leaving);
            self.tell_leaving(now, out);
        }
    }

    /// Tells the keeper which upstreams take no new work.
    pub(super) fn tell_leaving(&mut self, now: Time, out: &mut Vec<Action>) {
        let leaving = self.routes.leaving().iter().chain(self.dispatcher.leaving());
        let leaving: IndexSet<_> = leaving.cloned().collect();
        if leaving != self.told_leaving {
            let shown = leaving.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("node", &self.settings.node), ("upstreams", &shown)];
            hgw_events::emit(hgw_events::Event::UpstreamLeaving, &fields);
            self.told_leaving.clone_from(&leaving);
        }
        let event = LeaderEvent::Leaving(leaving.into_iter().collect());
        self.keeper.handle(&mut context!(self, now, out), &view!(self), event);
    }
}
