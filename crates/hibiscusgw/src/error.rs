//! Errors of the commands, with the messages that users see.

use derive_more::{Display, From};

use crate::settings::InvalidSetting;

pub type Result<T> = std::result::Result<T, Error>;

#[derive(Debug, Display, From)]
pub enum Error {
    #[display("{_0}\ntry `hibiscusgw --help`")]
    Usage(String),
    /// Every invalid setting, so that all can be corrected at once.
    #[display("{}", join_lines(_0))]
    Settings(Vec<InvalidSetting>),
    /// A document with every error found in it, each with its place in the document.
    #[display("{file}: {}", errors.join(&format!("\n{file}: ")))]
    #[from(skip)]
    Document { file: String, errors: Vec<String> },
    #[display("{file}: {source}")]
    #[from(skip)]
    File { file: String, source: std::io::Error },
    #[display("{_0}")]
    Net(hgw_net::Error),
    /// The settings file of the platform cannot be read or is invalid.
    #[display("{_0}")]
    Platform(hgw_platform::SettingsError),
    #[display("cannot listen: {_0}")]
    #[from(skip)]
    Listen(std::io::Error),
    #[display("cannot install the signal handlers: {_0}")]
    #[from(skip)]
    Signals(std::io::Error),
    #[display("{_0}")]
    #[from(skip)]
    Call(crate::client::Error),
    /// A change was not applied, or its outcome is unknown.
    #[display("{subject}: {message}")]
    #[from(skip)]
    ChangeNotApplied { subject: String, message: String },
    #[display("cannot start the runtime: {_0}")]
    #[from(skip)]
    Runtime(std::io::Error),
    /// The process ended before its graceful shutdown was complete.
    #[display("the process ended before its shutdown was complete: {}", match _0 {
        hgw_net::Exit::Broken => "a thread broke an invariant",
        _ => "it was forced to stop",
    })]
    #[from(skip)]
    ShutdownIncomplete(hgw_net::Exit),
    #[display("no log line has the request id {_0}")]
    #[from(skip)]
    RequestNotFound(String),
    /// The path of the plot, and the reason.
    #[display("cannot write the plot {_0}: {_1}")]
    #[from(skip)]
    Plot(String, String),
    #[display("cannot read the input or write the output: {_0}")]
    Io(std::io::Error),
    #[display("cannot install the logger: {_0}")]
    Logger(log::SetLoggerError),
}

fn join_lines(errors: &[InvalidSetting]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

impl Error {
    /// Whether the error is in the user's input (exit code 2), not in the environment (exit code 1).
    pub fn is_invalid_input(&self) -> bool {
        matches!(
            self,
            Error::Usage(_)
                | Error::Settings(_)
                | Error::Document { .. }
                | Error::File { .. }
                | Error::Platform(_)
        )
    }
}

impl std::error::Error for Error {}
