//! Invariants of real node processes under failures, with stand-ins for the platform and the upstreams.

mod authentication;
mod calls;
mod configuration;
mod draining;
mod late;
mod memory;
mod outage;
mod session;
mod stopping;
mod streams;

use std::net::SocketAddr;
use std::time::Duration;

use hgw_standins::client::Caller;
use hgw_standins::cluster::{Cluster, Node, Question, Settings, wait};
use hgw_standins::engine::EngineRecord;
use hgw_standins::log::LogRecord;
use hgw_standins::plain::PlainRecord;
use hgw_standins::{Faults, Running, engine};

/// Names each case of a check that takes arguments.
#[macro_export]
macro_rules! cases {
    ($check:ident: $($name:ident($($arg:expr),* $(,)?);)*) => {$(
        #[test]
        fn $name() {
            $check($($arg),*);
        }
    )*};
}

/// Version of the configuration that a cluster starts with.
const FIRST_VERSION: u64 = 1;
/// Tokens of a response that is long enough for a fault in its middle.
const LONG_RESPONSE_TOKENS: u32 = 150;
/// Tokens received before the fault.
const TOKENS_BEFORE_FAULT: usize = 10;

fn settings() -> Settings {
    Settings::new(env!("CARGO_BIN_EXE_hibiscusgw"))
}

/// Settings with engines so slow that a response of [`LONG_RESPONSE_TOKENS`] tokens takes seconds.
fn slow_engine_settings() -> Settings {
    let mut settings = settings();
    settings.deployment.engine =
        engine::Settings { step: Duration::from_millis(20), ..settings.deployment.engine };
    settings
}

fn start(settings: Settings) -> Cluster {
    Cluster::start(settings).expect("the cluster serves every model through every node")
}

/// Starts nodes and waits until each one knows all others; from then on they agree on the dispatchers.
fn start_connected(settings: Settings) -> Cluster {
    let cluster = start(settings);
    let knows_all =
        |node| state(node)["members"].as_array().map(Vec::len) == Some(cluster.nodes.len());
    wait("all nodes know each other", || cluster.nodes.iter().all(knows_all))
        .expect("the nodes find each other");
    cluster
}

fn state(node: &Node) -> serde_json::Value {
    let state = node.operator("state", &[]).expect("the node returns its state");
    serde_json::from_str(&state).expect("the state is JSON")
}

fn fault(standin: &Running, faults: &Faults) {
    let caller = Caller::new(standin.addr()).expect("creating a client needs no network");
    caller.faults(faults).expect("the stand-in takes faults");
}

fn engine_record(standin: &Running) -> EngineRecord {
    let caller = Caller::new(standin.addr()).expect("creating a client needs no network");
    caller.record().expect("the stand-in has a record")
}

/// How often the call named `name` ran at all plain services together.
fn runs(cluster: &Cluster, name: &str) -> u32 {
    runs_at(&services(cluster), name)
}

/// Addresses of the plain services.
fn services(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.deployment.plains.values().map(Running::addr).collect()
}

/// The same as [`runs`], for threads that have no access to the cluster.
fn runs_at(services: &[SocketAddr], name: &str) -> u32 {
    let named = |addr: &SocketAddr| {
        let caller = Caller::new(*addr).expect("creating a client needs no network");
        let record: PlainRecord = caller.record().expect("the stand-in has a record");
        record.named.get(name).copied().unwrap_or(0)
    };
    services.iter().map(named).sum()
}

/// Records ever appended to the streams of the log whose names begin with `prefix`.
fn appended_records(cluster: &Cluster, prefix: &str) -> u64 {
    let log = cluster.standin(cluster.deployment.platform.addr()).expect("a client");
    let record: LogRecord = log.record().expect("the log has a record");
    let streams = record.appended.iter().filter(|(stream, _)| stream.as_str().starts_with(prefix));
    streams.map(|(_, records)| *records).sum()
}

fn long_question() -> Question {
    Question::new("rules", "May the school hold cash over the summer?", LONG_RESPONSE_TOKENS)
}

/// An address at which nothing listens.
fn unreachable_addr() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}
