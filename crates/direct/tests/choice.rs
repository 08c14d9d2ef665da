//! The choice of an engine for a request.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use hgw_direct::in_flight::InFlightLoad;
use hgw_direct::{
    AttemptOutcome, Choice, ChoiceParams, CostWeights, Cursor, EngineId, Engines, Load, Millis,
    NoEngine, Prompt, PromptPart, SendId, VersionRule, choose_engine, is_isolated,
};
use support::{engine_info, engines, model_ref, service};

fn prompt(want: &str, session: u64) -> Prompt {
    Prompt {
        model_ref: Some(model_ref(want)),
        prompt_tokens: 500,
        max_output_tokens: 100,
        length_hint: None,
        parts: vec![PromptPart { id: 1, tokens: 200 }, PromptPart { id: session, tokens: 300 }],
    }
}

fn chosen(engines: &Engines, want: &str, tried: &[EngineId]) -> Result<Choice, NoEngine> {
    chosen_at(engines, want, tried, false, 1_000)
}

fn chosen_at(
    engines: &Engines,
    want: &str,
    tried: &[EngineId],
    has_precedence: bool,
    now: Millis,
) -> Result<Choice, NoEngine> {
    let (service, prompt) = (service(), prompt(want, 7));
    let params = ChoiceParams {
        service: &service,
        versions: VersionRule::Any,
        prompt: Some(&prompt),
        domain: "a",
        excluded: tried,
        nodes: 1,
        max_conns: 100,
        has_precedence,
        max_event_gap: None,
        speed_needs: None,
        can_wait: false,
        memory: None,
        random: 0.0,
        subset: None,
        weights: CostWeights::default(),
    };
    choose_engine(engines, &params, now)
}

fn engine_id(choice: Result<Choice, NoEngine>) -> String {
    choice.unwrap().engine.0
}

#[test]
fn holder_of_the_adapter_is_chosen() {
    let engines = engines(&[("e1", "a", &["m"]), ("e2", "b", &["m/x"]), ("e3", "a", &["m/y"])]);
    assert_eq!(engine_id(chosen(&engines, "m/x", &[])), "e2");
}

#[test]
fn request_for_an_adapter_loaded_nowhere_is_not_sent() {
    let engines = engines(&[("e1", "a", &["m"])]);
    assert_matches!(chosen(&engines, "m/x", &[]), Err(NoEngine::NotLoaded(_)));
}

#[test]
fn no_engine_differs_from_no_model() {
    assert_eq!(chosen(&engines(&[]), "m", &[]), Err(NoEngine::NoneAvailable));
}

#[test]
fn engine_that_leaves_gets_nothing() {
    let mut engines = engines(&[("e1", "a", &["m"])]);
    let mut leaving = engine_info("e1", "a", &["m"]);
    leaving.state = hgw_direct::EngineState::Leaving { terminates_at: None };
    engines.upsert(leaving);
    assert_eq!(chosen(&engines, "m", &[]), Err(NoEngine::NoneAvailable));
}

#[test]
fn engine_that_was_tried_is_passed_over() {
    let engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let first = chosen(&engines, "m", &[]).unwrap().engine;
    let second = chosen(&engines, "m", std::slice::from_ref(&first)).unwrap().engine;
    assert_ne!(first, second);
}

#[test]
fn own_domain_goes_before_a_little_load_elsewhere() {
    let engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"]), ("e3", "b", &["m"])]);
    assert_ne!(engine_id(chosen(&engines, "m", &[])), "e3");
}

#[test]
fn reported_load_counts_with_requests_sent_since() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let busy = engines.get_mut(&"e1".into()).unwrap();
    busy.reported_load =
        Some((Load { running: 60, waiting: 0, slots: 64, ..Load::default() }, 900, 5));
    busy.own_requests = 12;
    assert_eq!(busy.estimate(1_000), 67.0);
    assert_eq!(engine_id(chosen(&engines, "m", &[])), "e2");
}

