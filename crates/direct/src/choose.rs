use std::cell::LazyCell;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{Engine, EngineId, Engines, Millis, Prompt, ServiceId};

/// What a choice is made for.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The prompt, where the service has models.
    pub prompt: Option<&'a Prompt>,
    /// Failure domain of this node.
    pub domain: &'a str,
    /// Engines that were tried already.
    pub tried: &'a [EngineId],
    /// Nodes that send to the same engines.
    pub nodes: u32,
    /// Most connections that this node may have with one engine.
    pub conns: u32,
    /// Whether less urgent requests go to the same service: engines admit this one before those that wait.
    pub goes_first: bool,
    /// Longest pause between two events that is on time.
    pub gap: Option<Duration>,
    /// Whether the request can wait until an engine has read what it has to read.
    pub waits: bool,
    /// A draw in `0..1` that parts nodes which see the same.
    pub draw: f64,
    /// What counts against an engine.
    pub policy: Policy,
}

/// The engine to send to.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The engine.
    pub engine: EngineId,
    /// Expected time until it begins, in milliseconds, with what counts against it.
    pub cost_ms: f64,
    /// Requests that are probably there.
    pub estimate: f64,
}

/// Why there is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoEngine {
    /// The service has no engine that takes work.
    None,
    /// None of them holds the model, or the adapter; come back after this time.
    NotPlaced(Duration),
    /// All that hold it have so many prompts to read that one more makes their streams pause for too long.
    Reading,
    /// All that hold it are full, tried, or cannot be reached; come back after this time.
    Full(Duration),
}

/// What speaks against an engine, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Time to a first token that a full batch adds to that of an idle engine, each step of which takes longer.
    pub full_batch_ms: f64,
    /// Time that one request waits for each request before it in a queue, times the slots.
    pub queued_ms: f64,
    /// By how much prompts that wait to be read count more than the time that they take: a new prompt waits for
    /// them, and each stream that runs there pauses for as long.
    pub reading_weight: f64,
    /// Part of the longest pause that is on time up to which prompts are sent to an engine that runs streams: what
    /// other nodes send at the same moment is not known yet.
    pub gap_share: f64,
    /// What sending to another failure domain costs: the way there and back, and the price of its bytes.
    pub other_domain_ms: f64,
    /// What reading a whole prompt anew costs against going where its parts are kept.
    pub prefix_ms: f64,
    /// What a request that fails costs: it is sent again, or lost.
    pub failure_ms: f64,
    /// What a newly started engine that still reads its weights from slow memory costs.
    pub cold_ms: f64,
    /// Spread of the draw, so that nodes that see the same do not all choose the same.
    pub draw_ms: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            full_batch_ms: 60.0,
            queued_ms: 1_500.0,
            reading_weight: 3.0,
            gap_share: 0.65,
            other_domain_ms: 6.0,
            prefix_ms: 15.0,
            failure_ms: 2_000.0,
            cold_ms: 100.0,
            draw_ms: 4.0,
        }
    }
}

/// When a caller comes back whose model is nowhere, as long as nobody knows better.
const PLACED_WITHIN: Duration = Duration::from_millis(1_000);

/// Nodes that may all look at all engines.
const FEW_NODES: u32 = 12;

/// Part of the engines that each request is chosen among where there are more nodes: two or three of the
/// usual number of copies, which balances nearly as well as looking at all and needs no fresh knowledge.
const LOOKED_AT: f64 = 0.4;

/// Copies that each request looks at where there are so many: with fewer, the idle one of two would be passed over by
/// every third request.
const LEAST_LOOKED_AT: usize = 3;

/// Requests that may wait at an engine beyond its slots before others are asked to come back.
const QUEUE_SHARE: f64 = 1.0;

/// The same before requests that engines admit first are asked to come back.
///
/// Load: a third of the engines is lost, and the others are full of the least urgent requests, which are the longest.
/// Refused by the same measure, the urgent ones, of which there are most, were refused most: 16 in 100, where of the
/// least urgent 8 in 100 were. They wait for the next slot only; those beyond the measure go before those below it.
const QUEUE_SHARE_FIRST: f64 = 1.75;

/// What nodes say of loads against what engines say, beyond which the engines are believed: they tell up to two seconds
/// earlier, in which a burst doubles what is there.
const MOST_OVERSTATED: f64 = 2.5;

