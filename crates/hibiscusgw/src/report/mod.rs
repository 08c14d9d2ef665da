//! `report`: summarizes request outcomes, stream pauses and engine load from the log lines of nodes.

mod plot;

use std::io::BufRead;

use hgw_direct::Refusal;
use hgw_events::Event;
use indexmap::IndexMap;

use crate::lines::{Line, read};
use crate::{Console, Result};

use plot::Plot;

/// Width of a histogram bin.
const BAR_MS: u64 = 20;

/// Longer pauses are counted in one bin.
const LAST_BAR_MS: u64 = 1_000;

const BAR_CHARS: usize = 50;

/// Window over which the load of an engine is averaged.
const WINDOW_S: f64 = 2.0;

/// Requests at an engine above which long pauses of its streams are expected.
const MANY: f64 = 32.0;

/// Most reasons of refusals and failures that are printed.
const MOST_KINDS: usize = 12;

#[derive(Debug, Clone, Default)]
pub(crate) struct ReportSettings {
    /// Longest pause of a stream that is not reported as late.
    pub(crate) pause_ms: f64,
    /// Path of the plot.
    pub(crate) svg: Option<String>,
}

/// Prints the report, and writes the plot if a path is set.
pub(crate) fn report(
    settings: &ReportSettings,
    input: &mut dyn BufRead,
    console: &mut Console<'_>,
) -> Result<()> {
    let lines = read(input)?;
    let streams: Vec<&Line> = lines
        .iter()
        .filter(|l| l.is(Event::RequestServed) && !l.field("wanted").is_empty())
        .collect();
    let began = lines.first().map_or(0.0, |l| l.time);
    let pauses = pauses(&streams);
    let loads = loads(&streams, began);
    print_routes(&lines, console)?;
    print_customers(&lines, console)?;
    print_late(&streams, settings.pause_ms, console)?;
    print_pauses(&pauses, console)?;
    print_loads(&loads, console)?;
    print_kinds(&lines, console)?;
    if let Some(path) = &settings.svg {
        Plot { pauses: &pauses, loads: &loads, pause_ms: settings.pause_ms }.write(path)?;
    }
    Ok(())
}

/// Final events of requests, grouped by the value of a field.
fn ends_by<'a>(lines: &'a [Line], field: &str) -> IndexMap<&'a str, Vec<&'a Line>> {
    let mut by: IndexMap<&str, Vec<&Line>> = IndexMap::new();
    let ends =
        [Event::RequestServed, Event::RequestRefused, Event::RequestFailed, Event::CallerLeft];
    for line in lines.iter().filter(|l| ends.iter().any(|end| l.is(*end))) {
        by.entry(line.field(field)).or_default().push(line);
    }
    by.sort_unstable_keys();
    by
}

/// Request outcomes by customer; prints nothing if no line names a customer.
fn print_customers(lines: &[Line], console: &mut Console<'_>) -> Result<()> {
    let mut customers = ends_by(lines, "customer");
    customers.shift_remove("");
    if customers.is_empty() {
        return Ok(());
    }
    writeln!(
        console.out,
        "\ncustomer         served refused  failed  over the limit  no allowance"
    )?;
    for (customer, lines) in customers {
        let count = |event| lines.iter().filter(|l| l.is(event)).count();
        let why = |why: Refusal| {
            let why = why.to_string();
            lines.iter().filter(|l| l.field("why") == why).count()
        };
        writeln!(
            console.out,
            "{customer:<15} {:>7} {:>7} {:>7} {:>15} {:>13}",
            count(Event::RequestServed),
            count(Event::RequestRefused),
            count(Event::RequestFailed),
            why(Refusal::OverLimit),
            why(Refusal::NoAllowance),
        )?;
    }
    Ok(())
}

/// Request outcomes and response times by route.
fn print_routes(lines: &[Line], console: &mut Console<'_>) -> Result<()> {
    let routes = ends_by(lines, "route");
    writeln!(console.out, "route            served refused  failed    left  p50 ms  p99 ms")?;
    for (route, lines) in routes {
        let count = |event| lines.iter().filter(|l| l.is(event)).count();
        let served = lines.iter().filter(|l| l.is(Event::RequestServed));
        let times: Vec<f64> = served.filter_map(|l| l.number("ms")).collect();
        writeln!(
            console.out,
            "{route:<15} {:>7} {:>7} {:>7} {:>7} {:>7.0} {:>7.0}",
            count(Event::RequestServed),
            count(Event::RequestRefused),
            count(Event::RequestFailed),
            count(Event::CallerLeft),
            part_of(&times, 0.5),
            part_of(&times, 0.99),
        )?;
    }
    Ok(())
}

