//! Requests at engines of different speeds, and what nodes tell each other of them.

mod support;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use hgw_direct::engine_speed::{
    SpeedExchange, SpeedNeeds, SpeedRow, SpeedSums, expected_events, mean_speed,
};
use hgw_direct::in_flight::{EngineKey, InFlightLoad};
use hgw_direct::{
    ChangePosition, Choice, ChoiceParams, CostWeights, EngineId, Engines, Millis, NoEngine, Prompt,
    PromptPart, StartTime, VersionRule, choose_engine,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{engine_info, engines, model_ref, service};

const SLOTS: u32 = 12;

/// Time between two events in milliseconds, and pauses per event, of each group of engines.
const GROUPS: [(f64, f64); 3] = [(32.0, 0.0003), (56.0, 0.003), (88.0, 0.0125)];

/// Events of short, middle and long streams, which are equally frequent.
const LENGTHS: [u32; 3] = [6, 30, 80];

const PREFILL_MS: f64 = 60.0;

const PAUSE_MS: f64 = 260.0;

/// Objective of the first event.
const OBJECTIVE_MS: f64 = 1_000.0;

/// Age of what a node knows of other nodes' requests.
const LOAD_AGE: usize = 5;
const LOAD_TICK: Millis = 20;

const POLL_INTERVAL: Millis = 440;

const HUBS: usize = 5;

/// A node, and its position in the tree of polls: the leader is the first, the hubs follow.
struct Node {
    engines: Engines,
    exchange: SpeedExchange,
    seen: ChangePosition,
}

impl Node {
    fn new(index: usize, engines: &Engines) -> Node {
        let exchange = SpeedExchange::new(1 + index as u64);
        Node { engines: engines.clone(), exchange, seen: ChangePosition::default() }
    }

    fn observe(&mut self, key: EngineKey, sums: SpeedSums, now: Millis) {
        self.engines.by_key(key).unwrap().speed.add(sums, now);
        self.exchange.record(key, sums, now);
    }
}

fn parent(node: usize) -> Option<usize> {
    match node {
        0 => None,
        1..=HUBS => Some(0),
        _ => Some(1 + node % HUBS),
    }
}

/// Each node polls once. Returns the bytes of what was told.
fn poll_all(nodes: &mut [Node], now: Millis) -> usize {
    let mut bytes = 0;
    for index in (0..nodes.len()).rev() {
        let Some(parent) = parent(index) else { continue };
        let report = nodes[index].exchange.take_report(now);
        let seen = nodes[index].seen;
        let to = &mut nodes[parent];
        for row in &report {
            if let Some(engine) = to.engines.by_key(row.0) {
                engine.speed.add(row.sums(), now);
            }
            to.exchange.record(row.0, row.sums(), now);
        }
        if parent == 0 {
            to.exchange.discard_unreported();
            to.exchange.publish(&mut to.engines, now);
        }
        let (seen, rows) = to.exchange.rows_since(seen, now);
        let node = &mut nodes[index];
        node.seen = seen;
        node.exchange.apply(&rows, &mut node.engines, now);
        bytes += json_len(&report) + json_len(&rows);
    }
    bytes
}

fn json_len(rows: &[SpeedRow]) -> usize {
    if rows.is_empty() { 0 } else { serde_json::to_vec(rows).unwrap().len() }
}

fn fleet(count: usize) -> Engines {
    let mut engines = engines(&[]);
    for n in 0..count {
        let mut info = engine_info(&format!("i-{n}"), "a", &["m"]);
        info.slots = SLOTS;
        engines.upsert(info);
    }
    engines
}

fn key(n: usize) -> EngineKey {
    EngineKey::of(&EngineId(format!("i-{n}")), StartTime(None))
}

/// One stream at an engine.
#[derive(Debug, Clone, Copy)]
struct Stream {
    node: usize,
    events: u32,
    sent_at: f64,
}

#[derive(Debug, Clone, Default)]
struct SimEngine {
    running: u32,
    waiting: VecDeque<Stream>,
}

/// What became of the streams that were sent after the learning time.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    streams: f64,
    late: f64,
    /// Streams that had to wait for a slot.
    queued: f64,
    refused: f64,
    by_group: [f64; 3],
}

