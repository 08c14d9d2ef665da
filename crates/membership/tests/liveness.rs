//! What the members of 8, 64 and 400 nodes know, and what it costs, in virtual time.

#![allow(clippy::print_stdout, reason = "the figures are wanted with --nocapture")]

mod common;

use std::time::Duration;

use common::World;
use hgw_membership::{Action, Event, rank};
use hgw_types::NodeId;

const SECOND: Duration = Duration::from_secs(1);

/// Bytes a second that a node may send on average, half of what all its control traffic may take.
const MEAN_BUDGET: usize = 1000;

/// Bytes a second that any one node may send over 20 seconds.
const NODE_BUDGET: usize = 1500;

macro_rules! sizes {
    ($($name:ident => $check:ident($total:literal, $domains:literal);)*) => {$(
        #[test]
        fn $name() {
            $check($total, $domains);
        }
    )*};
}

sizes! {
    traffic_of_8 => traffic_fits(8, 4);
    traffic_of_64 => traffic_fits(64, 1);
    traffic_of_400 => traffic_fits(400, 6);
    all_known_of_8 => all_become_known(8, 4);
    all_known_of_64 => all_become_known(64, 1);
    all_known_of_400 => all_become_known(400, 6);
    death_among_8 => death_is_noticed(8, 4);
    death_among_64 => death_is_noticed(64, 1);
    death_among_400 => death_is_noticed(400, 6);
    leaving_among_8 => leaving_is_noticed(8, 4);
    leaving_among_400 => leaving_is_noticed(400, 6);
    representatives_of_8 => representatives_are_agreed(8, 4);
    representatives_of_64 => representatives_are_agreed(64, 6);
}

/// The same with other seeds: signs of life that miss a node by chance are not left to it.
#[test]
fn representatives_of_64_with_other_seeds() {
    for seed in [1, 2, 3, 5, 7, 8, 9, 10] {
        representatives_are_agreed_with(64, 6, seed);
    }
}

fn representatives_are_agreed(total: usize, domains: usize) {
    representatives_are_agreed_with(total, domains, 4);
}

/// While nobody comes or goes, members of all domains name the same representatives of each one.
fn representatives_are_agreed_with(total: usize, domains: usize, seed: u64) {
    let mut world = World::new(total, domains, seed);
    world.run(120 * SECOND);
    for other in &world.nodes {
        let domain = &other.member.domain;
        let wanted = other.membership.representatives(domain);
        assert!(!wanted.is_empty(), "{domain} has no representative");
        for node in &world.nodes {
            let named = node.membership.representatives(domain);
            assert_eq!(named, wanted, "{domain} as {} sees it", node.member.node);
        }
    }
}

fn traffic_fits(total: usize, domains: usize) {
    let mut world = World::new(total, domains, 1);
    world.run(20 * SECOND);
    world.nodes.iter_mut().for_each(|node| node.bytes = 0);
    world.run(20 * SECOND);
    let most = world.nodes.iter().map(|node| node.bytes / 20).max().unwrap();
    let sum: usize = world.nodes.iter().map(|node| node.bytes / 20).sum();
    let mean = sum / total;
    println!("{total} nodes, {domains} domains: {mean} B/s on average, {most} at most");
    assert!(mean <= MEAN_BUDGET, "{mean} bytes a second on average");
    assert!(most <= NODE_BUDGET, "{most} bytes a second");
}

/// A tenth of the messages is lost, and nobody dies: all learn of all in their domain and of someone
/// in each other domain, and for a minute nobody of the own domain is taken for dead.
fn all_become_known(total: usize, domains: usize) {
    let mut world = World::new(total, domains, 2);
    world.loss = 0.1;
    world.run(40 * SECOND);
    let start = world.now;
    for index in 0..total {
        assert_eq!(world.unaware(index), 0, "{} is not known to all", world.id(index));
    }
    world.run(60 * SECOND);
    for node in &world.nodes {
        for other in &world.nodes {
            let domain = &other.member.domain;
            assert!(node.membership.live(domain).next().is_some(), "{domain} is not known");
        }
        let near = |id: &NodeId| node.membership.member(id).unwrap().domain == node.member.domain;
        let ended = node
            .changes
            .iter()
            .filter(|(at, change)| *at > start && matches!(change, Action::Down(id) if near(id)));
        assert_eq!(ended.count(), 0, "taken for dead by {}", node.member.node);
    }
}

