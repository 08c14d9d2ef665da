//! Time that one node and two nodes add to the first token and between tokens.

use std::io::{self, Write};
use std::time::Duration;

use hgw_standins::engine;

use super::{Args, Driven, drive, routes};

/// Tokens of an answer.
const TOKENS: u32 = 20;
/// Callers at once; few, as this is about an idle machine.
const CALLERS: usize = 1;
/// Times that each way is driven, in turn, so that a change of the machine meets all of them.
const ROUNDS: u64 = 4;

/// Measures and prints.
pub(super) fn measure(args: &Args, out: &mut dyn Write) -> io::Result<()> {
    let step = Duration::from_millis(5);
    let cluster = args.start(engine::Settings { step, ..engine::Settings::default() })?;
    writeln!(
        out,
        "\nTimes in microseconds, {} requests of {TOKENS} tokens each way, {CALLERS} at a time, \
         engine step {} ms\n",
        args.samples,
        step.as_millis()
    )?;
    writeln!(out, "| way | first token p50 | p99 | between tokens p50 | p99 | failed |")?;
    writeln!(out, "|---|---|---|---|---|---|")?;
    let mut ways = routes(&cluster).map(|(name, route)| (name, route, Vec::<Driven>::new()));
    for _ in 0..ROUNDS {
        for (_, route, rounds) in &mut ways {
            let mut load = args.load(route.clone(), args.samples / ROUNDS, TOKENS);
            load.connections = CALLERS;
            rounds.push(drive(&load)?);
        }
    }
    for (name, _, rounds) in ways {
        writeln!(out, "| {name} | {} |", row(&Driven::sum(&rounds)))?;
    }
    Ok(())
}

fn row(driven: &Driven) -> String {
    let at = |hist: &hdrhistogram::Histogram<u64>, q| hist.value_at_quantile(q);
    let Driven { first, between, failed, .. } = driven;
    let times = [at(first, 0.5), at(first, 0.99), at(between, 0.5), at(between, 0.99)];
    format!("{} | {failed}", times.map(|us| us.to_string()).join(" | "))
}
