//! The settings file, and the configuration in the store.

use std::process::Command;

use hgw_standins::fleet::Store;
use http::StatusCode;

use hgw_standins::fleet::deployment::{configuration, wait};

use crate::new_fleet;

fn start_with_invalid_settings(text: &str) -> String {
    let path = std::env::temp_dir().join(format!("hgw-bad-{}-{}", std::process::id(), text.len()));
    std::fs::write(&path, text).unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_hibiscusgw"))
        .arg("serve")
        .env("HIBISCUSGW_BOOT", &path)
        .output()
        .unwrap();
    let _ = std::fs::remove_file(&path);
    assert_eq!(out.status.code(), Some(2));
    String::from_utf8(out.stderr).unwrap()
}

macro_rules! refuses {
    ($($name:ident: $text:expr => $message:literal;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(start_with_invalid_settings($text), concat!("hibiscusgw: ", $message, "\n"));
        })*
    };
}

const PARTIAL_SETTINGS: &str = "nodeName=n\nzone=a\nip=127.0.0.1\nlisten.front=127.0.0.1:1\n";

refuses! {
    missing_field_is_named: "zone=a\nip=127.0.0.1\nportRange=7000,7001\nnodeName=n\n"
        => "setting listen.front: `` is not allowed: IP:PORT";
    absurd_port_range_is_named: "ip=127.0.0.1\nportRange=x\n"
        => "setting portRange: `x` is not allowed: FIRST,LAST";
    absurd_bound_is_named:
        &format!("{PARTIAL_SETTINGS}listen.ready=127.0.0.1:2\nportRange=7000,7001\nbounds.graceS=-1\n")
        => "setting bounds.graceS: `-1` is not allowed: more than 0, and at most a day";
}

#[test]
fn node_without_a_configuration_is_not_ready_and_refuses_with_a_time() {
    let mut fleet = new_fleet(Vec::new());
    fleet.store = Store::start().unwrap();
    let node = fleet.spawn("a");
    wait("the node listens", || fleet.nodes[node].accepts());
    assert!(!fleet.nodes[node].is_ready());
    let response = fleet.nodes[node].plain("/print/", "call-1").unwrap();
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    fleet.store.put("keyed.op", "config", configuration(1).to_string().as_bytes());
    fleet.list_all();
    wait("the node is ready", || fleet.nodes[node].is_ready());
}

/// An invalid configuration and an older one must not replace the newest valid one.
#[test]
fn bad_and_old_configurations_change_nothing() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    let mut moved = configuration(5);
    moved["routes"][1]["prefix"] = "/stamp/".into();
    fleet.store.put("keyed.op", "config", moved.to_string().as_bytes());
    let status = |path: &str| fleet.nodes[node].plain(path, "call-1").unwrap().status;
    wait("version 5 is in force", || status("/stamp/") == StatusCode::OK);
    assert_eq!(status("/print/"), StatusCode::NOT_FOUND);
    let mut bad = configuration(6);
    bad["routes"][0]["kind"] = "whenever".into();
    fleet.store.put("keyed.op", "config", bad.to_string().as_bytes());
    fleet.store.put("keyed.op", "config", configuration(4).to_string().as_bytes());
    let mut good = configuration(7);
    good["routes"][1]["prefix"] = "/seal/".into();
    fleet.store.compact("keyed.op");
    fleet.store.put("keyed.op", "config", good.to_string().as_bytes());
    wait("version 7 is in force", || {
        assert_eq!(status("/print/"), StatusCode::NOT_FOUND);
        status("/seal/") == StatusCode::OK
    });
}

/// An invalid settings file must not stop a running node.
#[test]
fn bad_settings_leave_the_last_ones_in_force() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    let good = std::fs::read_to_string(&fleet.nodes[node].settings).unwrap();
    std::fs::write(&fleet.nodes[node].settings, "nodeName=").unwrap();
    fleet.nodes[node].signal(rustix::process::Signal::HUP);
    assert_eq!(fleet.nodes[node].plain("/print/", "call-1").unwrap().status, StatusCode::OK);
    std::fs::write(&fleet.nodes[node].settings, good).unwrap();
    fleet.nodes[node].signal(rustix::process::Signal::HUP);
    assert_eq!(fleet.nodes[node].plain("/print/", "call-2").unwrap().status, StatusCode::OK);
}
