//! Reads and validates settings from flags, environment variables and defaults, in this order.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::Display;
use hgw_gateway::{Features, UnknownFeature};
use hgw_types::{DomainId, NodeId};
use log::LevelFilter;

use crate::command::{NodeFlags, ServeFlags};
use crate::logging::LogFormat;
use crate::{Env, Error, Result};

const DEFAULT_OPERATOR_LISTENER: &str = "127.0.0.1:8082";

/// Shorter secrets and tokens can be guessed.
const MIN_SECRET_CHARS: usize = 16;

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
#[display("invalid value `{value}` for --{name} (or {}): expected {allowed}", env_var_name(name))]
pub struct InvalidSetting {
    /// The flag, without its dashes.
    pub name: &'static str,
    /// The value as given; empty if there is none, and hidden if it is a secret.
    pub value: String,
    /// The values that are allowed.
    pub allowed: String,
}

/// The environment variable of a flag.
fn env_var_name(name: &str) -> String {
    format!("HIBISCUSGW_{}", name.replace('-', "_").to_uppercase())
}

impl ServeSettings {
    /// Reads all settings and returns every invalid one.
    pub(crate) fn read(flags: &ServeFlags, env: &Env<'_>) -> Result<ServeSettings> {
        let mut reader = SettingsReader { env, errors: Vec::new() };
        let settings = ServeSettings {
            node: reader.name("node", &flags.node),
            domain: reader.name("domain", &flags.domain),
            callers: reader.addr("callers", &flags.callers, "127.0.0.1:8080"),
            peers: reader.addr("peers", &flags.peers, "127.0.0.1:8081"),
            operators: reader.addr("operators", &flags.operators, DEFAULT_OPERATOR_LISTENER),
            advertise: reader.optional_addr("advertise", &flags.advertise),
            platform: reader.addr("platform", &flags.platform, "127.0.0.1:7070"),
            secret: reader.secret("secret", &flags.secret),
            operator_token: reader.secret("operator-token", &flags.operator_token),
            order_token: reader.value_of("order-token", &flags.order_token).unwrap_or_default(),
            key_shards: reader.number("key-shards", &flags.key_shards, 8, 1, MAX_KEY_SHARDS),
            caller_threads: reader.number("caller-threads", &flags.caller_threads, 1, 1, 64),
            max_connections: reader.number(
                "max-connections",
                &flags.max_connections,
                8192,
                1,
                1 << 20,
            ),
            max_requests: reader.number("max-requests", &flags.max_requests, 8192, 1, 1 << 20),
            max_body: reader.number("max-body", &flags.max_body, 4 << 20, 1024, 1 << 30),
            max_tokens: reader.number("max-tokens", &flags.max_tokens, 8192, 1, 1 << 20),
            log_format: reader.choice("log-format", &flags.log_format, "plain", "plain or json"),
            log_level: reader.choice(
                "log-level",
                &flags.log_level,
                "info",
                "off, error, warn, info, debug or trace",
            ),
        };
        if reader.errors.is_empty() { Ok(settings) } else { Err(Error::Settings(reader.errors)) }
    }
}

/// Flags and variables that override the platform's settings file.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlatformOverrides {
    pub(crate) log_format: LogFormat,
    pub(crate) log_level: LevelFilter,
    callers: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    peers_listener: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
    max_connections: Option<usize>,
    features: Features,
}

impl PlatformOverrides {
    /// Reads the settings and returns every invalid one.
    pub(crate) fn read(flags: &ServeFlags, env: &Env<'_>) -> Result<PlatformOverrides> {
        let mut reader = SettingsReader { env, errors: Vec::new() };
        let connections = &flags.max_connections;
        let is_given = reader.value_of("max-connections", connections).is_some();
        let max = reader.number("max-connections", connections, 8192, 1, 1 << 20);
        let levels = "off, error, warn, info, debug or trace";
        let overrides = PlatformOverrides {
            log_format: reader.choice("log-format", &flags.log_format, "json", "plain or json"),
            log_level: reader.choice("log-level", &flags.log_level, "info", levels),
            callers: reader.optional_addr("callers", &flags.callers),
            peers: reader.optional_addr("peers", &flags.peers),
            peers_listener: reader.optional_addr("peers-listener", &flags.peers_listener),
            metrics: reader.optional_addr("metrics", &flags.metrics),
            max_connections: is_given.then_some(max),
            features: reader.features(flags),
        };
        if reader.errors.is_empty() { Ok(overrides) } else { Err(Error::Settings(reader.errors)) }
    }

