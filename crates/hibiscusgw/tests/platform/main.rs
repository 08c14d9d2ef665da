//! Nodes as real processes on the users' platform, which small stand-ins play: what must always hold.

mod apart;
mod calls;
mod heads;
mod lines;
mod orders;
mod session;
mod settings;
mod starts;
mod stopping;
mod streams;
mod words;

use hgw_standins::fleet::{EngineSettings, Fleet};

/// The platform with these engines of models, before the program that is tested.
fn fleet_of(models: Vec<EngineSettings>) -> Fleet {
    Fleet::new(env!("CARGO_BIN_EXE_hibiscusgw"), models)
}
