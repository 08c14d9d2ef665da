//! Engine choice, retries and prefixes, as an entry node uses them.

use std::time::Duration;

use hgw_config::Urgency;
use hgw_dispatch::{
    Ask, Candidate, Chooser, ChooserSettings, PREFIX_BLOCK, RetryBudget, prefix_hashes,
};
use hgw_types::{Time, UpstreamId};

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn upstream(n: usize) -> UpstreamId {
    format!("engine-{n}").parse().unwrap()
}

fn candidates(count: usize) -> Vec<Candidate> {
    let one = |n| Candidate { upstream: upstream(n), distance: 0, has_adapter: true };
    (0..count).map(one).collect()
}

fn ask(prefix: u64) -> Ask {
    Ask { model: None, adapter: None, urgency: Urgency::Urgent, prefix: vec![prefix] }
}

fn chooser(seed: u64) -> Chooser {
    Chooser::new(ChooserSettings::default(), seed)
}

/// How often each of `count` upstreams is chosen first in 1,000 choices 1 ms apart.
fn firsts(chooser: &mut Chooser, count: usize, prefix: impl Fn(u64) -> u64) -> Vec<u32> {
    let mut counts = vec![0; count];
    for i in 0..1000 {
        let first = &chooser.choose(ms(i), &ask(prefix(i)), &candidates(count))[0];
        let n = (0..count).find(|n| upstream(*n) == *first).unwrap();
        counts[n] += 1;
        chooser.sent(ms(i), first, &ask(0));
        chooser.finished(ms(i), first);
    }
    counts
}

fn a_slow_upstream_gets_little_and_is_tried_again() {
    let mut c = chooser(1);
    for n in 0..4 {
        c.observe(ms(0), &upstream(n), Duration::from_millis(20));
    }
    c.observe(ms(0), &upstream(2), Duration::from_millis(400));
    assert_eq!(firsts(&mut c, 4, |i| i)[2], 0);
    let mut later = c.choose(ms(9000), &ask(7), &candidates(1));
    later.truncate(1);
    assert_eq!(later, [upstream(0)]);
    let tried = (0..50).any(|i| c.choose(ms(9000), &ask(i), &candidates(4))[0] == upstream(2));
    assert!(tried, "after nine seconds the old news must have faded");
}

fn a_long_prompt_does_not_wait_for_its_engine() {
    let long = Ask { prefix: vec![7; 16], ..ask(7) };
    let mut c = chooser(1);
    let home = c.choose(ms(0), &long, &candidates(2)).remove(0);
    c.observe(ms(0), &home, Duration::from_millis(200));
    assert_ne!(c.choose(ms(0), &long, &candidates(2))[0], home);
}

fn entry_nodes_agree_on_a_prefix() {
    let first = |seed| chooser(seed).choose(ms(0), &ask(42), &candidates(6)).remove(0);
    let all: Vec<_> = (0..20).map(first).collect();
    assert!(all.iter().all(|u| *u == all[0]), "{all:?}");
}

fn prefixes_spread() {
    let counts = firsts(&mut chooser(1), 5, |i| i);
    assert!(counts.iter().all(|n| (120..280).contains(n)), "{counts:?}");
}

fn a_failed_upstream_is_last_and_tried_by_one() {
    let mut c = chooser(1);
    c.failed(ms(0), &upstream(0));
    let during = c.choose(ms(100), &ask(1), &candidates(2));
    assert_eq!(during, [upstream(1), upstream(0)]);
    let prefix = (0..).find(|p| c.choose(ms(300), &ask(*p), &candidates(2))[0] == upstream(0));
    c.sent(ms(300), &upstream(0), &ask(0));
    let others = c.choose(ms(310), &ask(prefix.unwrap()), &candidates(2));
    assert_eq!(others[0], upstream(1));
    c.observe(ms(320), &upstream(0), Duration::ZERO);
    assert_eq!(c.choose(ms(330), &ask(prefix.unwrap()), &candidates(2))[0], upstream(0));
}

fn an_adapter_goes_where_it_is_loaded() {
    let mut list = candidates(2);
    for n in 0..2 {
        list[n].has_adapter = true;
        list[1 - n].has_adapter = false;
        assert_eq!(chooser(1).choose(ms(0), &ask(3), &list)[0], upstream(n));
    }
}

fn retries_stay_a_tenth_in_an_outage() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for i in 0..3000 {
        let now = ms(i * 10);
        budget.first(now);
        while budget.allow(now) {
            retries += 1;
        }
    }
    assert!((290..=301).contains(&retries), "{retries}");
}

fn a_quiet_hour_saves_no_storm() {
    let mut budget = RetryBudget::default();
    for i in 0..1000 {
        budget.first(ms(i));
    }
    let saved = std::iter::repeat_with(|| budget.allow(ms(3_600_000))).take_while(|ok| *ok);
    assert_eq!(saved.count(), 1);
}

fn prefixes_share_what_they_share() {
    let head = "h".repeat(2 * PREFIX_BLOCK);
    let a = prefix_hashes(&format!("{head}{}", "a".repeat(PREFIX_BLOCK)));
    let b = prefix_hashes(&format!("{head}{}", "b".repeat(PREFIX_BLOCK)));
    assert_eq!(a.len(), 3);
    assert_eq!(a[..2], b[..2]);
    assert_ne!(a[2], b[2]);
    assert!(prefix_hashes("short").is_empty());
}

macro_rules! cases {
    ($($name:ident;)*) => {
        mod cases {
            $(#[test] fn $name() { super::$name() })*
        }
    };
}

cases! {
    a_slow_upstream_gets_little_and_is_tried_again;
    a_long_prompt_does_not_wait_for_its_engine;
    entry_nodes_agree_on_a_prefix;
    prefixes_spread;
    a_failed_upstream_is_last_and_tried_by_one;
    an_adapter_goes_where_it_is_loaded;
    retries_stay_a_tenth_in_an_outage;
    a_quiet_hour_saves_no_storm;
    prefixes_share_what_they_share;
}
