//! Tests of the residency floor: replicas, failure domains, regions, stability.

use std::collections::BTreeSet;

use hgw_config::Document;
use hgw_config::Fencing::Refuses;
use hgw_placement::{Floor, floor};
use hgw_types::{MemSize, Offset, UpstreamId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::support::{document, id};

/// Engines `e0..` spread over the domains, and models `m0..` of these sizes.
fn sized_document(domains: &[&str], engines: usize, memory: u64, sizes: &[u64]) -> Document {
    let engines: Vec<(String, &str)> =
        (0..engines).map(|n| (format!("e{n}"), domains[n % domains.len()])).collect();
    let engines: Vec<_> = engines.iter().map(|(e, d)| (e.as_str(), *d, memory, Refuses)).collect();
    let models: Vec<String> = (0..sizes.len()).map(|n| format!("m{n}")).collect();
    let models: Vec<_> = models.iter().zip(sizes).map(|(m, s)| (m.as_str(), "1", *s)).collect();
    document(&engines, &models).as_ref().clone()
}

fn new_floor(document: &Document) -> Floor {
    floor(document, Offset(1), &[], None)
}

fn domains(document: &Document, engines: &[UpstreamId]) -> usize {
    engines.iter().map(|e| document.upstreams[e].domain.as_str()).collect::<BTreeSet<_>>().len()
}

/// Number of replicas that were added.
fn added_replicas(from: &Floor, to: &Floor) -> usize {
    let new = |(m, engines): (&_, &Vec<UpstreamId>)| {
        engines.iter().filter(|e| !from.models[m].contains(e)).count()
    };
    to.models.iter().map(new).sum()
}

/// 13 models of 40 to 70 on nine engines in two domains.
fn two_domains_of_nine_engines() -> Document {
    let sizes: Vec<u64> = (0..13).map(|n| 40 + n * 5 % 31).collect();
    sized_document(&["d1", "d2"], 9, 240, &sizes)
}

fn two_replicas_in_two_domains() {
    let doc = two_domains_of_nine_engines();
    for (model, engines) in &new_floor(&doc).models {
        assert_eq!((engines.len(), domains(&doc, engines)), (2, 2), "{model}: {engines:?}");
    }
}

/// Losing one engine must move only its own replicas, or second replicas that they displace.
fn unreachable_engine_moves_only_its_replicas() {
    let doc = two_domains_of_nine_engines();
    let before = new_floor(&doc);
    let unreachable = id::<UpstreamId>("e4");
    let replicas = before.models.values().filter(|e| e.contains(&unreachable)).count();
    let after = floor(&doc, Offset(1), std::slice::from_ref(&unreachable), Some(&before));
    assert!(after.models.values().all(|e| !e.contains(&unreachable) && !e.is_empty()));
    assert!(
        added_replicas(&before, &after) <= replicas,
        "{} added for {replicas}",
        added_replicas(&before, &after)
    );
    let recovered = floor(&doc, Offset(1), &[], Some(&after));
    assert!(recovered.models.values().all(|e| domains(&doc, e) == 2));
}

fn leaving_engine_gets_no_replica() {
    let mut doc = two_domains_of_nine_engines();
    doc.upstreams[0].leaving = true;
    assert!(new_floor(&doc).models.values().all(|e| !e.contains(&id("e0")) && !e.is_empty()));
}

/// Two regions that fit two of three models each: no model may be left out of both.
fn model_left_out_of_one_region_is_in_the_other() {
    let doc = sized_document(&["d1", "d3"], 2, 90, &[40, 40, 40]);
    let floor = new_floor(&doc);
    assert!(floor.models.values().all(|e| !e.is_empty()), "{floor:?}");
}

/// Each region must have its own floor if memory allows.
fn each_region_has_every_model() {
    let doc = sized_document(&["d1", "d2", "d3", "d4"], 8, 240, &[40, 50, 60]);
    for engines in new_floor(&doc).models.values() {
        let in_r1 =
            engines.iter().filter(|e| ["d1", "d2"].contains(&doc.upstreams[*e].domain.as_str()));
        assert_eq!((in_r1.count(), engines.len()), (2, 4));
    }
}

/// Spreading the models would leave no space for the smallest one.
fn little_memory_still_fits_every_model() {
    let doc = sized_document(&["d1", "d2"], 2, 100, &[50, 45, 40, 35, 20]);
    assert!(new_floor(&doc).models.values().all(|e| !e.is_empty()));
}

/// Second replicas must leave one engine with enough memory for a version change of the largest
/// model.
fn headroom_for_a_version_change() {
    let doc = sized_document(&["d1", "d2"], 4, 100, &[60, 60]);
    let floor = new_floor(&doc);
    let free = |e: &&UpstreamId| !floor.models.values().any(|engines| engines.contains(*e));
    assert!(doc.upstreams.keys().filter(free).count() >= 1, "{floor:?}");
}

/// No engine may be overcommitted, no model left out that would fit, and unchanged inputs must move
/// nothing.
fn holds_for_any_sizes() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let strategy = (1..12usize, 60..300u64, prop::collection::vec(10..120u64, 1..30));
    let check = |(engines, memory, sizes): (usize, u64, Vec<u64>)| {
        let doc = sized_document(&["d1", "d2", "d3"], engines, memory, &sizes);
        let floor = new_floor(&doc);
        let size = |m: &hgw_types::ModelId| doc.services[0].models[m].size;
        let used = |e: &UpstreamId| -> MemSize {
            let here = floor.models.iter().filter(|(_, engines)| engines.contains(e));
            here.map(|(m, _)| size(m)).sum()
        };
        for (m, engines) in &floor.models {
            let fits = |e: &UpstreamId| used(e) + size(m) <= MemSize(memory);
            let left_out = engines.is_empty() && doc.upstreams.keys().any(fits);
            prop_assert!(!left_out, "{m} left out: {floor:?}");
        }
        prop_assert!(doc.upstreams.keys().all(|e| used(e) <= MemSize(memory)), "{floor:?}");
        prop_assert_eq!(&self::floor(&doc, Offset(1), &[], Some(&floor)).models, &floor.models);
        Ok(())
    };
    if let Err(e) = TestRunner::new_with_rng(config, rng).run(&strategy, check) {
        panic!("{e}");
    }
}

cases! {
    every_model_twice_in_two_domains => two_replicas_in_two_domains();
    lost_engine_moves_few => unreachable_engine_moves_only_its_replicas();
    leaving_engine_gets_no_copy => leaving_engine_gets_no_replica();
    regions_make_up_for_each_other => model_left_out_of_one_region_is_in_the_other();
    regions_have_floors_of_their_own => each_region_has_every_model();
    tight_memory => little_memory_still_fits_every_model();
    version_change_headroom => headroom_for_a_version_change();
    any_sizes => holds_for_any_sizes();
}