#[test]
fn old_load_report_is_ignored() {
    let mut engines = engines(&[("e1", "a", &["m"])]);
    let engine = engines.get_mut(&"e1".into()).unwrap();
    engine.reported_load =
        Some((Load { running: 60, waiting: 9, slots: 64, ..Load::default() }, 0, 0));
    assert_eq!(engine.estimate(10_000), 0.0);
}

/// Guards against sending most requests to an engine that fails quickly and so looks idle.
#[test]
fn failing_engine_is_avoided_though_it_is_idle() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    engines.get_mut(&"e2".into()).unwrap().own_requests = 30;
    for _ in 0..4 {
        engines.get_mut(&"e1".into()).unwrap().health.record(900, AttemptOutcome::Failed);
    }
    assert_eq!(engine_id(chosen(&engines, "m", &[])), "e2");
    engines.get_mut(&"e1".into()).unwrap().health.record(1_000, AttemptOutcome::Success);
    let judge = engines.get(&"e1".into()).unwrap().health.clone();
    assert!(judge.failure_rate(60_000) < 0.01, "{}", judge.failure_rate(60_000));
}

#[test]
fn engine_that_cannot_be_reached_is_the_last_resort() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "b", &["m"])]);
    engines.get_mut(&"e1".into()).unwrap().health.record(990, AttemptOutcome::Unreachable);
    assert_eq!(engine_id(chosen(&engines, "m", &[])), "e2");
    assert_eq!(engine_id(chosen(&engines, "m", &["e2".into()])), "e1");
}

#[test]
fn full_engines_ask_callers_to_come_back() {
    let mut engines = engines(&[("e1", "a", &["m"])]);
    engines.get_mut(&"e1".into()).unwrap().own_requests = 128;
    assert_matches!(chosen(&engines, "m", &[]), Err(NoEngine::Full(wait)) if !wait.is_zero());
}

/// Guards against callers that stay at an isolated node, and against nodes that all report not
/// ready during a store outage.
#[test]
fn node_that_reaches_neither_store_nor_other_domains_is_cut_off() {
    let mut engines =
        engines(&[("e1", "a", &["m"]), ("e2", "b", &[]), ("e3", "c", &[]), ("e4", "d", &[])]);
    assert!(!is_isolated(5_000, &engines, "a", 5_000));
    for id in ["e2", "e3", "e4"] {
        engines.get_mut(&id.into()).unwrap().health.record(5_000, AttemptOutcome::Unreachable);
    }
    assert!(is_isolated(2_000, &engines, "a", 5_100));
    assert!(!is_isolated(100, &engines, "a", 5_100));
    engines.get_mut(&"e2".into()).unwrap().health.record(5_200, AttemptOutcome::Success);
    assert!(!is_isolated(2_000, &engines, "a", 5_300));
}

/// Guards against nodes that all choose the same engine among idle ones.
#[test]
fn idle_engines_that_cost_the_same_share_the_requests() {
    let engines = engines(&[("e1", "a", &[]), ("e2", "a", &[]), ("e3", "a", &[])]);
    let service = service();
    let mut counts = indexmap::IndexMap::new();
    for draw in 0..300 {
        let params = ChoiceParams {
            service: &service,
            versions: VersionRule::Any,
            prompt: None,
            domain: "a",
            excluded: &[],
            nodes: 6,
            max_conns: 100,
            has_precedence: false,
            max_event_gap: None,
            speed_needs: None,
            can_wait: false,
            memory: None,
            random: f64::from(draw) / 300.0,
            subset: None,
            weights: CostWeights::default(),
        };
        *counts.entry(engine_id(choose_engine(&engines, &params, 1_000))).or_insert(0) += 1;
    }
    assert!(counts.len() == 3 && counts.values().all(|n| (70..130).contains(n)), "{counts:?}");
}

