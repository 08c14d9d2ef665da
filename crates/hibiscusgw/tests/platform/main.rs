//! Invariants of real node processes on a platform of stand-ins: store, engines and network links.

/// Tests of a scenario with some seeds, and one that takes those of `HGW_MIXES=FROM..TO`, for manual runs.
macro_rules! seeds {
    ($play:path, $asked:ident, $why:literal; $($name:ident: $seed:literal;)*) => {
        $(
            #[doc = $why]
            #[test]
            fn $name() {
                $play($seed);
            }
        )*

        #[test]
        fn $asked() {
            crate::asked_seeds().for_each($play);
        }
    };
}

mod adapter_room;
mod brittle;
mod broken_responses;
mod caller_connections;
mod calls;
mod crashing;
mod crashing_parts;
mod crowds;
mod cut_from_engines;
mod datagrams;
mod endless_responses;
mod engine_limits;
mod engine_memory;
mod engine_speed;
mod foreign_keys;
mod forwarded_attempts;
mod forwarding;
mod hubs;
mod idle_connections;
mod keys;
mod late_copies;
mod late_leader;
mod late_requests;
mod leader_reads;
mod leaving;
mod limits;
mod log_lines;
mod long_configuration;
mod odd_entries;
mod orders;
mod outdated_configuration;
mod overload;
mod random_faults;
mod restarts;
mod resting;
mod restores;
mod retries;
mod room;
mod session;
mod settings;
mod silence;
mod silence_arrivals;
mod silence_signals;
mod slow_readers;
mod stopping;
mod store_disconnects;
mod streams;
mod turned_away;
mod unproven_rejections;
mod version_faults;
mod versions;

use std::sync::atomic::{AtomicBool, Ordering};

use hgw_standins::fleet::{EngineSettings, Fleet};
use http::{Method, StatusCode};

/// A platform with these model engines and no node yet; nodes run the binary under test.
fn new_fleet(models: Vec<EngineSettings>) -> Fleet {
    Fleet::new(env!("CARGO_BIN_EXE_hibiscusgw"), models)
}

/// The seeds of `HGW_MIXES=FROM..TO`, for manual runs; none without it.
fn asked_seeds() -> std::ops::Range<u64> {
    let Ok(asked) = std::env::var("HGW_MIXES") else { return 0..0 };
    let (from, to) = asked.split_once("..").expect("FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// Stops a thread, also if the test fails meanwhile.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sends a long prompt that shares a prefix with earlier ones, and waits for the end of the stream.
fn send_long_prompt(fleet: &Fleet, node: usize, id: &str) -> StatusCode {
    let headers = [
        ("x-request-id", id),
        ("x-deadline-ms", "8000"),
        ("x-model", "m"),
        ("x-tokens", "4000,120"),
        ("x-prompt-prefix", "a1:60,b2:3940"),
    ];
    fleet.nodes[node].call(Method::POST, "/ask/", &headers).unwrap().status
}
