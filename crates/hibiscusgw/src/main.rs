//! The command line entry point: parses, runs, and turns the outcome into an exit code.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let env = |name: &str| std::env::var(name).ok();
    hibiscusgw::run(&args, &env, &mut std::io::stdout(), &mut std::io::stderr())
}
