mod heartbeat;

use std::collections::HashSet;
use std::time::Duration;

use hgw_types::{DomainId, NodeId, Time};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::known::{Known, Suspicion};
use crate::{Action, Beat, Event, Member, Pulse, Settings, short};

/// One node's view of who is alive.
#[derive(Debug)]
pub struct Membership {
    cfg: Settings,
    me: Member,
    count: u64,
    leaving: bool,
    rng: StdRng,
    known: IndexMap<NodeId, Known>,
    /// Known nodes by their short form; more than one where they share it.
    shorts: IndexMap<u32, Vec<NodeId>>,
    next: Time,
    next_burial: Time,
    periods: u64,
    /// Heartbeats sent.
    sent: u64,
}

/// Times that a suspected member is asked.
const QUESTIONS: u32 = 6;

/// Times a period that silent members are looked for.
const BURIALS: u32 = 8;

impl Membership {
    /// Starts without other members. `seed` decides to whom heartbeats go.
    pub fn new(cfg: Settings, me: Member, seed: u64) -> Membership {
        Membership {
            cfg,
            me,
            count: 1,
            leaving: false,
            rng: StdRng::seed_from_u64(seed),
            known: IndexMap::new(),
            shorts: IndexMap::new(),
            next: Time::ZERO,
            next_burial: Time::ZERO,
            periods: 0,
            sent: 0,
        }
    }