impl Tally {
    fn late_share(&self) -> f64 {
        self.late / self.streams
    }
}

#[derive(Debug, Clone, Copy)]
struct Plan {
    uses_speed: bool,
    /// Time at which the leader is lost, for good.
    leader_lost_at: Millis,
    streams_per_s: f64,
    seed: u64,
}

const LEARNING: Millis = 30_000;
const END: Millis = 70_000;

struct World {
    plan: Plan,
    nodes: Vec<Node>,
    engines: Vec<SimEngine>,
    /// Requests of each node at each engine.
    own: Vec<Vec<u32>>,
    /// Loads of the engines at earlier ticks.
    loads: VecDeque<Vec<u32>>,
    /// Ends of streams: time, number, engine.
    ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
    streams: Vec<(Stream, u32)>,
    rng: StdRng,
    tally: Tally,
}

impl World {
    fn new(plan: Plan) -> World {
        let all = fleet(90);
        World {
            plan,
            nodes: (0..79).map(|n| Node::new(n, &all)).collect(),
            engines: vec![SimEngine::default(); 90],
            own: vec![vec![0; 90]; 79],
            loads: VecDeque::from(vec![vec![0; 90]; LOAD_AGE]),
            ends: BinaryHeap::new(),
            streams: Vec::new(),
            rng: StdRng::seed_from_u64(plan.seed),
            tally: Tally::default(),
        }
    }

    fn run(mut self) -> Tally {
        let mut arrival = 0.0;
        for now in 0..END {
            while let Some(Reverse((at, stream, engine))) = self.ends.peek().copied() {
                if at > now {
                    break;
                }
                self.ends.pop();
                self.end(stream, engine, now);
            }
            while arrival <= now as f64 {
                self.arrive(now);
                arrival -=
                    1_000.0 / self.plan.streams_per_s * self.rng.random::<f64>().max(1e-9).ln();
            }
            if now % LOAD_TICK == 0 {
                let load = |e: &SimEngine| e.running + e.waiting.len() as u32;
                self.loads.push_back(self.engines.iter().map(load).collect());
                self.loads.pop_front();
            }
            if now % POLL_INTERVAL == 0 && now < self.plan.leader_lost_at {
                poll_all(&mut self.nodes, now);
            }
        }
        self.tally
    }

    fn arrive(&mut self, now: Millis) {
        let node = self.rng.random_range(0..self.nodes.len());
        let events = LENGTHS[self.rng.random_range(0..LENGTHS.len())];
        // Right in the median, often far off.
        let hint = f64::from(events) * 2.0_f64.powf(self.rng.random_range(-1.0..1.0));
        let Ok(choice) = self.choose(node, hint as u32, now) else {
            self.tally.refused += 1.0;
            return;
        };
        let engine: usize = choice.engine.0[2..].parse().unwrap();
        self.own[node][engine] += 1;
        let stream = Stream { node, events, sent_at: now as f64 };
        if self.engines[engine].running < SLOTS {
            self.begin(engine, stream, now);
        } else {
            if now >= LEARNING {
                self.tally.queued += 1.0;
            }
            self.engines[engine].waiting.push_back(stream);
        }
    }

