//! The gateway as a library: command line, settings, logging and startup.

mod check;
pub mod client;
mod command;
mod error;
mod explain;
mod log_lines;
mod logging;
mod on_platform;
mod operate;
mod report;
mod serve;
mod settings;

use std::io::Write;
use std::process::ExitCode;

pub use command::run;
pub use error::{Error, Result};
pub use logging::{LogFormat, init_logging};
pub use serve::{RunningNode, start_node};
pub use settings::{InvalidSetting, ServeSettings};

/// Looks up an environment variable.
pub type Env<'a> = dyn Fn(&str) -> Option<String> + 'a;

/// Output streams of a command: results and errors.
pub(crate) struct Console<'a> {
    pub(crate) out: &'a mut dyn Write,
    pub(crate) err: &'a mut dyn Write,
}

/// Exit code for invalid settings, arguments or documents.
pub(crate) const EXIT_INVALID: u8 = 2;

pub(crate) fn exit_code(error: &Error) -> ExitCode {
    if error.is_invalid_input() { ExitCode::from(EXIT_INVALID) } else { ExitCode::FAILURE }
}