    pub(crate) fn apply(&self, settings: hgw_gateway::Settings) -> hgw_gateway::Settings {
        hgw_gateway::Settings {
            caller_addr: self.callers.unwrap_or(settings.caller_addr),
            peer_addr: self.peers.unwrap_or(settings.peer_addr),
            peer_listener: self.peers_listener.or(settings.peer_listener),
            metrics_addr: self.metrics.unwrap_or(settings.metrics_addr),
            max_connections: self.max_connections.unwrap_or(settings.max_connections),
            features: self.features,
            ..settings
        }
    }
}

/// Address and token for an operator call.
#[derive(Debug, Clone)]
pub(crate) struct OperatorSettings {
    pub(crate) operators: SocketAddr,
    pub(crate) operator_token: String,
}

impl OperatorSettings {
    /// Reads the settings and returns every invalid one.
    pub(crate) fn read(flags: &NodeFlags, env: &Env<'_>) -> Result<OperatorSettings> {
        let mut reader = SettingsReader { env, errors: Vec::new() };
        let settings = OperatorSettings {
            operators: reader.addr("operators", &flags.operators, DEFAULT_OPERATOR_LISTENER),
            operator_token: reader.secret("operator-token", &flags.operator_token),
        };
        if reader.errors.is_empty() { Ok(settings) } else { Err(Error::Settings(reader.errors)) }
    }
}

/// Reads settings one by one and collects the invalid ones.
struct SettingsReader<'a> {
    env: &'a Env<'a>,
    errors: Vec<InvalidSetting>,
}

impl SettingsReader<'_> {
    fn value_of(&self, name: &str, flag: &Option<String>) -> Option<String> {
        flag.clone().or_else(|| (self.env)(&env_var_name(name)))
    }

    fn reject(&mut self, name: &'static str, value: &str, allowed: &str) {
        self.errors.push(InvalidSetting {
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
        let text = self.value_of(name, flag).unwrap_or_default();
        text.parse().unwrap_or_else(|error: hgw_types::ParseError| {
            self.reject(name, &text, error.allowed);
            "faulty".parse().expect("a valid name")
        })
    }

    fn addr(&mut self, name: &'static str, flag: &Option<String>, default: &str) -> SocketAddr {
        let text = self.value_of(name, flag).unwrap_or_else(|| default.to_owned());
        text.parse().unwrap_or_else(|_| {
            self.reject(name, &text, ADDR_FORMAT);
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn optional_addr(&mut self, name: &'static str, flag: &Option<String>) -> Option<SocketAddr> {
        let text = self.value_of(name, flag)?;
        let addr = text.parse().ok();
        if addr.is_none() {
            self.reject(name, &text, ADDR_FORMAT);
        }
        addr
    }

    /// Reads a required secret; its value is not repeated in error messages.
    fn secret(&mut self, name: &'static str, flag: &Option<String>) -> String {
        let text = self.value_of(name, flag).unwrap_or_default();
        if text.chars().count() < MIN_SECRET_CHARS {
            let allowed = format!("at least {MIN_SECRET_CHARS} characters");
            self.reject(name, "(hidden)", &allowed);
        }
        text
    }

    fn number<T: FromStr + PartialOrd + fmt::Display + Copy>(
        &mut self,
        name: &'static str,
        flag: &Option<String>,
        default: T,
        min: T,
        max: T,
    ) -> T {
        let Some(text) = self.value_of(name, flag) else { return default };
        match text.parse::<T>() {
            Ok(n) if n >= min && n <= max => n,
            _ => {
                self.reject(name, &text, &format!("a whole number from {min} to {max}"));
                default
            }
        }
    }

    /// Reads the lists of features that are switched on and off.
    fn features(&mut self, flags: &ServeFlags) -> Features {
        let switched_on = self.switch(Features::default(), "enable", &flags.enable, true);
        self.switch(switched_on, "disable", &flags.disable, false)
    }

    fn switch(
        &mut self,
        features: Features,
        name: &'static str,
        flag: &Option<String>,
        is_on: bool,
    ) -> Features {
        let names = self.value_of(name, flag).unwrap_or_default();
        features.switch(&names, is_on).unwrap_or_else(|UnknownFeature { name: unknown }| {
            self.reject(name, &unknown, &Features::allowed_names());
            features
        })
    }

    fn choice<T: FromStr>(
        &mut self,
        name: &'static str,
        flag: &Option<String>,
        default: &str,
        allowed: &str,
    ) -> T {
        let text = self.value_of(name, flag).unwrap_or_else(|| default.to_owned());
        text.parse().unwrap_or_else(|_| {
            self.reject(name, &text, allowed);
            default.parse().ok().expect("the default is one of the choices")
        })
    }
}

const ADDR_FORMAT: &str = "IP:PORT, such as 127.0.0.1:8080";
