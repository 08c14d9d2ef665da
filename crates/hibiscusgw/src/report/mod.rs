//! `report`: summarizes request outcomes, stream pauses and engine load from the log lines of nodes.

mod plot;

use std::io::BufRead;

use hgw_direct::Refusal;
use hgw_events::Event;
use indexmap::IndexMap;

use crate::log_lines::{LogLine, read_log_lines};
use crate::{Console, Result};

use plot::Plot;

/// Width of a histogram bin.
const BIN_MS: u64 = 20;

/// Longer pauses are counted in one bin.
const LAST_BIN_MS: u64 = 1_000;

const MAX_BAR_CHARS: usize = 50;

/// Window over which the load of an engine is averaged.
const LOAD_WINDOW_S: f64 = 2.0;

/// Requests at an engine above which long pauses of its streams are expected.
const CROWDED_ENGINE_REQUESTS: f64 = 32.0;

/// Most reasons of refusals and failures that are printed.
const MAX_REASONS: usize = 12;

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
    let lines = read_log_lines(input)?;
    let streams: Vec<&LogLine> = lines
        .iter()
        .filter(|l| l.is_event(Event::RequestServed) && !l.text_field("wanted").is_empty())
        .collect();
    let start = lines.first().map_or(0.0, |l| l.time);
    let pause_histogram = pause_histogram(&streams);
    let mean_loads = mean_loads(&streams, start);
    print_routes(&lines, console)?;
    print_customers(&lines, console)?;
    print_late_streams(&streams, settings.pause_ms, console)?;
    print_pause_histogram(&pause_histogram, console)?;
    print_mean_loads(&mean_loads, console)?;
    print_failure_reasons(&lines, console)?;
    if let Some(path) = &settings.svg {
        Plot {
            pause_histogram: &pause_histogram,
            mean_loads: &mean_loads,
            pause_ms: settings.pause_ms,
        }
        .write(path)?;
    }
    Ok(())
}

/// Final events of requests, grouped by the value of a field.
fn group_final_events<'a>(
    lines: &'a [LogLine],
    field: &str,
) -> IndexMap<&'a str, Vec<&'a LogLine>> {
    let mut groups: IndexMap<&str, Vec<&LogLine>> = IndexMap::new();
    let final_events =
        [Event::RequestServed, Event::RequestRefused, Event::RequestFailed, Event::CallerLeft];
    for line in lines.iter().filter(|l| final_events.iter().any(|end| l.is_event(*end))) {
        groups.entry(line.text_field(field)).or_default().push(line);
    }
    groups.sort_unstable_keys();
    groups
}

/// Request outcomes by customer; prints nothing if no line names a customer.
fn print_customers(lines: &[LogLine], console: &mut Console<'_>) -> Result<()> {
    let mut customers = group_final_events(lines, "customer");
    customers.shift_remove("");
    if customers.is_empty() {
        return Ok(());
    }
    writeln!(
        console.out,
        "\ncustomer         served refused  failed  over the limit  no allowance"
    )?;
    for (customer, lines) in customers {
        let count = |event| lines.iter().filter(|l| l.is_event(event)).count();
        let why = |why: Refusal| {
            let why = why.to_string();
            lines.iter().filter(|l| l.text_field("why") == why).count()
        };
        writeln!(
            console.out,
            "{customer:<15} {:>7} {:>7} {:>7} {:>15} {:>13}",
            count(Event::RequestServed),
            count(Event::RequestRefused),
            count(Event::RequestFailed),
            why(Refusal::QuotaExceeded),
            why(Refusal::QuotaUnknown),
        )?;
    }
    Ok(())
}

/// Request outcomes and response times by route.
fn print_routes(lines: &[LogLine], console: &mut Console<'_>) -> Result<()> {
    let routes = group_final_events(lines, "route");
    writeln!(console.out, "route            served refused  failed    left  p50 ms  p99 ms")?;
    for (route, lines) in routes {
        let count = |event| lines.iter().filter(|l| l.is_event(event)).count();
        let served = lines.iter().filter(|l| l.is_event(Event::RequestServed));
        let times: Vec<f64> = served.filter_map(|l| l.number_field("ms")).collect();
        writeln!(
            console.out,
            "{route:<15} {:>7} {:>7} {:>7} {:>7} {:>7.0} {:>7.0}",
            count(Event::RequestServed),
            count(Event::RequestRefused),
            count(Event::RequestFailed),
            count(Event::CallerLeft),
            quantile(&times, 0.5),
            quantile(&times, 0.99),
        )?;
    }
    Ok(())
}

