//! Chooses the engine for a request.

use std::cell::LazyCell;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::engine_speed::{MeanSpeed, SpeedNeeds, explores, mean_speed, speed_cost_ms};
use crate::subset::{Subset, SubsetParams};
use crate::{
    Engine, EngineId, Engines, MemoryParams, Millis, Prompt, ServiceId, ServiceVersions, VersionKey,
};

/// Software versions of engines at which a request may run.
#[derive(Debug, Clone, Copy)]
pub enum VersionRule<'a> {
    Any,
    /// A stream goes on only at the version that began it.
    Only(VersionKey),
    /// A stream that may be taken up later begins only at an admitted version.
    Admitted(&'a ServiceVersions),
}

impl VersionRule<'_> {
    pub fn allows(&self, engine: &Engine) -> bool {
        match self {
            VersionRule::Any => true,
            VersionRule::Only(version) => engine.version_key() == *version,
            VersionRule::Admitted(admitted) => admitted.admits(engine),
        }
    }
}

/// What an engine is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceParams<'a> {
    pub service: &'a ServiceId,
    pub versions: VersionRule<'a>,
    /// Set if the service has models.
    pub prompt: Option<&'a Prompt>,
    /// Failure domain of this node.
    pub domain: &'a str,
    /// Engines that are not chosen: those that this request was sent to before, and silent ones.
    pub excluded: &'a [EngineId],
    /// Number of nodes that send to the same engines.
    pub nodes: u32,
    /// Maximum number of connections from all nodes to one engine.
    pub max_conns: u32,
    /// Whether less urgent requests go to the same service. Engines admit this request before those
    /// that wait.
    pub has_precedence: bool,
    /// Target for the longest gap between two events of a stream.
    pub max_event_gap: Option<Duration>,
    /// What the request needs of an engine's speed; none if speeds do not count.
    pub speed_needs: Option<SpeedNeeds>,
    /// Whether the request can wait for engines to finish prefill.
    pub can_wait: bool,
    /// Set if the engines' memory is known and to be considered.
    pub memory: Option<MemoryParams>,
    /// Uniform random number in `0..1`; makes nodes with the same data choose different engines.
    pub random: f64,
    /// How this node selects its subset of the engines. If none, or with few nodes, requests consider random ones.
    pub subset: Option<SubsetParams<'a>>,
    pub weights: CostWeights,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    pub engine: EngineId,
    /// Expected time to the first byte, with penalties, in milliseconds.
    pub cost_ms: f64,
    /// Estimated number of requests at the engine.
    pub estimate: f64,
}

/// Why no engine was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoEngine {
    /// The service has no engine that accepts requests.
    NoneAvailable,
    /// No engine of the version that began the stream has its model.
    VersionGone,
    /// No engine has loaded the model or adapter; retry after this time.
    NotLoaded(Duration),
    /// The request is larger than the memory of any engine.
    TooLarge,
    /// One more prompt would delay the streams of every suitable engine for too long.
    PrefillBusy,
    /// All suitable engines are full, excluded or unreachable; retry after this time.
    Full(Duration),
    /// All suitable engines get as many requests as they take, or are full; retry after this time.
    AtLimit(Duration),
    /// All suitable engines have asked this node for rest, or cannot be chosen for a longer time; retry after this time.
    Resting(Duration),
}

impl NoEngine {
    /// Of two reasons not to choose an engine that has the model, the one with the shorter wait.
    fn or_sooner(self, other: NoEngine) -> NoEngine {
        match (self, other) {
            (
                NoEngine::Full(wait) | NoEngine::AtLimit(wait) | NoEngine::Resting(wait),
                NoEngine::Full(new) | NoEngine::AtLimit(new) | NoEngine::Resting(new),
            ) if wait <= new => self,
            _ => other,
        }
    }
}

