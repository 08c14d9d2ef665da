//! Memory that requests hold at engines.

mod support;

use assert_matches::assert_matches;
use hgw_direct::in_flight::{
    EngineKey, InFlightLoad, InFlightRow, InFlightUpdate, KeyPartition, PeerReports, UpdateTracker,
};
use hgw_direct::{
    Choice, ChoiceParams, CostWeights, EngineId, Engines, MemoryParams, NoEngine, Prompt,
    RequestMemory, SendId, StartTime, VersionRule, choose_engine,
};
use indexmap::IndexMap;
use proptest::prelude::{any, prop_assert, proptest};
use serde::{Deserialize, Serialize};
use support::{engines, model_ref, service};

/// Bytes that a datagram may have.
const MAX_DATAGRAM_BYTES: usize = 1_400;

fn prompt(prompt_tokens: u32, max_output_tokens: u32, length_hint: Option<u32>) -> Prompt {
    Prompt {
        model_ref: Some(model_ref("m")),
        prompt_tokens,
        max_output_tokens,
        length_hint,
        ..Prompt::default()
    }
}

fn memory(prompt_tokens: u32, max_output: u32, hint: Option<u32>) -> RequestMemory {
    RequestMemory::of(&prompt(prompt_tokens, max_output, hint))
}

#[test]
fn request_without_a_hint_holds_its_maximum() {
    assert_eq!(memory(500, 300, None).held(0), 800);
    assert_eq!(memory(500, 0, None).held(0), 500);
}

#[test]
fn hint_is_weighed_against_the_maximum() {
    assert_eq!(memory(500, 1_000, Some(50)).held(0), 700);
    assert_eq!(memory(500, 100, Some(50)).held(0), 600);
    assert_eq!(memory(500, 100, Some(u32::MAX)).held(0), 600);
}

/// Guards against a stream whose memory stays uncounted after it has exceeded its hint.
#[test]
fn memory_grows_with_a_stream_that_exceeds_its_hint() {
    let request = memory(500, 1_000, Some(10));
    assert_eq!(request.held(39), 540);
    let mut last = 0;
    let mut steps = 0;
    for output in 0..1_500 {
        let held = request.held(output);
        assert!(held >= last && held >= 500 + output.min(1_000), "{held} at {output}");
        steps += u32::from(held != last);
        last = held;
    }
    assert!(steps < 10 + 500, "{steps} changes, of which 500 are beyond the maximum");
}

proptest! {
    /// Whatever callers state, sums over many requests stay in range and what is held is not below
    /// what has arrived.
    #[test]
    fn any_values_give_a_bounded_estimate(
        prompt_tokens in any::<u32>(),
        max_output in any::<u32>(),
        hint in any::<Option<u32>>(),
        output in any::<u32>(),
    ) {
        let held = memory(prompt_tokens, max_output, hint).held(output);
        prop_assert!(held <= 1 << 20);
        prop_assert!(held >= output.min(1 << 20));
    }
}

fn key(n: u32) -> EngineKey {
    EngineKey::of(&EngineId(format!("i-{n}")), StartTime(Some(1)))
}

fn encoded(update: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(update, &mut bytes).unwrap();
    bytes
}

fn load(requests: u32, held: u32) -> InFlightLoad {
    InFlightLoad { requests, prompts: 1, tokens: 70_000, held }
}

/// A report as the previous release knows it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct PreviousUpdate {
    #[serde(rename = "all_of")]
    full_partition: Option<KeyPartition>,
    rows: Vec<InFlightRow>,
}

/// Guards against nodes that lose the loads of nodes of the other release.
#[test]
fn reports_are_read_by_the_previous_release_and_from_it() {
    let loads = IndexMap::from([(key(1), load(3, 2_000)), (key(2), load(1, 0))]);
    let update = UpdateTracker::default().next_updates(0, &loads).remove(0);
    let previous: PreviousUpdate = ciborium::from_reader(&*encoded(&update)).unwrap();
    assert_eq!(previous.rows, update.rows);
    let update: InFlightUpdate = ciborium::from_reader(&*encoded(&previous)).unwrap();
    assert_eq!(update.rows, previous.rows);
    assert_eq!(update.held, []);
}

