//! The README's first command: two nodes and their stand-ins in one process.

use std::io::Write;
use std::process::ExitCode;

use gumdrop::Options;
use hgw_standins::demo::{Args, run};

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(&args, &mut std::io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            // Where even this cannot be written, the exit code tells.
            let _ = writeln!(std::io::stderr(), "demo: {e}");
            ExitCode::FAILURE
        }
    }
}