/// Guards against sending all long prompts to one engine because it runs few requests.
#[test]
fn prefill_backlog_counts_more_than_requests() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let reading = engines.get_mut(&"e1".into()).unwrap();
    reading.own_requests = 4;
    for request in ["r1", "r2", "r3", "r4"] {
        reading.prefill_backlog.add_own(SendId::of(request), 1_500, 950);
    }
    engines.get_mut(&"e2".into()).unwrap().own_requests = 20;
    assert_eq!(engine_id(chosen(&engines, "m", &[])), "e2");
    let reading = engines.get_mut(&"e1".into()).unwrap();
    for request in ["r1", "r2", "r3", "r4"] {
        assert!(reading.prefill_backlog.finish(SendId::of(request), 990).is_some());
    }
    assert_eq!(engine_id(chosen(&engines, "m", &[])), "e1");
}

/// Two engines have the same prefill backlog; one needs three times as long for it.
#[test]
fn engine_with_slow_prefill_is_avoided() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    for (id, took) in [("e1", 180), ("e2", 60)] {
        let engine = engines.get_mut(&id.into()).unwrap();
        for _ in 0..8 {
            engine.prefill_rate.record(1_500, took);
        }
        engine.prefill_backlog.add_own(SendId::of("r"), 1_500, 980);
    }
    assert_eq!(engine_id(chosen(&engines, "m", &[])), "e2");
}

/// Gives an engine streams that one more prompt would delay beyond the gap target.
fn add_slow_streams(engines: &mut Engines, id: &str) {
    let engine = engines.get_mut(&id.into()).unwrap();
    engine.own_requests = 12;
    engine.event_interval_ms = 30.0;
    for request in ["r1", "r2", "r3"] {
        engine.prefill_backlog.add_own(SendId::of(request), 1_500, 980);
    }
}

fn choose_within_gap(engines: &Engines, waits: bool) -> Result<Choice, NoEngine> {
    let (service, prompt) = (service(), prompt("m", 7));
    let params = ChoiceParams {
        service: &service,
        versions: VersionRule::Any,
        prompt: Some(&prompt),
        domain: "a",
        excluded: &[],
        nodes: 1,
        max_conns: 100,
        has_precedence: false,
        max_event_gap: Some(Duration::from_millis(200)),
        speed_needs: None,
        can_wait: waits,
        memory: None,
        random: 0.0,
        subset: None,
        weights: CostWeights::default(),
    };
    choose_engine(engines, &params, 1_000)
}

/// Guards against a burst of prompts that delays the streams of all engines. A request that cannot
/// wait is sent.
#[test]
fn prompt_waits_where_it_would_pause_streams_for_too_long() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    add_slow_streams(&mut engines, "e1");
    assert_eq!(engine_id(choose_within_gap(&engines, true)), "e2");
    add_slow_streams(&mut engines, "e2");
    assert_eq!(choose_within_gap(&engines, true), Err(NoEngine::PrefillBusy));
    assert!(choose_within_gap(&engines, false).is_ok());
    let engine = engines.get_mut(&"e2".into()).unwrap();
    for request in ["r1", "r2"] {
        engine.prefill_backlog.finish(SendId::of(request), 1_000);
    }
    assert_eq!(engine_id(choose_within_gap(&engines, true)), "e2");
}

/// Guards against an endless wait of a prompt whose own prefill exceeds the gap target.
#[test]
fn prompt_that_is_too_long_by_itself_does_not_wait_for_ever() {
    let mut engines = engines(&[("e1", "a", &["m"])]);
    let engine = engines.get_mut(&"e1".into()).unwrap();
    (engine.own_requests, engine.event_interval_ms) = (12, 250.0);
    assert_eq!(engine_id(choose_within_gap(&engines, true)), "e1");
}

/// An engine without streams has none to delay.
#[test]
fn engine_that_runs_nothing_takes_prompts() {
    let mut engines = engines(&[("e1", "a", &["m"])]);
    add_slow_streams(&mut engines, "e1");
    engines.get_mut(&"e1".into()).unwrap().own_requests = 3;
    assert_eq!(engine_id(choose_within_gap(&engines, true)), "e1");
}

/// Guards against sending to an ejected engine because it has no known prefill backlog.
#[test]
fn unreachable_engine_does_not_avoid_a_wait() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    add_slow_streams(&mut engines, "e1");
    engines.get_mut(&"e2".into()).unwrap().health.record(990, AttemptOutcome::Unreachable);
    assert_eq!(choose_within_gap(&engines, true), Err(NoEngine::PrefillBusy));
    assert_eq!(engine_id(choose_within_gap(&engines, false)), "e1");
}

