use std::time::Duration;

use hgw_standins::client::Caller;
use hgw_standins::engine::{EngineRecord, Settings, Source, start};
use hgw_standins::{Faults, Running, StreamFault};
use hgw_types::{AttemptId, MemSize, Tokens};
use hgw_wire::upstream::{Cancel, Emitted, EngineState, Generate, LoadReport};
use http::StatusCode;

use crate::{caller, fault, until};

pub(crate) fn engine(settings: Settings) -> Running {
    let resident = vec![(id("m"), id("v1"), MemSize(60))];
    let step = Duration::from_millis(1);
    start(Settings { resident, step, ..settings }).expect("a port of the loopback")
}

pub(crate) fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn request(seq: u64, tokens: u32) -> Generate {
    Generate {
        attempt: AttemptId { boot: 7, seq },
        model: id("m"),
        version: id("v1"),
        adapter: None,
        prompt: "how much petty cash may a school hold".into(),
        max_tokens: Tokens(tokens),
        priority: 1,
        resume: Vec::new(),
    }
}

fn source(req: &Generate) -> Source<'_> {
    let Generate { model, version, adapter, prompt, .. } = req;
    Source { model, version, adapter: adapter.as_ref(), prompt }
}

/// Events of a request until the stream ends or breaks.
fn events(caller: &Caller, req: &Generate) -> Vec<Emitted> {
    let mut stream = caller.stream("/v1/chat/completions", &[], req).expect("an answer");
    let mut events = Vec::new();
    while let Ok(Some(data)) = stream.next_event() {
        events.push(serde_json::from_str(&data).expect("a documented event"));
    }
    events
}

fn texts(events: &[Emitted]) -> Vec<String> {
    let text = |event: &Emitted| match event {
        Emitted::Token { text, .. } => Some(text.clone()),
        _ => None,
    };
    events.iter().filter_map(text).collect()
}

#[test]
fn an_answer_is_the_expected_text_and_ends() {
    let engine = engine(Settings::default());
    let req = request(1, 12);
    let events = events(&caller(&engine), &req);
    assert_eq!(texts(&events).concat(), source(&req).expected_text(12));
    let end = Emitted::End { attempt: req.attempt, tokens: Tokens(12), cached: Tokens(0) };
    assert_eq!(events.last(), Some(&end));
}

#[test]
fn a_resumed_stream_goes_on_at_its_next_token() {
    let engine = engine(Settings::default());
    let req = request(1, 9);
    let resumed = Generate { resume: source(&req).tokens(4), ..req.clone() };
    let events = events(&caller(&engine), &resumed);
    assert_eq!(texts(&events), source(&req).tokens(9)[4..]);
    assert_eq!(events.first().map(index), Some(4));
}

fn index(event: &Emitted) -> u32 {
    match event {
        Emitted::Token { index, .. } => *index,
        _ => u32::MAX,
    }
}

#[test]
fn a_wrong_resume_stands_in_the_record() {
    let engine = engine(Settings::default());
    let caller = caller(&engine);
    events(&caller, &Generate { resume: vec!["other ".into()], ..request(1, 2) });
    let record: EngineRecord = caller.record().expect("a record");
    assert_eq!(record.wrong_resumes, 1);
}

#[test]
fn what_is_not_resident_is_refused_before_it_runs() {
    let engine = engine(Settings::default());
    let caller = caller(&engine);
    for req in [
        Generate { version: id("v2"), ..request(1, 2) },
        Generate { adapter: Some(id("a")), ..request(2, 2) },
    ] {
        let answer = caller.post("/v1/chat/completions", &req).expect("an answer");
        assert_eq!(answer.status, StatusCode::CONFLICT);
    }
    let record: EngineRecord = caller.record().expect("a record");
    assert_eq!((record.refused, record.runs.len()), (2, 0));
}

#[test]
fn a_cached_prefix_is_reported_on_the_second_request() {
    let engine = engine(Settings::default());
    let caller = caller(&engine);
    let prompt = "twenty words ".repeat(20);
    let first = events(&caller, &Generate { prompt: prompt.clone(), ..request(1, 1) });
    let second = events(&caller, &Generate { prompt, ..request(2, 1) });
    assert_eq!([cached(&first), cached(&second)], [Some(0), Some(32)]);
}

fn cached(events: &[Emitted]) -> Option<u32> {
    match events.last() {
        Some(Emitted::End { cached, .. }) => Some(cached.0),
        _ => None,
    }
}