    fn choose(&mut self, node: usize, hint: u32, now: Millis) -> Result<Choice, NoEngine> {
        let known = &self.loads[0];
        let random = self.rng.random::<f64>();
        let Node { engines, .. } = &mut self.nodes[node];
        for (n, engine) in engines.iter_mut().enumerate() {
            engine.own_requests = self.own[node][n];
            let requests = known[n].saturating_sub(engine.own_requests);
            engine.in_flight_elsewhere = Some(InFlightLoad { requests, ..InFlightLoad::default() });
        }
        let prompt = Prompt {
            model_ref: Some(model_ref("m")),
            prompt_tokens: 500,
            max_output_tokens: 400,
            length_hint: Some(4 * hint),
            parts: vec![PromptPart { id: random.to_bits(), tokens: 500 }],
        };
        let needs = SpeedNeeds {
            events: Some(expected_events(&prompt, Some(4))),
            time_left: Duration::from_secs(10),
            objective: Duration::from_millis(OBJECTIVE_MS as u64),
        };
        let params = ChoiceParams {
            service: &service(),
            versions: VersionRule::Any,
            prompt: Some(&prompt),
            domain: "a",
            excluded: &[],
            nodes: 79,
            max_conns: 500,
            has_precedence: false,
            max_event_gap: Some(Duration::from_millis(200)),
            speed_needs: self.plan.uses_speed.then_some(needs),
            can_wait: false,
            memory: None,
            subset: None,
            random,
            weights: CostWeights::default(),
        };
        choose_engine(engines, &params, now)
    }

    fn begin(&mut self, engine: usize, stream: Stream, now: Millis) {
        self.engines[engine].running += 1;
        let (event_ms, pause_rate) = GROUPS[engine % 3];
        let pauses = (0..stream.events).filter(|_| self.rng.random::<f64>() < pause_rate).count();
        let took = PREFILL_MS + event_ms * f64::from(stream.events) + PAUSE_MS * pauses as f64;
        let begins_late = now as f64 + PREFILL_MS - stream.sent_at > OBJECTIVE_MS;
        if stream.sent_at >= LEARNING as f64 {
            self.tally.streams += 1.0;
            self.tally.late += f64::from(u8::from(pauses > 0 || begins_late));
            self.tally.by_group[engine % 3] += 1.0;
        }
        self.streams.push((stream, pauses as u32));
        self.ends.push(Reverse((now + took as u64, self.streams.len() - 1, engine)));
    }

    fn end(&mut self, number: usize, engine: usize, now: Millis) {
        let (stream, pauses) = self.streams[number];
        self.own[stream.node][engine] -= 1;
        self.engines[engine].running -= 1;
        let events = f64::from(stream.events - 1);
        let pauses = f64::from(pauses);
        let event_ms = GROUPS[engine % 3].0 * events + PAUSE_MS * pauses;
        let sums = SpeedSums { events, event_ms, pauses, ..SpeedSums::default() };
        self.nodes[stream.node].observe(key(engine), sums, now);
        if let Some(next) = self.engines[engine].waiting.pop_front() {
            self.begin(engine, next, now);
        }
    }
}

fn run(plan: Plan) -> Tally {
    World::new(plan).run()
}

const PLAN: Plan =
    Plan { uses_speed: true, leader_lost_at: Millis::MAX, streams_per_s: 280.0, seed: 1 };

/// Guards against streams that pause because they run at slow engines while fast ones have room, and against fast
/// engines that are overfilled.
#[test]
fn share_of_late_streams_falls_to_a_third() {
    let without = run(Plan { uses_speed: false, ..PLAN });
    let with = run(PLAN);
    assert!(3.0 * with.late_share() <= without.late_share(), "{with:?} {without:?}");
    assert!(with.queued <= without.queued, "{with:?} {without:?}");
    assert_eq!(with.refused, 0.0);
}

/// Guards against nodes that lose what they know with the leader.
#[test]
fn speeds_count_while_there_is_no_leader() {
    let without = run(Plan { uses_speed: false, ..PLAN });
    let lost = run(Plan { leader_lost_at: LEARNING, ..PLAN });
    assert!(2.0 * lost.late_share() <= without.late_share(), "{lost:?} {without:?}");
    assert!(lost.queued <= without.queued, "{lost:?} {without:?}");
}

