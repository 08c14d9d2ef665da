//! Entry point of the `hibiscusgw` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let env = |name: &str| std::env::var(name).ok();
    hibiscusgw::run(&args, &env, &mut std::io::stdout(), &mut std::io::stderr())
}
