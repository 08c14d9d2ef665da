//! The plain service of deployment B while a customer sends a multiple of its usual rate.

use std::ops::Range;

use crate::world::{Change, End, Ended, NODES, Parts, Stream, WITH, WITHOUT, World};

const CUSTOMERS: u8 = 16;

/// Usual arrivals per second.
const USUAL: f64 = 335.0;

/// The customer that sends more.
const GREEDY: u8 = 0;

const END: u64 = 20_000;

/// When it does, in milliseconds since the start.
const BURST: Range<u64> = 4_000..14_000;

/// All customers alike, but for the greedy one, which sends so many times as much that all together are
/// `factor` times the usual arrivals.
fn arrivals(factor: f64) -> Vec<Stream> {
    let usual = USUAL / f64::from(CUSTOMERS);
    let excess = USUAL * (factor - 1.0);
    let stream = |customer| Stream {
        customer,
        priority: 2,
        per_second: usual + if customer == GREEDY { excess } else { 0.0 },
    };
    (0..CUSTOMERS).map(stream).collect()
}

fn burst(factor: f64) -> Vec<(u64, Change)> {
    vec![
        (0, Change::Arrivals(arrivals(1.0))),
        (BURST.start, Change::Arrivals(arrivals(factor))),
        (BURST.end, Change::Arrivals(arrivals(1.0))),
    ]
}

fn with_loss(mut changes: Vec<(u64, Change)>) -> Vec<(u64, Change)> {
    changes.extend([(7_000, Change::Lose(1)), (11_000, Change::Return(1))]);
    changes
}

fn is_other(ended: &Ended) -> bool {
    ended.customer != GREEDY
}

/// Shares of the requests that arrived first during the burst.
#[derive(Debug)]
struct Figures {
    others_in_time: f64,
    others_refused_twice: f64,
    /// Of the requests of other customers, in the second with the least.
    worst_second: f64,
    /// The same from 2 s after the start of the burst on.
    worst_settled_second: f64,
    all_in_time: f64,
    all_late: f64,
    all_refused_twice: f64,
    in_time_per_second: f64,
    rejections: usize,
    bytes_up: f64,
    bytes_down: f64,
}

fn figures(world: &World) -> Figures {
    let (from, to) = (BURST.start, BURST.end);
    let per_node_second = |bytes: usize| bytes as f64 * 1_000.0 / NODES as f64 / END as f64;
    let worst_second = |from: u64| {
        let seconds = (from..to).step_by(1_000);
        seconds.map(|at| world.share(at, at + 1_000, is_other, End::InTime)).fold(1.0, f64::min)
    };
    let in_time = world.ended.iter().filter(|e| BURST.contains(&e.at) && e.end == End::InTime);
    Figures {
        others_in_time: world.share(from, to, is_other, End::InTime),
        others_refused_twice: world.share(from, to, is_other, End::RefusedTwice),
        worst_second: worst_second(from),
        worst_settled_second: worst_second(from + 2_000),
        all_in_time: world.share(from, to, |_| true, End::InTime),
        all_late: world.share(from, to, |_| true, End::Late),
        all_refused_twice: world.share(from, to, |_| true, End::RefusedTwice),
        in_time_per_second: in_time.count() as f64 * 1_000.0 / (to - from) as f64,
        rejections: world.rejections,
        bytes_up: per_node_second(world.bytes_up),
        bytes_down: per_node_second(world.bytes_down),
    }
}

fn play(parts: Parts, changes: Vec<(u64, Change)>) -> World {
    World::new(parts, 1, changes).run(END)
}

/// Plays a day without the part and with it.
fn compare(changes: Vec<(u64, Change)>) -> (Figures, Figures) {
    let (without, with) = (figures(&play(WITHOUT, changes.clone())), figures(&play(WITH, changes)));
    (without, with)
}

