//! Settings of `serve`: from flags, else environment variables, else defaults; each one checked.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::Display;
use hgw_types::{DomainId, NodeId};
use log::LevelFilter;

use crate::command::{NodeFlags, ServeFlags};
use crate::logs::LogFormat;
use crate::{Env, Error, Result};

/// Listener for operators where none is given.
const DEFAULT_OPERATORS: &str = "127.0.0.1:8082";

/// Shortest secret or token, in characters; shorter ones can be guessed.
const MIN_SECRET: usize = 16;

/// Most shards of idempotency keys: each is a stream of the log that three nodes read.
const MAX_KEY_SHARDS: u32 = 256;

/// Settings of a process.
#[derive(Debug, Clone)]
pub struct ServeSettings {
    /// This node's id, unique among running nodes.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for peers.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Address at which peers reach this node; the listener's if not given.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform's log and list of VMs.
    pub platform: SocketAddr,
    /// Secret that all nodes share.
    pub secret: String,
    /// Token that operators' calls carry.
    pub operator_token: String,
    /// Token for engines that ask for one with orders.
    pub order_token: String,
    /// Number of shards of idempotency keys; the same on all nodes.
    pub key_shards: u32,
    /// Threads that serve callers.
    pub caller_threads: usize,
    /// Open connections of callers.
    pub max_connections: usize,
    /// Open requests of callers.
    pub max_requests: usize,
    /// Bytes of a caller's request body.
    pub max_body: usize,
    /// Tokens that a caller may ask for.
    pub max_tokens: u32,
    /// What log lines look like.
    pub log_format: LogFormat,
    /// Least level that is logged.
    pub log_level: LevelFilter,
}

/// A setting that is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("setting --{name} (or {}): `{value}` is not allowed: {allowed}", variable(name))]
pub struct Fault {
    /// The flag, without its dashes.
    pub name: &'static str,
    /// The value as given; empty where there is none.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

/// The environment variable of a flag.
fn variable(name: &str) -> String {
    format!("HIBISCUSGW_{}", name.replace('-', "_").to_uppercase())
}

impl ServeSettings {
    /// Reads all settings and gives every fault at once.
    pub(crate) fn read(flags: &ServeFlags, env: &Env<'_>) -> Result<ServeSettings> {
        let mut input = Input { env, faults: Vec::new() };
        let settings = ServeSettings {
            node: input.name("node", &flags.node),
            domain: input.name("domain", &flags.domain),
            callers: input.addr("callers", &flags.callers, "127.0.0.1:8080"),
            peers: input.addr("peers", &flags.peers, "127.0.0.1:8081"),
            operators: input.addr("operators", &flags.operators, DEFAULT_OPERATORS),
            advertise: input.optional_addr("advertise", &flags.advertise),
            platform: input.addr("platform", &flags.platform, "127.0.0.1:7070"),
            secret: input.secret("secret", &flags.secret),
            operator_token: input.secret("operator-token", &flags.operator_token),
            order_token: input.text("order-token", &flags.order_token).unwrap_or_default(),
            key_shards: input.number("key-shards", &flags.key_shards, 8, 1, MAX_KEY_SHARDS),
            caller_threads: input.number("caller-threads", &flags.caller_threads, 1, 1, 64),
            max_connections: input.number(
                "max-connections",
                &flags.max_connections,
                8192,
                1,
                1 << 20,
            ),
            max_requests: input.number("max-requests", &flags.max_requests, 8192, 1, 1 << 20),
            max_body: input.number("max-body", &flags.max_body, 4 << 20, 1024, 1 << 30),
            max_tokens: input.number("max-tokens", &flags.max_tokens, 8192, 1, 1 << 20),
            log_format: input.choice("log-format", &flags.log_format, "plain", "plain or json"),
            log_level: input.choice(
                "log-level",
                &flags.log_level,
                "info",
                "off, error, warn, info, debug or trace",
            ),
        };
        if input.faults.is_empty() { Ok(settings) } else { Err(Error::Settings(input.faults)) }
    }
}

/// Settings that go before those of the platform's file.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlatformOverrides {
    /// What log lines look like.
    pub(crate) log_format: LogFormat,
    /// Least level that is logged.
    pub(crate) log_level: LevelFilter,
    /// Listener for callers.
    callers: Option<SocketAddr>,
    /// Listener for other nodes.
    peers: Option<SocketAddr>,
    /// Listener for readers of the metrics.
    metrics: Option<SocketAddr>,
    /// Open connections of callers.
    max_connections: Option<usize>,
}

