use derive_more::{Display, From};

use crate::settings::Fault;

/// Outcome of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command failed, with a message for its user.
#[derive(Debug, Display, From)]
pub enum Error {
    /// The command line does not parse.
    #[display("{_0}\ntry `hibiscusgw --help`")]
    Usage(String),
    /// Settings are not valid; all that were found.
    #[display("{}", faults(_0))]
    Settings(Vec<Fault>),
    /// A configuration document is not valid.
    #[display("{file}: {}", faults.join(&format!("\n{file}: ")))]
    #[from(skip)]
    Document {
        /// The file.
        file: String,
        /// What is wrong, each with its place.
        faults: Vec<String>,
    },
    /// A file cannot be read.
    #[display("{file}: {source}")]
    #[from(skip)]
    File {
        /// The file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// The process cannot start.
    #[display("{_0}")]
    Net(hgw_net::Error),
    /// The platform's settings file cannot be used.
    #[display("{_0}")]
    Platform(hgw_platform::SettingsError),
    /// A node on the platform cannot listen.
    #[display("cannot listen: {_0}")]
    #[from(skip)]
    Listen(std::io::Error),
    /// Signals cannot be waited for.
    #[display("cannot wait for signals: {_0}")]
    #[from(skip)]
    Signals(std::io::Error),
    /// A node did not answer an operator's call.
    #[display("{_0}")]
    #[from(skip)]
    Call(crate::client::Error),
    /// A change is not in force, or that is not known.
    #[display("{subject}: {message}")]
    #[from(skip)]
    NotInForce {
        /// What was to be in force.
        subject: String,
        /// Why it is not, and what to do.
        message: String,
    },
    /// Calls cannot be made.
    #[display("cannot make calls: {_0}")]
    #[from(skip)]
    Runtime(std::io::Error),
    /// The process ended before its planned stop was done.
    #[display("the process ended early: {}", match _0 {
        hgw_net::Exit::Broken => "a thread broke an invariant",
        _ => "it was told to end at once",
    })]
    #[from(skip)]
    NotFinished(hgw_net::Exit),
    /// No log line names a request.
    #[display("no line names the request {_0}")]
    #[from(skip)]
    NotLogged(String),
    /// A plot cannot be written.
    #[display("cannot write the plot {_0}: {_1}")]
    #[from(skip)]
    Plot(String, String),
    /// Results cannot be printed.
    #[display("cannot print: {_0}")]
    Print(std::io::Error),
    /// The log of the process cannot be set up.
    #[display("cannot log: {_0}")]
    Log(log::SetLoggerError),
}

fn faults(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

impl Error {
    /// Whether what the user gave is at fault, and not the surroundings.
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
