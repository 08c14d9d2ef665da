//! Datagrams by which nodes tell each other of the requests that they send.

use std::time::Duration;

use hgw_standins::fleet::deployment::{configuration, holds, wait};
use hgw_standins::fleet::{EngineSettings, Fleet};
use http::StatusCode;

use crate::{new_fleet, send_long_prompt};

/// An engine whose prefill takes so long that the next request arrives meanwhile.
fn slow_prefill_engine(id: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[])]),
        reading: Duration::from_millis(300),
        ..EngineSettings::default()
    }
}

fn engine_that_ran<'a>(fleet: &Fleet, engines: &[&'a str], id: &str) -> Option<&'a str> {
    engines.iter().find(|e| fleet.engine(e).record().runs.contains_key(id)).copied()
}

/// Two requests of one session through two nodes at nearly the same time must not queue at the engine with
/// the cached prompt while another engine is idle: the first node sends the second a datagram on its
/// request.
#[test]
fn node_passes_over_an_engine_that_reads_what_another_node_sent() {
    let engines = ["i-3", "i-4"];
    let mut fleet = new_fleet(engines.map(slow_prefill_engine).to_vec());
    let (first, second) = (fleet.start("a"), fleet.start("a"));
    let mut tries = 0;
    wait("both engines are used", || {
        tries += 1;
        let ids = [format!("s-{tries}"), format!("t-{tries}")];
        std::thread::scope(|scope| {
            let fleet = &fleet;
            let id = &ids[0];
            let stream_of_first = scope.spawn(move || send_long_prompt(fleet, first, id));
            wait("the first is sent", || engine_that_ran(fleet, &engines, id).is_some());
            std::thread::sleep(Duration::from_millis(50));
            assert_eq!(send_long_prompt(fleet, second, &ids[1]), StatusCode::OK);
            assert_eq!(stream_of_first.join().unwrap(), StatusCode::OK);
        });
        engine_that_ran(&fleet, &engines, &ids[0]) != engine_that_ran(&fleet, &engines, &ids[1])
    });
    assert_eq!(
        engine_that_ran(&fleet, &engines, &format!("s-{tries}")),
        Some("i-3"),
        "the engine with the cached prompt"
    );
}

/// Long prompts that arrive together at an engine with a running stream must be sent one after the other;
/// the prefill of all of them would pause the stream for too long.
#[test]
fn prompts_wait_while_they_would_pause_a_stream_for_too_long() {
    let engine = EngineSettings {
        reading: Duration::from_millis(200),
        pause: Duration::from_millis(20),
        events: 200,
        ..slow_prefill_engine("i-1")
    };
    let mut fleet = new_fleet(vec![engine]);
    let mut config = configuration(2);
    for route in config["routes"].as_array_mut().unwrap() {
        route["sloMs"] = 5_000.into();
    }
    fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
    let node = fleet.start("a");
    std::thread::scope(|scope| {
        let fleet = &fleet;
        let running = scope.spawn(move || send_long_prompt(fleet, node, "long"));
        wait("the stream runs", || fleet.runs("long") == 1);
        std::thread::sleep(Duration::from_millis(300));
        let ids = ["s-1", "s-2", "s-3", "s-4"];
        let all = ids.map(|id| scope.spawn(move || send_long_prompt(fleet, node, id)));
        for one in all {
            assert_eq!(one.join().unwrap(), StatusCode::OK);
        }
        assert_eq!(running.join().unwrap(), StatusCode::OK);
    });
    assert_eq!(fleet.engine("i-1").record().most_reading, 1);
}

/// Invalid datagrams must be ignored: anyone on the network can send them.
#[test]
fn invalid_datagrams_are_ignored() {
    let mut fleet = new_fleet(["i-1"].map(slow_prefill_engine).to_vec());
    let node = fleet.start("a");
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for bytes in [&b""[..], b"{}", &[0xff; 600], b"\xa1dSent\x83ci-1\x20\x20"] {
        socket.send_to(bytes, fleet.nodes[node].peers).unwrap();
    }
    assert_eq!(send_long_prompt(&fleet, node, "s-1"), StatusCode::OK);
}
