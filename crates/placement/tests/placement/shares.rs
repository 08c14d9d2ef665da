//! Tests of the weight store shares: together they must stay within the store's limits.

use std::time::Duration;

use hgw_config::Document;
use hgw_config::Fencing::Refuses;
use hgw_placement::WeightStoreShare;
use hgw_types::{DomainId, Rate, Time};

use crate::support::{document, id};

fn store(domains: usize, rate: f64, parallel: u32) -> (Document, Vec<DomainId>) {
    let names: Vec<String> = (1..=domains).map(|n| format!("d{n}")).collect();
    let engines: Vec<_> = names.iter().map(|d| (d.as_str(), d.as_str(), 100, Refuses)).collect();
    let mut doc = document(&engines, &[]).as_ref().clone();
    doc.weight_store.loads_per_second = Rate::per_second(rate).expect("a rate");
    doc.weight_store.parallel = parallel;
    (doc, names.iter().map(|d| id(d)).collect())
}

/// Runs all domains at their maximum for ten minutes, with loads of length `load_time`. Returns loads
/// started per second, and the maximum and mean of concurrent loads.
fn run(domains: usize, rate: f64, parallel: u32, load_time: Duration) -> (f64, usize, f64) {
    const STEPS: u64 = 6000;
    let (doc, names) = store(domains, rate, parallel);
    let mut shares: Vec<WeightStoreShare> =
        names.iter().map(|_| WeightStoreShare::new(Time::ZERO)).collect();
    shares.iter_mut().zip(&names).for_each(|(s, d)| s.configure(&doc, d));
    let mut running: Vec<Vec<Time>> = vec![Vec::new(); domains];
    let (mut started, mut max_running, mut sum) = (0u32, 0, 0);
    for step in 1..=STEPS {
        let now = Time::from_millis(step * 100);
        for (share, loads) in shares.iter_mut().zip(&mut running) {
            loads.retain(|end| *end > now);
            share.observe(now, loads.len());
            while share.try_acquire(now, loads.len()) {
                loads.push(now + load_time);
                share.observe(now, loads.len());
                started += 1;
            }
        }
        let concurrent: usize = running.iter().map(Vec::len).sum();
        max_running = max_running.max(concurrent);
        sum += concurrent;
    }
    (f64::from(started) / 600.0, max_running, sum as f64 / STEPS as f64)
}

fn check_limits(domains: usize, rate: f64, parallel: u32, load_time_ms: u64) {
    let (started, max_running, _) =
        run(domains, rate, parallel, Duration::from_millis(load_time_ms));
    assert!(started < rate && started > rate * 0.3, "{started} a second of {rate}");
    assert!(max_running < parallel as usize, "{max_running} at once of {parallel}");
}

/// With more domains than slots, the mean must stay below the limit; the maximum may exceed it.
fn fractional_slots() {
    let (started, _, average) = run(6, 10.0, 3, Duration::from_secs(4));
    assert!(average < 3.0 && started > 0.3, "{average} at once, {started} a second");
}

/// An idle bucket must not save up a burst.
fn no_burst_after_idling() {
    let (doc, names) = store(4, 1.5, 6);
    let mut share = WeightStoreShare::new(Time::ZERO);
    share.configure(&doc, &names[0]);
    let now = Time::from_millis(3_600_000);
    assert!(share.try_acquire(now, 0));
    assert!(!share.try_acquire(now, 0));
}

cases! {
    four_domains_and_six_slots => check_limits(4, 1.5, 6, 3000);
    four_domains_and_seven_slots => check_limits(4, 1.0, 7, 5000);
    one_domain => check_limits(1, 1.5, 6, 2000);
    more_domains_than_slots => fractional_slots();
    idle_share => no_burst_after_idling();
}