impl PlatformOverrides {
    /// Reads the settings and gives every fault at once.
    pub(crate) fn read(flags: &ServeFlags, env: &Env<'_>) -> Result<PlatformOverrides> {
        let mut input = Input { env, faults: Vec::new() };
        let connections = &flags.max_connections;
        let given = input.text("max-connections", connections).is_some();
        let most = input.number("max-connections", connections, 8192, 1, 1 << 20);
        let levels = "off, error, warn, info, debug or trace";
        let overrides = PlatformOverrides {
            log_format: input.choice("log-format", &flags.log_format, "json", "plain or json"),
            log_level: input.choice("log-level", &flags.log_level, "info", levels),
            callers: input.optional_addr("callers", &flags.callers),
            peers: input.optional_addr("peers", &flags.peers),
            metrics: input.optional_addr("metrics", &flags.metrics),
            max_connections: given.then_some(most),
        };
        if input.faults.is_empty() { Ok(overrides) } else { Err(Error::Settings(input.faults)) }
    }

    /// Puts them in place of what the file says.
    pub(crate) fn apply(&self, settings: hgw_gateway::Settings) -> hgw_gateway::Settings {
        hgw_gateway::Settings {
            caller_addr: self.callers.unwrap_or(settings.caller_addr),
            peer_addr: self.peers.unwrap_or(settings.peer_addr),
            metrics_addr: self.metrics.unwrap_or(settings.metrics_addr),
            max_connections: self.max_connections.unwrap_or(settings.max_connections),
            ..settings
        }
    }
}

/// Which node an operator's call goes to.
#[derive(Debug, Clone)]
pub(crate) struct NodeSettings {
    /// The node's listener for operators.
    pub(crate) operators: SocketAddr,
    /// Token that the call carries.
    pub(crate) operator_token: String,
}

impl NodeSettings {
    /// Reads the settings and gives every fault at once.
    pub(crate) fn read(flags: &NodeFlags, env: &Env<'_>) -> Result<NodeSettings> {
        let mut input = Input { env, faults: Vec::new() };
        let settings = NodeSettings {
            operators: input.addr("operators", &flags.operators, DEFAULT_OPERATORS),
            operator_token: input.secret("operator-token", &flags.operator_token),
        };
        if input.faults.is_empty() { Ok(settings) } else { Err(Error::Settings(input.faults)) }
    }
}

/// Reads settings one by one and collects the faults.
struct Input<'a> {
    env: &'a Env<'a>,
    faults: Vec<Fault>,
}

impl Input<'_> {
    fn text(&self, name: &str, flag: &Option<String>) -> Option<String> {
        flag.clone().or_else(|| (self.env)(&variable(name)))
    }

    fn fault(&mut self, name: &'static str, value: &str, allowed: &str) {
        self.faults.push(Fault { name, value: value.to_owned(), allowed: allowed.to_owned() });
    }

    /// A required id. What stands in for a faulty one is never used, as the fault ends the reading.
    fn name<T: FromStr<Err = hgw_types::ParseError>>(
        &mut self,
        name: &'static str,
        flag: &Option<String>,
    ) -> T {
        let text = self.text(name, flag).unwrap_or_default();
        text.parse().unwrap_or_else(|error: hgw_types::ParseError| {
            self.fault(name, &text, error.allowed);
            "faulty".parse().expect("a valid name")
        })
    }

    fn addr(&mut self, name: &'static str, flag: &Option<String>, default: &str) -> SocketAddr {
        let text = self.text(name, flag).unwrap_or_else(|| default.to_owned());
        text.parse().unwrap_or_else(|_| {
            self.fault(name, &text, ADDR_RULE);
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn optional_addr(&mut self, name: &'static str, flag: &Option<String>) -> Option<SocketAddr> {
        let text = self.text(name, flag)?;
        let addr = text.parse().ok();
        if addr.is_none() {
            self.fault(name, &text, ADDR_RULE);
        }
        addr
    }

    /// A secret, which no message repeats.
    fn secret(&mut self, name: &'static str, flag: &Option<String>) -> String {
        let text = self.text(name, flag).unwrap_or_default();
        if text.chars().count() < MIN_SECRET {
            let allowed = format!("a text of at least {MIN_SECRET} characters");
            self.fault(name, "(hidden)", &allowed);
        }
        text
    }

    fn number<T: FromStr + PartialOrd + fmt::Display + Copy>(
        &mut self,
        name: &'static str,
        flag: &Option<String>,
        default: T,
        least: T,
        most: T,
    ) -> T {
        let Some(text) = self.text(name, flag) else { return default };
        match text.parse::<T>() {
            Ok(n) if n >= least && n <= most => n,
            _ => {
                self.fault(name, &text, &format!("a whole number from {least} to {most}"));
                default
            }
        }
    }

    fn choice<T: FromStr>(
        &mut self,
        name: &'static str,
        flag: &Option<String>,
        default: &str,
        allowed: &str,
    ) -> T {
        let text = self.text(name, flag).unwrap_or_else(|| default.to_owned());
        text.parse().unwrap_or_else(|_| {
            self.fault(name, &text, allowed);
            default.parse().ok().expect("the default is one of the choices")
        })
    }
}

const ADDR_RULE: &str = "IP:PORT, such as 127.0.0.1:8080";
