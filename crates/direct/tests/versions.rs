//! Software versions: at which streams may begin, which began a stream, and where one goes on.

mod support;

use hgw_direct::{
    AdmissionParams, AdmittedVersions, BegunStream, ChoiceParams, CostWeights, Cursor,
    DigestedParts, EngineInfo, Engines, Era, Millis, NoEngine, Prompt, RequestDigest, ServiceId,
    SoftwareVersion, StartTime, StreamKey, StreamVersions, VersionAdmission, VersionKey,
    VersionRule, choose_engine,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use support::{engine_info, engines, model_ref, service};

/// Longest time after which a stream is taken up, in these tests.
const LIFE: Millis = 30_000;

fn of_version(id: &str, version: &str, models: &[&str]) -> EngineInfo {
    EngineInfo { software: Some(SoftwareVersion::from(version)), ..engine_info(id, "a", models) }
}

fn versions(all: &[(&str, &str)]) -> Engines {
    let mut engines = Engines::default();
    all.iter().for_each(|(id, version)| engines.upsert(of_version(id, version, &["m"])));
    engines
}

fn params(services: &[ServiceId], is_first_start: bool) -> AdmissionParams<'_> {
    AdmissionParams { services, is_first_start, stream_life: LIFE }
}

fn version_of(engines: &Engines, id: &str) -> VersionKey {
    engines.get(&id.into()).unwrap().version_key()
}

/// The record as another node reads it.
fn as_read(record: &AdmittedVersions, offset: u64) -> AdmittedVersions {
    let text = serde_json::to_string(record).unwrap();
    let record = serde_json::from_str(&text).unwrap();
    AdmittedVersions::from_record(record, Cursor::new(Era::FIRST, offset), Era::FIRST)
}

/// Guards against a proof that one version serves while streams of another may be taken up.
#[test]
fn version_is_the_only_one_until_another_is_listed_and_long_after() {
    let services = [service()];
    let mut admission = VersionAdmission::default();
    let one = versions(&[("e1", "v1"), ("e2", "v1")]);
    let first =
        admission.next_record(&AdmittedVersions::default(), &one, &params(&services, true), 0);
    let first = as_read(&first.unwrap(), 1);
    assert_eq!(first.only_version(&service()), Some(version_of(&one, "e1")));
    assert_eq!(admission.next_record(&first, &one, &params(&services, true), 100), None);
    let two = versions(&[("e1", "v1"), ("e3", "v2")]);
    let both = admission.next_record(&first, &two, &params(&services, true), 200).unwrap();
    let both = as_read(&both, 2);
    assert_eq!(both.only_version(&service()), None);
    let of = |record: &AdmittedVersions, id: &str| {
        record.service(&service()).unwrap().admits(two.get(&id.into()).unwrap())
    };
    assert!(of(&first, "e1") && !of(&first, "e3") && of(&both, "e3"));
    // The second leaves; a new leader counts anew.
    let mut admission = VersionAdmission::default();
    for now in (300..300 + LIFE).step_by(1_000) {
        assert_eq!(admission.next_record(&both, &one, &params(&services, true), now), None);
    }
    let after = admission.next_record(&both, &one, &params(&services, true), 300 + LIFE).unwrap();
    assert_eq!(as_read(&after, 3).only_version(&service()), Some(version_of(&one, "e1")));
}

/// Guards against a proof of the only version while streams of another, which began under longer timeouts, still run.
#[test]
fn shorter_timeouts_do_not_end_a_version_early() {
    const SHORTER: Millis = LIFE / 10;
    let services = [service()];
    let mut admission = VersionAdmission::default();
    let two = versions(&[("e1", "v1"), ("e2", "v2")]);
    let both =
        admission.next_record(&AdmittedVersions::default(), &two, &params(&services, true), 0);
    let both = as_read(&both.unwrap(), 1);
    let one = versions(&[("e1", "v1")]);
    let shorter = AdmissionParams { stream_life: SHORTER, ..params(&services, true) };
    for now in (100..LIFE).step_by(100) {
        assert_eq!(admission.next_record(&both, &one, &shorter, now), None, "at {now} ms");
    }
    let after = admission.next_record(&both, &one, &shorter, LIFE).unwrap();
    assert_eq!(as_read(&after, 2).only_version(&service()), Some(version_of(&one, "e1")));
}

/// Guards against a proof by a record that is younger than streams which are taken up, or older than versions that were
/// admitted since.
#[test]
fn first_record_and_one_of_an_earlier_era_prove_nothing_for_a_while() {
    let services = [service()];
    let one = versions(&[("e1", "v1")]);
    let mut admission = VersionAdmission::default();
    let none = AdmittedVersions::default();
    let first = admission.next_record(&none, &one, &params(&services, false), 0).unwrap();
    let first = as_read(&first, 1);
    assert_eq!(first.only_version(&service()), None);
    assert_eq!(admission.next_record(&first, &one, &params(&services, false), LIFE - 1), None);
    let later = admission.next_record(&first, &one, &params(&services, false), LIFE).unwrap();
    let later = as_read(&later, 2);
    assert!(later.only_version(&service()).is_some());
    let next_era = "1".parse::<Era>().unwrap();
    let position = Cursor::new(next_era, 1);
    let restored = AdmittedVersions::from_record(later, position, Era::FIRST);
    assert_eq!(restored.only_version(&service()), None);
    let mut admission = VersionAdmission::default();
    assert_eq!(admission.next_record(&restored, &one, &params(&services, true), 0), None);
    let proven = admission.next_record(&restored, &one, &params(&services, true), LIFE).unwrap();
    assert!(proven.only_version(&service()).is_some());
}

