//! Identification of callers by their keys.

use assert_matches::assert_matches;
use hgw_direct::{ApiKey, CallerIdentity, Credentials, Customer, Customers, Quota, QuotaUnit};

fn shows(key: &str) -> Credentials {
    Credentials::Key(ApiKey::new(key))
}

fn customers(all: &[(&str, &[&str])]) -> Customers {
    let mut customers = Customers::default();
    for (name, keys) in all {
        let keys = keys.iter().map(|key| ApiKey::new(*key)).collect();
        customers.add((*name).into(), Customer::default(), keys);
    }
    customers
}

fn name(customers: &Customers, shown: &Credentials, is_open: bool) -> Option<String> {
    match customers.identify(shown, is_open) {
        CallerIdentity::Customer(name, _) => Some(name.0.clone()),
        CallerIdentity::Anonymous | CallerIdentity::Unauthorized => None,
    }
}

#[test]
fn key_names_its_customer() {
    let all = customers(&[("a", &["k1", "k2"]), ("b", &["k3"])]);
    assert_eq!(name(&all, &shows("k2"), false).as_deref(), Some("a"));
    assert_eq!(name(&all, &shows("k3"), true).as_deref(), Some("b"));
}

/// Guards against accepting a revoked key, and against a moved key that names its previous
/// customer.
#[test]
fn key_that_is_taken_away_names_nobody() {
    let all = customers(&[("a", &[]), ("b", &["k1"])]);
    assert_eq!(name(&all, &shows("k1"), false).as_deref(), Some("b"));
    assert_eq!(name(&all, &shows("k2"), false), None);
}

#[test]
fn only_open_routes_are_for_those_who_show_nothing() {
    let all = customers(&[("a", &["k1"])]);
    assert_matches!(all.identify(&Credentials::None, true), CallerIdentity::Anonymous);
    assert_matches!(all.identify(&Credentials::None, false), CallerIdentity::Unauthorized);
}

/// Guards against accepting a revoked key on an open route.
#[test]
fn unknown_key_and_several_keys_are_strangers_on_any_route() {
    let all = customers(&[("a", &["k1"])]);
    for is_open in [false, true] {
        assert_matches!(all.identify(&shows("k9"), is_open), CallerIdentity::Unauthorized);
        assert_matches!(all.identify(&Credentials::Invalid, is_open), CallerIdentity::Unauthorized);
    }
}

#[test]
fn key_is_not_printed() {
    let shown = format!("{:?} {:?}", shows("secret"), customers(&[("a", &["secret"])]));
    assert!(!shown.contains("secret"), "{shown}");
}

#[test]
fn request_counts_in_the_unit_of_the_quota() {
    let quota = |unit| Quota { unit, rate: 1.0, burst: 1.0 };
    assert_eq!(quota(QuotaUnit::Requests).unit.cost(Some(700)), 1.0);
    assert_eq!(quota(QuotaUnit::Tokens { default_tokens: 200 }).unit.cost(Some(700)), 700.0);
    assert_eq!(quota(QuotaUnit::Tokens { default_tokens: 200 }).unit.cost(None), 200.0);
}
