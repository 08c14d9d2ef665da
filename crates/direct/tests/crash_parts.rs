//! Parts of prompts under which engines end: which part is to blame, and how nodes agree on it.

mod support;

use std::collections::BTreeMap;

use hgw_direct::in_flight::EngineKey;
use hgw_direct::{
    BlockedSubject, ChangePosition, CrashHistory, CrashReport, CrashSubject, DigestedParts,
    EngineId, Engines, JudgeParams, Millis, Origin, PromptPart, RankedSubject, RequestDigest,
    SendPermission, StartTime, crash_subjects,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::engines;

const AGREED_WITHIN: Millis = 100;
const FIRST_TRIAL: Millis = 1_000;
const SECOND_TRIAL: Millis = 5_000;
const THIRD_TRIAL: Millis = 60_000;

const PARAMS: JudgeParams = JudgeParams {
    listed_for: 5_000,
    list_is_fresh: true,
    agreed_within: AGREED_WITHIN,
    forget_after: 900_000,
};

/// A part that many requests share.
const COMMON: CrashSubject = CrashSubject::Part(0xa);
const CULPRIT: CrashSubject = CrashSubject::Part(0xdead);

fn at(subject: CrashSubject, depth: u16) -> RankedSubject {
    RankedSubject { subject, depth }
}

fn digest(number: u64) -> RequestDigest {
    let target = format!("/{number}");
    RequestDigest::of(&DigestedParts {
        method: "POST",
        host: "desk.example",
        target: &target,
        customer: None,
        body: b"",
    })
}

/// What is suspected in a request with its own digest.
fn request(number: u64, parts: &[CrashSubject]) -> Vec<RankedSubject> {
    let part = |subject: &CrashSubject| match subject {
        CrashSubject::Part(id) => PromptPart { id: *id, tokens: 10 },
        CrashSubject::Request(_) => panic!("no part"),
    };
    let parts: Vec<PromptPart> = parts.iter().map(part).collect();
    crash_subjects(digest(number), &parts)
}

fn key(engine: u64) -> EngineKey {
    EngineKey::of(&EngineId(format!("e{engine}")), StartTime::default())
}

/// A list without any of the engines that have ended.
fn without_them() -> Engines {
    engines(&[("other", "a", &["m"])])
}

fn end(history: &mut CrashHistory, subjects: &[RankedSubject], engine: u64, now: Millis) {
    for subject in subjects {
        history.record_end(*subject, Origin(1), key(engine), now);
    }
}

fn history() -> CrashHistory {
    let mut history = CrashHistory::new(1);
    history.judge(&without_them(), PARAMS, 0);
    history
}

/// A history in which the culprit has ended three engines, at time 0, beside a part that it comes with.
fn after_three_ends() -> CrashHistory {
    let mut history = history();
    for engine in 0..3 {
        end(&mut history, &request(engine, &[COMMON, CULPRIT]), engine, 0);
    }
    history
}

fn is_allowed(history: &mut CrashHistory, subject: CrashSubject, now: Millis) -> bool {
    history.permission(subject, now) == SendPermission::Allowed
}

/// Guards against withholding what the culprit always comes with, and with it the requests of everybody.
#[test]
fn more_particular_part_is_blamed_for_ends_that_both_explain() {
    let mut history = after_three_ends();
    assert!(is_allowed(&mut history, CULPRIT, AGREED_WITHIN - 1), "others may know better");
    assert_eq!(history.permission(CULPRIT, AGREED_WITHIN), SendPermission::Suspended(4_900));
    assert!(is_allowed(&mut history, COMMON, AGREED_WITHIN));
    history.judge(&without_them(), PARAMS, 600);
    assert_eq!(history.permission(CULPRIT, 600), SendPermission::Blocked);
    assert!(is_allowed(&mut history, COMMON, 1_000_000));
}

/// Guards against blaming a part for ends of another cause that it has beside those of the culprit.
#[test]
fn one_more_end_of_another_cause_does_not_shift_the_blame() {
    let mut history = after_three_ends();
    end(&mut history, &request(7, &[COMMON]), 7, 0);
    assert!(!is_allowed(&mut history, CULPRIT, 200));
    assert!(is_allowed(&mut history, COMMON, 200));
}

/// Guards against a part that stays withheld for what the one before it has done.
#[test]
fn blame_moves_to_the_shared_part_once_it_ends_engines_by_itself() {
    let mut history = after_three_ends();
    history.judge(&without_them(), PARAMS, 600);
    assert!(!is_allowed(&mut history, CULPRIT, 600));
    for engine in 10..13 {
        end(&mut history, &request(engine, &[COMMON]), engine, 700);
    }
    history.judge(&without_them(), PARAMS, 1_300);
    history.judge(&without_them(), PARAMS, 1_600);
    assert_eq!(history.permission(COMMON, 1_600), SendPermission::Blocked);
    assert!(is_allowed(&mut history, CULPRIT, 1_600), "the other part explains its ends");
}

/// Guards against common parts withheld after a rack has ended: other engines go on writing on them.
#[test]
fn engines_that_go_on_writing_refute_the_ends_until_then() {
    let mut history = history();
    for engine in 0..12 {
        end(&mut history, &request(engine, &[COMMON]), engine, 0);
    }
    assert_eq!(history.record_completion(COMMON, 50), 12);
    assert!(is_allowed(&mut history, COMMON, 1_000));
    assert_eq!(history.ends(COMMON), 0);
    for engine in 0..12 {
        let report = CrashReport::Ended {
            subject: COMMON,
            origin: Origin(1),
            engine: key(engine),
            depth: 0,
            age: 60,
        };
        history.apply_report(report, 60);
    }
    assert_eq!(history.ends(COMMON), 0, "late reports of the same ends count no more");
    for engine in 20..23 {
        end(&mut history, &request(engine, &[COMMON]), engine, 70);
    }
    assert!(!is_allowed(&mut history, COMMON, 1_000), "a part may begin to crash engines");
}

/// Guards against refusing sound requests for good that were resumed from one engine to the next while a
/// part ended these.
#[test]
fn request_that_a_culprit_drew_along_is_released() {
    let mut history = history();
    let victim = request(99, &[COMMON]);
    for engine in 0..3 {
        end(&mut history, &victim, engine, 0);
        end(&mut history, &request(engine, &[COMMON, CULPRIT]), engine, 0);
    }
    history.judge(&without_them(), PARAMS, 600);
    for engine in 3..6 {
        end(&mut history, &request(engine, &[COMMON, CULPRIT]), engine, 700);
    }
    history.judge(&without_them(), PARAMS, 1_300);
    history.judge(&without_them(), PARAMS, 1_600);
    assert!(!is_allowed(&mut history, CULPRIT, 1_600));
    assert!(is_allowed(&mut history, victim[0].subject, 1_600), "it is explained");
    assert!(is_allowed(&mut history, COMMON, 1_600));
}

/// Guards against a part that stays withheld because a request with it is: the request alone is to blame.
#[test]
fn request_that_comes_again_is_blamed_before_its_parts() {
    let mut history = history();
    let again = request(1, &[COMMON, CULPRIT]);
    for engine in 0..3 {
        end(&mut history, &again, engine, 0);
    }
    history.judge(&without_them(), PARAMS, 600);
    assert_eq!(history.permission(again[0].subject, 600), SendPermission::Blocked);
    assert!(is_allowed(&mut history, CULPRIT, 600));
    assert!(is_allowed(&mut history, COMMON, 600));
}

#[test]
fn two_culprits_at_the_same_time_are_both_withheld() {
    let other = CrashSubject::Part(0xbad);
    let mut history = history();
    for engine in 0..4 {
        end(&mut history, &request(engine, &[COMMON, CULPRIT]), engine, 0);
        end(&mut history, &request(engine + 50, &[COMMON, other]), engine + 50, 0);
    }
    history.record_completion(COMMON, 10);
    assert!(!is_allowed(&mut history, CULPRIT, 200));
    assert!(!is_allowed(&mut history, other, 200));
    assert!(is_allowed(&mut history, COMMON, 200));
}

/// Guards against a part that is withheld for ever by mistake, and against trials that end one engine after
/// the other.
#[test]
fn trials_are_three_at_most_and_release_a_part_that_an_engine_outlives() {
    let mut history = after_three_ends();
    history.judge(&without_them(), PARAMS, 600);
    assert!(!history.grant_trial(CULPRIT, FIRST_TRIAL - 1));
    assert!(!history.grant_trial(COMMON, FIRST_TRIAL), "it is not withheld");
    assert!(history.grant_trial(CULPRIT, FIRST_TRIAL));
    assert!(!history.grant_trial(CULPRIT, FIRST_TRIAL), "one at a time");
    end(&mut history, &request(8, &[COMMON, CULPRIT]), 8, 1_100);
    assert!(!history.grant_trial(CULPRIT, 1_100 + SECOND_TRIAL - 1));
    assert!(history.grant_trial(CULPRIT, 1_100 + SECOND_TRIAL));
    end(&mut history, &request(9, &[COMMON, CULPRIT]), 9, 7_000);
    assert!(!history.grant_trial(CULPRIT, 7_000 + THIRD_TRIAL - 1));
    assert!(history.grant_trial(CULPRIT, 7_000 + THIRD_TRIAL));
    assert!(!history.grant_trial(CULPRIT, 100_000_000), "no more engines for it");
    let mut successor = CrashHistory::new(2);
    for state in history.states_since(ChangePosition::default(), 100_000_000).1 {
        successor.apply_state(&state, 0);
    }
    assert!(!successor.grant_trial(CULPRIT, 100_000_000), "nor by the next leader");
    history.record_completion(CULPRIT, 100_000_000);
    assert!(is_allowed(&mut history, CULPRIT, 100_000_000));
}

/// A part that is blocked in the store must be so after a start of all, and must still explain its ends.
#[test]
fn blocked_part_outlives_a_restart_with_what_it_explains() {
    let mut history = after_three_ends();
    history.judge(&without_them(), PARAMS, 600);
    let stored: BTreeMap<String, BlockedSubject> =
        history.blocked().map(|(subject, blocked)| (subject.to_string(), blocked)).collect();
    let text = serde_json::to_string(&stored["part:dead"]).unwrap();
    let mut restarted = CrashHistory::new(2);
    restarted.block("part:dead".parse().unwrap(), serde_json::from_str(&text).unwrap(), 0);
    for now in [0, 300, 600, 900] {
        restarted.judge(&without_them(), PARAMS, now);
    }
    assert_eq!(restarted.permission(CULPRIT, 900), SendPermission::Blocked);
    for engine in 0..3 {
        end(&mut restarted, &request(engine, &[COMMON]), engine, 900);
    }
    assert!(is_allowed(&mut restarted, COMMON, 2_000));
}

#[test]
fn subjects_are_bounded_distinct_and_read_as_they_are_written() {
    let parts = (0..1_000_u64).map(|id| PromptPart { id: id % 300, tokens: 1 });
    let subjects = crash_subjects(digest(1), &parts.collect::<Vec<_>>());
    assert_eq!(subjects.len(), 257, "the request and 256 parts");
    for ranked in &subjects {
        assert_eq!(ranked.subject.to_string().parse(), Ok(ranked.subject));
    }
    for bad in ["", "part:", "part:x", "part:12345678123456789", "12"] {
        assert!(bad.parse::<CrashSubject>().is_err(), "{bad}");
    }
}

/// A request at an engine.
struct Run {
    subjects: Vec<RankedSubject>,
    begun_at: Millis,
    ends_at: Millis,
}

/// A deployment in virtual time: engines, requests with parts, one of which ends engines.
struct World {
    rng: StdRng,
    history: CrashHistory,
    now: Millis,
    next_request: u64,
    next_engine: u64,
    /// Engines by place, and what runs there.
    engines: Vec<(u64, Vec<Run>)>,
    /// When engines ended under the culprit.
    crashes: Vec<Millis>,
    /// When requests with the culprit were sent.
    culprit_sends: Vec<Millis>,
    /// Of the sound requests: sent at, and whether they were allowed.
    sound: Vec<(Millis, bool)>,
}

const STEP: Millis = 10;
const STREAM: std::ops::Range<Millis> = 300..2_500;
const OUTLIVED: Millis = 500;
const CONTACT: Millis = 3_000;

impl World {
    fn new(seed: u64) -> World {
        World {
            rng: StdRng::seed_from_u64(seed),
            history: history(),
            now: 0,
            next_request: 0,
            next_engine: 9,
            engines: (0..9).map(|engine| (engine, Vec::new())).collect(),
            crashes: Vec::new(),
            culprit_sends: Vec::new(),
            sound: Vec::new(),
        }
    }

    fn end_engine(&mut self, place: usize) {
        let (engine, runs) = std::mem::take(&mut self.engines[place]);
        for Run { subjects, begun_at, .. } in runs {
            let is_young = self.now - begun_at < OUTLIVED;
            let suspects = subjects.iter().filter(|ranked| is_young || !ranked.subject.is_part());
            let suspects: Vec<RankedSubject> = suspects.copied().collect();
            end(&mut self.history, &suspects, engine, self.now);
        }
        self.engines[place] = (self.next_engine, Vec::new());
        self.next_engine += 1;
    }

    fn send(&mut self, has_culprit: bool) {
        let other = CrashSubject::Part(100 + self.rng.random_range(0..6));
        let parts = if has_culprit { vec![COMMON, CULPRIT, other] } else { vec![COMMON, other] };
        self.next_request += 1;
        let subjects = request(self.next_request, &parts);
        let withheld: Vec<CrashSubject> = subjects
            .iter()
            .map(|ranked| ranked.subject)
            .filter(|subject| !is_allowed(&mut self.history, *subject, self.now))
            .collect();
        let is_trial = matches!(withheld[..], [only]
            if subjects.iter().all(|r| r.subject == only || self.history.ends(r.subject) < 2)
                && self.history.grant_trial(only, self.now));
        let is_sent = withheld.is_empty() || is_trial;
        if !has_culprit {
            self.sound.push((self.now, is_sent));
        }
        if !is_sent {
            return;
        }
        let place = self.rng.random_range(0..self.engines.len());
        let ends_at = self.now + self.rng.random_range(STREAM);
        self.engines[place].1.push(Run { subjects, begun_at: self.now, ends_at });
        if has_culprit {
            self.culprit_sends.push(self.now);
            self.crashes.push(self.now);
            self.end_engine(place);
        }
    }

    fn step(&mut self, culprit_share: f64, ends_by_chance: f64) {
        self.now += STEP;
        for place in 0..self.engines.len() {
            let now = self.now;
            for Run { subjects, begun_at, ends_at } in &self.engines[place].1 {
                for ranked in subjects {
                    let is_whole = *ends_at <= now;
                    if is_whole || ranked.subject.is_part() && now - begun_at >= OUTLIVED {
                        self.history.record_completion(ranked.subject, now);
                    }
                }
            }
            self.engines[place].1.retain(|run| run.ends_at > now);
            if self.rng.random_bool(ends_by_chance) {
                self.end_engine(place);
            }
        }
        let has_culprit = self.rng.random_bool(culprit_share);
        self.send(has_culprit);
        if self.now.is_multiple_of(250) {
            self.history.judge(&without_them(), PARAMS, self.now);
        }
    }
}

/// How often requests have the culprit, and how often an engine ends by chance in each step.
#[derive(Debug, Clone, Copy)]
struct Play {
    seed: u64,
    culprit_share: f64,
    ends_by_chance: f64,
}

impl Play {
    fn of(seed: u64) -> Play {
        let mut rng = StdRng::seed_from_u64(seed);
        let culprit_share = rng.random_range(0.02..0.3);
        let ends_by_chance = rng.random_range(0.0..0.002);
        Play { seed, culprit_share, ends_by_chance }
    }

    fn run(self) {
        let mut world = World::new(self.seed);
        while world.now < 20_000 {
            world.step(self.culprit_share, self.ends_by_chance);
        }
        assert!(!is_allowed(&mut world.history, CULPRIT, world.now), "{self:?}");
        let fifth = world.crashes.get(4).or(world.crashes.last()).copied().unwrap();
        let late = world.culprit_sends.iter().filter(|at| **at > fifth + CONTACT).count();
        assert!(late <= 3, "{self:?}: {late} sends, crashes at {:?}", world.crashes);
        let later = world.sound.iter().filter(|(at, _)| *at > fifth + 2 * CONTACT);
        let (all, begun) =
            later.fold((0, 0), |(all, begun), (_, is_sent)| (all + 1, begun + u32::from(*is_sent)));
        assert!(begun * 2 >= all, "{self:?}: {begun} of {all} sound requests");
        // The culprit is gone; what was withheld by mistake proves itself.
        while world.now < 30_000 {
            world.step(0.0, 0.0);
        }
        let last: Vec<_> = world.sound.iter().filter(|(at, _)| *at > 29_000).collect();
        let begun = last.iter().filter(|(_, is_sent)| *is_sent).count();
        assert_eq!(begun, last.len(), "{self:?}");
    }
}

/// Guards against a culprit that is not found among the parts that it comes with, while engines also end by
/// chance, and against sound requests that are withheld for it.
#[test]
fn culprit_is_found_and_no_sound_part_stays_withheld() {
    (0..40).for_each(|seed| Play::of(seed).run());
}

/// Guards against a sound part that stays withheld for a minute as its first trial met an engine that ended by
/// chance.
#[test]
fn sound_part_whose_trial_failed_by_chance_gets_another_soon() {
    let (culprit_share, ends_by_chance) = (0.06998134597076515, 0.001941948845136818);
    Play { seed: 17322883680970083402, culprit_share, ends_by_chance }.run();
}

const FLEET_NODES: usize = 986;
const FLEET_HUBS: usize = 6;

/// A node of the fleet: nodes poll the hub of their domain, hubs poll the leader, which is node 0.
struct FleetNode {
    history: CrashHistory,
    parent: usize,
    reported: u64,
    seen: ChangePosition,
    next_poll: Millis,
}

/// Time between two polls of a node in so large a fleet, and of a hub.
const NODE_POLL: Millis = 880;
const HUB_POLL: Millis = 440;

fn fleet() -> Vec<FleetNode> {
    let params = JudgeParams { agreed_within: 1_000, ..PARAMS };
    let node = |number: usize| {
        let mut history = CrashHistory::new(number as u64 + 1);
        history.judge(&without_them(), params, 0);
        let parent = if number <= FLEET_HUBS { 0 } else { 1 + number % FLEET_HUBS };
        let next_poll = (number as Millis * 37) % NODE_POLL;
        FleetNode { history, parent, reported: 0, seen: ChangePosition::default(), next_poll }
    };
    (0..FLEET_NODES).map(node).collect()
}

/// Plays the polls that are due; returns the largest message in reports or states.
fn poll_all(nodes: &mut [FleetNode], now: Millis) -> usize {
    let mut largest = 0;
    for number in (1..nodes.len()).rev() {
        if nodes[number].next_poll > now {
            continue;
        }
        let parent = nodes[number].parent;
        let (reports, next) = nodes[number].history.reports_since(nodes[number].reported, now);
        largest = largest.max(reports.len());
        for report in reports {
            nodes[parent].history.apply_report(report, now);
        }
        let (seen, states) = nodes[parent].history.states_since(nodes[number].seen, now);
        largest = largest.max(states.len());
        for state in &states {
            nodes[number].history.apply_state(state, now);
        }
        (nodes[number].reported, nodes[number].seen) = (next, seen);
        let interval = if parent == 0 { HUB_POLL } else { NODE_POLL };
        nodes[number].next_poll = now + interval;
    }
    largest
}

/// Guards against nodes of a whole fleet that learn too late what others saw, each of them one end, and against a common
/// part that is withheld after four hundred engines of a rack have ended at once.
#[test]
fn nodes_of_a_fleet_agree_on_the_part_and_spare_the_common_one() {
    const CONTACT_OF_FLEET: Millis = 6_000;
    let mut nodes = fleet();
    let rack = |node: usize| (0..8).map(move |n| 1_000 + (node as u64 * 8 + n) % 400);
    for (number, node) in nodes.iter_mut().enumerate() {
        node.history.record_completion(COMMON, 0);
        for engine in rack(number) {
            end(&mut node.history, &request(engine, &[COMMON]), engine, 0);
        }
    }
    // All have had streams with the common part; one in three has one that goes on at an engine elsewhere.
    let goes_on = |number: usize| number.is_multiple_of(3);
    let mut largest = 0;
    let mut refused_common = 0;
    let mut culprit_sends = Vec::new();
    for now in (0..CONTACT_OF_FLEET + 3_000).step_by(20) {
        largest = largest.max(poll_all(&mut nodes, now));
        for (number, node) in nodes.iter_mut().enumerate() {
            if goes_on(number) && now > 100 {
                node.history.record_completion(COMMON, now);
            }
            if now % 260 == 0 {
                let params = JudgeParams { agreed_within: 1_000, ..PARAMS };
                node.history.judge(&without_them(), params, now);
            }
        }
        // A request with the culprit arrives every 200 ms, at one node after the other.
        if now % 200 == 0 {
            let number = (now as usize / 200 * 389) % FLEET_NODES;
            let node = &mut nodes[number];
            refused_common += usize::from(!is_allowed(&mut node.history, COMMON, now));
            if is_allowed(&mut node.history, CULPRIT, now) {
                let engine = 5_000 + now;
                end(&mut node.history, &request(engine, &[COMMON, CULPRIT]), engine, now);
                culprit_sends.push(now);
            }
        }
    }
    let fifth = culprit_sends[4];
    let late = culprit_sends.iter().filter(|at| **at > fifth + CONTACT_OF_FLEET).count();
    assert!(late <= 3, "{culprit_sends:?}");
    assert!(largest <= 256, "messages are bounded");
    assert!(refused_common <= 2, "{refused_common} refused for the common part");
    let end = CONTACT_OF_FLEET + 3_000;
    for (number, node) in nodes.iter_mut().enumerate() {
        assert!(!is_allowed(&mut node.history, CULPRIT, end), "node {number}");
        assert!(is_allowed(&mut node.history, COMMON, end), "node {number}");
    }
}

/// Guards against nodes that differ for good on a part because reports and refutations crossed.
#[test]
fn reports_and_refutations_end_alike_in_whatever_order_they_come() {
    let ended = |engine, age| CrashReport::Ended {
        subject: CULPRIT,
        origin: Origin(1),
        engine: key(engine),
        depth: 1,
        age,
    };
    let refuted = CrashReport::Completed { subject: CULPRIT, age: 500 };
    let reports = [ended(0, 900), ended(1, 600), ended(2, 100), refuted];
    for first in 0..reports.len() {
        let mut history = history();
        for index in 0..reports.len() {
            history.apply_report(reports[(first + index) % reports.len()].clone(), 0);
        }
        assert_eq!(history.ends(CULPRIT), 1, "beginning with {first}");
    }
}

#[test]
fn part_of_many_requests_of_one_caller_is_dropped_before_those_of_others() {
    let mut history = history();
    end(&mut history, &[at(CULPRIT, 1)], 0, 0);
    end(&mut history, &[at(CULPRIT, 1)], 1, 0);
    for id in 0..5_000 {
        let part = at(CrashSubject::Part(10_000 + id), 1);
        history.record_end(part, Origin(2), key(id % 50), 0);
    }
    assert_eq!(history.ends(CULPRIT), 2);
}