/// Guards against a record that grows without bound, and against engines that wait for it forever.
#[test]
fn service_with_many_versions_admits_all_and_proves_none() {
    let services = [service()];
    let mut all = Engines::default();
    for n in 0..100 {
        let started_at = StartTime(Some(n));
        all.upsert(EngineInfo { started_at, ..engine_info(&format!("e{n}"), "a", &["m"]) });
    }
    let mut admission = VersionAdmission::default();
    let none = AdmittedVersions::default();
    let record = admission.next_record(&none, &all, &params(&services, true), 0).unwrap();
    assert!(serde_json::to_string(&record).unwrap().len() < 2_000);
    let admitted = record.service(&service()).unwrap();
    assert!(all.iter().all(|engine| admitted.admits(engine)));
    assert_eq!(record.only_version(&service()), None);
    assert_eq!(admission.next_record(&record, &all, &params(&services, true), 100), None);
}

/// Guards against versions that are taken for the same: of other services, missing, or of an engine that has started
/// anew.
#[test]
fn versions_are_the_same_only_by_service_and_name() {
    let v1 = VersionKey::of(&of_version("e1", "v1", &[]));
    assert_eq!(v1, VersionKey::of(&of_version("e2", "v1", &["m"])));
    assert_ne!(v1, VersionKey::of(&of_version("e1", "v1.1", &[])));
    let other_service = EngineInfo { service: "b".into(), ..of_version("e1", "v1", &[]) };
    assert_ne!(v1, VersionKey::of(&other_service));
    let one = engine_info("e1", "a", &[]);
    let again = EngineInfo { started_at: StartTime(Some(7)), ..one.clone() };
    assert_ne!(VersionKey::of(&one), VersionKey::of(&again));
    let unnamed = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    assert_ne!(version_of(&unnamed, "e1"), version_of(&unnamed, "e2"));
    let mut engines = Engines::default();
    engines.upsert(EngineInfo { started_at: StartTime(Some(7)), ..of_version("e1", "v1", &[]) });
    assert_eq!(version_of(&engines, "e1"), v1);
    let restarted = engines.observe_start(&"e1".into(), StartTime(Some(9))).unwrap();
    assert_ne!(restarted.version_key(), v1, "its entry does not say yet what it runs now");
    let services = [service()];
    let mut admission = VersionAdmission::default();
    let none = AdmittedVersions::default();
    assert_eq!(admission.next_record(&none, &engines, &params(&services, true), 0), None);
    engines.upsert(EngineInfo { started_at: StartTime(Some(9)), ..of_version("e1", "v1", &[]) });
    let record = admission.next_record(&none, &engines, &params(&services, true), 0).unwrap();
    assert_eq!(as_read(&record, 1).only_version(&service()), Some(v1));
}

fn digest(body: &str) -> RequestDigest {
    RequestDigest::of(&DigestedParts {
        method: "POST",
        host: "h",
        target: "/ask/",
        customer: None,
        body: body.as_bytes(),
    })
}

fn begun(number: usize, version: VersionKey) -> BegunStream {
    let key = StreamKey::of(&format!("s-{number}"), &digest("body"), Some(&model_ref("m")));
    BegunStream { key, version, life_ms: LIFE }
}

/// Guards against a stream that is joined with another by an id that a caller made up or reused.
#[test]
fn stream_is_known_by_its_first_attempt_and_what_it_asks() {
    let key = |id: &str, body: &str, model: &str| {
        StreamKey::of(id, &digest(body), Some(&model_ref(model)))
    };
    let stream = key("s-1", "body", "m");
    assert_eq!(stream, key("s-1", "body", "m"));
    for other in [key("s-2", "body", "m"), key("s-1", "else", "m"), key("s-1", "body", "m/a1")] {
        assert_ne!(stream, other);
    }
    let (v1, v2) =
        (VersionKey::of(&of_version("e", "v1", &[])), VersionKey::of(&of_version("e", "v2", &[])));
    let mut streams = StreamVersions::default();
    streams.record(begun(1, v1), 0);
    assert_eq!(streams.version(begun(1, v1).key, LIFE - 1), Some(v1));
    assert_eq!(streams.version(begun(1, v1).key, LIFE), None);
    streams.record(begun(1, v1), LIFE - 1);
    assert_eq!(streams.version(begun(1, v1).key, LIFE + 1), Some(v1), "it was taken up");
    streams.record(begun(1, v2), LIFE);
    assert_eq!(streams.version(begun(1, v1).key, LIFE + 1), None, "two versions: neither");
    streams.record(begun(1, v1), LIFE);
    assert_eq!(streams.version(begun(1, v1).key, LIFE + 1), None);
}

