//! The members of the system as this node knows them.

use hgw_membership::{
    Action as MemberAction, Beat, Event as MemberEvent, Member, Membership, Pulse, rank,
};
use hgw_types::{DomainId, NodeId, Offset};
use hgw_wire::peer::{Heartbeat, MemberBeat, Message, PULSE_UNIT};
use hgw_wire::platform::VmList;
use indexmap::{IndexMap, IndexSet};

use crate::context::Context;
use crate::{Action, MemberStatus, Settings};

/// Liveness, connections and the configuration versions of other nodes.
#[derive(Debug)]
pub(crate) struct Members {
    me: Member,
    membership: Membership,
    versions: IndexMap<NodeId, Offset>,
    /// Members that all failure domains know; looked up several times in each review.
    representatives: Vec<Member>,
}

impl Members {
    pub(crate) fn new(settings: &Settings) -> Self {
        let me = Member {
            node: settings.node.clone(),
            domain: settings.domain.clone(),
            addr: settings.addr.clone(),
        };
        let membership =
            Membership::new(hgw_membership::Settings::default(), me.clone(), settings.boot);
        let representatives = vec![me.clone()];
        Members { me, membership, versions: IndexMap::new(), representatives }
    }

    /// The live node of `domain` that comes first for `key`.
    pub(crate) fn first_in(&self, domain: &DomainId, key: &str) -> Option<NodeId> {
        rank::first(key.as_bytes(), self.membership.live(domain).map(|m| &m.node))
    }

    /// The live node that comes first for `key`, of those that all failure domains know.
    ///
    /// A node knows all members of its own domain and a few of each other one. Were all that it knows
    /// ranked, each domain would name a first node of its own that the others do not know and take for
    /// dead, and they would claim the scope from each other for ever.
    pub(crate) fn first_of_all(&self, key: &str) -> Option<NodeId> {
        rank::first(key.as_bytes(), self.representatives.iter().map(|m| &m.node))
    }

    /// The live nodes of `domain`, the one that comes first for `key` first.
    pub(crate) fn order_in(&self, domain: &DomainId, key: &str) -> Vec<NodeId> {
        rank::order(key.as_bytes(), self.membership.live(domain).map(|m| &m.node))
    }

    /// As [`Members::first_of_all`], with the ones that come next.
    pub(crate) fn order_of_all(&self, key: &str) -> Vec<NodeId> {
        rank::order(key.as_bytes(), self.representatives.iter().map(|m| &m.node))
    }

