//! Requests under which engines end, at one node and over several that tell each other.

mod support;

use hgw_direct::in_flight::EngineKey;
use hgw_direct::{
    BlockedSubject, ChangePosition, CrashHistory, CrashReport, CrashSubject, CustomerId,
    DigestedParts, ENDS_TO_STOP_RETRIES, EngineId, Engines, JudgeParams, Millis, Origin,
    RankedSubject, RequestDigest, SendPermission, StartTime, Verdict,
};
use proptest::collection::vec;
use proptest::prelude::*;
use support::engines;

const HEARTBEAT_MS: Millis = 1_000;
const PARAMS: JudgeParams = JudgeParams {
    listed_for: 5 * HEARTBEAT_MS,
    list_is_fresh: true,
    agreed_within: 100,
    forget_after: 900_000,
};

const PARTS: DigestedParts<'_> = DigestedParts {
    method: "POST",
    host: "desk.example",
    target: "/ask/?a=1",
    customer: None,
    body: b"body",
};

fn request(number: usize) -> CrashSubject {
    RequestDigest::of(&DigestedParts { target: &format!("/{number}"), ..PARTS }).into()
}

fn ranked(number: usize) -> RankedSubject {
    RankedSubject { subject: request(number), depth: u16::MAX }
}

fn blocked_by(origin: u64) -> BlockedSubject {
    BlockedSubject { origin: Origin(origin), ..BlockedSubject::default() }
}

fn key(engine: usize) -> EngineKey {
    EngineKey::of(&EngineId(format!("e{engine}")), StartTime::default())
}

/// A list without any of the engines that have ended.
fn without_them() -> Engines {
    engines(&[("other", "a", &["m"])])
}

/// A history in which so many engines have ended under a request, at time 0.
fn after_ends(ends: usize) -> CrashHistory {
    let mut history = CrashHistory::new(1);
    for engine in 0..ends {
        assert!(history.record_end(ranked(0), Origin(1), key(engine), 0));
    }
    history
}

#[test]
fn third_end_suspends_at_once_and_blocks_once_it_is_confirmed() {
    let mut history = after_ends(2);
    assert_eq!(history.permission(request(0), 0), SendPermission::Allowed);
    assert!(!history.record_end(ranked(0), Origin(1), key(1), 0), "the same engine again");
    history.record_end(ranked(0), Origin(1), key(2), 100);
    assert_eq!(history.judge(&without_them(), PARAMS, 300), [], "others may not have it yet");
    assert_eq!(history.permission(request(0), 300), SendPermission::Suspended(4_800));
    let blocked = history.judge(&without_them(), PARAMS, 600);
    assert_eq!(blocked, [(request(0), vec![key(0), key(1), key(2)])]);
    assert_eq!(history.permission(request(0), 1_000_000), SendPermission::Blocked);
    assert_eq!(history.permission(request(1), 600), SendPermission::Allowed);
}

