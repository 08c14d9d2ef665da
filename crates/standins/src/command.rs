//! The command line of the `standin` program.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use gumdrop::Options;
use hgw_types::{MemSize, ModelId, VersionId};

use crate::fleet::{self, EngineSettings};
use crate::{Running, engine, log, plain, platform, vms, weights};

/// `standin KIND [OPTIONS]`.
#[derive(Debug, Options)]
pub struct Command {
    /// Prints this help.
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    kind: Option<Kind>,
}

#[derive(Debug, Options)]
enum Kind {
    #[options(help = "a model engine")]
    Engine(EngineOptions),
    #[options(help = "an engine of the platform's fleet, on any port")]
    FleetEngine(FleetEngineOptions),
    #[options(help = "a plain service")]
    Plain(Listen),
    #[options(help = "the append-only log")]
    Log(LogOptions),
    #[options(help = "the weight store")]
    Weights(Listen),
    #[options(help = "the list of VMs")]
    Vms(Listen),
    #[options(help = "the log and the list of VMs on one port")]
    Platform(LogOptions),
    #[options(help = "a platform, a weight store, engines and plain services")]
    All(AllOptions),
}

#[derive(Debug, Options)]
struct Listen {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on; port 0 picks one", default = "127.0.0.1:0")]
    listen: String,
}

#[derive(Debug, Options)]
struct LogOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on; port 0 picks one", default = "127.0.0.1:0")]
    listen: String,
    #[options(help = "appends a second", default = "300")]
    rate: f64,
    #[options(help = "records kept a stream; all where not given")]
    keep: Option<usize>,
}

#[derive(Debug, Options)]
struct EngineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on; port 0 picks one", default = "127.0.0.1:0")]
    listen: String,
    #[options(help = "accelerator memory", default = "160")]
    memory: MemSize,
    #[options(help = "requests worked on at once", default = "8")]
    slots: usize,
    #[options(help = "time of a step in milliseconds; 0 for none", default = "5")]
    step_ms: u64,
    #[options(help = "carry orders with an old fencing number out, instead of refusing them")]
    ignores_fences: bool,
    #[options(help = "token that orders must carry")]
    order_token: Option<String>,
    #[options(help = "address of the weight store")]
    weights: Option<SocketAddr>,
    #[options(help = "time of a load in milliseconds, without a weight store", default = "200")]
    load_ms: u64,
    #[options(help = "a model that is resident from the start, as MODEL=VERSION=SIZE")]
    resident: Vec<String>,
}

#[derive(Debug, Options)]
struct FleetEngineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "its identity", default = "i-1")]
    id: String,
    #[options(help = "its service", default = "models")]
    service: String,
    #[options(help = "a model that it holds from the start")]
    model: Vec<String>,
    #[options(help = "requests worked on at once", default = "8")]
    slots: u32,
    #[options(help = "time between two events of a stream in milliseconds", default = "5")]
    pause_ms: u64,
}

#[derive(Debug, Options)]
struct AllOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of engines", default = "2")]
    engines: usize,
    #[options(help = "number of plain services", default = "1")]
    plains: usize,
    #[options(help = "time of a step in milliseconds; 0 for none", default = "5")]
    step_ms: u64,
}

/// A stand-in that was started.
#[derive(Debug)]
pub struct Standin {
    /// Its kind, with a number where there are several.
    pub name: String,
    /// The stand-in itself.
    pub running: Running,
}

impl Standin {
    fn new(name: impl Into<String>, running: Running) -> Self {
        Standin { name: name.into(), running }
    }
}

