//! Brittle engines, which fail once they have to reject more than a few requests a second.

mod support;

use hgw_direct::{
    Choice, ChoiceParams, CostWeights, EngineId, Engines, Load, Millis, NoEngine, Prompt, SendId,
    VersionRule, choose_engine,
};
use support::{engines, model_ref, service};

/// Engines of 64 slots that have all loaded the model and are brittle.
fn brittle_engines(count: usize) -> Engines {
    let ids: Vec<String> = (1..=count).map(|n| format!("e{n}")).collect();
    let all: Vec<(&str, &str, &[&str])> = ids.iter().map(|id| (&**id, "a", &["m"][..])).collect();
    let mut engines = engines(&all);
    engines.iter_mut().for_each(|e| e.brittleness.max_rejections = Some("2".parse().unwrap()));
    engines
}

fn choose(engines: &Engines, has_precedence: bool, now: Millis) -> Result<Choice, NoEngine> {
    let prompt = Prompt {
        model_ref: Some(model_ref("m")),
        prompt_tokens: 500,
        max_output_tokens: 100,
        length_hint: None,
        parts: Vec::new(),
    };
    let params = ChoiceParams {
        service: &service(),
        versions: VersionRule::Any,
        prompt: Some(&prompt),
        domain: "a",
        excluded: &[],
        nodes: 9,
        max_conns: 1_000,
        has_precedence,
        max_event_gap: None,
        speed_needs: None,
        can_wait: false,
        memory: None,
        random: 0.5,
        subset: None,
        weights: CostWeights::default(),
    };
    choose_engine(engines, &params, now)
}

fn report(engines: &mut Engines, id: &str, running: u32, now: Millis) {
    let engine = engines.get_mut(&EngineId::from(id)).unwrap();
    engine.reported_load =
        Some((Load { running, waiting: 0, slots: 64, ..Load::default() }, now, 0));
}

/// An engine that is not brittle lets requests wait; a brittle one may have to reject them.
#[test]
fn brittle_engine_gets_nothing_beyond_its_slots() {
    let mut engines = brittle_engines(1);
    report(&mut engines, "e1", 53, 0);
    assert!(choose(&engines, false, 10).is_ok());
    report(&mut engines, "e1", 54, 0);
    assert!(matches!(choose(&engines, false, 10), Err(NoEngine::Full(_))));
    assert!(choose(&engines, true, 10).is_ok(), "the last slots are for urgent requests");
    report(&mut engines, "e1", 60, 0);
    assert!(matches!(choose(&engines, true, 10), Err(NoEngine::Full(_))));
    engines.iter_mut().for_each(|e| e.brittleness.max_rejections = None);
    assert!(choose(&engines, false, 10).is_ok());
}

/// The load of an engine that fails goes to the others, so all of a service count as brittle once one does.
#[test]
fn engines_of_a_service_are_brittle_together() {
    let mut engines = brittle_engines(2);
    engines.get_mut(&"e2".into()).unwrap().brittleness.max_rejections = None;
    report(&mut engines, "e1", 60, 0);
    report(&mut engines, "e2", 60, 0);
    assert!(matches!(choose(&engines, false, 10), Err(NoEngine::Full(_))));
}

/// What other nodes have just sent is in no report yet.
#[test]
fn prompts_on_their_way_from_other_nodes_take_slots() {
    let mut engines = brittle_engines(1);
    report(&mut engines, "e1", 50, 0);
    assert!(choose(&engines, false, 10).is_ok());
    let engine = engines.get_mut(&"e1".into()).unwrap();
    (0..4).for_each(|n| engine.prefill_backlog.add_from_peer(SendId(n), 100, 5));
    assert!(matches!(choose(&engines, false, 10), Err(NoEngine::Full(_))));
}

/// After a rejection nobody sends until the engine reports room; then less than before.
#[test]
fn rejection_closes_an_engine_until_it_reports_room() {
    let mut engines = brittle_engines(1);
    report(&mut engines, "e1", 40, 0);
    engines.get_mut(&"e1".into()).unwrap().brittleness.record_rejection(10);
    assert!(matches!(choose(&engines, false, 20), Err(NoEngine::Full(_))));
    report(&mut engines, "e1", 40, 30);
    assert!(choose(&engines, false, 40).is_ok());
    report(&mut engines, "e1", 50, 50);
    assert!(matches!(choose(&engines, false, 60), Err(NoEngine::Full(_))), "only 44 after it");
}

/// Requests that were on their way together are rejected together, which is one mistake and not many.
#[test]
fn share_falls_with_each_rejection_and_rises_again() {
    let mut engines = brittle_engines(1);
    let engine = engines.get_mut(&"e1".into()).unwrap();
    (0..5).for_each(|n| engine.brittleness.record_rejection(10 + n));
    report(&mut engines, "e1", 44, 2_000);
    assert!(choose(&engines, false, 2_010).is_ok());
    report(&mut engines, "e1", 53, 4_000);
    assert!(choose(&engines, false, 4_010).is_ok(), "three seconds later all is as before");
}
