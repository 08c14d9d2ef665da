//! Parses the command line and runs the command.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use gumdrop::{Options, ParsingStyle};

use crate::report::{self, ReportSettings};
use crate::settings::ServeSettings;
use crate::{Console, Env, Error, Result, check, exit_code, explain, on_platform, operate, serve};

/// Places many models on few accelerators and serves them.
#[derive(Debug, Options)]
struct Flags {
    /// Print this help
    help: bool,
    /// Print the version
    #[options(short = "V")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
#[expect(clippy::large_enum_variant, reason = "one value exists, at startup")]
enum Command {
    #[options(help = "run a node until SIGTERM or SIGINT")]
    Serve(ServeFlags),
    #[options(help = "validate a configuration document offline")]
    Check(CheckFlags),
    #[options(help = "publish a configuration document through a node")]
    Apply(ApplyFlags),
    #[options(help = "print the outcome of a change")]
    Outcome(OutcomeFlags),
    #[options(help = "print the configuration in force at a node")]
    Get(NodeFlags),
    #[options(help = "print the nodes that a node knows and their configuration versions")]
    Status(NodeFlags),
    #[options(help = "print the full state of a node as JSON")]
    State(NodeFlags),
    #[options(help = "print the events of one request from log lines on standard input")]
    Explain(ExplainFlags),
    #[options(help = "summarize request outcomes and engine load from log lines on standard input")]
    Report(ReportFlags),
}

/// Runs a node. Each option can also be set by an environment variable: HIBISCUSGW_ and the name of the
/// option in upper case, with `_` for `-`.
#[derive(Debug, Default, Options)]
pub(crate) struct ServeFlags {
    /// Print this help
    help: bool,
    /// Print the version
    #[options(short = "V")]
    version: bool,
    /// This node's id, unique among running nodes (required)
    #[options(no_short, meta = "ID")]
    pub(crate) node: Option<String>,
    /// Failure domain of this node (required)
    #[options(no_short, meta = "ID")]
    pub(crate) domain: Option<String>,
    /// Address to listen on for callers (default: 127.0.0.1:8080)
    #[options(no_short, meta = "IP:PORT")]
    pub(crate) callers: Option<String>,
    /// Address to listen on for peers (default: 127.0.0.1:8081)
    #[options(no_short, meta = "IP:PORT")]
    pub(crate) peers: Option<String>,
    /// Address to listen on for operators (default: 127.0.0.1:8082)
    #[options(no_short, meta = "IP:PORT")]
    pub(crate) operators: Option<String>,
    /// Address to listen on for peers where it differs from the one at which they reach this node, only with a
    /// settings file (default: that of --peers)
    #[options(no_short, meta = "IP:PORT")]
    pub(crate) peers_listener: Option<String>,
    /// Address at which peers reach this node (default: that of --peers)
    #[options(no_short, meta = "IP:PORT")]
    pub(crate) advertise: Option<String>,
    /// Address of the platform's log and list of VMs (default: 127.0.0.1:7070)
    #[options(no_short, meta = "IP:PORT")]
    pub(crate) platform: Option<String>,
    /// Secret shared by all nodes (required; prefer the environment variable)
    #[options(no_short, meta = "TEXT")]
    pub(crate) secret: Option<String>,
    /// Token that operator calls must carry (required; prefer the environment variable)
    #[options(no_short, meta = "TEXT")]
    pub(crate) operator_token: Option<String>,
    /// Token sent with orders, for engines that require one
    #[options(no_short, meta = "TEXT")]
    pub(crate) order_token: Option<String>,
    /// Address to serve metrics on, only with a settings file (default: port 9464 of the node)
    #[options(no_short, meta = "IP:PORT")]
    pub(crate) metrics: Option<String>,
    /// Number of idempotency-key shards, the same on all nodes (default: 8)
    #[options(no_short, meta = "N")]
    pub(crate) key_shards: Option<String>,
    /// Number of threads that serve callers (default: 1)
    #[options(no_short, meta = "N")]
    pub(crate) caller_threads: Option<String>,
    /// Maximum number of open caller connections (default: 8192)
    #[options(no_short, meta = "N")]
    pub(crate) max_connections: Option<String>,
    /// Features to switch on, comma-separated, only with a settings file (default: none)
    #[options(no_short, meta = "LIST")]
    pub(crate) enable: Option<String>,
    /// Features to switch off, comma-separated, only with a settings file (default: none)
    #[options(no_short, meta = "LIST")]
    pub(crate) disable: Option<String>,
    /// Maximum number of open caller requests (default: 8192)
    #[options(no_short, meta = "N")]
    pub(crate) max_requests: Option<String>,
    /// Maximum size of a request body in bytes (default: 4194304)
    #[options(no_short, meta = "N")]
    pub(crate) max_body: Option<String>,
    /// Maximum number of tokens that a caller may request (default: 8192)
    #[options(no_short, meta = "N")]
    pub(crate) max_tokens: Option<String>,
    /// Log format, plain or json (default: plain; json with a settings file)
    #[options(no_short, meta = "FORMAT")]
    pub(crate) log_format: Option<String>,
    /// Minimum log level (default: info)
    #[options(no_short, meta = "LEVEL")]
    pub(crate) log_level: Option<String>,
}

#[derive(Debug, Options)]
struct CheckFlags {
    /// Print this help
    help: bool,
    /// Print the version
    #[options(short = "V")]
    version: bool,
    /// The document, as JSON
    #[options(free, required)]
    file: String,
}

#[derive(Debug, Options)]
struct ExplainFlags {
    /// Print this help
    help: bool,
    /// Print the version
    #[options(short = "V")]
    version: bool,
    /// The request's id
    #[options(free, required)]
    id: String,
}

#[derive(Debug, Options)]
struct ReportFlags {
    /// Print this help
    help: bool,
    /// Print the version
    #[options(short = "V")]
    version: bool,
    /// Longest pause between stream events that is not reported as late, in milliseconds
    #[options(no_short, meta = "MS", default = "250")]
    pause: f64,
    /// Write a plot to this file, as SVG
    #[options(no_short, meta = "FILE")]
    svg: Option<String>,
}

/// Queries a node. Each option can also be set by an environment variable: HIBISCUSGW_ and the name of
/// the option in upper case, with `_` for `-`.
#[derive(Debug, Default, Options)]
pub(crate) struct NodeFlags {
    /// Print this help
    help: bool,
    /// Print the version
    #[options(short = "V")]
    version: bool,
    /// Operator listener of the node to call (default: 127.0.0.1:8082)
    #[options(no_short, meta = "IP:PORT")]
    pub(crate) operators: Option<String>,
    /// Operator token (required; prefer the environment variable)
    #[options(no_short, meta = "TEXT")]
    pub(crate) operator_token: Option<String>,
}

impl NodeFlags {
    fn new(operators: &Option<String>, operator_token: &Option<String>) -> Self {
        let (operators, operator_token) = (operators.clone(), operator_token.clone());
        NodeFlags { operators, operator_token, ..NodeFlags::default() }
    }
}

/// Publishes a configuration document. The listener and the token can also be set by environment
/// variables.
#[derive(Debug, Options)]
pub(crate) struct ApplyFlags {
    /// Print this help
    help: bool,
    /// Print the version
    #[options(short = "V")]
    version: bool,
    /// The document, as JSON
    #[options(free, required)]
    pub(crate) file: String,
    /// Version that the document was edited from; 0 if none is in force
    #[options(no_short, required, meta = "N")]
    pub(crate) base: u64,
    /// Id of the change, to query its outcome later; generated by the node if not given
    #[options(no_short, meta = "ID")]
    pub(crate) id: Option<String>,
    /// Operator listener of the node to call (default: 127.0.0.1:8082)
    #[options(no_short, meta = "IP:PORT")]
    operators: Option<String>,
    /// Operator token (required; prefer the environment variable)
    #[options(no_short, meta = "TEXT")]
    operator_token: Option<String>,
}

impl ApplyFlags {
    pub(crate) fn node(&self) -> NodeFlags {
        NodeFlags::new(&self.operators, &self.operator_token)
    }
}

/// Prints the outcome of a change. The listener and the token can also be set by environment variables.
#[derive(Debug, Options)]
struct OutcomeFlags {
    /// Print this help
    help: bool,
    /// Print the version
    #[options(short = "V")]
    version: bool,
    /// Id of the change, as printed by `apply`
    #[options(free, required)]
    id: String,
    /// Operator listener of the node to call (default: 127.0.0.1:8082)
    #[options(no_short, meta = "IP:PORT")]
    operators: Option<String>,
    /// Operator token (required; prefer the environment variable)
    #[options(no_short, meta = "TEXT")]
    operator_token: Option<String>,
}

impl OutcomeFlags {
    fn node(&self) -> NodeFlags {
        NodeFlags::new(&self.operators, &self.operator_token)
    }
}

/// Runs the command that `args` names. Results go to `out`, errors to `err`.
pub fn run(args: &[String], env: &Env<'_>, out: &mut dyn Write, err: &mut dyn Write) -> ExitCode {
    let mut console = Console { out, err };
    match dispatch(args, env, &mut console) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // If standard error is closed, there is nowhere to report the error.
            let _ = writeln!(console.err, "hibiscusgw: {error}");
            exit_code(&error)
        }
    }
}

