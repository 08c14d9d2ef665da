//! Reads and validates settings from flags, environment variables and defaults, in this order.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::Display;
use hgw_types::{DomainId, NodeId};
use log::LevelFilter;

use crate::command::{NodeFlags, ServeFlags};
use crate::logs::LogFormat;
use crate::{Env, Error, Result};

const DEFAULT_OPERATORS: &str = "127.0.0.1:8082";

/// Shorter secrets and tokens can be guessed.
const MIN_SECRET: usize = 16;

/// Each shard is a stream of the log that three nodes read.
const MAX_KEY_SHARDS: u32 = 256;

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct ServeSettings {
    /// Unique among running nodes.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: DomainId,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for peers.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Address at which peers reach this node; that of the listener by default.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform's log and list of VMs.
    pub platform: SocketAddr,
    /// Secret shared by all nodes.
    pub secret: String,
    /// Token that operator calls must carry.
    pub operator_token: String,
    /// Token sent with orders, for engines that require one.
    pub order_token: String,
    /// Number of idempotency-key shards; the same on all nodes.
    pub key_shards: u32,
    /// Number of threads that serve callers.
    pub caller_threads: usize,
    /// Limit of open caller connections.
    pub max_connections: usize,
    /// Limit of open caller requests.
    pub max_requests: usize,
    /// Largest request body of a caller, in bytes.
    pub max_body: usize,
    /// Most tokens that a caller may request.
    pub max_tokens: u32,
    pub log_format: LogFormat,
    pub log_level: LevelFilter,
}

/// An invalid or missing setting.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("invalid value `{value}` for --{name} (or {}): expected {allowed}", variable(name))]
pub struct InvalidSetting {
    /// The flag, without its dashes.
    pub name: &'static str,
    /// The value as given; empty if there is none, and hidden if it is a secret.
    pub value: String,
    /// The values that are allowed.
    pub allowed: String,
}

/// The environment variable of a flag.
fn variable(name: &str) -> String {
    format!("HIBISCUSGW_{}", name.replace('-', "_").to_uppercase())
}

impl ServeSettings {
    /// Reads all settings and returns every invalid one.
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

/// Flags and variables that override the platform's settings file.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlatformOverrides {
    pub(crate) log_format: LogFormat,
    pub(crate) log_level: LevelFilter,
    callers: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
    max_connections: Option<usize>,
}

impl PlatformOverrides {
    /// Reads the settings and returns every invalid one.
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

    pub(crate) fn apply(&self, settings: hgw_gateway::Settings) -> hgw_gateway::Settings {
        hgw_gateway::Settings {
            callers: self.callers.unwrap_or(settings.callers),
            peers: self.peers.unwrap_or(settings.peers),
            metrics: self.metrics.unwrap_or(settings.metrics),
            connections: self.max_connections.unwrap_or(settings.connections),
            ..settings
        }
    }
}

/// Address and token for an operator call.
#[derive(Debug, Clone)]
pub(crate) struct NodeSettings {
    pub(crate) operators: SocketAddr,
    pub(crate) operator_token: String,
}

impl NodeSettings {
    /// Reads the settings and returns every invalid one.
    pub(crate) fn read(flags: &NodeFlags, env: &Env<'_>) -> Result<NodeSettings> {
        let mut input = Input { env, faults: Vec::new() };
        let settings = NodeSettings {
            operators: input.addr("operators", &flags.operators, DEFAULT_OPERATORS),
            operator_token: input.secret("operator-token", &flags.operator_token),
        };
        if input.faults.is_empty() { Ok(settings) } else { Err(Error::Settings(input.faults)) }
    }
}

/// Reads settings one by one and collects the invalid ones.
struct Input<'a> {
    env: &'a Env<'a>,
    faults: Vec<InvalidSetting>,
}

impl Input<'_> {
    fn text(&self, name: &str, flag: &Option<String>) -> Option<String> {
        flag.clone().or_else(|| (self.env)(&variable(name)))
    }

    fn fault(&mut self, name: &'static str, value: &str, allowed: &str) {
        self.faults.push(InvalidSetting {
            name,
            value: value.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Reads a required id. An invalid one is replaced by a placeholder that is never used, since the
    /// recorded error fails the entire read.
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

    /// Reads a required secret; its value is not repeated in error messages.
    fn secret(&mut self, name: &'static str, flag: &Option<String>) -> String {
        let text = self.text(name, flag).unwrap_or_default();
        if text.chars().count() < MIN_SECRET {
            let allowed = format!("at least {MIN_SECRET} characters");
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