/// A node stops without a word. Its own domain notices by its silence alone, within the bound for
/// that; nobody counts it as alive for longer than the bound for other domains.
fn death_is_noticed(total: usize, domains: usize) {
    let mut world = World::new(total, domains, 3);
    world.run(30 * SECOND);
    world.nodes[0].runs = false;
    let start = world.now;
    let gone = |world: &World| {
        let domain = &world.nodes[0].member.domain;
        let near = world.nodes.iter().filter(|node| node.runs && node.member.domain == *domain);
        near.filter(|node| node.membership.is_alive(&world.nodes[0].member.node)).count() == 0
    };
    while !gone(&world) && world.now.since(start) < 60 * SECOND {
        world.run(SECOND / 10);
    }
    let took = world.now.since(start);
    println!("{total} nodes, {domains} domains: noticed by all near after {took:?}");
    let doublings = (total / domains - 1).ilog2();
    assert!(took <= SECOND * 5 + SECOND * 4 / 5 * doublings, "{took:?}");
    world.run(40 * SECOND);
    assert_eq!(world.believers(0), 0);
}

/// A node that stops as planned is out of use within two seconds in its domain.
fn leaving_is_noticed(total: usize, domains: usize) {
    let mut world = World::new(total, domains, 4);
    world.run(30 * SECOND);
    world.tell(0, Event::Leave);
    world.run(2 * SECOND);
    let domain = &world.nodes[0].member.domain;
    let near = world.nodes.iter().filter(|node| node.member.domain == *domain);
    let unaware = near.filter(|node| node.membership.is_alive(&world.nodes[0].member.node));
    assert_eq!(unaware.count(), 0);
}

/// A use of a peer fails: it is out at once, and the beats of it that others still pass on do not
/// bring it back. When it goes on counting, it comes back.
#[test]
fn failed_use_counts_at_once() {
    let mut world = World::new(16, 1, 5);
    world.run(20 * SECOND);
    let failed = world.id(1);
    world.nodes[1].runs = false;
    world.tell(0, Event::Failed(failed.clone()));
    assert!(!world.nodes[0].membership.is_alive(&failed));
    let ups = ups(&world, 0, &failed);
    world.run(20 * SECOND);
    assert_eq!(self::ups(&world, 0, &failed), ups, "it came back while it was dead");
    world.nodes[1].runs = true;
    world.run(20 * SECOND);
    assert!(world.nodes[0].membership.is_alive(&failed));
}

fn ups(world: &World, index: usize, node: &NodeId) -> usize {
    let up = |change: &Action| matches!(change, Action::Up(member) if member.node == *node);
    world.nodes[index].changes.iter().filter(|(_, change)| up(change)).count()
}

/// A domain is cut off and comes back: each side counts the other as dead, and finds it again by the
/// list.
#[test]
fn healed_partition_is_found() {
    let mut world = World::new(8, 4, 6);
    world.run(20 * SECOND);
    let cut: Vec<usize> = (0..8).filter(|index| index % 4 == 0).collect();
    cut.iter().for_each(|index| world.nodes[*index].runs = false);
    world.run(60 * SECOND);
    assert_eq!(world.believers(0), 0);
    cut.iter().for_each(|index| world.nodes[*index].runs = true);
    world.run(30 * SECOND);
    assert_eq!(world.believers(0), 8);
}

/// Nodes that see the same members agree on who comes first, and when one goes only its keys move.
#[test]
fn rank_moves_only_the_keys_of_the_lost_node() {
    let nodes: Vec<NodeId> = (0..9).map(|n| format!("n{n}").parse().unwrap()).collect();
    let rest = &nodes[1..];
    let mut counts = vec![0; nodes.len()];
    for key in 0u32..900 {
        let key = key.to_be_bytes();
        let before = rank::first(&key, &nodes).unwrap();
        counts[nodes.iter().position(|node| *node == before).unwrap()] += 1;
        assert_eq!(rank::order(&key, &nodes)[0], before);
        let after = rank::first(&key, rest).unwrap();
        assert!(after == before || before == nodes[0]);
    }
    assert!(counts.iter().all(|count| (60..150).contains(count)), "{counts:?}");
}