/// Costs that are added up to compare engines, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostWeights {
    /// Additional time to the first token in a full batch, compared with an idle engine.
    pub full_batch_ms: f64,
    /// Queueing time per queued request, times the number of slots.
    pub queued_ms: f64,
    /// Weight of the prefill backlog. It is above 1 because prefill also delays the streams that
    /// run there.
    pub prefill_weight: f64,
    /// Part of the event gap target that expected pauses may use up. The rest covers requests that
    /// other nodes send at the same moment.
    pub gap_share: f64,
    /// Requests that may queue at an engine before it counts as full, as a part of its slots.
    pub queue_share: f64,
    /// Cost of sending to another failure domain: latency and traffic.
    pub other_domain_ms: f64,
    /// Cost of prefill at an engine that does not have the prompt's prefix cached.
    pub prefix_ms: f64,
    /// Cost of a request that fails.
    pub failure_ms: f64,
    /// Cost of an engine that is still warming up after its start.
    pub warmup_ms: f64,
    /// Range of the random cost that spreads nodes with the same data over several engines.
    pub random_ms: f64,
    /// Cost of a new connection: round trips, the engine's accept and the work at both ends, which also delays other
    /// requests.
    pub new_connection_ms: f64,
    /// Additional cost of a full batch above the mean. At twelve slots, each request above the mean costs as much as a
    /// new connection, together with its part in `full_batch_ms`.
    pub above_mean_ms: f64,
}

impl Default for CostWeights {
    fn default() -> Self {
        CostWeights {
            full_batch_ms: 60.0,
            queued_ms: 1_500.0,
            prefill_weight: 3.0,
            gap_share: 0.65,
            queue_share: QUEUE_SHARE,
            other_domain_ms: 6.0,
            prefix_ms: 15.0,
            failure_ms: 2_000.0,
            warmup_ms: 100.0,
            random_ms: 4.0,
            new_connection_ms: 15.0,
            above_mean_ms: 120.0,
        }
    }
}

impl CostWeights {
    /// Weights for services whose loads change by more than their slots before all nodes know it. Nodes
    /// that each choose the least loaded engine then all choose the same one, and the next one a moment
    /// later. Instead, they spread requests over all engines, with a slope that makes up for differences
    /// between engines without overshooting.
    pub fn for_outdated_loads() -> CostWeights {
        let weights = CostWeights::default();
        CostWeights {
            queued_ms: weights.full_batch_ms,
            queue_share: OUTDATED_QUEUE_SHARE,
            random_ms: OUTDATED_RANDOM_BATCHES * weights.full_batch_ms,
            ..weights
        }
    }
}

/// Time between events, as a multiple of the mean of the service, above which an engine does not end a
/// subset: a node whose first engines are all slow would else use slow ones only.
const MAX_SLOWNESS: f64 = 1.1;

/// Retry time while engines are full.
const FULL_RETRY: Duration = Duration::from_millis(250);

/// Retry time for a model that is not loaded anywhere, if nothing better is known.
const MODEL_LOAD_RETRY: Duration = Duration::from_millis(1_000);

/// Up to this number of nodes, each request considers all engines.
const MAX_NODES_FULL_SCAN: u32 = 12;

/// With more nodes, each request considers this part of the engines, chosen at random, so that
/// nodes with the same slightly outdated data do not all choose the same engine.
const CONSIDERED_SHARE: f64 = 0.4;

/// Minimum number of engines that each request considers: with fewer, every third request would skip
/// the idle one of two copies.
const MIN_CONSIDERED: usize = 3;

/// The same two for streams while the speeds of engines are known: nodes prefer the fast engines then, which are fewer,
/// and would all choose the same ones. Some engine among the minimum is probably fast.
const CONSIDERED_SHARE_BY_SPEED: f64 = 0.12;
const MIN_CONSIDERED_BY_SPEED: usize = 8;

/// Requests that may queue at an engine before it counts as full, as a part of its slots.
const QUEUE_SHARE: f64 = 1.0;

/// The same while loads are outdated: an engine with a longer queue has shortened it by the time that it
/// is known.
const OUTDATED_QUEUE_SHARE: f64 = 2.0;

/// Range of the random cost while loads are outdated, as a multiple of the cost of a full batch: what
/// arrives in a tenth of a second is several times the slots.
const OUTDATED_RANDOM_BATCHES: f64 = 10.0;

/// Factor of that for requests that engines admit before others. Prevents urgent requests from being
/// refused because less urgent ones fill the queues: with a third of the engines lost and one limit
/// for all, 16 in 100 of the urgent requests were refused and 8 in 100 of the least urgent, which run
/// longest.
const PRECEDENCE_FACTOR: f64 = 1.75;