/// Guards against a node that has learned nothing, as it is new or this part was never used, choosing otherwise than
/// without this part.
#[test]
fn node_that_knows_no_speeds_chooses_as_before() {
    let choose = |uses_speed| {
        let mut world = World::new(Plan { uses_speed, ..PLAN });
        (0..200).map(|n| world.choose(0, 20, n).unwrap()).collect::<Vec<Choice>>()
    };
    assert_eq!(choose(true), choose(false));
}

/// Guards against a new node that gets the list of engines in parts and forgets the speeds of those that come later, and
/// against one that keeps the speeds of engines that are gone.
#[test]
fn speed_of_an_engine_is_kept_until_the_engine_is_listed() {
    let mut exchange = SpeedExchange::new(1);
    let sums = SpeedSums { events: 500.0, event_ms: 40_000.0, ..SpeedSums::default() };
    let mut listed = Engines::default();
    exchange.apply(&[SpeedRow::of(key(0), sums)], &mut listed, 1_000);
    exchange.maintain(&mut listed, 2_000);
    let mut listed = fleet(1);
    exchange.maintain(&mut listed, 3_000);
    assert!(listed.by_key(key(0)).unwrap().speed.is_known(3_000));
    exchange.maintain(&mut Engines::default(), 20_000);
    let (_, rows) = exchange.rows_since(ChangePosition::default(), 20_000);
    assert!(rows.is_empty());
}

/// Guards against messages that grow with nodes, engines or requests.
#[test]
fn messages_about_speeds_are_bounded() {
    for (count, engines, streams_per_s) in [(79, 90, 60), (986, 1_125, 750)] {
        let all = fleet(engines);
        let mut nodes: Vec<Node> = (0..count).map(|n| Node::new(n, &all)).collect();
        let mut rng = StdRng::seed_from_u64(1);
        let (mut bytes, seconds) = (0, 30);
        for now in (0..1_000 * seconds).step_by(POLL_INTERVAL as usize) {
            for _ in 0..streams_per_s * POLL_INTERVAL / 1_000 {
                let (node, engine) = (rng.random_range(0..count), rng.random_range(0..engines));
                let (event_ms, pause_rate) = GROUPS[engine % 3];
                let pauses = f64::from(u8::from(rng.random::<f64>() < 35.0 * pause_rate));
                let event_ms = 35.0 * event_ms + PAUSE_MS * pauses;
                let sums = SpeedSums { events: 35.0, event_ms, pauses, ..SpeedSums::default() };
                nodes[node].observe(key(engine), sums, now);
            }
            bytes += poll_all(&mut nodes, now);
        }
        let rate = bytes as f64 / (seconds * count as u64) as f64;
        assert!(rate <= 400.0, "{rate} bytes/s for each of {count} nodes");
        assert!(rate > 0.0);
    }
}

/// Engines of these speeds that nodes have observed for long: time between events, and time of a call.
fn observed(speeds: &[(f64, f64)]) -> Engines {
    let mut engines = fleet(speeds.len());
    for (n, (event_ms, call_ms)) in speeds.iter().enumerate() {
        let sums = SpeedSums {
            events: 1_000.0,
            event_ms: 1_000.0 * event_ms,
            pauses: 0.0,
            calls: 100.0,
            call_ms: 100.0 * call_ms,
        };
        engines.by_key(key(n)).unwrap().speed.add(sums, 0);
    }
    engines
}

fn chosen(engines: &Engines, needs: SpeedNeeds, now: Millis) -> String {
    chosen_by(engines, needs, now, 0.5)
}

fn chosen_by(engines: &Engines, needs: SpeedNeeds, now: Millis, random: f64) -> String {
    let params = ChoiceParams {
        service: &service(),
        versions: VersionRule::Any,
        prompt: None,
        domain: "a",
        excluded: &[],
        nodes: 1,
        max_conns: 500,
        has_precedence: false,
        max_event_gap: None,
        speed_needs: Some(needs),
        can_wait: false,
        memory: None,
        subset: None,
        random,
        weights: CostWeights::default(),
    };
    choose_engine(engines, &params, now).unwrap().engine.0
}

