//! `load run`: drives real nodes, beside callers that go straight to the stand-in engine.
//!
//! Without `--target` it starts stand-ins and nodes itself, on loopback, and ends them. Each
//! measurement is bounded in requests and in time.

mod drive;
mod latency;
mod memory;
mod proc;
mod throughput;

use std::io::{self, Write};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use hgw_standins::cluster::{Cluster, Settings};
use hgw_standins::deployment::DomainSettings;
use hgw_standins::engine;

pub use drive::{Driven, Load, Route, drive};
pub use proc::{Usage, usage};

/// Command line of `load run`.
#[derive(Debug, Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// A node's listener for callers, in place of nodes of its own; on loopback.
    #[options(meta = "ADDR")]
    pub target: Option<SocketAddr>,
    /// Model to ask at the target.
    #[options(meta = "MODEL", default = "rules")]
    pub model: String,
    /// The program of the nodes; the one beside this program if not given.
    #[options(meta = "PATH")]
    pub program: Option<PathBuf>,
    /// Requests of each measurement of times.
    #[options(meta = "N", default = "400")]
    pub samples: u64,
    /// Requests of each measurement of throughput.
    #[options(meta = "N", default = "60000")]
    pub requests: u64,
    /// Streams held open to measure memory.
    #[options(meta = "N", default = "1000")]
    pub streams: usize,
    /// Requests at once.
    #[options(meta = "N", default = "64")]
    pub connections: usize,
    /// Longest time of one measurement, in seconds.
    #[options(meta = "N", default = "60")]
    pub seconds: u64,
}

/// Runs the measurements and prints their figures to `out`.
pub fn run(args: &Args, out: &mut dyn Write) -> io::Result<()> {
    match args.target {
        Some(target) => run_target(args, target, out),
        None => {
            latency::measure(args, out)?;
            throughput::measure(args, out)?;
            memory::measure(args, out)
        }
    }
}

/// Drives a node that somebody else has started.
fn run_target(args: &Args, target: SocketAddr, out: &mut dyn Write) -> io::Result<()> {
    let is_loopback = matches!(target.ip(), IpAddr::V4(ip) if ip.is_loopback());
    if !is_loopback {
        return Err(io::Error::other(format!("--target: `{target}` is not on loopback")));
    }
    let route = Route::Node { addr: target, model: args.model.clone() };
    let driven = drive(&args.load(route, args.requests, 16))?;
    writeln!(out, "{}", driven.summary())
}

impl Args {
    fn load(&self, route: Route, requests: u64, tokens: u32) -> Load {
        Load {
            route,
            connections: self.connections,
            requests,
            tokens,
            longest: Duration::from_secs(self.seconds),
        }
    }

    /// Two nodes: `a1` in the failure domain of the upstreams, `b1` in another one. A request
    /// through `a1` meets one node, one through `b1` two.
    fn start(&self, engine: engine::Settings) -> io::Result<Cluster> {
        let program = match &self.program {
            Some(program) => program.clone(),
            None => std::env::current_exe()?.with_file_name("hibiscusgw"),
        };
        let mut settings = Settings::new(&program.display().to_string());
        settings.nodes = vec![("a1", "stgo-a"), ("b1", "stgo-b")];
        settings.arguments = vec!["--max-requests".into(), "65536".into()];
        settings.arguments.extend(["--max-connections".into(), "65536".into()]);
        settings.deployment.domains =
            vec![DomainSettings::new("stgo-a", 1, 1), DomainSettings::new("stgo-b", 0, 0)];
        let order_token = settings.deployment.engine.order_token.take();
        settings.deployment.engine = engine::Settings { order_token, ..engine };
        // Nothing here is about deadlines: what is slow is to be measured, not refused.
        settings.deployment.urgent_ms = 600_000;
        Cluster::start(settings).map_err(io::Error::other)
    }
}

/// The ways of a request that are compared.
fn routes(cluster: &Cluster) -> [(&'static str, Route); 3] {
    let node = |n: usize| Route::Node { addr: cluster.nodes[n].addrs.callers, model: MODEL.into() };
    let engine = Route::Engine { addr: cluster.deployment.engines[0].addr(), model: MODEL.into() };
    [("straight", engine), ("one node", node(0)), ("two nodes", node(1))]
}

const MODEL: &str = "rules";