/// Streams with a pause above the limit, by likely cause.
fn print_late_streams(
    streams: &[&LogLine],
    pause_ms: f64,
    console: &mut Console<'_>,
) -> Result<()> {
    let late =
        streams.iter().filter(|l| l.number_field("longest_pause_ms").unwrap_or(0.0) > pause_ms);
    let mut causes: IndexMap<&str, usize> = IndexMap::new();
    for line in late {
        let resumed = line.number_field("runs").unwrap_or(0.0) > 1.0;
        let crowded = line.number_field("at_engine").unwrap_or(0.0) >= CROWDED_ENGINE_REQUESTS;
        let cause = match (resumed, crowded) {
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
fn pause_histogram(streams: &[&LogLine]) -> IndexMap<u64, usize> {
    let mut bins = IndexMap::new();
    for pause in streams.iter().filter_map(|l| l.number_field("longest_pause_ms")) {
        let bin = (pause.max(0.0) as u64 / BIN_MS * BIN_MS).min(LAST_BIN_MS);
        *bins.entry(bin).or_default() += 1;
    }
    bins.sort_unstable_keys();
    bins
}

fn print_pause_histogram(
    pause_histogram: &IndexMap<u64, usize>,
    console: &mut Console<'_>,
) -> Result<()> {
    writeln!(console.out, "\nlongest pause, from ms")?;
    let max = pause_histogram.values().copied().max().unwrap_or(0).max(1);
    for (bin, count) in pause_histogram {
        let chars = "#".repeat((count * MAX_BAR_CHARS).div_ceil(max));
        writeln!(console.out, "{bin:>7} {count:>6} {chars}")?;
    }
    Ok(())
}

/// Mean number of requests at each engine by window, from the streams that ended in the window.
fn mean_loads(streams: &[&LogLine], start: f64) -> IndexMap<u64, IndexMap<String, f64>> {
    let mut sums: IndexMap<u64, IndexMap<String, (f64, f64)>> = IndexMap::new();
    for line in streams {
        let Some(load) = line.number_field("at_engine") else { continue };
        let window = ((line.time - start) / LOAD_WINDOW_S) as u64;
        let engines = sums.entry(window).or_default();
        let (sum, count) = engines.entry(line.text_field("upstream").to_owned()).or_default();
        *sum += load;
        *count += 1.0;
    }
    sums.sort_unstable_keys();
    let mean = |engines: IndexMap<String, (f64, f64)>| {
        engines.into_iter().map(|(engine, (sum, count))| (engine, sum / count)).collect()
    };
    sums.into_iter().map(|(window, engines)| (window, mean(engines))).collect()
}

fn print_mean_loads(
    mean_loads: &IndexMap<u64, IndexMap<String, f64>>,
    console: &mut Console<'_>,
) -> Result<()> {
    writeln!(console.out, "\nfrom s  engines  mean load   max  at")?;
    for (window, engines) in mean_loads {
        let mean = engines.values().sum::<f64>() / engines.len().max(1) as f64;
        let max = engines.iter().max_by(|a, b| a.1.total_cmp(b.1));
        let Some((engine, max)) = max else { continue };
        let from = *window as f64 * LOAD_WINDOW_S;
        writeln!(
            console.out,
            "{from:>6.0} {:>8} {mean:>10.1} {max:>5.1}  {engine}",
            engines.len()
        )?;
    }
    Ok(())
}

/// Refusals and failures by reason. Each retry of a caller has its own request id, so its result is not
/// matched to the refusal before it.
fn print_failure_reasons(lines: &[LogLine], console: &mut Console<'_>) -> Result<()> {
    let mut reasons: IndexMap<(&str, &str), usize> = IndexMap::new();
    for line in lines {
        let what = match (line.is_event(Event::RequestRefused), line.is_event(Event::RequestFailed))
        {
            (true, _) => "refused",
            (_, true) => "failed",
            (false, false) => continue,
        };
        *reasons.entry((what, line.text_field("why"))).or_default() += 1;
    }
    reasons.sort_by(|_, a, _, b| b.cmp(a));
    writeln!(console.out, "\nrefusals and failures by reason")?;
    for ((what, why), count) in reasons.iter().take(MAX_REASONS) {
        writeln!(console.out, "{count:>7}  {what}: {why}")?;
    }
    Ok(())
}

/// The value below which this fraction of the values lies.
fn quantile(values: &[f64], fraction: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (fraction * sorted.len() as f64) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