/// Streams with a pause above the limit, by likely cause.
fn print_late(streams: &[&Line], pause_ms: f64, console: &mut Console<'_>) -> Result<()> {
    let late = streams.iter().filter(|l| l.number("longest_pause_ms").unwrap_or(0.0) > pause_ms);
    let mut causes: IndexMap<&str, usize> = IndexMap::new();
    for line in late {
        let resumed = line.number("runs").unwrap_or(0.0) > 1.0;
        let many = line.number("at_engine").unwrap_or(0.0) >= MANY;
        let cause = match (resumed, many) {
            (true, _) => "resumed at another engine",
            (false, true) => "32 or more requests at the engine",
            (false, false) => "fewer requests at the engine",
        };
        *causes.entry(cause).or_default() += 1;
    }
    causes.sort_by(|_, a, _, b| b.cmp(a));
    let sum: usize = causes.values().sum();
    writeln!(
        console.out,
        "\n{sum} of {} complete streams paused for more than {pause_ms} ms",
        streams.len()
    )?;
    for (cause, count) in causes {
        writeln!(console.out, "{count:>7}  {cause}")?;
    }
    Ok(())
}

/// Histogram of the longest pause of each stream, by the lower bound of the bin.
fn pauses(streams: &[&Line]) -> IndexMap<u64, usize> {
    let mut bars = IndexMap::new();
    for pause in streams.iter().filter_map(|l| l.number("longest_pause_ms")) {
        let bar = (pause.max(0.0) as u64 / BAR_MS * BAR_MS).min(LAST_BAR_MS);
        *bars.entry(bar).or_default() += 1;
    }
    bars.sort_unstable_keys();
    bars
}

fn print_pauses(pauses: &IndexMap<u64, usize>, console: &mut Console<'_>) -> Result<()> {
    writeln!(console.out, "\nlongest pause, from ms")?;
    let most = pauses.values().copied().max().unwrap_or(0).max(1);
    for (bar, count) in pauses {
        let chars = "#".repeat((count * BAR_CHARS).div_ceil(most));
        writeln!(console.out, "{bar:>7} {count:>6} {chars}")?;
    }
    Ok(())
}

/// Mean number of requests at each engine by window, from the streams that ended in the window.
fn loads(streams: &[&Line], began: f64) -> IndexMap<u64, IndexMap<String, f64>> {
    let mut sums: IndexMap<u64, IndexMap<String, (f64, f64)>> = IndexMap::new();
    for line in streams {
        let Some(load) = line.number("at_engine") else { continue };
        let window = ((line.time - began) / WINDOW_S) as u64;
        let engines = sums.entry(window).or_default();
        let (sum, count) = engines.entry(line.field("upstream").to_owned()).or_default();
        *sum += load;
        *count += 1.0;
    }
    sums.sort_unstable_keys();
    let mean = |engines: IndexMap<String, (f64, f64)>| {
        engines.into_iter().map(|(engine, (sum, count))| (engine, sum / count)).collect()
    };
    sums.into_iter().map(|(window, engines)| (window, mean(engines))).collect()
}

fn print_loads(
    loads: &IndexMap<u64, IndexMap<String, f64>>,
    console: &mut Console<'_>,
) -> Result<()> {
    writeln!(console.out, "\nfrom s  engines  mean load   max  at")?;
    for (window, engines) in loads {
        let mean = engines.values().sum::<f64>() / engines.len().max(1) as f64;
        let most = engines.iter().max_by(|a, b| a.1.total_cmp(b.1));
        let Some((engine, most)) = most else { continue };
        let from = *window as f64 * WINDOW_S;
        writeln!(
            console.out,
            "{from:>6.0} {:>8} {mean:>10.1} {most:>5.1}  {engine}",
            engines.len()
        )?;
    }
    Ok(())
}

/// Refusals and failures by reason. Each retry of a caller has its own request id, so its result is not
/// matched to the refusal before it.
fn print_kinds(lines: &[Line], console: &mut Console<'_>) -> Result<()> {
    let mut kinds: IndexMap<(&str, &str), usize> = IndexMap::new();
    for line in lines {
        let what = match (line.is(Event::RequestRefused), line.is(Event::RequestFailed)) {
            (true, _) => "refused",
            (_, true) => "failed",
            (false, false) => continue,
        };
        *kinds.entry((what, line.field("why"))).or_default() += 1;
    }
    kinds.sort_by(|_, a, _, b| b.cmp(a));
    writeln!(console.out, "\nrefusals and failures by reason")?;
    for ((what, why), count) in kinds.iter().take(MOST_KINDS) {
        writeln!(console.out, "{count:>7}  {what}: {why}")?;
    }
    Ok(())
}

/// The value below which the fraction `part` of the values lies.
fn part_of(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (part * sorted.len() as f64) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
