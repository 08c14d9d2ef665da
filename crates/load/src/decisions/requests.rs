//! The callers: requests drawn from a scenario, the same for every policy.

use std::time::Duration;

use hgw_types::Time;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::deployment::{Deployment, ENGINES, URGENT_MS};
use super::engine::{BLOCK_TOKENS, PROMPT_TOKENS_A_STEP};
use super::scenario::{Scenario, at};

/// Blocks that all requests for one adapter share.
pub(super) const SHARED_BLOCKS: u32 = 4;
const STEP: f64 = 0.005;
const DEFERRABLE: Duration = Duration::from_secs(600);
/// Slot time of a short urgent request and of a deferrable one, in seconds: prompts of 512 and
/// answers of 26 and 260 tokens on average, half of the prefixes cached.
const URGENT_SECONDS: f64 = (512.0 / PROMPT_TOKENS_A_STEP as f64 - 2.0 + 26.0) * STEP;
const LONG_SECONDS: f64 = URGENT_SECONDS + 170.0 * STEP;
const DEFERRABLE_SECONDS: f64 = (8.0 - 2.0 + 162.0) * STEP;
/// Plain calls for each urgent model request.
const PLAIN_SHARE: f64 = 0.25;

/// A caller's request.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) at: Time,
    pub(super) deadline: Time,
    /// Failure domain of the entry node that the balancer chose.
    pub(super) domain: usize,
    /// The model; none for a plain call.
    pub(super) model: Option<usize>,
    pub(super) adapter: usize,
    pub(super) urgent: bool,
    /// Prompt tokens, or steps of a plain call.
    pub(super) prompt: u32,
    /// Tokens asked for, and those that the answer will have.
    pub(super) asked: u32,
    pub(super) output: u32,
}

impl Request {
    /// Whether it is urgent and asks for a long answer.
    pub(super) fn is_long(&self) -> bool {
        self.urgent && self.asked >= LONG.start
    }

    /// Names the prefix that requests for the same adapter share.
    pub(super) fn prefix(&self) -> u64 {
        self.model.map_or(0, |m| (m * 1000 + self.adapter + 1) as u64)
    }
}

pub(super) fn draw(d: &Deployment, s: &Scenario, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let slots = f64::from(ENGINES.1) * ENGINES.0 as f64;
    let urgent_seconds = URGENT_SECONDS + (LONG_SECONDS - URGENT_SECONDS) * s.long;
    let mut requests = Vec::new();
    let mut second = 0.0;
    // Each tenth of a second at the rates of its beginning.
    while second < s.seconds as f64 {
        let urgent = at(s.urgent, second) * slots / urgent_seconds;
        let deferrable = at(s.deferrable, second) * slots / DEFERRABLE_SECONDS;
        let weights = popularity(d.models(), s, second);
        for (rate, kind) in [
            (urgent, Kind::Urgent),
            (deferrable, Kind::Deferrable),
            (urgent * PLAIN_SHARE, Kind::Plain),
        ] {
            let expected = rate * SLICE;
            let count = expected as usize + usize::from(rng.random::<f64>() < expected.fract());
            for _ in 0..count {
                let when = second + rng.random::<f64>() * SLICE;
                requests.push(one(d, s, kind, when, &weights, &mut rng));
            }
        }
        second += SLICE;
    }
    requests.sort_by_key(|r| r.at);
    requests
}

/// Tokens that long urgent answers are asked to have.
const LONG: std::ops::Range<u32> = 200..400;

const SLICE: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Urgent,
    Deferrable,
    Plain,
}

fn one(
    d: &Deployment,
    s: &Scenario,
    kind: Kind,
    second: f64,
    weights: &[f64],
    rng: &mut StdRng,
) -> Request {
    let at = Time::from_micros((second * 1e6) as u64);
    let model = pick(weights, rng.random::<f64>());
    let long = rng.random::<f64>() < s.long;
    let asked = match kind {
        Kind::Urgent if long => rng.random_range(LONG),
        Kind::Urgent => rng.random_range(20..60),
        Kind::Deferrable => rng.random_range(100..400),
        Kind::Plain => 0,
    };
    let urgent = kind != Kind::Deferrable;
    let own = rng.random_range(0..BLOCK_TOKENS * 8);
    Request {
        at,
        deadline: at + if urgent { Duration::from_millis(URGENT_MS) } else { DEFERRABLE },
        domain: rng.random_range(0..4),
        model: (kind != Kind::Plain).then_some(model),
        adapter: rng.random_range(0..=d.adapters(model)),
        urgent,
        prompt: if kind == Kind::Plain {
            rng.random_range(1..6)
        } else {
            SHARED_BLOCKS * BLOCK_TOKENS + own
        },
        asked,
        output: (f64::from(asked) * rng.random_range(0.3..1.0)).ceil() as u32,
    }
}

/// Share of each model in the demand.
fn popularity(models: usize, s: &Scenario, second: f64) -> Vec<f64> {
    let turned: usize = s.turns.iter().filter(|(t, _)| *t <= second).map(|(_, by)| by).sum();
    let weight = |m: usize| (((m + turned) % models + 1) as f64).powf(-s.skew);
    let weights: Vec<f64> = (0..models).map(weight).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|w| w / sum).collect()
}

fn pick(weights: &[f64], mut point: f64) -> usize {
    for (i, w) in weights.iter().enumerate() {
        if point < *w {
            return i;
        }
        point -= w;
    }
    weights.len() - 1
}