const CALL: SpeedNeeds = SpeedNeeds {
    events: None,
    time_left: Duration::from_secs(1),
    objective: Duration::from_millis(100),
};

/// Guards against calls that are late at slow engines, and against an engine that was slow a moment ago getting none.
#[test]
fn calls_go_where_they_end_first() {
    let mut engines = observed(&[(50.0, 60.0), (50.0, 25.0)]);
    assert_eq!(chosen(&engines, CALL, 10), "i-1");
    engines.by_key(key(1)).unwrap().speed.record_work_time(400, 1_000);
    assert_eq!(chosen(&engines, CALL, 1_090), "i-0");
    assert_eq!(chosen(&engines, CALL, 1_100), "i-1");
}

/// Guards against a stream that its caller's deadline cuts off at a slow engine.
#[test]
fn stream_goes_where_it_ends_in_time() {
    let mut engines = observed(&[(32.0, 0.0), (90.0, 0.0)]);
    engines.by_key(key(0)).unwrap().own_requests = 6;
    let stream = |events| SpeedNeeds {
        events: Some(events),
        time_left: Duration::from_secs(4),
        objective: Duration::from_secs(1),
    };
    assert_eq!(chosen(&engines, stream(10.0), 10), "i-1");
    assert_eq!(chosen(&engines, stream(50.0), 10), "i-0");
}

/// Guards against one odd stream at an engine deciding for all others.
#[test]
fn few_observations_do_not_swing_the_estimate() {
    let mut engines = observed(&[(50.0, 0.0), (50.0, 0.0), (50.0, 0.0)]);
    let odd = SpeedSums { events: 5.0, event_ms: 2_500.0, pauses: 3.0, ..SpeedSums::default() };
    let new = EngineKey::of(&EngineId::from("i-9"), StartTime(None));
    let mut info = engine_info("i-9", "a", &["m"]);
    info.slots = SLOTS;
    engines.upsert(info);
    engines.by_key(new).unwrap().speed.add(odd, 0);
    let mean = mean_speed(&engines, &service());
    let estimate = engines.by_key(new).unwrap().speed.estimate(&mean, 0);
    assert!(estimate.ms_per_event < 75.0, "{estimate:?}");
    assert!(estimate.pauses_per_event < 0.03, "{estimate:?}");
}

/// Guards against the caller's estimate being taken for more than the response may have.
#[test]
fn length_is_the_hint_within_the_maximum() {
    let prompt = |max_output_tokens, length_hint| Prompt {
        max_output_tokens,
        length_hint,
        ..Prompt::default()
    };
    assert_eq!(expected_events(&prompt(100, Some(40)), Some(4)), 10.0);
    assert_eq!(expected_events(&prompt(100, Some(400)), Some(4)), 25.0);
    assert_eq!(expected_events(&prompt(100, None), Some(4)), 12.5);
    assert_eq!(expected_events(&prompt(100, Some(40)), None), 40.0);
    assert_eq!(expected_events(&prompt(0, None), None), 1.0);
}

/// Guards against an engine that was slow once getting no requests for good while a faster one has room.
#[test]
fn slow_engine_is_tried_again_once_it_is_hardly_known() {
    let mut engines = observed(&[(30.0, 20.0), (90.0, 90.0)]);
    let needs = SpeedNeeds { events: Some(20.0), time_left: Duration::from_secs(2), ..CALL };
    let tried = |engines: &Engines, now| {
        let slow = |n: u32| chosen_by(engines, needs, now, f64::from(n) / 1_000.0) == "i-1";
        (0..1_000).filter(|n| slow(*n)).count()
    };
    assert_eq!(tried(&engines, 10), 0);
    // Its observations have lost nearly all of their weight.
    let later = 240_000;
    let fast = SpeedSums { events: 1_000.0, event_ms: 30_000.0, ..SpeedSums::default() };
    engines.by_key(key(0)).unwrap().speed.add(fast, later);
    let count = tried(&engines, later);
    assert!((10..=50).contains(&count), "{count} of 1,000");
}
