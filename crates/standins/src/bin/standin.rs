//! Runs one stand-in, or all of them, until the process is ended.

use std::io::Write;
use std::process::ExitCode;

use gumdrop::Options;
use hgw_standins::command::{Command, Standin, run};

fn main() -> ExitCode {
    let command = Command::parse_args_default_or_exit();
    let started = match run(&command) {
        Ok(started) => started,
        Err(e) => return fail(&e.to_string()),
    };
    if tell(&started).is_err() {
        return ExitCode::FAILURE;
    }
    loop {
        std::thread::park();
    }
}

/// Prints a line for each stand-in, for those who wait for it.
fn tell(started: &[Standin]) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    for standin in started {
        writeln!(out, "{} listening on {}", standin.name, standin.running.addr())?;
    }
    out.flush()
}

fn fail(error: &str) -> ExitCode {
    // Where even this cannot be written, the exit code tells.
    let _ = writeln!(std::io::stderr(), "standin: {error}");
    ExitCode::from(2)
}
