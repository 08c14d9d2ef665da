//! What the control of a node costs, by role and by size: `cargo bench -p hgw-node --bench control`.
//!
//! Real nodes are joined by hand under virtual time, without sockets, so that the figures are those of
//! the state machine alone; `crates/net/benches/hop.rs` measures the threads. Each slope is a straight
//! line through its points. Arguments choose parts: `idle`, `roles`, `requests`, `keys`, `documents`,
//! `takeover`; all without any.

mod document;
#[path = "../../tests/support/engine.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod engine;
mod fit;
#[path = "../../tests/support/log.rs"]
mod log;
mod slopes;
mod takeover;
mod world;

const PARTS: [(&str, fn()); 6] = [
    ("idle", slopes::idle),
    ("roles", slopes::roles),
    ("requests", slopes::requests),
    ("keys", slopes::keys),
    ("documents", slopes::documents),
    ("takeover", takeover::takeover),
];

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    for (name, part) in PARTS {
        if wanted.is_empty() || wanted.iter().any(|w| w == name) {
            part();
        }
    }
}

#[expect(clippy::print_stdout, reason = "the figures are what the program is for")]
pub(crate) fn say(line: &str) {
    println!("{line}");
}