/// Guards against skipping the only idle engine when requests consider some engines only.
#[test]
fn idle_one_of_two_copies_is_not_passed_over() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    for (id, requests) in [("e1", 20), ("e2", 0)] {
        let flight = InFlightLoad { requests, ..InFlightLoad::default() };
        engines.get_mut(&id.into()).unwrap().in_flight_elsewhere = Some(flight);
    }
    let (service, prompt) = (service(), prompt("m", 7));
    for draw in 0..100 {
        let params = ChoiceParams {
            service: &service,
            versions: VersionRule::Any,
            prompt: Some(&prompt),
            domain: "a",
            excluded: &[],
            nodes: 200,
            max_conns: 100,
            has_precedence: false,
            max_event_gap: None,
            speed_needs: None,
            can_wait: false,
            memory: None,
            random: f64::from(draw) / 100.0,
            subset: None,
            weights: CostWeights::default(),
        };
        assert_eq!(engine_id(choose_engine(&engines, &params, 1_000)), "e2");
    }
}

/// Guards against refusing urgent requests because less urgent ones fill the queue.
#[test]
fn urgent_request_goes_where_less_urgent_ones_wait() {
    let mut engines = engines(&[("e1", "a", &["m"])]);
    let flight = InFlightLoad { requests: 130, ..InFlightLoad::default() };
    engines.get_mut(&"e1".into()).unwrap().in_flight_elsewhere = Some(flight);
    let (service, prompt) = (service(), prompt("m", 7));
    for goes_first in [true, false] {
        let params = ChoiceParams {
            service: &service,
            versions: VersionRule::Any,
            prompt: Some(&prompt),
            domain: "a",
            excluded: &[],
            nodes: 6,
            max_conns: 100,
            has_precedence: goes_first,
            max_event_gap: None,
            speed_needs: None,
            can_wait: false,
            memory: None,
            random: 0.5,
            subset: None,
            weights: CostWeights::default(),
        };
        let choice = choose_engine(&engines, &params, 1_000);
        assert_eq!(choice.is_ok(), goes_first, "{choice:?}");
    }
}

/// Guards against refusals while nodes count the same requests more than once.
#[test]
fn engines_that_report_free_slots_are_not_full() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "b", &["m"])]);
    for engine in engines.iter_mut() {
        let slots = engine.info.slots;
        engine.in_flight_elsewhere =
            Some(InFlightLoad { requests: 20 * slots, prompts: 0, tokens: 0, held: 0 });
        engine.record_peer_load(
            Load { running: slots / 2, waiting: 0, slots, ..Load::default() },
            900,
        );
    }
    assert_matches!(chosen(&engines, "m", &[]), Ok(_));
    // The engines themselves report that they are full.
    for engine in engines.iter_mut() {
        let slots = engine.info.slots;
        engine.record_peer_load(
            Load { running: slots, waiting: 19 * slots, slots, ..Load::default() },
            950,
        );
    }
    assert_matches!(chosen(&engines, "m", &[]), Err(NoEngine::Full(_)));
}

fn limited(per_second: f64, until: u64) -> Engines {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let engine = engines.get_mut(&"e1".into()).unwrap();
    engine.rate_limit = Some(per_second.try_into().unwrap());
    engine.at_limit_until = until;
    engines
}

/// Guards against requests that wait for an engine at its limit while another one is idle, and against an
/// engine that is left alone once it may be sent requests again.
#[test]
fn engine_at_its_limit_is_passed_over_for_a_while() {
    let at_limit = limited(2.0, 1_300);
    assert_eq!(engine_id(chosen(&at_limit, "m", &[])), "e2");
    let full = Err(NoEngine::Full(Duration::from_millis(250)));
    assert_eq!(chosen(&at_limit, "m", &["e2".into()]), full);
    let open = limited(2.0, 800);
    assert_eq!(engine_id(chosen(&open, "m", &["e2".into()])), "e1");
}

