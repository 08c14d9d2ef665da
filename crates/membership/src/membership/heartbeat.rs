//! Whom heartbeats go to, and what they carry.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use hgw_types::{DomainId, NodeId, Time};
use indexmap::IndexMap;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::Membership;
use crate::known::Known;
use crate::{Beat, Member, Pulse};

/// Members besides this one in a small domain.
const FEW: usize = 8;

/// Addresses tried in a period while nobody is known to live.
const FIRST_TRIES: usize = 3;

impl Membership {
    /// Nodes that were started together do not send at the same moments for ever. In a small domain
    /// heartbeats are small, and there may be more of them.
    pub(super) fn spread_period(&mut self) -> Duration {
        let few = self.neighbours().count() <= FEW;
        let period = if few { self.cfg.period / 2 } else { self.cfg.period };
        period.mul_f64(self.rng.random_range(0.9..1.1))
    }

    /// Whom this period's heartbeats go to.
    pub(super) fn targets(&mut self) -> Vec<Member> {
        let neighbours: Vec<Member> = self.neighbours().cloned().collect();
        let mut targets: Vec<Member> =
            neighbours.choose(&mut self.rng).cloned().into_iter().collect();
        if self.periods.is_multiple_of(self.cfg.abroad_every) && self.is_representative() {
            targets.extend(self.target_abroad());
        }
        let alone = neighbours.is_empty();
        if alone || self.periods.is_multiple_of(self.cfg.probe_every) {
            let tries = if alone { FIRST_TRIES } else { 1 };
            let silent: Vec<Member> = self.silent().cloned().collect();
            targets.extend(silent.sample(&mut self.rng, tries).cloned());
        }
        targets
    }

    /// Live members of the own domain.
    fn neighbours(&self) -> impl Iterator<Item = &Member> {
        let own = |known: &&Known| known.alive && known.member.domain == self.me.domain;
        self.known.values().filter(own).map(|known| &known.member)
    }

    /// A member of another domain: the domain at random first, so that a small one is not left out.
    fn target_abroad(&mut self) -> Option<Member> {
        let mut domains: IndexMap<&DomainId, Vec<&Member>> = IndexMap::new();
        for known in self.known.values() {
            if known.alive && known.member.domain != self.me.domain {
                domains.entry(&known.member.domain).or_default().push(&known.member);
            }
        }
        let domains: Vec<Vec<&Member>> = domains.into_values().collect();
        domains.choose(&mut self.rng)?.choose(&mut self.rng).map(|member| Member::clone(member))
    }

    /// Listed members that are not known to live: all of the own domain, and those of a domain of
    /// which nobody is known.
    fn silent(&self) -> impl Iterator<Item = &Member> {
        let abroad = self.all_live().filter(|member| member.domain != self.me.domain);
        let reached: HashSet<&DomainId> = abroad.map(|member| &member.domain).collect();
        let wanted = move |known: &&Known| {
            let sought = !reached.contains(&known.member.domain);
            known.listed.is_some() && !known.alive && !known.leaving && sought
        };
        self.known.values().filter(wanted).map(|known| &known.member)
    }

    /// Other domains know a few members of each one, always the same ones while they live, so that
    /// they need not hear of all.
    fn is_representative(&self) -> bool {
        self.own_representatives().contains(&self.me.node)
    }

    fn own_representatives(&self) -> Vec<NodeId> {
        let own = self.representatives(&self.me.domain);
        own.into_iter().map(|member| member.node.clone()).collect()
    }

    pub(super) fn my_beat(&self) -> Beat {
        Beat { member: self.me.clone(), count: self.count, leaving: self.leaving }
    }

    /// The own beat, and the members whose turn it is: those that leave first, and those that are new.
    pub(super) fn beats_for(&mut self, to: &Member) -> Vec<Beat> {
        let mut beats = vec![self.my_beat()];
        let near = to.domain == self.me.domain;
        let representatives = if near { Vec::new() } else { self.own_representatives() };
        let fits = |known: &&mut Known| {
            let shown = near || representatives.contains(&known.member.node);
            shown && known.is_told() && known.member.node != to.node
        };
        let mut known: Vec<_> = self.known.values_mut().filter(fits).collect();
        known.sort_by_key(|known| (Reverse(known.leaving), known.introduced));
        for known in known.into_iter().take(self.cfg.beats) {
            known.introduced = self.sent;
            beats.push(known.beat());
        }
        beats
    }

    /// The members seen last. What is older reaches others by those who saw it later.
    pub(super) fn pulses_for(&self, now: Time, to: &Member) -> Vec<Pulse> {
        let own = self.me.domain.clone();
        let near = to.domain == own;
        let representatives = if near { Vec::new() } else { self.own_representatives() };
        let ours = |known: &Known| {
            known.member.domain == own && (near || representatives.contains(&known.member.node))
        };
        let mut pulses = self.relay(now, to, self.cfg.pulses, ours);
        let others = |known: &Known| known.member.domain != own;
        pulses.extend(self.relay(now, to, self.cfg.pulses_abroad, others));
        pulses
    }

    fn relay(
        &self,
        now: Time,
        to: &Member,
        most: usize,
        wanted: impl Fn(&Known) -> bool,
    ) -> Vec<Pulse> {
        let fits =
            |known: &&Known| known.is_told() && known.member.node != to.node && wanted(known);
        let mut known: Vec<_> = self.known.values().filter(fits).collect();
        known.sort_by_key(|known| Reverse(known.seen));
        known.into_iter().take(most).filter_map(|known| known.pulse(now)).collect()
    }
}
