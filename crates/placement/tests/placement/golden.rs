//! Transcripts of a leader change, compared with snapshots.

use std::time::Duration;

use hgw_config::Fencing::{self, Ignores, Refuses};

use crate::support::{Fault, World, document};

/// A starts the domain and dies with a delayed load in flight. B takes over, counts that load until
/// it has arrived or expired, changes a version, and removes a model.
fn takeover(fencing: Fencing) -> String {
    let engines = [("e1", "d1", 100, fencing), ("e2", "d1", 100, fencing)];
    let mut world = World::new(document(&engines, &[("a", "1", 60), ("b", "1", 45)]), 2);
    world.faults.push_back(Fault::Delayed(Duration::from_secs(6)));
    world.claim(0);
    world.run_secs(1);
    world.kill(0);
    world.claim(1);
    world.run_secs(12);
    world.configure(document(&engines, &[("a", "1", 60), ("b", "2", 45)]));
    world.run_secs(12);
    world.request_adapter(1, "a", "a-a");
    world.run_secs(3);
    world.configure(document(&engines, &[("a", "1", 60)]));
    world.run_secs(12);
    world.check(&[("a", "1")]);
    world.transcript
}

cases! {
    takeover_with_engines_that_refuse_old_fences
        => insta::assert_snapshot!("takeover_refusing", takeover(Refuses));
    takeover_with_engines_that_ignore_fences
        => insta::assert_snapshot!("takeover_ignoring", takeover(Ignores));
}
