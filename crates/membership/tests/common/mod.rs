//! Many members in virtual time, joined by a network that loses and delays.

#![allow(dead_code, reason = "each test uses a part")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hgw_membership::{Action, Beat, Event, Member, Membership, Pulse, Settings};
use hgw_types::{DomainId, NodeId, Offset, Time};
use hgw_wire::peer::{Frame, Heartbeat, MemberBeat, Message};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub(crate) const STEP: Duration = Duration::from_millis(50);

/// Header of a WebSocket message from a client.
const WEBSOCKET_HEADER: usize = 8;

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) nodes: Vec<Node>,
    rng: StdRng,
    /// Share of the messages that are lost.
    pub(crate) loss: f64,
    /// Longest time on the way.
    pub(crate) delay: Duration,
    on_the_way: BinaryHeap<Reverse<(Time, u64)>>,
    messages: Vec<Option<(usize, Event)>>,
}

pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) membership: Membership,
    /// It runs and is not paused.
    pub(crate) runs: bool,
    pub(crate) bytes: usize,
    /// Members that went up and down here, with the time.
    pub(crate) changes: Vec<(Time, Action)>,
}

impl World {
    /// `total` nodes in `domains` failure domains, all started at once with the full list.
    pub(crate) fn new(total: usize, domains: usize, seed: u64) -> World {
        let members: Vec<Member> = (0..total).map(|index| member(index, domains)).collect();
        let node = |(index, member): (usize, &Member)| Node {
            member: member.clone(),
            membership: Membership::new(
                Settings::default(),
                member.clone(),
                seed.wrapping_mul(1000) + index as u64,
            ),
            runs: true,
            bytes: 0,
            changes: Vec::new(),
        };
        let nodes = members.iter().enumerate().map(node).collect();
        let mut world = World {
            now: Time::ZERO,
            nodes,
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            delay: Duration::from_millis(5),
            on_the_way: BinaryHeap::new(),
            messages: Vec::new(),
        };
        for index in 0..total {
            world.tell(index, Event::Listed(members.clone()));
        }
        world
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            while let Some(Reverse((at, index))) = self.on_the_way.peek().copied()
                && at <= self.now
            {
                self.on_the_way.pop();
                let message = self.messages[usize::try_from(index).unwrap()].take();
                let Some((to, event)) = message else { continue };
                self.tell(to, event);
            }
            for index in 0..self.nodes.len() {
                self.tell(index, Event::Tick);
            }
        }
    }

    pub(crate) fn tell(&mut self, index: usize, event: Event) {
        if !self.nodes[index].runs {
            return;
        }
        let mut out = Vec::new();
        self.nodes[index].membership.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, beats, pulses, ask } => {
                    self.nodes[index].bytes += encoded(&beats, &pulses);
                    let from = self.id(index);
                    self.send(&to.node, Event::Heard { from, beats, pulses, ask });
                }
                change => self.nodes[index].changes.push((self.now, change)),
            }
        }
    }

    fn send(&mut self, to: &NodeId, event: Event) {
        let to = self.nodes.iter().position(|node| node.member.node == *to).unwrap();
        if self.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.delay.mul_f64(self.rng.random_range(0.0..1.0));
        let index = self.messages.len() as u64;
        self.messages.push(Some((to, event)));
        self.on_the_way.push(Reverse((self.now + delay, index)));
    }

    pub(crate) fn id(&self, index: usize) -> NodeId {
        self.nodes[index].member.node.clone()
    }

    /// Nodes that run and do not count this one as alive, of its own domain only.
    pub(crate) fn unaware(&self, index: usize) -> usize {
        let wanted = &self.nodes[index].member;
        let same = |node: &&Node| node.runs && node.member.domain == wanted.domain;
        let nodes = self.nodes.iter().filter(same);
        nodes.filter(|node| !node.membership.is_alive(&wanted.node)).count()
    }

    /// Nodes that run and count this one as alive.
    pub(crate) fn believers(&self, index: usize) -> usize {
        let wanted = self.id(index);
        let nodes = self.nodes.iter().filter(|node| node.runs);
        nodes.filter(|node| node.membership.is_alive(&wanted)).count()
    }
}

pub(crate) fn member(index: usize, domains: usize) -> Member {
    let domain: DomainId = format!("cl-central-stgo-{}", index % domains).parse().unwrap();
    let node: NodeId = format!("{domain}-entry-{index:04}").parse().unwrap();
    Member { node, domain, addr: format!("10.120.{}.{}:17100", index / 250, index % 250) }
}

/// Bytes of a heartbeat on its WebSocket, as nodes send it.
pub(crate) fn encoded(beats: &[Beat], pulses: &[Pulse]) -> usize {
    let members = beats.iter().map(|beat| MemberBeat {
        node: beat.member.node.clone(),
        domain: beat.member.domain.clone(),
        addr: beat.member.addr.clone(),
        beat: beat.count,
        leaving: beat.leaving,
    });
    let units = |pulse: &Pulse| u16::try_from(pulse.age.as_millis() / 50).unwrap();
    let pulses = pulses.iter().map(|pulse| (pulse.short, units(pulse)));
    let heartbeat = Heartbeat {
        ask: true,
        members: members.collect(),
        pulses: pulses.collect(),
        config: Offset(123_456),
    };
    let frame = Frame::Message(Box::new(Message::Heartbeat(heartbeat)));
    let mut buf = Vec::new();
    ciborium::into_writer(&frame, &mut buf).unwrap();
    buf.len() + WEBSOCKET_HEADER
}
