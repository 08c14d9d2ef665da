//! Measures the decisions under load, and real nodes under the same request mix.

use std::process::ExitCode;

fn main() -> ExitCode {
    hgw_load::run(gumdrop::parse_args_default_or_exit())
}
