//! A part of prompts that crashes each engine which begins to write an answer on it.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, holds, wait};
use hgw_standins::link::Condition;
use http::{Method, StatusCode};

use crate::{Stop, new_fleet};

/// The time of the rules within which nodes agree.
const CONTACT: Duration = Duration::from_secs(3);

/// Crashes after which that time begins.
const CRASHES: usize = 5;

/// Sends to engines that are allowed after that time.
const MAX_LATE_SENDS: usize = 3;

/// Time after which an engine that has crashed is back.
const BACK_AFTER: Duration = Duration::from_millis(700);

/// Pause between two requests with the part, over all nodes.
const CRASHING_PAUSE: Duration = Duration::from_millis(100);

/// Pause of each caller between two sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(40);

/// Callers of sound requests.
const SOUND_CALLERS: usize = 4;

/// The part that crashes engines, and parts that all callers share.
const CULPRIT: &str = "dead";
const FIRST: &str = "a1";
const SECOND: &str = "b2";

/// The prompt of each kind of request, but for the last part.
#[derive(Debug, Clone, Copy)]
struct Prompts {
    crashing: &'static [&'static str],
    sound: &'static [&'static str],
}

const SHARED_FIRST: Prompts = Prompts { crashing: &[FIRST, CULPRIT], sound: &[FIRST, SECOND] };
const SHARED_AROUND: Prompts =
    Prompts { crashing: &[FIRST, CULPRIT, SECOND], sound: &[FIRST, SECOND] };
const CULPRIT_FIRST: Prompts = Prompts { crashing: &[CULPRIT, SECOND], sound: &[FIRST, SECOND] };

#[derive(Debug, Clone, Copy)]
struct Scenario {
    nodes: usize,
    prompts: Prompts,
    unframed: bool,
}

const SCENARIO: Scenario = Scenario { nodes: 3, prompts: SHARED_FIRST, unframed: false };

/// A request that an engine was given.
#[derive(Debug, Clone)]
struct Run {
    id: String,
    at: Instant,
}

/// What a caller of sound requests saw.
#[derive(Debug, Clone, Copy)]
struct Answer {
    sent_at: Instant,
    began: bool,
}

fn fleet(scenario: &Scenario) -> Fleet {
    let engine = |n| EngineSettings {
        id: format!("i-{n}"),
        holds: holds(&[("m", &[])]),
        slots: 32,
        reading: Duration::from_millis(20),
        pause: Duration::from_millis(10),
        crash_part: Some(CULPRIT.to_owned()),
        unframed: scenario.unframed,
        ..EngineSettings::default()
    };
    new_fleet((0..8).map(engine).collect())
}

/// Sends a request; the last part of its prompt, its path and its id are its own.
fn send(fleet: &Fleet, node: usize, id: &str, shared_parts: &[&str]) -> Option<StatusCode> {
    let shared: String = shared_parts.iter().map(|part| format!("{part}:40,")).collect();
    let own = id.bytes().fold(17_u64, |sum, b| sum.wrapping_mul(31).wrapping_add(b.into()));
    let prefix = format!("{shared}{own:x}:20");
    let headers = [
        ("x-request-id", id),
        ("x-deadline-ms", "3000"),
        ("x-model", "m"),
        ("x-tokens", "100,120"),
        ("x-prompt-prefix", prefix.as_str()),
    ];
    let answer = fleet.nodes[node].call(Method::POST, &format!("/ask/{id}/"), &headers);
    answer.ok().map(|answer| answer.status)
}

