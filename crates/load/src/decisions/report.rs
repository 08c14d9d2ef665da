use std::io::{Result, Write};

use gumdrop::Options;

use super::deployment::{Deployment, TASMAN, VALDIVIESO};
use super::policy::{Policy, all};
use super::scenario::{SCENARIOS, Scenario};
use super::{Outcome, play};

/// What to measure.
#[derive(Debug, Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// Measures the variants of the product too.
    pub variants: bool,
    /// Only scenarios whose name contains this.
    #[options(meta = "TEXT")]
    pub only: Option<String>,
    /// Seed of the requests.
    #[options(default = "1", meta = "N")]
    pub seed: u64,
}

/// A scenario at a deployment, with the outcome under each policy.
struct Row {
    deployment: &'static Deployment,
    scenario: &'static Scenario,
    outcomes: Vec<Outcome>,
}

/// Runs all scenarios and prints a line for each policy, the geometric means last.
pub fn run(args: &Args, out: &mut dyn Write) -> Result<()> {
    let policies: Vec<Policy> = all()
        .into_iter()
        .filter(|p| args.variants || p.baseline || p.name == all()[0].name)
        .collect();
    let wanted = |s: &&Scenario| args.only.as_ref().is_none_or(|text| s.name.contains(text));
    writeln!(
        out,
        "{:<11}{:<19}{:<20}{:>8}{:>8}{:>7}{:>9}{:>7}{:>8}{:>9}{:>10}{:>8}{:>7}{:>22}",
        "deployment",
        "scenario",
        "policy",
        "att/acc",
        "share",
        "moves",
        "refused",
        "tries",
        "resumed",
        "wait ms",
        "deferred",
        "unreach",
        "long",
        "idle/prompt/urg/def"
    )?;
    let mut rows = Vec::new();
    for deployment in [&VALDIVIESO, &TASMAN] {
        for scenario in SCENARIOS.iter().filter(wanted) {
            let outcomes = play_all(deployment, scenario, &policies, args.seed);
            let row = Row { deployment, scenario, outcomes };
            print(out, &row, &policies)?;
            rows.push(row);
        }
    }
    summary(out, &rows, &policies)
}

fn play_all(
    deployment: &Deployment,
    scenario: &Scenario,
    policies: &[Policy],
    seed: u64,
) -> Vec<Outcome> {
    std::thread::scope(|scope| {
        let run = |p| scope.spawn(move || play(deployment, scenario, p, seed));
        let threads: Vec<_> = policies.iter().map(run).collect();
        threads.into_iter().map(|t| t.join().expect("a run must not panic")).collect()
    })
}

fn print(out: &mut dyn Write, row: &Row, policies: &[Policy]) -> Result<()> {
    for (policy, o) in policies.iter().zip(&row.outcomes) {
        writeln!(
            out,
            "{:<11}{:<19}{:<20}{:>8.2}{:>7.1}%{:>7}{:>9}{:>7.3}{:>8}{:>9.1}{:>9.1}%{:>8}{:>6.0}%{:>22}",
            row.deployment.name,
            row.scenario.name,
            policy.name,
            o.attainment(),
            o.share() * 100.0,
            o.moves,
            o.refused.0,
            o.tries_per_request(),
            o.resumed,
            o.worst_wait.as_secs_f64() * 1000.0,
            100.0 * f64::from(o.deferrable.1) / f64::from(o.deferrable.0.max(1)),
            o.unreachable,
            100.0 * f64::from(o.long.1) / f64::from(o.long.0.max(1)),
            shares(&o.slot_steps),
        )?;
    }
    Ok(())
}

/// What the slots did, in hundredths.
fn shares(steps: &[u64; 4]) -> String {
    let sum = steps.iter().sum::<u64>().max(1);
    steps.map(|n| (n * 100 / sum).to_string()).join("/")
}

/// Geometric mean over the rows.
fn mean(rows: &[Row], value: impl Fn(&Row) -> f64) -> f64 {
    let sum: f64 = rows.iter().map(|r| value(r).max(1e-9).ln()).sum();
    (sum / rows.len().max(1) as f64).exp()
}

/// One more than the moves, so that a run without any has a place in a geometric mean.
fn moves(o: &Outcome) -> f64 {
    f64::from(o.moves) + 1.0
}

fn summary(out: &mut dyn Write, rows: &[Row], policies: &[Policy]) -> Result<()> {
    for (i, policy) in policies.iter().enumerate() {
        let attainment = mean(rows, |r| r.outcomes[i].attainment());
        let moved = mean(rows, |r| moves(&r.outcomes[i])) - 1.0;
        let against = mean(rows, |r| r.outcomes[0].attainment() / r.outcomes[i].attainment());
        writeln!(
            out,
            "mean of {:<20} attainment {attainment:.3} moves {moved:.1}; product is {against:.3} times that",
            policy.name
        )?;
    }
    let Some(best) = best_baseline(rows, policies) else { return Ok(()) };
    let best_of = |r: &Row| {
        let baselines = policies.iter().zip(&r.outcomes).filter(|(p, _)| p.baseline);
        baselines.map(|(_, o)| o.attainment()).fold(0.0, f64::max)
    };
    let ratio = |r: &Row| r.outcomes[0].attainment() / r.outcomes[best].attainment();
    let worst = rows.iter().min_by(|a, b| ratio(a).total_cmp(&ratio(b)));
    if let Some(w) = worst {
        let (place, name) = (w.deployment.name, w.scenario.name);
        writeln!(out, "worst scenario: {place}, {name}: {:.3}", ratio(w))?;
    }
    let strict = mean(rows, |r| r.outcomes[0].attainment() / best_of(r));
    writeln!(out, "against the best baseline of each scenario: {strict:.3}")?;
    writeln!(
        out,
        "against {}, the best baseline: attainment {:.3}, moves {:.3}",
        policies[best].name,
        mean(rows, ratio),
        mean(rows, |r| moves(&r.outcomes[0]) / moves(&r.outcomes[best])),
    )
}

fn best_baseline(rows: &[Row], policies: &[Policy]) -> Option<usize> {
    let baselines = (0..policies.len()).filter(|i| policies[*i].baseline);
    baselines.max_by(|a, b| {
        let value = |i: usize| mean(rows, |r| r.outcomes[i].attainment());
        value(*a).total_cmp(&value(*b))
    })
}
