use std::time::Duration;

use hgw_types::{Time, UpstreamId};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Ask, Candidate};

/// Limits of the engine choice.
#[derive(Debug, Clone, PartialEq)]
pub struct ChooserSettings {
    /// Longer delay that is accepted for each block found in the prefix cache.
    ///
    /// Several times what the block saves the request itself: a prefix computed at one more engine
    /// also takes the place of another prefix there, and slots from the requests behind it.
    pub block_saving: Duration,
    /// Most that all blocks of a prompt count for: a long prompt is long mostly by its own tail, which
    /// no engine has at hand, and must not wait out its deadline for the head.
    pub max_saving: Duration,
    /// Time that an adapter which is loaded saves.
    pub adapter_saving: Duration,
    /// Delay that one own request in flight adds until the upstream's next word.
    pub sent_cost: Duration,
    /// Time in which an observed delay loses half its worth.
    ///
    /// It bounds the rate at which a slow upstream is tried: an upstream ten times as slow as its
    /// like is asked again after some three half-lives, by one request.
    pub half_life: Duration,
    /// Added delay by [`Candidate::distance`].
    pub distance_cost: [Duration; 3],
    /// Time without work after a first failure; doubles with each further one.
    pub first_backoff: Duration,
    /// Longest time without work after failures.
    pub max_backoff: Duration,
}

impl Default for ChooserSettings {
    fn default() -> Self {
        ChooserSettings {
            block_saving: Duration::from_millis(30),
            max_saving: Duration::from_millis(120),
            adapter_saving: Duration::from_millis(40),
            sent_cost: Duration::from_millis(10),
            half_life: Duration::from_secs(1),
            distance_cost: [Duration::ZERO, Duration::from_millis(3), Duration::from_millis(60)],
            first_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(5),
        }
    }
}

/// Chooses an upstream for a request, at an entry node.
///
/// Load: many entry nodes that choose among the same few replicas on news of different age.
/// Harm: all find the same one idle and overrun it together; or a slow one gets as much as the
/// rest. Limit: the best of three by the delay that replies carry: the two upstreams where the
/// prefix is at home, and one drawn at random, which takes over what is too much for those.
#[derive(Debug)]
pub struct Chooser {
    settings: ChooserSettings,
    rng: StdRng,
    upstreams: IndexMap<UpstreamId, Known>,
}

#[derive(Debug, Default)]
struct Known {
    delay: Duration,
    at: Time,
    /// Own requests sent since the last word on the delay.
    sent: u32,
    failures: u32,
    /// No work until then, after failures.
    until: Time,
}

impl Chooser {
    /// A chooser that knows nothing yet; the same seed gives the same choices.
    pub fn new(settings: ChooserSettings, seed: u64) -> Self {
        Chooser { settings, rng: StdRng::seed_from_u64(seed), upstreams: IndexMap::new() }
    }

    /// A reply said how long a new request would wait.
    pub fn observe(&mut self, now: Time, upstream: &UpstreamId, delay: Duration) {
        let known = self.known(upstream);
        known.delay = delay;
        known.at = now;
        known.sent = 0;
        known.failures = 0;
        known.until = Time::ZERO;
    }

    /// The upstream, or the way to it, has failed.
    ///
    /// Load: a lost engine that every request for its models would try first. Harm: each one loses
    /// the time of a failure. Limit: a backoff that doubles up to a few seconds, after which one
    /// request tries again; short, since a first failure may be that of a connection.
    pub fn failed(&mut self, now: Time, upstream: &UpstreamId) {
        let (first, max) = (self.settings.first_backoff, self.settings.max_backoff);
        let known = self.known(upstream);
        // Failures of requests that were on their way together count once.
        if now >= known.until {
            known.until = now + (first * (1 << known.failures.min(10))).min(max);
            known.failures += 1;
        }
    }

    /// A request goes to the upstream.
    pub fn sent(&mut self, now: Time, upstream: &UpstreamId, _ask: &Ask) {
        let max = self.settings.max_backoff;
        let known = self.known(upstream);
        known.sent += 1;
        if known.failures > 0 && now >= known.until {
            // One request tries an upstream that has failed; the others wait for what it finds.
            known.until = now + max;
        }
    }

    /// A request that was sent there has ended, with no word on the delay.
    pub fn finished(&mut self, _now: Time, upstream: &UpstreamId) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.sent = known.sent.saturating_sub(1);
        }
    }

    /// The upstream is no more.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.upstreams.swap_remove(upstream);
    }

    /// Orders the candidates, the one to try first in front. Upstreams that have failed lately come
    /// last rather than not at all: there may be no other.
    pub fn choose(&mut self, now: Time, ask: &Ask, candidates: &[Candidate]) -> Vec<UpstreamId> {
        let mut ranked: Vec<Ranked<'_>> =
            candidates.iter().map(|c| self.rank(now, ask, c)).collect();
        ranked.sort_by_key(|r| (r.down, std::cmp::Reverse(r.affinity)));
        let up = ranked.iter().filter(|r| !r.down).count();
        if up > THIRD {
            let third = self.rng.random_range(THIRD..up);
            ranked.swap(THIRD, third);
        }
        let blocks = self.settings.block_saving * ask.prefix.len() as u32;
        let saving = blocks.min(self.settings.max_saving);
        for (place, r) in ranked[..up].iter_mut().enumerate() {
            r.cost += saving * place.min(THIRD) as u32;
        }
        let compared = up.min(THIRD + 1);
        ranked[..compared].sort_by_key(|r| r.cost);
        ranked[compared..].sort_by_key(|r| (r.down, r.cost));
        ranked.into_iter().map(|r| r.candidate.upstream.clone()).collect()
    }

    fn rank<'a>(&self, now: Time, ask: &Ask, candidate: &'a Candidate) -> Ranked<'a> {
        let known = self.upstreams.get(&candidate.upstream);
        let mut cost = known.map_or(Duration::ZERO, |k| self.believed(now, k));
        cost += self.settings.distance_cost[usize::from(candidate.distance.min(2))];
        if !candidate.has_adapter {
            cost += self.settings.adapter_saving;
        }
        Ranked {
            candidate,
            cost,
            affinity: affinity(ask, candidate),
            down: known.is_some_and(|k| now < k.until),
        }
    }

    /// The delay last heard of, fading, and what own requests since then add to it.
    fn believed(&self, now: Time, known: &Known) -> Duration {
        let age = now.since(known.at).as_secs_f64() / self.settings.half_life.as_secs_f64();
        known.delay.mul_f64(0.5_f64.powf(age)) + self.settings.sent_cost * known.sent
    }

    fn known(&mut self, upstream: &UpstreamId) -> &mut Known {
        self.upstreams.entry(upstream.clone()).or_default()
    }
}

/// Place of the upstream that is drawn, after those where the prefix is at home.
const THIRD: usize = 2;

struct Ranked<'a> {
    candidate: &'a Candidate,
    cost: Duration,
    affinity: u64,
    down: bool,
}

/// Rendezvous hash of the adapter and the first block of the prompt with the upstream: all entry
/// nodes send a prefix to the same upstream without a word between them.
fn affinity(ask: &Ask, candidate: &Candidate) -> u64 {
    let adapter = ask.adapter.as_ref().map_or("", |a| a.as_str());
    let key = xxh3_64_with_seed(adapter.as_bytes(), ask.prefix.first().copied().unwrap_or(0));
    xxh3_64_with_seed(candidate.upstream.as_str().as_bytes(), key)
}
