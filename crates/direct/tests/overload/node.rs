//! What nodes count, and how they apply shares.

use std::time::Duration;

use hgw_direct::overload::{
    Admission, AdmissionUpdate, ArrivalCount, CustomerKey, LoadCounts, RequestClass,
    ServiceAdmission, Share, is_retried,
};
use hgw_direct::{CustomerId, ServiceId};

use crate::support::service;

const NOW: u64 = 10_000;

fn table(share: Share) -> Vec<ServiceAdmission> {
    vec![ServiceAdmission {
        service: service(),
        priority: 2,
        listed: vec![(CustomerKey(7), share)],
        unlisted: Share::ALL,
    }]
}

fn leader(share: Share) -> Admission {
    let mut leader = Admission::default();
    assert!(leader.publish(table(share), NOW));
    leader
}

fn class(service: &ServiceId, priority: u8, customer: u32, is_retried: bool) -> RequestClass<'_> {
    RequestClass { service, priority, customer: CustomerKey(customer), is_retried }
}

/// Guards against random runs of refusals, and nodes with few requests that admit all or none.
#[test]
fn share_is_admitted_at_one_node_and_over_many() {
    let service = service();
    let class = class(&service, 2, 7, false);
    let mut node = leader(Share(30, 100));
    let admitted: Vec<bool> = (0..100).map(|_| node.admits(&class, 0.5, NOW)).collect();
    assert_eq!(admitted.iter().filter(|admitted| **admitted).count(), 30);
    let longest_run = admitted.split(|admitted| *admitted).map(<[bool]>::len).max();
    assert!(longest_run <= Some(3), "{longest_run:?}");
    let many = (0..100).map(|node| f64::from(node) / 100.0);
    let admitted = many.filter(|random| leader(Share(30, 100)).admits(&class, *random, NOW));
    assert_eq!(admitted.count(), 30);
}

#[test]
fn more_urgent_and_other_requests_are_admitted() {
    let (service, other) = (service(), ServiceId::from("other"));
    let mut node = leader(Share(0, 100));
    assert!(node.admits(&class(&service, 1, 7, false), 0.0, NOW));
    assert!(node.admits(&class(&service, 2, 8, false), 0.0, NOW));
    assert!(node.admits(&class(&service, 2, 7, true), 0.0, NOW));
    assert!(node.admits(&class(&other, 5, 7, false), 0.0, NOW));
    assert!(!node.admits(&class(&service, 2, 7, false), 0.0, NOW));
    assert!(!node.admits(&class(&service, 3, 8, true), 0.0, NOW));
}

/// Guards against a node that goes on by a table that nobody confirms, also if it got it from a hub that has
/// had it for long.
#[test]
fn table_expires_a_second_after_the_leader_confirmed_it() {
    let service = service();
    let class = class(&service, 2, 7, false);
    let leader = leader(Share(0, 0));
    let mut hub = Admission::default();
    assert!(hub.apply(leader.update_for(0, NOW + 300).unwrap(), NOW + 400));
    let mut node = Admission::default();
    assert!(node.apply(hub.update_for(0, NOW + 700).unwrap(), NOW + 800));
    assert!(!node.admits(&class, 0.0, NOW + 1_099));
    assert!(node.admits(&class, 0.0, NOW + 1_200));
    assert_eq!(node.update_for(0, NOW + 1_200), None);
    assert_eq!(node.digest(NOW + 1_200), 0);
}

/// Guards against tables that are sent to nodes that have them, and old ones that replace new ones.
#[test]
fn known_table_is_only_confirmed_and_old_news_is_ignored() {
    let leader = leader(Share(10, 20));
    let mut node = Admission::default();
    let update = leader.update_for(0, NOW).unwrap();
    assert!(node.apply(update.clone(), NOW));
    let confirmation = leader.update_for(node.digest(NOW), NOW).unwrap();
    assert_eq!(confirmation.table, None);
    assert!(!node.apply(AdmissionUpdate { age_ms: 500, ..update }, NOW + 100));
    assert!(node.apply(confirmation, NOW + 100));
}

/// Guards against nodes that limit requests for a second after an overload has ended.
#[test]
fn end_of_an_overload_is_published() {
    let mut leader = leader(Share(10, 20));
    assert!(leader.publish(Vec::new(), NOW + 600));
    let update = leader.update_for(1, NOW + 600).unwrap();
    assert_eq!(update.table, Some(Vec::new()));
    assert!(!leader.publish(Vec::new(), NOW + 2_000));
    assert_eq!(leader.update_for(1, NOW + 2_000), None);
}

/// Guards against reports without overload.
#[test]
fn counts_are_reported_under_pressure_only() {
    let service = service();
    let mut counts = LoadCounts::default();
    counts.record_arrival(&service, 1, CustomerKey(7), false, NOW);
    assert!(counts.take_due(NOW + 500).is_empty());
    counts.record_arrival(&service, 1, CustomerKey(7), true, NOW + 500);
    counts.record_pressure(&service, NOW + 600);
    assert!(counts.take_due(NOW + 700).is_empty());
    let reports = counts.take_due(NOW + 1_000);
    assert_eq!(reports[0].arrivals, [ArrivalCount(1, CustomerKey(7), 0, 1)]);
}

/// Guards against reports that grow with the number of customers, and sums that lose requests.
#[test]
fn customers_with_few_requests_are_reported_in_one() {
    let service = service();
    let mut counts = LoadCounts::default();
    for customer in 1..=100 {
        for _ in 0..=customer {
            counts.record_arrival(&service, 1, CustomerKey(customer), false, NOW);
        }
    }
    counts.record_pressure(&service, NOW);
    let report = counts.take_due(NOW + 1_000).pop().unwrap();
    assert_eq!(report.arrivals.len(), 9);
    assert_eq!(report.arrivals[0].1, CustomerKey(100));
    assert_eq!(report.arrivals.iter().map(|row| row.2).sum::<u32>(), 5_150);
    let mut hub = LoadCounts::default();
    hub.merge(&report, NOW);
    hub.merge(&report, NOW);
    let sum = hub.take_due(NOW + 1_000).pop().unwrap();
    assert_eq!(sum.arrivals.iter().map(|row| row.2).sum::<u32>(), 10_300);
}

#[test]
fn retry_is_known_by_its_shorter_deadline() {
    let timeout = Duration::from_millis(1_500);
    assert!(!is_retried(None, timeout));
    assert!(!is_retried(Some(timeout), timeout));
    assert!(!is_retried(Some(Duration::from_millis(1_450)), timeout));
    assert!(is_retried(Some(Duration::from_millis(1_300)), timeout));
}

/// Guards against names of customers that make messages long.
#[test]
fn keys_of_customers_are_short_and_not_zero() {
    let name = CustomerId("a customer with a long name".to_owned());
    assert_ne!(CustomerKey::of(Some(&name)), CustomerKey::of(None));
    assert!(CustomerKey::of(Some(&name)).0 < 1 << 24);
    assert_ne!(CustomerKey::of(None), CustomerKey(0));
}
