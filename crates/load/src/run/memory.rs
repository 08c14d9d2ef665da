//! Memory of a node for each open stream.

use std::io::{self, Write};
use std::time::Duration;

use hgw_standins::client::Caller;
use hgw_standins::cluster::{Cluster, wait};
use hgw_standins::engine;
use hgw_wire::upstream::EngineState;

use super::{Args, Load, drive, routes, usage};

/// Tokens of an answer that stays open for as long as this takes.
const TOKENS: u32 = 4096;
/// Time between two tokens: long enough that the streams are still open when all have begun.
const STEP: Duration = Duration::from_millis(500);

/// Measures and prints.
pub(super) fn measure(args: &Args, out: &mut dyn Write) -> io::Result<()> {
    let engine =
        engine::Settings { step: STEP, slots: 2 * args.streams, ..engine::Settings::default() };
    let cluster = args.start(engine)?;
    let before = resident(&cluster)?;
    let [_, _, (_, route)] = routes(&cluster);
    let streams = args.streams;
    let load = Load { connections: streams, ..args.load(route, streams as u64, TOKENS) };
    // Ends with errors when the cluster does, which is the end of the measurement.
    let held = std::thread::spawn(move || drive(&load));
    let engine = cluster.deployment.engines[0].addr();
    wait("all streams are open", || {
        let state = Caller::new(engine).and_then(|caller| caller.get::<EngineState>("/state"));
        let active = |state: EngineState| state.models.iter().map(|held| held.active).sum::<u32>();
        state.is_ok_and(|state| active(state) as usize == streams)
    })
    .map_err(io::Error::other)?;
    // Each stream has given a few tokens by then.
    std::thread::sleep(3 * STEP);
    let after = resident(&cluster)?;
    writeln!(out, "\nMemory for {} open streams through two nodes\n", streams)?;
    writeln!(out, "| node | before, KiB | with the streams, KiB | a stream, KiB |")?;
    writeln!(out, "|---|---|---|---|")?;
    for (n, what) in ["dispatcher", "entry"].into_iter().enumerate() {
        let each = after[n].saturating_sub(before[n]) as f64 / streams as f64 / 1024.0;
        writeln!(out, "| {what} | {} | {} | {each:.1} |", before[n] / 1024, after[n] / 1024)?;
    }
    drop(cluster);
    // Its streams have been cut by the end of the nodes, as said above.
    let _ = held.join();
    Ok(())
}

fn resident(cluster: &Cluster) -> io::Result<Vec<u64>> {
    cluster.nodes.iter().map(|node| Ok(usage(node.pid())?.resident)).collect()
}
