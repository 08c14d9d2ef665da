//! Short requests a second, and the processor time that they take.

use std::io::{self, Write};
use std::time::Duration;

use hgw_standins::cluster::Cluster;
use hgw_standins::engine;

use super::{Args, drive, routes, usage};

/// Tokens of a short answer.
const TOKENS: u32 = 4;

/// Measures and prints.
pub(super) fn measure(args: &Args, out: &mut dyn Write) -> io::Result<()> {
    let engine = engine::Settings {
        step: Duration::ZERO,
        slots: 4 * args.connections,
        ..engine::Settings::default()
    };
    let cluster = args.start(engine)?;
    writeln!(
        out,
        "\nShort requests ({TOKENS} tokens, engine without step time), {} at a time\n",
        args.connections
    )?;
    writeln!(out, "| way | whole | failed | a second | cores used | a second and core |")?;
    writeln!(out, "|---|---|---|---|---|---|")?;
    for (name, route) in routes(&cluster) {
        let before = processor_time(&cluster)?;
        let driven = drive(&args.load(route, args.requests, TOKENS))?;
        let used = processor_time(&cluster)?.saturating_sub(before).as_secs_f64();
        let per_core = match name {
            "straight" => "-".to_owned(),
            _ => format!("{:.0}", driven.whole as f64 / used),
        };
        writeln!(
            out,
            "| {name} | {} | {} | {:.0} | {:.2} | {per_core} |",
            driven.whole,
            driven.failed,
            driven.rate(),
            used / driven.elapsed.as_secs_f64(),
        )?;
    }
    Ok(())
}

/// Processor time of all nodes together.
fn processor_time(cluster: &Cluster) -> io::Result<Duration> {
    cluster.nodes.iter().map(|node| Ok(usage(node.pid())?.cpu)).sum()
}