/// Guards against a refusal that names another time than that of the next allowance.
#[test]
fn refusal_names_the_time_until_the_engine_takes_a_request() {
    let mut engines = limited(2.0, 1_100);
    engines.remove(&"e2".into(), Cursor::default());
    // Allowances right after that are for requests with precedence.
    let wait = Duration::from_millis(100 + 150);
    assert_eq!(chosen(&engines, "m", &[]), Err(NoEngine::AtLimit(wait)));
}

/// Requests that nodes get to an engine which all of them fill up, when `crowded` of `nodes` have callers and each knows
/// what the others have there.
fn filled_by(crowded: u32, nodes: u32, max_conns: u32) -> Vec<u32> {
    let mut own = vec![0_u32; crowded as usize];
    loop {
        let mut has_grown = false;
        for index in 0..own.len() {
            let mut engines = engines(&[("e1", "a", &["m"])]);
            let engine = engines.get_mut(&"e1".into()).unwrap();
            engine.own_requests = own[index];
            let others = own.iter().sum::<u32>() - own[index];
            engine.in_flight_elsewhere =
                Some(InFlightLoad { requests: others, ..InFlightLoad::default() });
            if own[index] < engine.request_share(max_conns, nodes, 1_000) {
                own[index] += 1;
                has_grown = true;
            }
        }
        if !has_grown {
            return own;
        }
    }
}

/// Guards against callers that are refused as full because most of them come to one node, which had an equal
/// share of the connections to each engine; and against more than the engine takes from all nodes together.
#[test]
fn share_of_an_engine_follows_the_work_and_adds_up_to_what_it_takes() {
    for (nodes, max_conns) in [(3, 96), (9, 370), (14, 96), (986, 360), (1_972, 360)] {
        let alone = filled_by(1, nodes, max_conns)[0];
        assert!(alone >= max_conns / 3, "{alone} of {max_conns} for one of {nodes} nodes");
        for crowded in [2, 3, nodes.min(40)] {
            let own = filled_by(crowded, nodes, max_conns);
            // Each node may have one request at each engine, whatever its share.
            let most = max_conns.max(crowded + max_conns.div_ceil(2));
            let sum: u32 = own.iter().sum();
            assert!(sum <= most.min(max_conns + crowded), "{own:?} of {max_conns}");
        }
    }
}

/// A node that does not know what others have at an engine keeps to its equal share.
#[test]
fn share_of_an_engine_with_unknown_load_is_equal() {
    let engines = engines(&[("e1", "a", &["m"])]);
    let engine = engines.get(&"e1".into()).unwrap();
    assert_eq!(engine.request_share(370, 9, 1_000), 41);
    assert_eq!(engine.request_share(360, 986, 1_000), 1);
    assert_eq!(engine.request_share(u32::MAX, 1, 1_000), u32::MAX);
}

/// Engines of which all want rest, until 4 s, 3 s and 5 s.
fn resting() -> Engines {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"]), ("e3", "b", &["m"])]);
    for (id, until) in [("e1", 4_000), ("e2", 3_000), ("e3", 5_000)] {
        let key = engines.get(&EngineId::from(id)).unwrap().key();
        assert!(engines.record_rest(key, until, 1_000));
    }
    engines
}

/// Guards against callers that come back while all engines rest, or wait for longer than for the first.
#[test]
fn refusal_names_the_earliest_end_of_a_rest() {
    let engines = resting();
    let wait = Duration::from_millis(1_000);
    assert_eq!(chosen_at(&engines, "m", &[], true, 2_000), Err(NoEngine::Resting(wait)));
    assert_eq!(engine_id(chosen_at(&engines, "m", &[], true, 3_000)), "e2");
}

/// Guards against less urgent requests that take the first places after a rest.
#[test]
fn requests_with_precedence_come_first_after_a_rest() {
    let engines = resting();
    assert!(matches!(chosen_at(&engines, "m", &[], false, 3_000), Err(NoEngine::Resting(_))));
    assert_eq!(engine_id(chosen_at(&engines, "m", &[], false, 3_200)), "e2");
}
