//! Stand-ins as processes of their own.

use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use crate::{Running, engine, plain, platform, weights};

/// Where stand-ins run.
#[derive(Debug, Clone, Default)]
pub enum Place {
    /// On threads of this process.
    #[default]
    Threads,
    /// As processes of the `standin` program at this path.
    Processes(PathBuf),
}

/// What the program prints before its address.
const ANNOUNCEMENT: &str = "listening on ";

impl Place {
    pub(crate) fn platform(&self, settings: &platform::Settings) -> io::Result<Running> {
        match self {
            Place::Threads => platform::start(settings.clone()),
            Place::Processes(program) => {
                let rate = settings.log.appends_per_second.to_string();
                spawn(program, &["platform", "--rate", &rate])
            }
        }
    }

    pub(crate) fn weights(&self, settings: &weights::Settings) -> io::Result<Running> {
        match self {
            Place::Threads => weights::start(settings.clone()),
            Place::Processes(program) => spawn(program, &["weights"]),
        }
    }

    pub(crate) fn plain(&self, settings: &plain::Settings) -> io::Result<Running> {
        match self {
            Place::Threads => plain::start(settings.clone()),
            Place::Processes(program) => spawn(program, &["plain"]),
        }
    }

    pub(crate) fn engine(&self, settings: engine::Settings) -> io::Result<Running> {
        let Place::Processes(program) = self else { return engine::start(settings) };
        let mut arguments = vec!["engine".to_owned()];
        let mut add = |name: &str, value: String| arguments.extend([format!("--{name}"), value]);
        add("memory", settings.memory.to_string());
        add("slots", settings.slots.to_string());
        add("step-ms", settings.step.as_millis().to_string());
        add("load-ms", settings.load_time.as_millis().to_string());
        if let Some(token) = settings.order_token {
            add("order-token", token);
        }
        if let Some(weights) = settings.weights {
            add("weights", weights.to_string());
        }
        if !settings.refuses_old_orders {
            arguments.push("--ignores-fences".into());
        }
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        spawn(program, &arguments)
    }
}

/// Starts an engine of a fleet as a process of this `standin` program, with the options of `fleet-engine`.
pub fn fleet_engine(program: &Path, options: &[&str]) -> io::Result<Running> {
    spawn(program, &[&["fleet-engine"], options].concat())
}

/// Starts the program and waits until it says where it listens.
fn spawn(program: &Path, arguments: &[&str]) -> io::Result<Running> {
    let mut child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let mut line = String::new();
    if let Some(stdout) = child.stdout.take() {
        BufReader::new(stdout).read_line(&mut line)?;
    }
    let addr = line.trim_end().split_once(ANNOUNCEMENT).and_then(|(_, addr)| addr.parse().ok());
    let running = Running::process(child, addr.unwrap_or_else(|| ([127, 0, 0, 1], 0).into()));
    match addr {
        Some(_) => Ok(running),
        None => Err(io::Error::other(format!("{} said: {line}", program.display()))),
    }
}