/// Guards against memory that grows with the streams of callers who never come back.
#[test]
fn streams_are_forgotten_in_time_and_by_number() {
    let v1 = VersionKey::of(&of_version("e", "v1", &[]));
    let mut streams = StreamVersions::default();
    for n in 0..300_000 {
        streams.record(begun(n, v1), 0);
    }
    assert!(streams.len() <= 200_000);
    assert_eq!(streams.version(begun(299_999, v1).key, 1), Some(v1));
    streams.record(begun(1, v1), LIFE);
    assert_eq!(streams.len(), 1);
}

/// Guards against streams that nobody knows after many of many nodes were killed, and against replicas that are told of
/// more than they bear: 986 nodes in 6 domains, whose hubs keep what begins within ten seconds.
#[test]
fn few_replicas_know_the_streams_of_986_nodes() {
    const STREAMS: usize = 10_150;
    let hubs: Vec<_> = (1..=6).map(|n| format!("10.{n}.0.1:7080").parse().unwrap()).collect();
    let v1 = VersionKey::of(&of_version("e", "v1", &[]));
    let mut rng = StdRng::seed_from_u64(49);
    for (killed, least) in [(1, 1.0), (3, 0.9), (4, 0.7)] {
        let mut memories = vec![StreamVersions::default(); hubs.len()];
        let mut told = 0;
        for n in 0..STREAMS {
            let replicas = begun(n, v1).key.replicas(&hubs);
            told += replicas.len();
            for (hub, memory) in hubs.iter().zip(&mut memories) {
                if replicas.contains(hub) {
                    memory.record(begun(n, v1), 0);
                }
            }
        }
        assert_eq!(told, 3 * STREAMS);
        assert!(memories.iter().all(|memory| memory.len() < STREAMS * 6 / 10));
        let mut order: Vec<usize> = (0..hubs.len()).collect();
        order.shuffle(&mut rng);
        let left = &order[killed..];
        let is_known = |n: &usize| {
            left.iter().any(|hub| memories[*hub].version(begun(*n, v1).key, 1).is_some())
        };
        let known = (0..STREAMS).filter(is_known).count() as f64 / STREAMS as f64;
        assert!(known >= least, "{killed} of 6 hubs killed: {known}");
    }
}

fn choose(engines: &Engines, versions: VersionRule<'_>, model: &str) -> Result<String, NoEngine> {
    let prompt = Prompt {
        model_ref: Some(model_ref(model)),
        prompt_tokens: 100,
        max_output_tokens: 10,
        length_hint: None,
        parts: Vec::new(),
    };
    let service = service();
    let params = ChoiceParams {
        service: &service,
        versions,
        prompt: Some(&prompt),
        domain: "a",
        excluded: &[],
        nodes: 3,
        max_conns: 100,
        has_precedence: false,
        max_event_gap: None,
        speed_needs: None,
        can_wait: false,
        memory: None,
        random: 0.5,
        subset: None,
        weights: CostWeights::default(),
    };
    choose_engine(engines, &params, 0).map(|choice| choice.engine.0)
}

/// Guards against a choice that weighs the version instead of obeying it: 3,900 engines of two versions, and an engine
/// of the right one that is worse in all else.
#[test]
fn stream_goes_to_its_version_whatever_else_speaks_against_it() {
    let mut rng = StdRng::seed_from_u64(50);
    let mut all = Engines::default();
    for n in 0..3_900 {
        let version = if rng.random_bool(0.02) { "v1" } else { "v2" };
        all.upsert(of_version(&format!("i-{n}"), version, &["m"]));
    }
    let key = VersionKey::of(&of_version("e", "v1", &[]));
    for engine in all.iter_mut().filter(|e| e.version_key() == key) {
        engine.own_requests = 7;
    }
    for _ in 0..50 {
        let chosen = choose(&all, VersionRule::Only(key), "m").unwrap();
        assert_eq!(version_of(&all, &chosen), key);
    }
    assert_eq!(
        choose(&all, VersionRule::Only(VersionKey::UNKNOWN), "m"),
        Err(NoEngine::VersionGone)
    );
}

/// Guards against a caller that waits for a model which its stream's version does not have, and against one that is
/// refused for want of an adapter.
#[test]
fn stream_is_hopeless_only_where_its_version_lacks_the_model() {
    let mut all = Engines::default();
    all.upsert(of_version("e1", "v1", &["m"]));
    all.upsert(of_version("e2", "v2", &["m", "n", "m/a1"]));
    let v1 = VersionRule::Only(version_of(&all, "e1"));
    assert_eq!(choose(&all, v1, "n"), Err(NoEngine::VersionGone));
    assert_eq!(choose(&all, v1, "m"), Ok("e1".to_owned()));
    assert!(matches!(choose(&all, v1, "m/a1"), Err(NoEngine::NotLoaded(_))));
}