/// Share of a brittle engine's slots that only requests with precedence get.
const BRITTLE_EXTRA_SHARE: f64 = 0.1;

/// If the loads reported by nodes exceed those reported by engines by more than this factor, the
/// engines are trusted. Smaller differences come from the age of the engines' reports: up to two
/// seconds, in which a burst doubles the load.
const MAX_OVERSTATEMENT: f64 = 2.5;

/// Chooses the engine with the lowest expected time to the first byte.
pub fn choose_engine(
    engines: &Engines,
    params: &ChoiceParams<'_>,
    now: Millis,
) -> Result<Choice, NoEngine> {
    let mut reason = NoEngine::NoneAvailable;
    let mut best: Option<((bool, bool), Choice)> = None;
    let mean_speed = params.speed_needs.map(|_| mean_speed(engines, params.service));
    let is_stream = params.speed_needs.is_some_and(|needs| needs.events.is_some());
    let stream_speed = mean_speed.as_ref().filter(|mean| is_stream && mean.knows_events());
    let considered = Considered::new(engines, params, stream_speed, now);
    let session = params.prompt.map(session_key);
    let mean_load = mean_load(engines, params.service, now);
    let overstatement = LazyCell::new(|| overstatement(engines, params.service, now));
    // All engines of a service are brittle at the same time, and the load of one that fails goes to the others.
    let is_brittle =
        engines.of_service(params.service).any(|e| e.brittleness.max_rejections.is_some());
    if !has_version(engines, params) {
        return Err(NoEngine::VersionGone);
    }
    if params.memory.is_some_and(|memory| memory.is_too_large()) {
        return Err(NoEngine::TooLarge);
    }
    for engine in usable_engines(engines, params) {
        if reason == NoEngine::NoneAvailable {
            reason = NoEngine::NotLoaded(MODEL_LOAD_RETRY);
        }
        // Another node probes an engine that is reported unreachable; it is not tried here.
        let model_ref = params.prompt.and_then(|p| p.model_ref.as_ref());
        if model_ref.is_some_and(|m| !engine.has_loaded(m))
            || engine.health.is_reported_unreachable(now)
        {
            continue;
        }
        if let Some(wait) = engine.rest_for(params.has_precedence, now) {
            reason = reason.or_sooner(NoEngine::Resting(Duration::from_millis(wait)));
            continue;
        }
        if let Some(wait) = engine.at_limit_for(params.has_precedence, now) {
            reason = reason.or_sooner(NoEngine::AtLimit(Duration::from_millis(wait)));
            continue;
        }
        // An engine without a known load is assumed to have the mean load, not to be idle.
        let estimate =
            engine.known_load(now).unwrap_or_else(|| mean_load.max(f64::from(engine.own_requests)));
        let is_full = if is_brittle {
            let extra_share = if params.has_precedence { BRITTLE_EXTRA_SHARE } else { 0.0 };
            engine.is_full_if_brittle(estimate, extra_share, now)
        } else {
            let queue_share = params.weights.queue_share
                * if params.has_precedence { PRECEDENCE_FACTOR } else { 1.0 };
            let capacity = f64::from(engine.info.slots) * (1.0 + queue_share);
            estimate >= capacity && estimate / *overstatement >= capacity
        };
        let has_memory = params.memory.is_none_or(|memory| {
            let random = engine_random(params.random, &engine.info.id);
            memory.has_room(engine, estimate, *overstatement, random, now)
        });
        if is_full
            || !has_memory
            || engine.own_requests >= engine.request_share(params.max_conns, params.nodes, now)
            || params.excluded.contains(&engine.info.id)
        {
            reason = reason.or_sooner(NoEngine::Full(FULL_RETRY));
            continue;
        }
        let cost = cost(engine, estimate, params, session, now)
            + speed_cost(engine, estimate, params, mean_speed.as_ref(), now)
            + considered.cost(engine, estimate, params);
        let choice = Choice { engine: engine.info.id.clone(), cost_ms: cost, estimate };
        // Each request considers some engines only, so that many nodes do not all choose the same
        // one.
        let not_considered = !considered.contains(engine);
        // Ejected engines are the last resort.
        let last_resort = engine.health.is_ejected(now) || not_considered;
        // Engines whose streams would pause for too long rank after the others.
        let delays_streams = delays_streams(engine, params, now);
        let rank = (last_resort, delays_streams);
        let is_better = best
            .as_ref()
            .is_none_or(|(best_rank, b)| (rank, choice.cost_ms) < (*best_rank, b.cost_ms));
        if is_better {
            best = Some((rank, choice));
        }
    }
    match best {
        Some(((false, true), _)) if params.can_wait => Err(NoEngine::PrefillBusy),
        Some((_, choice)) => Ok(choice),
        None => Err(reason),
    }
}

