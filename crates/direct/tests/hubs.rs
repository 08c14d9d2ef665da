//! The selection of hubs.

use std::net::SocketAddr;

use hgw_direct::hubs::{
    CandidateSource, Hubs, LongListDistribution, Member, NodeDirectory, Parent, SkipReason,
    candidates, digest, poll_interval_factor,
};

fn member(n: u16, domain: &str, processor: f64) -> Member {
    Member { node: format!("node-{n}"), addr: addr(n), domain: domain.into(), cpu_share: processor }
}

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + n))
}

/// A domain of small VMs with three larger ones.
fn domain() -> Vec<Member> {
    let all = (0..12).map(|n| member(n, "a", if n % 4 == 3 { 0.5 } else { 0.12 }));
    all.chain([member(20, "b", 1.0)]).collect()
}

fn hubs_of_domain() -> (Hubs, Vec<SocketAddr>) {
    let mut hubs = Hubs::default();
    let known = candidates(&domain(), "a");
    let addrs = known.iter().map(|c| c.addr).collect();
    hubs.set_candidates(known);
    (hubs, addrs)
}

/// Guards against nodes that poll a node for good that is no hub any more: it counted the nodes while there was no
/// leader and few had been registered, and told the others its own list instead of the leader's.
#[test]
fn node_that_does_not_lead_tells_the_candidates_that_it_was_told() {
    let first: Vec<Member> = (0..6).map(|n| member(n, "a", 0.25)).collect();
    let all: Vec<Member> = (0..14).map(|n| member(n, "a", 0.25)).collect();
    let (old, new) = (candidates(&first, "a"), candidates(&all, "a"));
    assert_ne!(old, new);
    let directory = NodeDirectory::new(&first);
    let mut hubs = Hubs::default();
    hubs.set_candidates(new.clone());
    let told = |is_leader, domain| {
        let source = CandidateSource { is_leader, domain: "a", directory: &directory, hubs: &hubs };
        source.candidates(domain).map(<[Member]>::to_vec)
    };
    assert_eq!(told(false, "a"), Some(new));
    assert_eq!(told(true, "a"), Some(old), "the leader keeps its directory up to date");
    assert_eq!(told(false, "b"), None);
}

#[test]
fn larger_vms_of_the_domain_are_hub_candidates() {
    let mut names: Vec<_> = candidates(&domain(), "a").into_iter().map(|c| c.node).collect();
    names.sort();
    assert_eq!(names, ["node-11", "node-3", "node-7"]);
}

/// Guards against nodes that disagree because of the order of the list or a change in another
/// domain.
#[test]
fn all_nodes_come_to_the_same_order() {
    let mut shuffled = domain();
    shuffled.reverse();
    shuffled.push(member(21, "c", 1.0));
    assert_eq!(candidates(&domain(), "a"), candidates(&shuffled, "a"));
    assert_eq!(digest(&candidates(&domain(), "a")), digest(&candidates(&shuffled, "a")));
}

/// Small domains need no hub.
#[test]
fn few_nodes_ask_the_leader_themselves() {
    let few: Vec<Member> = (0..4).map(|n| member(n, "a", 0.25)).collect();
    assert_eq!(candidates(&few, "a"), []);
    assert_eq!(Hubs::default().parent(addr(1), Some(addr(9)), 0), Parent::Leader);
}

#[test]
fn node_asks_the_first_hub_and_that_asks_the_leader() {
    let (hubs, first) = hubs_of_domain();
    assert_eq!(hubs.parent(addr(1), Some(addr(90)), 0), Parent::Hub(first[0]));
    assert_eq!(hubs.parent(first[1], Some(addr(90)), 0), Parent::Hub(first[0]));
    assert_eq!(hubs.parent(first[0], Some(addr(90)), 0), Parent::Leader);
}