#[test]
fn with_one_slot_the_lower_priority_number_goes_first() {
    let engine = engine(Settings { slots: 1, ..Settings::default() });
    let [first, late, urgent] =
        [(1, 5), (2, 5), (3, 0)].map(|(seq, priority)| Generate { priority, ..request(seq, 200) });
    let callers = [caller(&engine), caller(&engine), caller(&engine)];
    let mut streams = Vec::new();
    for (n, req) in [&first, &late, &urgent].into_iter().enumerate() {
        streams.push(callers[n].stream("/v1/chat/completions", &[], req).expect("an answer"));
        until("the request is in the engine", || in_engine(&engine) > n as u32);
    }
    let ended = caller(&engine).post("/cancel", &Cancel { attempt: first.attempt });
    assert!(ended.expect("an answer").status.is_success());
    until("two have had a slot", || runs(&engine).len() == 2);
    assert_eq!(runs(&engine), [first.attempt.to_string(), urgent.attempt.to_string()]);
}

fn in_engine(engine: &Running) -> u32 {
    let state: EngineState = caller(engine).get("/state").expect("a state");
    state.models.iter().map(|held| held.active).sum()
}

fn runs(engine: &Running) -> Vec<String> {
    let record: EngineRecord = caller(engine).record().expect("a record");
    record.runs.into_keys().collect()
}

#[test]
fn a_stream_whose_caller_goes_away_frees_its_slot() {
    let engine = engine(Settings::default());
    let caller = caller(&engine);
    let mut stream =
        caller.stream("/v1/chat/completions", &[], &request(1, 1_000_000)).expect("an answer");
    stream.next_event().expect("a token");
    drop(stream);
    drop(caller);
    until("the slot is free", || in_engine(&engine) == 0);
}

#[test]
fn a_fault_breaks_a_stream_off_after_some_tokens() {
    let engine = engine(Settings::default());
    let fail_streams = StreamFault { after_tokens: 3, streams: 1 };
    fault(&engine, &Faults { fail_streams, ..Faults::default() });
    let caller = caller(&engine);
    assert_eq!(texts(&events(&caller, &request(1, 8))).len(), 3);
    assert_eq!(texts(&events(&caller, &request(2, 8))).len(), 8);
}

#[test]
fn a_crossed_answer_carries_another_attempt_id() {
    let engine = engine(Settings::default());
    fault(&engine, &Faults { cross_answers: 1, ..Faults::default() });
    let req = request(1, 1);
    let events = events(&caller(&engine), &req);
    let Some(Emitted::Token { attempt, .. }) = events.first() else { panic!("a token first") };
    assert_ne!(*attempt, req.attempt);
}

#[test]
fn a_silent_connection_stays_open_while_new_ones_work() {
    let engine = engine(Settings::default());
    let (old, new) = (caller(&engine), caller(&engine));
    let mut stream =
        old.stream("/v1/chat/completions", &[], &request(1, 1_000_000)).expect("an answer");
    stream.next_event().expect("a token");
    fault(&engine, &Faults { silence: true, ..Faults::default() });
    let req = request(2, 5);
    assert_eq!(texts(&events(&new, &req)), source(&req).tokens(5));
    let more = stream.next_within(Duration::from_millis(300));
    until_silent(&mut stream, more);
}

/// What was under way when the connection went silent may still come; then nothing does.
fn until_silent(stream: &mut hgw_standins::client::Events, mut last: Option<String>) {
    let mut more = 0;
    while last.is_some() {
        more += 1;
        assert!(more < 5_000, "the connection is not silent");
        last = stream.next_within(Duration::from_millis(300));
    }
}

#[test]
fn a_restart_empties_the_memory() {
    let engine = engine(Settings::default());
    fault(&engine, &Faults { restart: true, ..Faults::default() });
    let state: EngineState = caller(&engine).get("/state").expect("a state");
    assert_eq!((state.generation.0, state.models.len()), (2, 0));
}

#[test]
fn an_engine_that_is_down_answers_nobody_and_can_come_back() {
    let engine = engine(Settings::default());
    fault(&engine, &Faults { down: true, ..Faults::default() });
    assert!(caller(&engine).get::<EngineState>("/state").is_err());
    fault(&engine, &Faults::default());
    assert!(caller(&engine).get::<EngineState>("/state").is_ok());
}

#[test]
fn a_leaving_engine_says_so_in_both_reports() {
    let engine = engine(Settings::default());
    fault(&engine, &Faults { leaving: true, ..Faults::default() });
    let caller = caller(&engine);
    let state: EngineState = caller.get("/state").expect("a state");
    assert!(state.leaving);
    until("the load report says so", || {
        caller.get::<LoadReport>("/load").is_ok_and(|load| load.leaving)
    });
}