/// Starts what the command asks for.
pub fn run(command: &Command) -> io::Result<Vec<Standin>> {
    let Some(kind) = &command.kind else {
        return Err(io::Error::other("which stand-in? see --help"));
    };
    let one = match kind {
        Kind::Engine(options) => Standin::new("engine", engine::start(engine_settings(options)?)?),
        Kind::FleetEngine(options) => {
            let engine = fleet::engine::start(fleet_engine_settings(options))?;
            Standin::new("fleet-engine", engine.into_running())
        }
        Kind::Plain(options) => {
            let listen = address(&options.listen)?;
            let settings = plain::Settings { listen, ..plain::Settings::default() };
            Standin::new("plain", plain::start(settings)?)
        }
        Kind::Log(options) => Standin::new("log", log::start(log_settings(options)?)?),
        Kind::Platform(options) => {
            let log = log_settings(options)?;
            let listen = log.listen;
            let settings = platform::Settings { listen, log, ..platform::Settings::default() };
            Standin::new("platform", platform::start(settings)?)
        }
        Kind::Weights(options) => {
            let listen = address(&options.listen)?;
            let settings = weights::Settings { listen, ..weights::Settings::default() };
            Standin::new("weights", weights::start(settings)?)
        }
        Kind::Vms(options) => {
            let listen = address(&options.listen)?;
            let settings = vms::Settings { listen, ..vms::Settings::default() };
            Standin::new("vms", vms::start(settings)?)
        }
        Kind::All(options) => return all(options),
    };
    Ok(vec![one])
}

fn all(options: &AllOptions) -> io::Result<Vec<Standin>> {
    let mut started =
        vec![Standin::new("platform", platform::start(platform::Settings::default())?)];
    let weights = weights::start(weights::Settings::default())?;
    let engine = engine::Settings {
        step: Duration::from_millis(options.step_ms),
        weights: Some(weights.addr()),
        ..engine::Settings::default()
    };
    started.push(Standin::new("weights", weights));
    for n in 1..=options.engines {
        started.push(Standin::new(format!("engine-{n}"), engine::start(engine.clone())?));
    }
    for n in 1..=options.plains {
        let plain = plain::start(plain::Settings::default())?;
        started.push(Standin::new(format!("plain-{n}"), plain));
    }
    Ok(started)
}

fn engine_settings(options: &EngineOptions) -> io::Result<engine::Settings> {
    let resident = options.resident.iter().map(|text| resident(text));
    Ok(engine::Settings {
        listen: address(&options.listen)?,
        memory: options.memory,
        slots: options.slots,
        step: Duration::from_millis(options.step_ms),
        refuses_old_orders: !options.ignores_fences,
        order_token: options.order_token.clone(),
        weights: options.weights,
        load_time: Duration::from_millis(options.load_ms),
        resident: resident.collect::<io::Result<_>>()?,
        ..engine::Settings::default()
    })
}

fn fleet_engine_settings(options: &FleetEngineOptions) -> EngineSettings {
    EngineSettings {
        id: options.id.clone(),
        service: options.service.clone(),
        holds: options.model.iter().map(|model| (model.clone(), Vec::new())).collect(),
        slots: options.slots,
        pause: Duration::from_millis(options.pause_ms),
        ..EngineSettings::default()
    }
}

fn log_settings(options: &LogOptions) -> io::Result<log::Settings> {
    Ok(log::Settings {
        listen: address(&options.listen)?,
        appends_per_second: options.rate,
        keep_records: options.keep.unwrap_or(usize::MAX),
        ..log::Settings::default()
    })
}

fn address(text: &str) -> io::Result<SocketAddr> {
    let addr: SocketAddr = text.parse().map_err(|_| {
        io::Error::other(format!("--listen: `{text}` is no address: 127.0.0.1 and a port"))
    })?;
    if addr.ip() == Ipv4Addr::LOCALHOST {
        Ok(addr)
    } else {
        Err(io::Error::other(format!("--listen: `{text}` is not on 127.0.0.1")))
    }
}

fn resident(text: &str) -> io::Result<(ModelId, VersionId, MemSize)> {
    let parts: Vec<&str> = text.split('=').collect();
    let parsed = match parts.as_slice() {
        [model, version, size] => {
            model.parse().ok().zip(version.parse().ok()).zip(size.parse().ok())
        }
        _ => None,
    };
    let parsed = parsed.map(|((model, version), size)| (model, version, size));
    parsed
        .ok_or_else(|| io::Error::other(format!("--resident: `{text}` is not MODEL=VERSION=SIZE")))
}
