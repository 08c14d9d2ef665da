//! Orders to engines: which node sends them, and their limits.

use std::time::Duration;

use hgw_standins::Faults;
use hgw_standins::fleet::{EngineSettings, FleetRecord};
use hgw_standins::link::Condition;
use http::StatusCode;
use rustix::process::Signal;

use hgw_standins::fleet::deployment::{Fleet, holds, wait};

use crate::new_fleet;

fn engine(id: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[]), ("n", &[])]),
        adapters: 2,
        ..EngineSettings::default()
    }
}

fn fleet() -> Fleet {
    let mut fleet = new_fleet(vec![engine("i-1"), engine("i-2")]);
    let mut config = hgw_standins::fleet::deployment::configuration(2);
    config["services"][1]["engine"]["adapterSlots"] = 2.into();
    fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
    for zone in ["a", "b", "c"] {
        fleet.start(zone);
    }
    fleet
}

fn served(fleet: &Fleet, node: usize, id: &str, model: &str) -> bool {
    fleet.nodes[node].stream("/ask/", id, model).is_ok_and(|a| a.status == StatusCode::OK)
}

fn records(fleet: &Fleet) -> Vec<FleetRecord> {
    ["i-1", "i-2"].iter().map(|id| fleet.engine(id).record()).collect()
}

/// Names of the nodes that sent orders.
fn order_senders(fleet: &Fleet) -> Vec<String> {
    let all = records(fleet);
    let orders = all.iter().flat_map(|r| &r.orders);
    let mut names: Vec<String> =
        orders.filter_map(|o| o.split(' ').next()).map(str::to_owned).collect();
    names.sort();
    names.dedup();
    names
}

/// With more adapters in use than slots, one node sends all orders, and no engine must be ordered to load
/// more adapters than it has slots.
#[test]
fn one_node_sends_all_orders_within_the_adapter_slots() {
    let fleet = fleet();
    for round in 0..4 {
        for adapter in ["a1", "a2", "a3", "a4", "a5", "a6"] {
            let (node, id) = (round % 3, format!("s-{round}-{adapter}"));
            wait("the adapter is served", || served(&fleet, node, &id, &format!("m/{adapter}")));
        }
    }
    assert_eq!(order_senders(&fleet).len(), 1, "{:?}", records(&fleet));
    assert!(records(&fleet).iter().all(|r| r.too_much == 0), "{:?}", records(&fleet));
}

/// When the leader is killed, another node takes over after the lease with a higher fencing token, and no
/// engine must receive a lower token after a higher one.
#[test]
fn another_node_takes_the_orders_over() {
    let mut fleet = fleet();
    wait("an adapter is served", || served(&fleet, 0, "s-1", "m/a1"));
    let first = order_senders(&fleet);
    let leader = fleet.nodes.iter().position(|n| first.contains(&n.name)).unwrap();
    fleet.nodes[leader].kill();
    let other = (leader + 1) % 3;
    wait("the next adapter is served", || served(&fleet, other, "s-2", "m/a2"));
    assert_eq!(order_senders(&fleet).len(), 2, "{:?}", records(&fleet));
    assert!(records(&fleet).iter().all(|r| r.old_fences == 0), "{:?}", records(&fleet));
}

/// Orders whose responses were lost must count as carried out; otherwise the leader orders more than an
/// engine has room for, and the engine would crash.
#[test]
fn lost_answers_to_orders_do_not_overfill_an_engine() {
    let fleet = fleet();
    wait("an adapter is served", || served(&fleet, 0, "s-0", "m/a0"));
    for adapter in 1..12 {
        for id in ["i-1", "i-2"] {
            let only = Some("/api/order".to_owned());
            fleet.engine(id).fault(&Faults { lose_answers: 1, only, ..Faults::default() });
        }
        let (id, model) = (format!("s-{adapter}"), format!("m/a{adapter}"));
        wait("the adapter is served", || served(&fleet, 0, &id, &model));
    }
    assert!(records(&fleet).iter().all(|r| r.too_much == 0), "{:?}", records(&fleet));
}

/// A leader whose lease has expired must not plan orders that it may not send: the plan would mark the
/// model to be evicted as gone, and requests would not be sent to a copy that still exists.
#[test]
fn leader_without_a_lease_plans_no_orders() {
    let one = |id: &str, model: &str| EngineSettings {
        holds: holds(&[(model, &[])]),
        fences: false,
        ..engine(id)
    };
    let mut fleet = new_fleet(vec![one("i-1", "m"), one("i-2", "n")]);
    let (node, lines) = fleet.start_logged("a");
    fleet.nodes[node].set("bounds.requireFence=true", "bounds.requireFence=false");
    wait("both models are served", || {
        served(&fleet, node, "s-m", "m") && served(&fleet, node, "s-n", "n")
    });
    fleet.nodes[node].to_store.set(Condition::Cut);
    // Longer than the lease, which is one second in the settings of these tests.
    std::thread::sleep(Duration::from_millis(2_000));
    let planned = fleet.lines(&lines, 4006).len();
    fleet.engine("i-2").start_anew();
    for round in 0..5 {
        assert!(!served(&fleet, node, &format!("s-n-{round}"), "n"));
        assert!(served(&fleet, node, &format!("s-m-{round}"), "m"));
    }
    let after = fleet.lines(&lines, 4006);
    assert_eq!(after.len(), planned, "an order was planned that may not be sent: {after:?}");
}

macro_rules! paused_leaders {
    ($($name:ident: $cut_connections:literal;)*) => {$(
        /// A leader that was paused for longer than its lease must check the lease before it sends an order
        /// with its old fencing token. An error on a closed connection to the store must not count as a
        /// confirmed lease.
        #[test]
        fn $name() {
            check_resumed_leader($cut_connections);
        }
    )*};
}

paused_leaders! {
    resumed_leader_sends_no_order_before_it_has_checked_its_lease: false;
    resumed_leader_with_broken_connections_checks_its_lease_again: true;
}

fn check_resumed_leader(cut_connections: bool) {
    for round in 0..3 {
        let fleet = fleet();
        wait("an adapter is served", || served(&fleet, 0, "s-1", "m/a1"));
        let first = order_senders(&fleet);
        let leader = fleet.nodes.iter().position(|n| first.contains(&n.name)).unwrap();
        let other = (leader + 1) % 3;
        fleet.nodes[leader].signal(Signal::STOP);
        if cut_connections {
            fleet.nodes[leader].to_store.set(Condition::Cut);
            std::thread::sleep(Duration::from_millis(100));
            fleet.nodes[leader].to_store.set(Condition::Open);
        }
        for adapter in ["a2", "a3", "a4", "a5"] {
            let id = format!("s-{adapter}");
            wait("it is served", || served(&fleet, other, &id, &format!("m/{adapter}")));
        }
        let served_results = std::thread::scope(|scope| {
            let asks = |adapter: &'static str| {
                let fleet = &fleet;
                scope.spawn(move || served(fleet, leader, adapter, &format!("m/{adapter}")))
            };
            let served_results = ["a1", "a2", "a3"].map(asks);
            std::thread::sleep(Duration::from_millis(100));
            fleet.nodes[leader].signal(Signal::CONT);
            served_results.map(|result| result.join().unwrap())
        });
        let all = records(&fleet);
        assert!(
            all.iter().all(|r| r.old_fences == 0),
            "round {round}, {served_results:?}: {all:?}"
        );
    }
}