/// Whether one more prompt would probably make the streams at an engine pause for too long.
fn delays_streams(engine: &Engine, params: &ChoiceParams<'_>, now: Millis) -> bool {
    let prompt_tokens = params.prompt.map_or(0, |p| p.prompt_tokens);
    params.max_event_gap.is_some_and(|gap| {
        prompt_tokens > 0
            && engine.expected_pause_ms(prompt_tokens, now)
                > gap.as_secs_f64() * 1_000.0 * params.weights.gap_share
    })
}

/// Engines that accept requests and run a version at which the request may run.
fn usable_engines<'a>(
    engines: &'a Engines,
    params: &'a ChoiceParams<'_>,
) -> impl Iterator<Item = &'a Engine> {
    let engines = engines.of_service(params.service);
    engines.filter(|e| e.accepts_requests() && params.versions.allows(e))
}

/// Whether a stream that is bound to a version may go on anywhere: an adapter is soon loaded, a model is not.
fn has_version(engines: &Engines, params: &ChoiceParams<'_>) -> bool {
    if !matches!(params.versions, VersionRule::Only(_)) {
        return true;
    }
    let model = params.prompt.and_then(|p| p.model_ref.as_ref()).map(|m| m.model.as_str());
    usable_engines(engines, params).any(|e| model.is_none_or(|model| e.has_model(model)))
}

/// Which engines a request considers.
enum Considered<'a> {
    All,
    /// Those with random numbers up to this one.
    Random {
        random: f64,
        threshold: f64,
    },
    Subset(Subset<'a>),
}

impl<'a> Considered<'a> {
    fn new(
        engines: &Engines,
        params: &ChoiceParams<'a>,
        stream_speed: Option<&MeanSpeed>,
        now: Millis,
    ) -> Considered<'a> {
        if params.nodes <= MAX_NODES_FULL_SCAN {
            return Considered::All;
        }
        let model_ref = params.prompt.and_then(|p| p.model_ref.as_ref());
        let candidates =
            usable_engines(engines, params).filter(|e| !e.health.is_reported_unreachable(now));
        let candidates = candidates.filter(|e| model_ref.is_none_or(|m| e.has_loaded(m)));
        if let Some(subset) = params.subset {
            let allowed = candidates.filter(|e| !params.excluded.contains(&e.info.id));
            let is_slow = |engine: &Engine| {
                stream_speed.is_some_and(|mean| mean.slowness(&engine.speed, now) > MAX_SLOWNESS)
            };
            let is_busy = |engine: &Engine| delays_streams(engine, params, now) || is_slow(engine);
            let session = params.prompt.map(session_key);
            let session_rank =
                |engine: &Engine| session.map(|key| rendezvous_rank(key, &engine.info.id));
            return Considered::Subset(Subset::new(subset, allowed, is_busy, session_rank, now));
        }
        let mut randoms: Vec<f64> =
            candidates.map(|e| engine_random(params.random, &e.info.id)).collect();
        let (share, min) = if stream_speed.is_some() {
            (CONSIDERED_SHARE_BY_SPEED, MIN_CONSIDERED_BY_SPEED)
        } else {
            (CONSIDERED_SHARE, MIN_CONSIDERED)
        };
        let count = ((randoms.len() as f64 * share).ceil() as usize).max(min);
        if randoms.len() <= count {
            return Considered::All;
        }
        let threshold = *randoms.select_nth_unstable_by(count - 1, f64::total_cmp).1;
        Considered::Random { random: params.random, threshold }
    }

    fn contains(&self, engine: &Engine) -> bool {
        match self {
            Considered::All => true,
            Considered::Random { random, threshold } => {
                engine_random(*random, &engine.info.id) <= *threshold
            }
            Considered::Subset(subset) => subset.contains(engine),
        }
    }

    /// Cost of an engine that depends on this node's connections.
    fn cost(&self, engine: &Engine, estimate: f64, params: &ChoiceParams<'_>) -> f64 {
        match self {
            Considered::All | Considered::Random { .. } => 0.0,
            Considered::Subset(subset) => subset.cost(engine, estimate, &params.weights),
        }
    }
}