/// Guards against other customers that are refused, or served late, while one sends several times its part:
/// without the part, 28 to 61 in 100 of their requests are served in time.
fn assert_others_are_served(changes: Vec<(u64, Change)>) {
    let (without, with) = compare(changes);
    assert!(without.others_in_time < 0.7, "{without:#?}");
    assert!(with.others_in_time > 0.85, "{with:#?}");
    assert!(with.worst_second > without.worst_second, "{with:#?}");
    assert!(with.worst_settled_second > 0.85, "{with:#?}");
    assert!(with.others_refused_twice < without.others_refused_twice / 4.0);
    assert!(with.all_refused_twice < without.all_refused_twice + 0.15);
    assert!(with.all_late < without.all_late / 2.0, "{with:#?}");
    assert!(with.rejections < without.rejections / 4, "{with:#?}");
    assert!(with.in_time_per_second > without.in_time_per_second, "{with:#?}");
    assert!(with.bytes_up < 300.0 && with.bytes_down < 300.0);
}

#[test]
fn others_are_served_while_arrivals_double() {
    assert_others_are_served(burst(2.0));
}

#[test]
fn others_are_served_while_arrivals_are_five_times_as_many() {
    assert_others_are_served(burst(5.0));
}

#[test]
fn others_are_served_while_an_engine_is_lost() {
    assert_others_are_served(with_loss(burst(2.0)));
}

#[test]
fn others_are_served_while_an_engine_is_lost_in_a_large_burst() {
    assert_others_are_served(with_loss(burst(5.0)));
}

/// Guards against messages and refusals without overload.
#[test]
fn usual_arrivals_are_not_limited() {
    let world = play(WITH, vec![(0, Change::Arrivals(arrivals(1.0)))]);
    let figures = figures(&world);
    assert_eq!(world.bytes_down, 0);
    assert!(figures.bytes_up < 20.0, "{}", figures.bytes_up);
    assert!(figures.all_in_time > 0.99, "{}", figures.all_in_time);
}

/// Guards against a class that is served worse than a less urgent one.
#[test]
fn more_urgent_requests_are_served_first() {
    let classes = |factor: f64| {
        let of_class = |priority| {
            move |customer| Stream {
                customer,
                priority,
                per_second: USUAL / f64::from(CUSTOMERS) / 3.0 * factor,
            }
        };
        let all = [1, 2, 3].map(|priority| (0..CUSTOMERS).map(of_class(priority)));
        Change::Arrivals(all.into_iter().flatten().collect())
    };
    let changes = vec![(0, classes(1.0)), (BURST.start, classes(3.0)), (BURST.end, classes(1.0))];
    let world = play(WITH, changes);
    let [urgent, middle, least] = [1, 2, 3].map(|priority| {
        world.share(BURST.start, BURST.end, |e| e.priority == priority, End::InTime)
    });
    assert!(urgent > 0.95, "{urgent}");
    assert!(urgent >= middle && middle >= least);
}

/// Guards against shares that hold on when nobody decides any more, and against a new leader that does not
/// find the overload.
#[test]
fn shares_expire_with_the_leader_and_the_next_one_learns_anew() {
    let lost_at = 8_000;
    let mut changes = burst(5.0);
    changes.push((lost_at, Change::LoseLeader { until: 11_000 }));
    let limiting = |at| {
        let world = World::new(WITH, 1, changes.clone()).run(at);
        (0..NODES).filter(|node| world.limits(*node)).count()
    };
    assert_eq!(limiting(lost_at), NODES);
    assert_eq!(limiting(lost_at + 1_500), 0);
    let world = play(WITH, changes.clone());
    let in_time = |from| world.share(from, from + 1_000, is_other, End::InTime);
    assert!(in_time(7_000) > 0.95 && in_time(13_000) > 0.9);
}

/// Guards against a node that goes on by old shares while it reaches no leader.
#[test]
fn node_that_is_cut_off_limits_nothing_after_a_second() {
    let mut changes = burst(5.0);
    changes.push((8_000, Change::CutOff(3)));
    let world = World::new(WITH, 1, changes).run(9_200);
    assert!(!world.limits(3));
    assert!((0..NODES).filter(|node| *node != 3).all(|node| world.limits(node)));
}