    /// This node.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Whether this node has begun its planned stop.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Members of a domain that count as alive and stay, this node included.
    pub fn live<'a>(&'a self, domain: &DomainId) -> impl Iterator<Item = &'a Member> {
        self.all_live().filter(|member| member.domain == *domain)
    }

    /// Members known that count as alive and stay, this node included. Of other domains only the
    /// representatives are known.
    pub fn all_live(&self) -> impl Iterator<Item = &Member> {
        let me = (!self.leaving).then_some(&self.me);
        let others = self.known.values().filter(|known| known.alive);
        me.into_iter().chain(others.map(|known| &known.member))
    }

    /// The live members of a domain that the other domains know too.
    ///
    /// All nodes that see the same members alive name the same ones, whichever domain they are in.
    /// What more than one domain must agree on is left to them: a node of another domain cannot tell
    /// whether any other member lives.
    pub fn representatives(&self, domain: &DomainId) -> Vec<&Member> {
        let live: IndexMap<&NodeId, &Member> = self.live(domain).map(|m| (&m.node, m)).collect();
        let mut order = crate::rank::order(domain.as_str().as_bytes(), live.keys().copied());
        order.truncate(self.cfg.representatives);
        order.iter().map(|node| live[node]).collect()
    }

    /// Whether a node counts as alive; one that is leaving does not.
    pub fn is_alive(&self, node: &NodeId) -> bool {
        if *node == self.me.node {
            return !self.leaving;
        }
        self.known.get(node).is_some_and(|known| known.alive)
    }

    /// Whether a node has said that it is leaving.
    pub fn is_leaving(&self, node: &NodeId) -> bool {
        if *node == self.me.node {
            return self.leaving;
        }
        self.known.get(node).is_some_and(|known| known.leaving)
    }

    /// A member by its node, alive or not.
    pub fn member(&self, node: &NodeId) -> Option<&Member> {
        if *node == self.me.node {
            return Some(&self.me);
        }
        self.known.get(node).map(|known| &known.member)
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Listed(members) => self.listed(now, members),
            Event::Heard { from, beats, pulses, ask } => {
                self.heard(now, &from, &beats, out);
                self.seen_by_others(now, &pulses, out);
                if ask {
                    self.answer(now, &from, !pulses.is_empty(), out);
                }
            }
            Event::Alive(node) => self.alive(now, &node, out),
            Event::Failed(node) => self.failed(now, &node, out),
            Event::Left(node) => self.left(&node, out),
            Event::Leave => self.leave(out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn listed(&mut self, now: Time, members: Vec<Member>) {
        for member in members {
            if member.node == self.me.node {
                continue;
            }
            if let Some(known) = self.entry(&member) {
                known.listed = Some(now);
                if !known.alive {
                    known.member = member;
                }
            }
        }
    }

    /// What is known of a member, from now on at least.
    fn entry(&mut self, member: &Member) -> Option<&mut Known> {
        let node = &member.node;
        if !self.known.contains_key(node) {
            if self.known.len() >= self.cfg.known {
                return None;
            }
            self.known.insert(node.clone(), Known::new(member.clone()));
            self.shorts.entry(short(node)).or_default().push(node.clone());
        }
        self.known.get_mut(node)
    }

    fn heard(&mut self, now: Time, from: &NodeId, beats: &[Beat], out: &mut Vec<Action>) {
        for beat in beats {
            let node = &beat.member.node;
            if *node == self.me.node {
                continue;
            }
            let Some(known) = self.entry(&beat.member) else { continue };
            if node == from {
                known.heard_own(now, beat);
            } else {
                known.heard_of(beat);
            }
            if known.alive || node == from {
                self.settle(node, out);
            }
        }
    }

    /// Every heartbeat is answered by one, so that a node hears from somebody in each period, also
    /// when nobody happens to choose it. One without pulses only asks for a sign of life.
    fn answer(&mut self, now: Time, from: &NodeId, whole: bool, out: &mut Vec<Action>) {
        let Some(known) = self.known.get(from) else { return };
        let to = known.member.clone();
        if whole {
            self.send(now, to, false, out);
        } else {
            out.push(self.sign_of_life(to, false));
        }
    }

    /// The smallest heartbeat.
    fn sign_of_life(&self, to: Member, ask: bool) -> Action {
        Action::Send { to, beats: vec![self.my_beat()], pulses: Vec::new(), ask }
    }

    fn send(&mut self, now: Time, to: Member, ask: bool, out: &mut Vec<Action>) {
        self.sent += 1;
        let beats = self.beats_for(&to);
        let pulses = self.pulses_for(now, &to);
        out.push(Action::Send { to, beats, pulses, ask });
    }

    fn seen_by_others(&mut self, now: Time, pulses: &[Pulse], out: &mut Vec<Action>) {
        let (near, abroad) = (self.bound(), self.cfg.silence_abroad);
        for pulse in pulses {
            let Some([node]) = self.shorts.get(&pulse.short).map(Vec::as_slice) else { continue };
            let node = node.clone();
            let Some(known) = self.known.get_mut(&node) else { continue };
            let bound = if known.member.domain == self.me.domain { near } else { abroad };
            if known.seen_by_others(now, pulse.age) && !known.is_silent(now, bound) {
                self.settle(&node, out);
            }
        }
    }

    /// Tells of a member that lives, or leaves.
    fn settle(&mut self, node: &NodeId, out: &mut Vec<Action>) {
        let Some(known) = self.known.get_mut(node) else { return };
        let alive = !known.leaving;
        if known.alive == alive {
            return;
        }
        known.alive = alive;
        out.push(match alive {
            true => Action::Up(known.member.clone()),
            false => Action::Down(node.clone()),
        });
    }

    fn alive(&mut self, now: Time, node: &NodeId, out: &mut Vec<Action>) {
        if let Some(known) = self.known.get_mut(node) {
            known.heard_itself(now);
            self.settle(node, out);
        }
    }

    fn failed(&mut self, now: Time, node: &NodeId, out: &mut Vec<Action>) {
        let Some(known) = self.known.get_mut(node) else { return };
        known.failed(now, self.cfg.doubt);
        if known.alive {
            known.alive = false;
            out.push(Action::Down(node.clone()));
        }
    }

    fn left(&mut self, node: &NodeId, out: &mut Vec<Action>) {
        if let Some(known) = self.known.get_mut(node) {
            known.left();
            self.settle(node, out);
        }
    }

    /// All that may send work here hear of it at once: a rare event, which need not fit into what a
    /// heartbeat may cost.
    fn leave(&mut self, out: &mut Vec<Action>) {
        self.leaving = true;
        self.count += 1;
        for known in self.known.values().filter(|known| known.alive) {
            out.push(self.sign_of_life(known.member.clone(), false));
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if now >= self.next_burial {
            self.next_burial = now + self.cfg.period / BURIALS;
            self.bury(now, out);
        }
        if now < self.next {
            return;
        }
        self.next = now + self.spread_period();
        self.periods += 1;
        self.count += 1;
        for to in self.targets() {
            self.send(now, to, true, out);
        }
    }

    /// Ends members that were silent for too long, after asking them.
    ///
    /// In a large domain now and then the news of some member misses some node for a long time. If
    /// that were enough to end it, nodes would often differ in who is alive; the member itself is
    /// asked first, by a small heartbeat that it answers. So are the representatives of other domains: a
    /// heartbeat passes on only the newest signs of life of those, which come in batches, and that of the
    /// last of a batch may never go on. For other members of other domains silence is enough.
    fn bury(&mut self, now: Time, out: &mut Vec<Action>) {
        let (near, abroad) = (self.bound(), self.cfg.silence_abroad);
        let mut asked = Vec::new();
        let abroad_asked = self.representatives_abroad(now);
        for (node, known) in &mut self.known {
            let is_near = known.member.domain == self.me.domain;
            let bound = if is_near { near } else { abroad };
            if !known.alive || !known.is_silent(now, bound) {
                known.suspicion = None;
                continue;
            }
            let suspicion = known.suspicion.get_or_insert(Suspicion { since: now, next: now });
            let is_asked = is_near || abroad_asked.contains(node);
            if !is_asked || now.since(suspicion.since) >= self.cfg.confirm {
                known.alive = false;
                known.suspicion = None;
                out.push(Action::Down(node.clone()));
            } else if now >= suspicion.next {
                suspicion.next = now + self.cfg.confirm / QUESTIONS;
                asked.push(known.member.clone());
            }
        }
        out.extend(asked.into_iter().map(|to| self.sign_of_life(to, true)));
        self.forget(now);
    }

    /// Representatives of other domains, where any of their members has been silent for too long.
    fn representatives_abroad(&self, now: Time) -> HashSet<NodeId> {
        let bound = self.cfg.silence_abroad;
        let silent = self.known.values().filter(|known| known.alive && known.is_silent(now, bound));
        let domains = silent.map(|known| &known.member.domain);
        let abroad: HashSet<&DomainId> = domains.filter(|d| **d != self.me.domain).collect();
        let representatives = abroad.into_iter().flat_map(|domain| self.representatives(domain));
        representatives.map(|member| member.node.clone()).collect()
    }

    fn forget(&mut self, now: Time) {
        let bound = self.cfg.forget;
        let kept = |known: &Known| {
            let listed = known.listed.is_some_and(|at| now.since(at) < bound);
            known.alive || listed || !known.is_silent(now, bound)
        };
        let gone = self.known.values().filter(|known| !kept(known));
        let gone: Vec<NodeId> = gone.map(|known| known.member.node.clone()).collect();
        for node in gone {
            self.known.swap_remove(&node);
            if let Some(nodes) = self.shorts.get_mut(&short(&node)) {
                nodes.retain(|other| *other != node);
            }
            self.shorts.retain(|_, nodes| !nodes.is_empty());
        }
    }

    /// Longest silence of a member of the own domain that counts as alive. News goes round in a number
    /// of periods that grows with the logarithm of the members.
    fn bound(&self) -> Duration {
        let near = self.known.values().filter(|known| known.member.domain == self.me.domain);
        let steps = near.count().max(1).ilog2();
        self.cfg.silence + self.cfg.silence_per_doubling * steps
    }
}