fn cost(
    engine: &Engine,
    estimate: f64,
    params: &ChoiceParams<'_>,
    session: Option<u64>,
    now: Millis,
) -> f64 {
    let slots = f64::from(engine.info.slots.max(1));
    let weights = &params.weights;
    let batch = weights.full_batch_ms * (estimate / slots).min(1.0);
    let queue = weights.queued_ms * ((estimate + 1.0 - slots).max(0.0) / slots);
    let prefill = weights.prefill_weight * engine.prefill_ms(now);
    let domain = if engine.info.domain == params.domain { 0.0 } else { weights.other_domain_ms };
    let prefix =
        session.map_or(0.0, |key| weights.prefix_ms * rendezvous_rank(key, &engine.info.id));
    let failure = weights.failure_ms * engine.health.failure_rate(now);
    let warmup = if engine.info.warmup_ms_left > 0 { weights.warmup_ms } else { 0.0 };
    let random = weights.random_ms * engine_random(params.random, &engine.info.id);
    batch + queue + prefill + domain + prefix + failure + warmup + random
}

/// Cost of the engine's speed, if speeds count.
fn speed_cost(
    engine: &Engine,
    estimate: f64,
    params: &ChoiceParams<'_>,
    mean: Option<&MeanSpeed>,
    now: Millis,
) -> f64 {
    let Some((needs, mean)) = params.speed_needs.as_ref().zip(mean) else { return 0.0 };
    if explores(&engine.speed, params.random, now) {
        return 0.0;
    }
    let fill = estimate / f64::from(engine.info.slots.max(1));
    speed_cost_ms(&engine.speed, mean, needs, fill, now)
}

/// Mean of the loads that are known.
fn mean_load(engines: &Engines, service: &ServiceId, now: Millis) -> f64 {
    let loads = engines.of_service(service).filter_map(|e| e.known_load(now));
    let (count, sum) = loads.fold((0_u32, 0.0), |(count, sum), load| (count + 1, sum + load));
    if count == 0 { 0.0 } else { sum / f64::from(count) }
}

/// Factor by which the loads reported by nodes exceed those reported by the same engines; 1 if they
/// roughly agree. Prevents refusals while nodes count the same requests more than once.
fn overstatement(engines: &Engines, service: &ServiceId, now: Millis) -> f64 {
    let both = engines
        .of_service(service)
        .filter(|e| e.in_flight_elsewhere.is_some() && e.accepts_requests());
    let both = both.filter_map(|e| Some((e.known_load(now)?, e.recent_reported_load(now)?)));
    let (known, reported) =
        both.fold((0.0, 0.0), |(k, r), (known, reported)| (k + known, r + reported));
    let factor = known / f64::max(reported, 1.0);
    if factor > MAX_OVERSTATEMENT { factor } else { 1.0 }
}

/// Random number in `0..1` for one engine, derived from that of the request.
fn engine_random(random: f64, engine: &EngineId) -> f64 {
    rendezvous_rank(random.to_bits(), engine)
}

/// Identifies the prompts of one session, which share a prefix.
fn session_key(prompt: &Prompt) -> u64 {
    prompt.parts.last().map_or(0, |part| part.id)
}

/// Rendezvous hash: the engine with the lowest rank is preferred for the key, and stays so while
/// other engines come and go.
fn rendezvous_rank(key: u64, engine: &EngineId) -> f64 {
    let mut bytes = key.to_le_bytes().to_vec();
    bytes.extend_from_slice(engine.0.as_bytes());
    xxh3_64(&bytes) as f64 / u64::MAX as f64
}