    /// The live nodes of `domain` that all failure domains know.
    pub(crate) fn representatives<'a>(
        &'a self,
        domain: &'a DomainId,
    ) -> impl Iterator<Item = &'a NodeId> {
        self.representatives.iter().filter(|m| m.domain == *domain).map(|m| &m.node)
    }

    /// This node's place for `key` among the live nodes that all know, from 0; the last one for a
    /// node that is not among them.
    pub(crate) fn rank_of_all(&self, key: &str) -> u32 {
        let order = self.order_of_all(key);
        let place = order.iter().position(|n| *n == self.me.node).unwrap_or(order.len());
        u32::try_from(place).unwrap_or(u32::MAX)
    }

    /// The live nodes of `domain`.
    pub(crate) fn live_in<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a NodeId> {
        self.membership.live(domain).map(|m| &m.node)
    }

    pub(crate) fn all_live(&self) -> impl Iterator<Item = &Member> {
        self.membership.all_live()
    }

    pub(crate) fn is_alive(&self, node: &NodeId) -> bool {
        self.membership.is_alive(node)
    }

    /// Live nodes besides this one.
    pub(crate) fn others(&self) -> impl Iterator<Item = &NodeId> {
        self.all_live().map(|m| &m.node).filter(|n| **n != self.me.node)
    }

    /// The live member that has shown the newest configuration.
    pub(crate) fn newest_version(&self) -> Option<(NodeId, Offset)> {
        let live = self.versions.iter().filter(|(n, _)| self.is_alive(n));
        live.max_by_key(|(_, version)| **version).map(|(n, version)| (n.clone(), *version))
    }

    pub(crate) fn status(&self, mine: Offset) -> Vec<MemberStatus> {
        let of = |m: &Member, config| MemberStatus {
            node: m.node.clone(),
            domain: m.domain.clone(),
            alive: self.is_alive(&m.node),
            config,
        };
        let others = self.membership.all_live().filter(|m| m.node != self.me.node);
        let version = |m: &Member| self.versions.get(&m.node).copied().unwrap_or_default();
        std::iter::once(of(&self.me, mine)).chain(others.map(|m| of(m, version(m)))).collect()
    }

    pub(crate) fn on_listed(
        &mut self,
        cx: &mut Context<'_>,
        config: Offset,
        list: &VmList,
    ) -> Vec<Change> {
        let listed = list.vms.iter().filter(|vm| !vm.leaving).map(|vm| Member {
            node: vm.node.clone(),
            domain: vm.domain.clone(),
            addr: vm.addr.clone(),
        });
        self.handle(cx, config, MemberEvent::Listed(listed.collect()))
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        cx: &mut Context<'_>,
        config: Offset,
        from: &NodeId,
        heartbeat: Heartbeat,
    ) -> Vec<Change> {
        self.versions.insert(from.clone(), heartbeat.config);
        let beats = heartbeat.members.into_iter().map(|m| Beat {
            member: Member { node: m.node, domain: m.domain, addr: m.addr },
            count: m.beat,
            leaving: m.leaving,
        });
        let pulses = heartbeat.pulses.into_iter();
        let heard = MemberEvent::Heard {
            from: from.clone(),
            beats: beats.collect(),
            ask: heartbeat.ask,
            pulses: pulses
                .map(|(short, age)| Pulse { short, age: PULSE_UNIT * u32::from(age) })
                .collect(),
        };
        self.handle(cx, config, heard)
    }

    pub(crate) fn on_peer_up(
        &mut self,
        cx: &mut Context<'_>,
        config: Offset,
        peer: Member,
    ) -> Vec<Change> {
        let node = peer.node.clone();
        let mut changes = self.handle(cx, config, MemberEvent::Listed(vec![peer]));
        changes.extend(self.handle(cx, config, MemberEvent::Alive(node)));
        changes
    }

    pub(crate) fn on_peer_down(
        &mut self,
        cx: &mut Context<'_>,
        config: Offset,
        peer: &NodeId,
    ) -> Vec<Change> {
        self.handle(cx, config, MemberEvent::Failed(peer.clone()))
    }

    /// A peer has said that it stops as planned.
    pub(crate) fn on_leaving(
        &mut self,
        cx: &mut Context<'_>,
        config: Offset,
        peer: &NodeId,
    ) -> Vec<Change> {
        self.handle(cx, config, MemberEvent::Left(peer.clone()))
    }

    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>, config: Offset) -> Vec<Change> {
        self.handle(cx, config, MemberEvent::Tick)
    }

    pub(crate) fn leave(&mut self, cx: &mut Context<'_>, config: Offset) -> Vec<Change> {
        self.handle(cx, config, MemberEvent::Leave)
    }

    fn choose_representatives(&mut self) {
        let live = self.membership.all_live();
        let domains: IndexSet<&DomainId> = live.map(|m| &m.domain).collect();
        let chosen = domains.into_iter().flat_map(|d| self.membership.representatives(d));
        self.representatives = chosen.cloned().collect();
    }

    fn handle(&mut self, cx: &mut Context<'_>, config: Offset, event: MemberEvent) -> Vec<Change> {
        let mut acts = Vec::new();
        let leaves = matches!(event, MemberEvent::Leave);
        self.membership.handle(cx.now, event, &mut acts);
        let mut changes = Vec::new();
        let stays = |act: &MemberAction| matches!(act, MemberAction::Send { .. });
        if leaves || !acts.iter().all(stays) {
            self.choose_representatives();
        }
        for act in acts {
            match act {
                MemberAction::Send { to, beats, pulses, ask } => {
                    let members = beats.into_iter().map(member_beat).collect();
                    let pulses = pulses.iter().map(|p| (p.short, pulse_age(p))).collect();
                    cx.act(Action::Connect { peer: to.node.clone(), addr: to.addr });
                    cx.send(
                        &to.node,
                        Message::Heartbeat(Heartbeat { members, pulses, ask, config }),
                    );
                }
                MemberAction::Up(member) => {
                    cx.act(Action::Connect { peer: member.node.clone(), addr: member.addr });
                    changes.push(Change::Up(member.node));
                }
                MemberAction::Down(node) => {
                    self.versions.swap_remove(&node);
                    changes.push(Change::Down(node));
                }
            }
        }
        changes
    }
}

/// A member that has come or gone.
#[derive(Debug)]
pub(crate) enum Change {
    Up(NodeId),
    Down(NodeId),
}

fn member_beat(beat: Beat) -> MemberBeat {
    let Beat { member, count, leaving } = beat;
    MemberBeat { node: member.node, domain: member.domain, addr: member.addr, beat: count, leaving }
}

/// Age of a pulse in units of 50 ms, rounded up: a member must not look fresher with each hop.
fn pulse_age(pulse: &Pulse) -> u16 {
    let units = pulse.age.as_millis().div_ceil(PULSE_UNIT.as_millis());
    u16::try_from(units).unwrap_or(u16::MAX)
}