#[test]
fn held_tokens_of_nodes_add_up() {
    let loads = IndexMap::from([(key(1), load(3, 2_000)), (key(2), load(1, 0))]);
    let mut reports = PeerReports::default();
    for node in 1..4 {
        for update in UpdateTracker::default().next_updates(0, &loads) {
            reports.apply(([10, 0, 0, 1], node).into(), 0, &update);
        }
    }
    assert_eq!(reports.sum(key(1)).held, 6_000);
    assert_eq!(reports.sum(key(2)).held, 0);
}

/// Guards against tokens that are added to the wrong engine.
#[test]
fn held_tokens_that_do_not_match_the_rows_are_ignored() {
    let mut reports = PeerReports::default();
    let rows = vec![InFlightRow(key(1), 3, 0, 0), InFlightRow(key(2), 2, 0, 0)];
    let update = InFlightUpdate { full_partition: None, rows, held: vec![900] };
    reports.apply(([10, 0, 0, 1], 1).into(), 0, &update);
    assert_eq!(reports.sum(key(1)).held, 0);
    assert_eq!(reports.sum(key(1)).requests, 3);
}

/// Guards against datagrams that receivers cut off, with values as large as they get.
#[test]
fn datagrams_stay_below_their_bound() {
    let large =
        InFlightLoad { requests: 100_000, prompts: 100_000, tokens: u32::MAX, held: u32::MAX };
    for count in [90, 1_000, 5_000] {
        let loads: IndexMap<EngineKey, InFlightLoad> =
            (0..count).map(|n| (key(n), large)).collect();
        let mut tracker = UpdateTracker::default();
        let full = tracker.next_updates(0, &loads);
        let ended = tracker.next_updates(40, &IndexMap::default());
        assert_eq!(full.iter().map(|update| update.rows.len()).sum::<usize>(), loads.len());
        assert_eq!(ended.iter().map(|update| update.rows.len()).sum::<usize>(), loads.len());
        for update in full.iter().chain(&ended) {
            assert!(update.rows.len() <= 100);
            // The variant and the scope of the datagram take less than the rest.
            assert!(encoded(update).len() < MAX_DATAGRAM_BYTES - 40, "{}", encoded(update).len());
        }
    }
}

fn chosen(
    engines: &Engines,
    engine_tokens: u32,
    nodes: u32,
    prompt: &Prompt,
) -> Result<Choice, NoEngine> {
    chosen_at(engines, engine_tokens, nodes, prompt, 0.0)
}

fn chosen_at(
    engines: &Engines,
    engine_tokens: u32,
    nodes: u32,
    prompt: &Prompt,
    random: f64,
) -> Result<Choice, NoEngine> {
    let service = service();
    let request = RequestMemory::of(prompt);
    let params = ChoiceParams {
        service: &service,
        versions: VersionRule::Any,
        prompt: Some(prompt),
        domain: "a",
        excluded: &[],
        nodes,
        max_conns: 1_000,
        has_precedence: false,
        max_event_gap: None,
        speed_needs: None,
        subset: None,
        can_wait: false,
        memory: Some(MemoryParams { engine_tokens, request, nodes }),
        random,
        weights: CostWeights::default(),
    };
    choose_engine(engines, &params, 1_000)
}

/// An engine at which other nodes have this load.
fn engine_with(others: InFlightLoad) -> Engines {
    let mut engines = engines(&[("e1", "a", &["m"])]);
    engines.get_mut(&"e1".into()).unwrap().in_flight_elsewhere = Some(others);
    engines
}