fn dispatch(args: &[String], env: &Env<'_>, console: &mut Console<'_>) -> Result<()> {
    let flags = Flags::parse_args(args, ParsingStyle::AllOptions)
        .map_err(|e| Error::Usage(e.to_string()))?;
    if flags.help_requested() {
        return print_help(&flags, console);
    }
    let Some(command) = flags.command.as_ref().filter(|c| !flags.version && !c.wants_version())
    else {
        if flags.version || flags.command.is_some() {
            writeln!(console.out, "hibiscusgw {}", env!("CARGO_PKG_VERSION"))?;
            return Ok(());
        }
        return Err(Error::Usage("no command was given".to_owned()));
    };
    match command {
        Command::Serve(flags) => match env(hgw_platform::SETTINGS_ENV_VAR) {
            Some(path) => on_platform::serve(Path::new(&path), flags, env),
            None => serve::serve(&ServeSettings::read(flags, env)?),
        },
        Command::Check(flags) => check::check(&flags.file, console),
        Command::Apply(flags) => operate::apply(flags, env, console),
        Command::Outcome(flags) => operate::outcome(&flags.id, &flags.node(), env, console),
        Command::Get(flags) => operate::get(flags, env, console),
        Command::Status(flags) => operate::status(flags, env, console),
        Command::State(flags) => operate::state(flags, env, console),
        Command::Explain(flags) => {
            explain::explain(&flags.id, &mut std::io::stdin().lock(), console)
        }
        Command::Report(flags) => {
            let settings = ReportSettings { pause_ms: flags.pause, svg: flags.svg.clone() };
            report::report(&settings, &mut std::io::stdin().lock(), console)
        }
    }
}

impl Command {
    fn wants_version(&self) -> bool {
        match self {
            Command::Serve(flags) => flags.version,
            Command::Check(flags) => flags.version,
            Command::Apply(flags) => flags.version,
            Command::Outcome(flags) => flags.version,
            Command::Explain(flags) => flags.version,
            Command::Report(flags) => flags.version,
            Command::Get(flags) | Command::Status(flags) | Command::State(flags) => flags.version,
        }
    }
}

fn print_help(flags: &Flags, console: &mut Console<'_>) -> Result<()> {
    match flags.command.as_ref().and_then(|c| c.command_name().zip(Some(c))) {
        Some((name, command)) => {
            writeln!(
                console.out,
                "Usage: hibiscusgw {name} [OPTIONS]\n\n{}",
                command.self_usage()
            )?;
        }
        None => {
            writeln!(console.out, "Usage: hibiscusgw [OPTIONS] COMMAND\n\n{}", Flags::usage())?;
            writeln!(console.out, "\nCommands:\n{}", Command::usage())?;
        }
    }
    Ok(())
}