/// Chooses the engine with the least expected time to the first byte.
pub fn choose(engines: &Engines, ask: &Ask<'_>, now: Millis) -> Result<Choice, NoEngine> {
    let mut found = NoEngine::None;
    let mut best: Option<((bool, bool), Choice)> = None;
    let looked_at = looked_at(engines, ask, now);
    let tokens = ask.prompt.map_or(0, |p| p.tokens_in);
    let home = ask.prompt.map(home_key);
    let mean = mean_load(engines, ask.service, now);
    let overstated = LazyCell::new(|| overstated(engines, ask.service, now));
    for engine in engines.of(ask.service).filter(|e| e.takes_work()) {
        if found == NoEngine::None {
            found = NoEngine::NotPlaced(PLACED_WITHIN);
        }
        let wanted = ask.prompt.and_then(|p| p.wanted.as_ref());
        // One that another node looks at again and again need not be tried: what it holds is nowhere meanwhile.
        if wanted.is_some_and(|w| !engine.holds(w)) || engine.judge.is_dark(now) {
            continue;
        }
        // One that has told nothing is not idle: nobody here has sent there of late.
        let estimate = engine.known_load(now).unwrap_or_else(|| mean.max(f64::from(engine.own)));
        let queue = if ask.goes_first { QUEUE_SHARE_FIRST } else { QUEUE_SHARE };
        let room = f64::from(engine.listed.slots) * (1.0 + queue);
        let is_full = estimate >= room && estimate / *overstated >= room;
        if is_full || engine.own >= ask.conns || ask.tried.contains(&engine.listed.id) {
            let wait = Duration::from_millis(250);
            found = NoEngine::Full(wait);
            continue;
        }
        let cost = cost(engine, estimate, ask, home, now);
        let choice = Choice { engine: engine.listed.id.clone(), cost_ms: cost, estimate };
        // Many nodes that know the same a little late would all choose the same: each looks at some only.
        let passed_over = draw_of(ask.draw, &engine.listed.id) > looked_at;
        // An engine that could not be reached is the last resort.
        let alone = engine.judge.is_left_alone(now) || passed_over;
        // One that would pause its streams for too long comes after those that would not.
        let pauses = ask.gap.is_some_and(|gap| {
            tokens > 0
                && engine.longest_pause(tokens, now)
                    > gap.as_secs_f64() * 1_000.0 * ask.policy.gap_share
        });
        let rank = (alone, pauses);
        let better = best
            .as_ref()
            .is_none_or(|(best_rank, b)| (rank, choice.cost_ms) < (*best_rank, b.cost_ms));
        if better {
            best = Some((rank, choice));
        }
    }
    match best {
        Some(((false, true), _)) if ask.waits => Err(NoEngine::Reading),
        Some((_, choice)) => Ok(choice),
        None => Err(found),
    }
}

/// The highest draw of the copies that this request looks at.
fn looked_at(engines: &Engines, ask: &Ask<'_>, now: Millis) -> f64 {
    if ask.nodes <= FEW_NODES {
        return 1.0;
    }
    let wanted = ask.prompt.and_then(|p| p.wanted.as_ref());
    let copies = engines.of(ask.service).filter(|e| e.takes_work() && !e.judge.is_dark(now));
    let copies = copies.filter(|e| wanted.is_none_or(|w| e.holds(w)));
    let mut draws: Vec<f64> = copies.map(|e| draw_of(ask.draw, &e.listed.id)).collect();
    let most = ((draws.len() as f64 * LOOKED_AT).ceil() as usize).max(LEAST_LOOKED_AT);
    if draws.len() <= most {
        return 1.0;
    }
    *draws.select_nth_unstable_by(most - 1, f64::total_cmp).1
}

fn cost(engine: &Engine, estimate: f64, ask: &Ask<'_>, home: Option<u64>, now: Millis) -> f64 {
    let slots = f64::from(engine.listed.slots.max(1));
    let policy = &ask.policy;
    let batch = policy.full_batch_ms * (estimate / slots).min(1.0);
    let queue = policy.queued_ms * ((estimate + 1.0 - slots).max(0.0) / slots);
    let reading = policy.reading_weight * engine.reading_ms(now);
    let domain = if engine.listed.domain == ask.domain { 0.0 } else { policy.other_domain_ms };
    let prefix = home.map_or(0.0, |key| policy.prefix_ms * rank(key, &engine.listed.id));
    let failing = policy.failure_ms * engine.judge.failing(now);
    let cold = if engine.listed.cold_ms > 0 { policy.cold_ms } else { 0.0 };
    let chance = policy.draw_ms * draw_of(ask.draw, &engine.listed.id);
    batch + queue + reading + domain + prefix + failing + cold + chance
}

/// Mean load of the engines whose load is known.
fn mean_load(engines: &Engines, service: &ServiceId, now: Millis) -> f64 {
    let known = engines.of(service).filter_map(|e| e.known_load(now));
    let (count, sum) = known.fold((0_u32, 0.0), |(count, sum), load| (count + 1, sum + load));
    if count == 0 { 0.0 } else { sum / f64::from(count) }
}

/// By how much the loads that nodes tell each other exceed those that the same engines told; 1 where they agree.
///
/// Load: two nodes count the same requests twice over, and the engines tell all the while that they have places. What
/// nodes say of an engine is no ground to refuse requests where the engines say otherwise; what rejections tell is soon
/// among what they say.
fn overstated(engines: &Engines, service: &ServiceId, now: Millis) -> f64 {
    let both = engines.of(service).filter(|e| e.elsewhere.is_some() && e.takes_work());
    let both = both.filter_map(|e| Some((e.known_load(now)?, e.told_load(now)?)));
    let (known, told) = both.fold((0.0, 0.0), |(k, t), (known, told)| (k + known, t + told));
    let by = known / f64::max(told, 1.0);
    if by > MOST_OVERSTATED { by } else { 1.0 }
}

/// A draw for one engine in `0..1`, from the draw for the request.
fn draw_of(draw: f64, engine: &EngineId) -> f64 {
    rank(draw.to_bits(), engine)
}

/// Names what a prompt shares with others of its session.
fn home_key(prompt: &Prompt) -> u64 {
    prompt.parts.last().map_or(0, |part| part.id)
}

/// Rendezvous: the engine with the least rank is the home of the key, and stays so while others come
/// and go.
fn rank(key: u64, engine: &EngineId) -> f64 {
    let mut bytes = key.to_le_bytes().to_vec();
    bytes.extend_from_slice(engine.0.as_bytes());
    xxh3_64(&bytes) as f64 / u64::MAX as f64
}
