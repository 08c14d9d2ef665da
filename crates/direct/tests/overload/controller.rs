//! What the leader decides.

use std::time::Duration;

use hgw_direct::overload::{
    ArrivalCount, CompletionCount, CustomerKey, OverloadController, ServiceAdmission,
    ServiceReport, ServiceState, Share,
};

use crate::support::service;

/// Arrivals in each tenth of a second, by priority and customer: first attempts and others.
type Arrivals = [(u8, u32, u32, u32)];

fn state(engines: u32, in_flight: f64) -> ServiceState {
    ServiceState {
        service: service(),
        engines,
        slots: engines * 6,
        in_flight,
        objective: Duration::from_millis(150),
    }
}

/// Reports arrivals for some seconds at engines that take 30 ms for a call, and decides.
fn decide(arrivals: &Arrivals, state: &ServiceState) -> Option<ServiceAdmission> {
    let mut controller = OverloadController::default();
    let rows = arrivals.iter().map(|(priority, customer, first, retried)| {
        ArrivalCount(*priority, CustomerKey(*customer), *first, *retried)
    });
    let report = ServiceReport {
        service: service(),
        arrivals: rows.collect(),
        completions: CompletionCount::default(),
    };
    let idle = CompletionCount { idle: 30, idle_ms: 900, busy: 0 };
    let busy = CompletionCount { busy: state.slots * 10 / 3, ..CompletionCount::default() };
    let mut table = Vec::new();
    // The engines fill up only after the time of a call is known.
    let learned = ServiceState { in_flight: 9.0, ..state.clone() };
    for now in (10_000..16_000).step_by(100) {
        let (state, completions) = if now < 13_000 { (&learned, idle) } else { (state, busy) };
        controller.record(&ServiceReport { completions, ..report.clone() }, now);
        table = controller.decide(std::slice::from_ref(state), now);
    }
    table.pop()
}

/// Guards against refusals while the engines complete what arrives, and by a mistaken estimate while they
/// are not full.
#[test]
fn nothing_is_published_without_overload() {
    assert_eq!(decide(&[(1, 1, 30, 0)], &state(3, 30.0)), None);
    assert_eq!(decide(&[(1, 1, 90, 0)], &state(3, 12.0)), None);
}

/// Guards against a customer that takes what belongs to others, and against refusing those that were
/// refused before.
#[test]
fn customer_with_the_most_requests_is_limited_and_its_retries_come_first() {
    let arrivals = [(1, 1, 10, 0), (1, 2, 10, 0), (1, 3, 60, 10)];
    let admission = decide(&arrivals, &state(3, 40.0)).unwrap();
    assert_eq!((admission.priority, admission.unlisted), (1, Share::ALL));
    let [(customer, Share(first, retried))] = admission.listed[..] else { panic!("{admission:?}") };
    assert_eq!((customer, retried), (CustomerKey(3), 100));
    assert!((20..80).contains(&first), "{first}");
}

/// Guards against less urgent requests that are admitted while more urgent ones are refused.
#[test]
fn less_urgent_classes_are_refused_first() {
    let arrivals = [(0, 1, 20, 0), (2, 1, 40, 0), (2, 2, 40, 0), (5, 1, 40, 0)];
    let admission = decide(&arrivals, &state(3, 40.0)).unwrap();
    assert_eq!(admission.priority, 2);
    let shares: Vec<u8> = admission.listed.iter().map(|(_, share)| share.0).collect();
    assert_eq!(shares.len(), 2);
    assert!(shares.iter().all(|share| (5..60).contains(share)), "{shares:?}");
}

/// Guards against a lost engine that counts until its responses are missed.
#[test]
fn lost_engine_counts_at_once() {
    let arrivals = [(1, 1, 20, 0), (1, 2, 20, 0)];
    let with_all = decide(&arrivals, &state(3, 40.0));
    let with_two = decide(&arrivals, &state(2, 40.0)).unwrap();
    assert_eq!(with_all, None);
    assert_eq!(with_two.listed.len(), 2);
}

/// Guards against many customers that are admitted in full as only some are listed.
#[test]
fn customers_that_are_not_listed_share_what_is_left() {
    let arrivals: Vec<_> = (1..=40).map(|customer| (1, customer, 3, 0)).collect();
    let admission = decide(&arrivals, &state(3, 40.0)).unwrap();
    assert_eq!(admission.listed.len(), 16);
    assert!((20..80).contains(&admission.unlisted.0), "{:?}", admission.unlisted);
}
