//! Whether second attempts are made where they help, in virtual time.

use std::time::Duration;

use hgw_direct::{
    EngineId, FailedAttempt, FailureCause, Millis, RetryAdvice, RetryOutcomes, ServiceId,
};

const ENGINES: usize = 4;

/// Times between two requests of a node: a busy one, and one of many.
const PAUSES: [Millis; 2] = [300, 2_000];

const TIME_LEFT: Duration = Duration::from_secs(1);

/// A sequence of numbers in `0..1` that is the same in each run.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// What fails.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// Share of the requests that fail at every engine.
    requests: f64,
    /// Share of all requests that the first engine fails.
    first_engine: f64,
}

/// How many failures there were, and after how many a second attempt was made, and succeeded.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    failures: u32,
    retried: u32,
    succeeded: u32,
}

impl Tally {
    fn retried_share(&self) -> f64 {
        f64::from(self.retried) / f64::from(self.failures.max(1))
    }
}

/// A node with one route to a service.
struct Node {
    outcomes: RetryOutcomes,
    random: Random,
    now: Millis,
    pause: Millis,
    service: ServiceId,
}

impl Node {
    fn new(seed: u64, pause: Millis) -> Node {
        let service = ServiceId("desk".into());
        Node { outcomes: RetryOutcomes::default(), random: Random(seed), now: 0, pause, service }
    }

    fn engine(at: usize) -> EngineId {
        EngineId(format!("i-{at}"))
    }

    fn advice(&mut self, at: usize, time_left: Duration) -> RetryAdvice {
        let random = self.random.next();
        let failed = FailedAttempt {
            route: "look",
            service: &self.service,
            engine: &Node::engine(at),
            time_left,
            random,
        };
        self.outcomes.advise(self.now, &failed)
    }

    fn attempt(&mut self, at: usize, is_bad: bool, faults: Faults) -> bool {
        let fails = is_bad || (at == 0 && self.random.next() < faults.first_engine);
        self.outcomes.record_response(self.now, &self.service, &Node::engine(at), fails);
        fails
    }

    /// Sends so many requests; returns what became of failures of the first engine, and of the others.
    fn send(&mut self, requests: u32, faults: Faults) -> [Tally; 2] {
        let mut tallies = [Tally::default(); 2];
        for _ in 0..requests {
            self.now += self.pause;
            let is_bad = self.random.next() < faults.requests;
            let at = (self.random.next() * ENGINES as f64) as usize;
            if !self.attempt(at, is_bad, faults) {
                continue;
            }
            let tally = &mut tallies[usize::from(at != 0)];
            tally.failures += 1;
            if let RetryAdvice::Retry(cause) = self.advice(at, TIME_LEFT) {
                let fails = self.attempt((at + 1) % ENGINES, is_bad, faults);
                self.outcomes.record_second_attempt(self.now, "look", cause, fails);
                tally.retried += 1;
                tally.succeeded += u32::from(!fails);
            }
        }
        tallies
    }
}

fn sum([first, others]: [Tally; 2]) -> Tally {
    Tally {
        failures: first.failures + others.failures,
        retried: first.retried + others.retried,
        succeeded: first.succeeded + others.succeeded,
    }
}

/// Seeds with times between two requests.
fn cases() -> impl Iterator<Item = (u64, Millis)> {
    (0..20).flat_map(|seed| PAUSES.map(|pause| (seed, pause)))
}

/// Guards against a node that knows nothing and gives up on requests that another engine serves.
#[test]
fn node_that_knows_nothing_makes_second_attempts() {
    let mut node = Node::new(1, PAUSES[0]);
    assert_eq!(node.advice(0, TIME_LEFT), RetryAdvice::Retry(FailureCause::Unknown));
    assert_eq!(node.advice(0, Duration::from_millis(1)), RetryAdvice::Retry(FailureCause::Unknown));
}

/// Guards against second attempts for requests that fail at every engine.
#[test]
fn requests_that_fail_everywhere_are_not_sent_again() {
    for (seed, pause) in cases() {
        let mut node = Node::new(seed, pause);
        let faults = Faults { requests: 0.14, first_engine: 0.0 };
        let all = sum(node.send(2_000, faults));
        assert!(all.failures > 200 && all.succeeded == 0, "{all:?}");
        assert!(all.retried_share() < 0.25, "seed {seed}, pause {pause}: {all:?}");
    }
}

/// Guards against failures of an engine that are passed on although others would serve the requests.
#[test]
fn requests_that_one_engine_fails_are_sent_again() {
    for (seed, pause) in cases() {
        let mut node = Node::new(seed, pause);
        let all = sum(node.send(2_000, Faults { requests: 0.0, first_engine: 0.5 }));
        assert!(all.failures > 150, "{all:?}");
        assert_eq!(
            (all.retried, all.succeeded),
            (all.failures, all.failures),
            "seed {seed}, pause {pause}"
        );
    }
}

/// Guards against a failing engine whose requests are given up as others fail everywhere, and the other way round.
#[test]
fn failing_engine_is_told_from_failing_requests() {
    for (seed, pause) in cases() {
        let mut node = Node::new(seed, pause);
        let faults = Faults { requests: 0.14, first_engine: 0.5 };
        node.send(200, faults);
        let [first, others] = node.send(2_000, faults);
        assert!(
            first.retried_share() > 0.85,
            "seed {seed}, pause {pause}: {first:?}, others {others:?}"
        );
        assert!(
            others.retried_share() < 0.35,
            "seed {seed}, pause {pause}: {others:?}, first {first:?}"
        );
    }
}

/// Guards against a node that stays with what it learned when requests no longer fail everywhere.
#[test]
fn change_is_noticed() {
    for (seed, pause) in cases() {
        let mut node = Node::new(seed, pause);
        node.send(2_000, Faults { requests: 0.14, first_engine: 0.0 });
        let faults = Faults { requests: 0.0, first_engine: 0.5 };
        node.send(300, faults);
        let all = sum(node.send(500, faults));
        assert!(all.retried_share() > 0.95, "seed {seed}, pause {pause}: {all:?}");
    }
}

/// Guards against second attempts that cannot end before the caller has left.
#[test]
fn attempt_that_would_end_too_late_is_not_made() {
    let mut node = Node::new(1, PAUSES[0]);
    (0..20).for_each(|_| node.outcomes.record_duration("look", Duration::from_millis(100)));
    assert_eq!(node.advice(0, Duration::from_millis(90)), RetryAdvice::TooLate);
    assert_eq!(
        node.advice(0, Duration::from_millis(110)),
        RetryAdvice::Retry(FailureCause::Unknown)
    );
    (0..200).for_each(|_| node.outcomes.record_duration("look", Duration::from_millis(20)));
    assert!(node.outcomes.has_time("look", Duration::from_millis(90)));
    assert!(node.outcomes.has_time("other", Duration::from_millis(1)));
}
