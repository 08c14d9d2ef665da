//! Identification of callers by their keys.

use assert_matches::assert_matches;
use hgw_direct::{Customer, Customers, Key, Quota, Sender, Shown, Unit};

fn shows(key: &str) -> Shown {
    Shown::Key(Key::new(key))
}

fn customers(all: &[(&str, &[&str])]) -> Customers {
    let mut customers = Customers::default();
    for (name, keys) in all {
        let keys = keys.iter().map(|key| Key::new(*key)).collect();
        customers.add((*name).into(), Customer::default(), keys);
    }
    customers
}

fn name(customers: &Customers, shown: &Shown, is_open: bool) -> Option<String> {
    match customers.sender(shown, is_open) {
        Sender::Customer(name, _) => Some(name.0.clone()),
        Sender::Anybody | Sender::Stranger => None,
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
    assert_matches!(all.sender(&Shown::Nothing, true), Sender::Anybody);
    assert_matches!(all.sender(&Shown::Nothing, false), Sender::Stranger);
}

/// Guards against accepting a revoked key on an open route.
#[test]
fn unknown_key_and_several_keys_are_strangers_on_any_route() {
    let all = customers(&[("a", &["k1"])]);
    for is_open in [false, true] {
        assert_matches!(all.sender(&shows("k9"), is_open), Sender::Stranger);
        assert_matches!(all.sender(&Shown::Unusable, is_open), Sender::Stranger);
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
    assert_eq!(quota(Unit::Requests).unit.of(Some(700)), 1.0);
    assert_eq!(quota(Unit::Tokens { plain: 200 }).unit.of(Some(700)), 700.0);
    assert_eq!(quota(Unit::Tokens { plain: 200 }).unit.of(None), 200.0);
}
