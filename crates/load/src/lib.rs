//! The load tool: `load decisions` measures the decision code in virtual time, `load run` real nodes.

pub mod decisions;
pub mod run;

use std::io::Write;
use std::process::ExitCode;

use gumdrop::Options;

/// Command line of the load tool.
#[derive(Debug, Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What the load tool can do.
#[derive(Debug, Options)]
pub enum Command {
    /// Runs the decision code through all scenarios, beside the baselines.
    Decisions(decisions::Args),
    /// Drives real nodes beside callers that go straight to the stand-in engine.
    Run(run::Args),
}

/// Runs the command and says how it went.
pub fn run(args: Args) -> ExitCode {
    let out = &mut std::io::stdout().lock();
    let done = match args.command {
        Some(Command::Decisions(args)) => decisions::run(&args, out),
        Some(Command::Run(args)) => run::run(&args, out),
        None => writeln!(out, "{}", Args::usage()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log_error(&e);
            ExitCode::FAILURE
        }
    }
}

fn log_error(e: &std::io::Error) {
    // Standard output may be what has failed; there is nobody left to tell if this fails too.
    let _ = writeln!(std::io::stderr(), "load: {e}");
}