/// Guards against a domain without updates after its hub was killed.
#[test]
fn second_hub_replaces_an_unresponsive_first() {
    let (mut hubs, first) = hubs_of_domain();
    hubs.skip(first[0], SkipReason::Unresponsive, 1_000);
    assert_eq!(hubs.parent(addr(1), Some(addr(90)), 1_100), Parent::Hub(first[1]));
    assert_eq!(hubs.parent(first[1], Some(addr(90)), 1_100), Parent::Leader);
    assert_eq!(hubs.parent(addr(1), Some(addr(90)), 4_000), Parent::Hub(first[0]));
}

/// Guards against a domain without updates after all its hub candidates failed.
#[test]
fn nodes_ask_the_leader_if_no_hub_responds() {
    let (mut hubs, first) = hubs_of_domain();
    for addr in &first {
        hubs.skip(*addr, SkipReason::Unresponsive, 1_000);
    }
    assert_eq!(hubs.parent(addr(1), Some(addr(90)), 1_100), Parent::Leader);
}

/// Guards against overloading the leader during a store outage, when all nodes are outdated.
#[test]
fn first_hub_is_asked_again_if_all_are_stale() {
    let (mut hubs, first) = hubs_of_domain();
    for addr in first.iter().chain([&addr(90)]) {
        hubs.skip(*addr, SkipReason::Stale, 1_000);
    }
    assert_eq!(hubs.parent(addr(1), Some(addr(90)), 1_100), Parent::Hub(first[0]));
    assert_eq!(hubs.parent(addr(1), None, 1_100), Parent::Hub(first[0]));
}

/// Guards against outdated updates when the store refuses all hubs of a domain.
#[test]
fn leader_is_asked_if_all_hubs_are_stale() {
    let (mut hubs, first) = hubs_of_domain();
    for addr in &first {
        hubs.skip(*addr, SkipReason::Stale, 1_000);
    }
    assert_eq!(hubs.parent(addr(1), Some(addr(90)), 1_100), Parent::Leader);
    hubs.set_candidates(candidates(&domain(), "a"));
    assert_eq!(hubs.parent(addr(1), Some(addr(90)), 1_100), Parent::Leader);
    assert_eq!(hubs.parent(addr(1), Some(addr(90)), 3_000), Parent::Hub(first[0]));
}

/// Guards against a small VM as hub, whose link would be saturated.
#[test]
fn small_vm_is_not_asked_even_if_all_others_are_stale() {
    let small = (0..12).map(|n| member(n, "a", 0.12));
    let members: Vec<Member> = small.chain([member(30, "a", 0.5), member(31, "a", 0.4)]).collect();
    let mut hubs = Hubs::default();
    hubs.set_candidates(candidates(&members, "a"));
    let asks = |hubs: &Hubs, now| hubs.parent(addr(91), Some(addr(90)), now);
    hubs.skip(addr(30), SkipReason::Stale, 1_000);
    assert_eq!(asks(&hubs, 1_100), Parent::Hub(addr(31)));
    hubs.skip(addr(31), SkipReason::Stale, 1_100);
    assert_eq!(asks(&hubs, 1_200), Parent::Leader);
    hubs.skip(addr(90), SkipReason::Unresponsive, 1_200);
    assert_eq!(asks(&hubs, 1_300), Parent::Hub(addr(30)));
}

/// The next leader becomes known through a hub that responds.
#[test]
fn stale_hub_is_asked_before_an_unresponsive_leader() {
    let (mut hubs, first) = hubs_of_domain();
    hubs.skip(first[0], SkipReason::Unresponsive, 1_000);
    hubs.skip(first[1], SkipReason::Stale, 1_000);
    hubs.skip(first[2], SkipReason::Stale, 1_000);
    hubs.skip(addr(90), SkipReason::Unresponsive, 1_000);
    assert_eq!(hubs.parent(addr(1), Some(addr(90)), 1_100), Parent::Hub(first[1]));
}

/// The leader serves the hubs of all domains; its own domain has another hub.
#[test]
fn leader_is_no_hub_of_its_domain() {
    let (hubs, first) = hubs_of_domain();
    assert_eq!(hubs.parent(addr(1), Some(first[0]), 0), Parent::Hub(first[1]));
    assert_eq!(hubs.parent(first[1], Some(first[0]), 0), Parent::Leader);
}