/// Cuts off each engine that crashes and starts it again after a while, until `stop` is set. Returns the
/// requests with the part that engines were given, and when engines crashed.
fn restart_engines(fleet: &Fleet, stop: &AtomicBool) -> (Vec<Run>, Vec<Instant>) {
    let (mut runs, mut crashes) = (Vec::<Run>::new(), Vec::new());
    let mut down_since = vec![None::<Instant>; fleet.engines.len()];
    while !stop.load(Ordering::Relaxed) {
        for (index, engine) in fleet.engines.iter().enumerate() {
            if down_since[index].is_some_and(|since| since.elapsed() > BACK_AFTER) {
                down_since[index] = None;
                engine.start_anew();
                engine.hold(holds(&[("m", &[])]));
                fleet.to_engines[index].set(Condition::Open);
                fleet.list(engine, "ready");
            }
            if down_since[index].is_none() && engine.has_crashed() {
                fleet.to_engines[index].set(Condition::Refused);
                down_since[index] = Some(Instant::now());
                crashes.push(Instant::now());
            }
            let name = |id: &str| format!("{id} at {}", engine.id());
            for id in engine.record().runs.keys().filter(|id| id.starts_with("crash")) {
                if !runs.iter().any(|run| run.id == name(id)) {
                    runs.push(Run { id: name(id), at: Instant::now() });
                }
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    (runs, crashes)
}

/// Sends sound requests to all nodes in turn until `stop` is set.
fn send_sound(
    fleet: &Fleet,
    nodes: &[usize],
    caller: usize,
    prompts: Prompts,
    stop: &AtomicBool,
    answers: &Mutex<Vec<Answer>>,
) {
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let sent_at = Instant::now();
        let node = nodes[(number + caller) % nodes.len()];
        let status = send(fleet, node, &format!("sound-{caller}-{number}"), prompts.sound);
        let began = status == Some(StatusCode::OK);
        answers.lock().unwrap().push(Answer { sent_at, began });
        std::thread::sleep(SOUND_PAUSE);
    }
}

/// Share of the requests sent between two moments that began at the first attempt.
fn begun_share(answers: &[Answer], from: Instant, to: Instant) -> f64 {
    let asked: Vec<_> = answers.iter().filter(|a| (from..to).contains(&a.sent_at)).collect();
    assert!(asked.len() >= 20, "only {} sound requests", asked.len());
    asked.iter().filter(|answer| answer.began).count() as f64 / asked.len() as f64
}

/// Plays sound requests, and after a calm while requests with the part beside them for as long as the rules look.
fn play(scenario: Scenario) {
    let mut fleet = fleet(&scenario);
    let nodes: Vec<usize> = (0..scenario.nodes).map(|_| fleet.spawn("a")).collect();
    for node in &nodes {
        wait("the node is ready", || fleet.nodes[*node].is_ready());
    }
    if scenario.nodes > 12 {
        // The leader counts the nodes again in the first seconds; from then on nodes with a hub poll the hub.
        std::thread::sleep(CONTACT);
    }
    let (stop, answers) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    let begun_at = Instant::now();
    let calm = Duration::from_secs(2);
    let (runs, crashes) = std::thread::scope(|scope| {
        let restarting = scope.spawn(|| restart_engines(&fleet, &stop));
        let stopping = Stop(&stop);
        for caller in 0..SOUND_CALLERS {
            let (fleet, nodes, stop, answers) = (&fleet, &nodes, &stop, &answers);
            scope.spawn(move || send_sound(fleet, nodes, caller, scenario.prompts, stop, answers));
        }
        std::thread::sleep(calm);
        let next = AtomicUsize::new(0);
        let until = Instant::now() + 4 * CONTACT;
        while Instant::now() < until {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let (fleet, node) = (&fleet, nodes[number % nodes.len()]);
            scope.spawn(move || {
                send(fleet, node, &format!("crash-{number}"), scenario.prompts.crashing)
            });
            std::thread::sleep(CRASHING_PAUSE);
        }
        drop(stopping);
        restarting.join().unwrap()
    });
    let (answers, ended_at) = (answers.into_inner().unwrap(), Instant::now());
    let counted = crashes.get(CRASHES - 1).or(crashes.last()).expect("an engine crashed");
    let late: Vec<_> = runs.iter().filter(|run| run.at > *counted + CONTACT).collect();
    assert!(late.len() <= MAX_LATE_SENDS, "{} crashes, late sends: {late:?}", crashes.len());
    let usual = begun_share(&answers, begun_at, begun_at + calm);
    let meanwhile = begun_share(&answers, *counted + 2 * CONTACT, ended_at);
    assert!(meanwhile >= usual / 2.0, "{meanwhile} of the sound requests began, {usual} before");
}

/// What lasts must not be lost with the nodes: after all were killed, requests with the part must not be given as many
/// trials as before.
#[test]
fn nodes_that_start_know_the_part_and_the_trials_that_it_had() {
    let mut fleet = fleet(&SCENARIO);
    let nodes: Vec<usize> = (0..2).map(|_| fleet.start("a")).collect();
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| restart_engines(&fleet, &stop));
        let _stopping = Stop(&stop);
        let mut number = 0;
        wait("a trial is in the store", || {
            number += 1;
            let node = nodes[number % nodes.len()];
            send(&fleet, node, &format!("crash-{number}"), SCENARIO.prompts.crashing);
            let records = fleet.store.records("keyed.hgw-blocked");
            records.iter().any(|record| {
                let text = String::from_utf8_lossy(record);
                text.contains("part:dead") && text.contains(r#""trials":1"#)
            })
        });
    });
    for node in &nodes {
        fleet.nodes[*node].kill();
    }
    let restarted = fleet.start("a");
    // By now another first trial would be due.
    std::thread::sleep(Duration::from_millis(1_500));
    for number in 0..5 {
        let status = send(&fleet, restarted, &format!("late-{number}"), SCENARIO.prompts.crashing);
        assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    }
}

/// Tests of a scenario.
macro_rules! scenarios {
    ($($(#[$why:meta])* $name:ident: $scenario:expr;)*) => {
        $($(#[$why])* #[test] fn $name() { play($scenario); })*
    };
}

scenarios! {
    /// Guards against a part of prompts that takes all engines from everybody: no two requests with it are alike.
    part_that_crashes_engines_is_soon_sent_to_none: SCENARIO;
    /// The same with a part after the one that crashes engines, which sound requests share.
    part_between_shared_ones_is_the_one_withheld:
        Scenario { prompts: SHARED_AROUND, ..SCENARIO };
    /// The same with the part at the beginning, whose followers must not be taken for it.
    first_part_that_crashes_engines_is_withheld:
        Scenario { prompts: CULPRIT_FIRST, ..SCENARIO };
    /// Guards against an engine's end that passes for the end of its response and clears what caused it.
    end_of_an_engine_does_not_acquit_where_responses_have_no_framing:
        Scenario { unframed: true, ..SCENARIO };
    /// Guards against nine nodes that each learn from their own engines only.
    nine_nodes_agree_on_a_part: Scenario { nodes: 9, ..SCENARIO };
    /// Guards against nodes behind a hub that learn too late.
    nodes_behind_a_hub_agree_on_a_part: Scenario { nodes: 14, ..SCENARIO };
}