/// Guards against convicting requests whose connections were cut: their engines stay in the list.
#[test]
fn engines_that_stay_listed_have_not_ended() {
    let listed = engines(&[("e0", "a", &["m"]), ("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let mut history = after_ends(3);
    assert_eq!(history.judge(&listed, PARAMS, 4_900), []);
    assert_ne!(history.permission(request(0), 4_900), SendPermission::Allowed);
    let outdated = JudgeParams { list_is_fresh: false, ..PARAMS };
    assert_eq!(history.judge(&without_them(), outdated, 90_000), [], "the list may be wrong");
    assert_eq!(history.judge(&listed, PARAMS, 90_000), []);
    assert_eq!(history.permission(request(0), 90_000), SendPermission::Allowed);
    assert_eq!(history.ends(request(0)), 0);
}

/// Guards against refusing common requests: they are under way wherever an engine ends.
#[test]
fn request_that_was_answered_is_never_suspected() {
    let mut history = after_ends(3);
    history.judge(&without_them(), PARAMS, 600);
    history.record_completion(request(0), 0);
    assert_eq!(history.permission(request(0), 600), SendPermission::Allowed);
    assert!(!history.record_end(ranked(0), Origin(1), key(7), 700));
    history.block(request(0), blocked_by(1), 0);
    assert_eq!(history.permission(request(0), 700), SendPermission::Allowed);
}

/// Guards against one caller whose many requests, each of which ends one engine, make nodes forget
/// those of others.
#[test]
fn many_requests_of_one_caller_do_not_replace_those_of_others() {
    let mut history = after_ends(2);
    for number in 1..5_000 {
        history.record_end(ranked(number), Origin(2), key(number % 50), 0);
    }
    assert_eq!(history.ends(request(0)), 2);
    let suspects = (1..5_000).filter(|number| history.ends(request(*number)) > 0).count();
    assert_eq!(suspects, 4_095, "memory is bounded");
    assert!(history.reports_since(0, 0).0.len() <= 256, "messages are bounded");
    for number in 0..2_000 {
        history.block(request(20_000 + number), blocked_by(2), 0);
    }
    history.block(request(1), blocked_by(3), 0);
    history.block(request(30_000), blocked_by(2), 0);
    assert_eq!(history.blocked().count(), 1_000);
    assert!(history.is_blocked(request(1)), "the oldest of the caller with most is dropped");
}

/// A request that is no longer remembered must not be told as acquitted.
#[test]
fn forgotten_requests_are_told_as_nothing() {
    let mut history = CrashHistory::new(1);
    for number in 0..1_500 {
        history.block(request(number), blocked_by(2), 0);
    }
    let mut position = ChangePosition::default();
    let mut told = Vec::new();
    while !history.is_up_to_date(position) {
        let (next, states) = history.states_since(position, 0);
        assert!(states.len() <= 256);
        told.extend(states);
        position = next;
    }
    assert_eq!(told.len(), 1_000);
    assert!(told.iter().all(|state| state.verdict == Verdict::Blocked));
}

#[test]
fn reports_are_read_from_where_the_last_reader_ended() {
    let mut history = after_ends(2);
    let (reports, next) = history.reports_since(0, 0);
    assert_eq!(reports.len(), 2);
    history.record_completion(request(0), 0);
    let (reports, next) = history.reports_since(next, 0);
    assert_eq!(reports, [CrashReport::Completed { subject: request(0), age: 0 }]);
    assert_eq!(history.reports_since(next, 0), (Vec::new(), next));
    let (reports, _) = history.reports_since(0, 0);
    assert_eq!(
        reports,
        [CrashReport::Completed { subject: request(0), age: 0 }],
        "the ends are refuted"
    );
}

#[test]
fn digest_covers_what_makes_requests_the_same() {
    let digest = RequestDigest::of(&PARTS);
    let customer = CustomerId::from("c");
    let others = [
        DigestedParts { method: "PUT", ..PARTS },
        DigestedParts { host: "other.example", ..PARTS },
        DigestedParts { target: "/ask/?a=2", ..PARTS },
        DigestedParts { customer: Some(&customer), ..PARTS },
        DigestedParts { body: b"another", ..PARTS },
        DigestedParts { host: "desk.exampl", target: "e/ask/?a=1", ..PARTS },
    ];
    for other in others {
        assert_ne!(RequestDigest::of(&other), digest, "{other:?}");
    }
    let text = digest.to_string();
    assert_eq!(text.parse(), Ok(digest));
    assert_eq!(serde_json::to_string(&digest).unwrap(), format!("\"{text}\""));
    for bad in ["", "12", &"g".repeat(32), &"ä".repeat(16)] {
        assert!(bad.parse::<RequestDigest>().is_err(), "{bad}");
    }
}

const NODES: usize = 5;

/// A node of a tree: leaves poll a hub, hubs poll the leader, which is node 0.
#[derive(Debug)]
struct TestNode {
    history: CrashHistory,
    /// Polls reach this node.
    parent: usize,
    reported: u64,
    seen: ChangePosition,
}

fn tree() -> Vec<TestNode> {
    let parents = [0, 0, 0, 1, 2];
    let node = |(number, parent): (usize, usize)| TestNode {
        history: CrashHistory::new(number as u64 + 1),
        parent,
        reported: 0,
        seen: ChangePosition::default(),
    };
    parents.into_iter().enumerate().map(node).collect()
}

/// Plays one poll; a lost one may still reach the parent.
fn poll(nodes: &mut [TestNode], node: usize, response_is_lost: bool, now: Millis) {
    let parent = nodes[node].parent;
    let (reports, next) = nodes[node].history.reports_since(nodes[node].reported, now);
    for report in reports {
        nodes[parent].history.apply_report(report, now);
    }
    let (seen, states) = nodes[parent].history.states_since(nodes[node].seen, now);
    if response_is_lost {
        return;
    }
    for state in &states {
        nodes[node].history.apply_state(state, now);
    }
    (nodes[node].reported, nodes[node].seen) = (next, seen);
}

#[derive(Debug, Clone)]
enum Op {
    End { node: usize, engine: usize },
    Complete { node: usize },
    Poll { node: usize, response_is_lost: bool },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..NODES, 0..6_usize).prop_map(|(node, engine)| Op::End { node, engine }),
        1 => (0..NODES).prop_map(|node| Op::Complete { node }),
        8 => (1..NODES, any::<bool>())
            .prop_map(|(node, response_is_lost)| Op::Poll { node, response_is_lost }),
    ]
}

proptest! {
    /// Guards against a node that goes on sending a request which others know to crash engines, or
    /// refusing one that another has seen answered, in whatever order they hear of each other.
    #[test]
    fn all_nodes_come_to_the_same_verdict(ops in vec(op(), 1..60)) {
        let mut nodes = tree();
        let mut engines_ended = std::collections::BTreeSet::new();
        let mut is_completed = false;
        for op in ops {
            match op {
                Op::End { node, engine } => {
                    nodes[node].history.record_end(ranked(0), Origin(1), key(engine), 0);
                    engines_ended.insert(engine);
                }
                Op::Complete { node } => {
                    nodes[node].history.record_completion(request(0), 0);
                    is_completed = true;
                }
                Op::Poll { node, response_is_lost } => poll(&mut nodes, node, response_is_lost, 0),
            }
        }
        for _ in 0..6 {
            for node in (1..NODES).rev() {
                poll(&mut nodes, node, false, 0);
            }
        }
        for node in &mut nodes {
            node.history.judge(&without_them(), PARAMS, 600);
        }
        for (number, node) in nodes.iter_mut().enumerate() {
            let permission = node.history.permission(request(0), 600);
            if !is_completed {
                let is_blocked = permission == SendPermission::Blocked;
                prop_assert_eq!(is_blocked, engines_ended.len() >= 3, "node {}", number);
            } else if engines_ended.is_empty() {
                prop_assert_eq!(permission, SendPermission::Allowed);
            }
            if !is_completed && engines_ended.len() >= ENDS_TO_STOP_RETRIES {
                prop_assert!(node.history.ends(request(0)) >= ENDS_TO_STOP_RETRIES);
            }
        }
        // A request that was answered is allowed everywhere once all have heard of it.
        let leader = nodes[0].history.permission(request(0), 600);
        for node in &mut nodes {
            prop_assert_eq!(node.history.permission(request(0), 600), leader);
        }
    }
}