/// Guards against polling at the full rate when there are few hubs but many nodes.
#[test]
fn few_hubs_of_many_nodes_poll_less_often() {
    let of = [(6, 6), (9, 10), (11, 12), (10, 33), (12, 195), (33, 195), (194, 195)];
    let factors = of.map(|(children, nodes)| poll_interval_factor(children, nodes));
    assert_eq!(factors, [1, 1, 2, 4, 4, 4, 12]);
}

/// Guards against a small VM as hub, whose link would be saturated.
#[test]
fn small_vm_is_no_hub_beside_large_ones() {
    let node = |n: u16, processor| Member {
        node: format!("n-{n}"),
        addr: ([10, 0, 0, 1], n).into(),
        domain: "a".into(),
        cpu_share: processor,
    };
    let mut members: Vec<Member> = (1..20).map(|n| node(n, 0.12)).collect();
    assert_eq!(candidates(&members, "a").len(), 3);
    members.extend([node(30, 0.5), node(31, 0.4)]);
    let names: Vec<String> = candidates(&members, "a").into_iter().map(|m| m.node).collect();
    assert_eq!(names, ["n-30", "n-31"]);
}

/// Guards against work at the leader that grows with the square of the nodes: it looks up each node that
/// polls it.
#[test]
fn directory_knows_the_candidates_of_each_domain() {
    let members: Vec<Member> = domain().into_iter().chain([member(21, "c", 1.0)]).collect();
    let directory = NodeDirectory::new(&members);
    assert_eq!(directory.candidates("a"), candidates(&members, "a"));
    assert_eq!(directory.candidates("a").len(), 3);
    assert_eq!(directory.candidates("unknown"), []);
    let may_be_hub = |n| directory.may_be_hub(addr(n));
    assert!(may_be_hub(3) && !may_be_hub(2), "a small VM beside large ones");
    assert!(may_be_hub(20), "the only node of its domain");
    assert!(may_be_hub(99), "a node that has not registered yet");
    assert!(NodeDirectory::default().is_empty() && !directory.is_empty());
}

/// Guards against a leader that responds to nobody after a start of all nodes, because it sends each of them
/// the list of thousands of engines.
#[test]
fn leader_sends_a_long_list_once_for_each_domain() {
    const DOMAINS: u16 = 6;
    for nodes in [986, 1_972] {
        let domain = |n: u16| format!("d{}", n % DOMAINS);
        let processor = |n: u16| if n < 60 { 1.0 } else { 0.12 };
        let members: Vec<Member> =
            (0..nodes).map(|n| member(n, &domain(n), processor(n))).collect();
        let directory = NodeDirectory::new(&members);
        let sends = |knows_hubs| {
            let to = |(children, node): (usize, &Member)| {
                let children = children as u32 + 1;
                let distribution = LongListDistribution { leader: addr(0), knows_hubs, children };
                let redirect = knows_hubs.then(|| directory.candidates(&node.domain));
                distribution.sends_to(node.addr, redirect)
            };
            let polling = members.iter().filter(|node| node.addr != addr(0));
            polling.enumerate().filter(|polling| to(*polling)).count()
        };
        assert_eq!(sends(true), usize::from(DOMAINS), "{nodes} nodes");
        assert_eq!(sends(false), 40, "{nodes} nodes, before the leader knows the hubs");
    }
}

/// A node whose hubs do not respond must get the list from the leader.
#[test]
fn node_that_knows_its_hubs_gets_a_long_list_from_the_leader() {
    let directory = NodeDirectory::new(&domain());
    let distribution = LongListDistribution { leader: addr(20), knows_hubs: true, children: 500 };
    assert!(!distribution.sends_to(addr(1), Some(directory.candidates("a"))));
    assert!(distribution.sends_to(addr(1), None));
    assert!(distribution.sends_to(addr(1), Some(&[])), "a domain without hubs");
}