#[test]
fn engine_without_room_in_its_memory_is_full() {
    let request = prompt(500, 500, None);
    let engines = engine_with(load(4, 8_000));
    assert_matches!(chosen(&engines, 30_000, 79, &request), Ok(_));
    assert_matches!(chosen(&engines, 8_900, 79, &request), Err(NoEngine::Full(_)));
    // Few nodes know of each request at once, and use all of the memory.
    assert_matches!(chosen(&engines, 9_000, 9, &request), Ok(_));
    assert_matches!(chosen(&engines, 8_900, 9, &request), Err(NoEngine::Full(_)));
}

/// Guards against many nodes that fill the same room at the same moment.
#[test]
fn only_a_share_of_the_requests_goes_where_there_is_little_room() {
    let request = prompt(500, 500, None);
    let engines = engine_with(load(4, 8_000));
    let sent = |engine_tokens: u32| {
        let randoms = (0..1_000).map(|n| f64::from(n) / 1_000.0);
        randoms.filter(|r| chosen_at(&engines, engine_tokens, 79, &request, *r).is_ok()).count()
    };
    assert_eq!(sent(30_000), 1_000);
    let shares = [20_000, 17_000, 13_000].map(sent);
    assert!(shares[0] < 950 && shares[1] < shares[0] && shares[2] < shares[1], "{shares:?}");
    assert!(shares[2] > 0, "{shares:?}");
}

/// Guards against refusing requests for memory that waiting requests do not hold.
#[test]
fn requests_that_wait_at_an_engine_hold_no_memory() {
    let engines = engine_with(load(96, 96_000));
    assert_matches!(chosen(&engines, 70_000, 79, &prompt(500, 500, None)), Ok(_));
    let engines = engine_with(load(60, 70_000));
    assert_matches!(chosen(&engines, 70_000, 79, &prompt(500, 500, None)), Err(NoEngine::Full(_)));
}

/// Guards against sending a request around that no engine can run.
#[test]
fn request_larger_than_every_engine_is_refused_at_once() {
    let engines = engine_with(InFlightLoad::default());
    assert_eq!(chosen(&engines, 900, 79, &prompt(500, 500, None)), Err(NoEngine::TooLarge));
    assert_matches!(chosen(&engines, 900, 9, &prompt(500, 500, Some(300))), Ok(_));
    let huge = prompt(u32::MAX, u32::MAX, Some(u32::MAX));
    assert_eq!(chosen(&engines, 900, 79, &huge), Err(NoEngine::TooLarge));
}

/// Guards against a node that refuses requests because it knows nothing, as after its start or when
/// the sums of other nodes do not arrive.
#[test]
fn unknown_sums_leave_the_choice_as_it_is() {
    let mut engines = engines(&[("e1", "a", &["m"])]);
    let engine = engines.get_mut(&"e1".into()).unwrap();
    engine.own_requests = 3;
    engine.held_tokens.replace_own(0, 9_000);
    assert_matches!(chosen(&engines, 9_000, 79, &prompt(500, 500, None)), Ok(_));
}

/// Guards against memory that stays in use for ever after the datagram that ends it was lost.
#[test]
fn memory_of_broadcast_requests_counts_until_they_end() {
    let mut engines = engines(&[("e1", "a", &["m"])]);
    let request = prompt(500, 500, None);
    let engine = engines.get_mut(&"e1".into()).unwrap();
    engine.own_requests = 1;
    engine.held_tokens.set_from_peer(SendId(1), 8_500, 900);
    assert_matches!(chosen(&engines, 9_000, 9, &request), Err(NoEngine::Full(_)));
    let engine = engines.get_mut(&"e1".into()).unwrap();
    engine.held_tokens.set_from_peer(SendId(1), 0, 950);
    assert_matches!(chosen(&engines, 9_000, 9, &request), Ok(_));
    let engine = engines.get_mut(&"e1".into()).unwrap();
    engine.held_tokens.set_from_peer(SendId(2), u32::MAX, 0);
    engine.held_tokens.set_from_peer(SendId(3), 10, 20_000);
    assert_matches!(chosen(&engines, 9_000, 9, &request), Ok(_));
}
