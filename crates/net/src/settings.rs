use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hgw_types::{DomainId, NodeId};

/// What a process needs to know of its surroundings, and its limits.
#[derive(Clone)]
pub struct Settings {
    /// Name of this node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Listener for callers; port 0 takes a free one.
    pub callers: SocketAddr,
    /// Listener for peers; port 0 takes a free one.
    pub peers: SocketAddr,
    /// Listener for operators; port 0 takes a free one.
    pub operators: SocketAddr,
    /// `IP:PORT` at which peers reach this node; the listener's address if not given.
    pub advertise: Option<String>,
    /// `IP:PORT` of the platform's service.
    pub platform: String,
    /// Secret that all nodes share.
    pub secret: String,
    /// Token that operators' calls carry; with an empty one none is let in.
    pub operator_token: String,
    /// Token for engines that ask for one with orders.
    pub order_token: String,
    /// Events that may wait for the control thread.
    pub inbox: usize,
    /// Time between two `Tick` events.
    pub tick: Duration,
    /// Longest wait for callers' last bytes after the machine has finished.
    pub drain: Duration,
    /// Limits on what callers may do.
    pub caller: CallerLimits,
    /// Limits of connections to upstreams.
    pub upstream: UpstreamLimits,
    /// Limits of connections to peers.
    pub peer: PeerLimits,
    /// Limits of calls to the platform.
    pub platform_calls: PlatformLimits,
}

/// Without the secret and the tokens, which must not get into logs.
impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings")
            .field("node", &self.node)
            .field("domain", &self.domain)
            .field("callers", &self.callers)
            .field("peers", &self.peers)
            .field("operators", &self.operators)
            .field("advertise", &self.advertise)
            .field("platform", &self.platform)
            .finish_non_exhaustive()
    }
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            node: "node".parse().expect("a valid name"),
            domain: "domain".parse().expect("a valid name"),
            callers: any,
            peers: any,
            operators: any,
            advertise: None,
            platform: "127.0.0.1:7070".into(),
            secret: String::new(),
            operator_token: String::new(),
            order_token: String::new(),
            inbox: 16_384,
            tick: Duration::from_millis(10),
            drain: Duration::from_secs(10),
            caller: CallerLimits::default(),
            upstream: UpstreamLimits::default(),
            peer: PeerLimits::default(),
            platform_calls: PlatformLimits::default(),
        }
    }
}

/// Limits on what callers may do.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Threads that serve callers.
    pub threads: usize,
    /// Open connections; more are answered with status 503 and closed.
    pub connections: usize,
    /// Open requests; more are refused.
    pub requests: usize,
    /// Longest time for a request's head, from its first byte; twice as long for the first byte of a
    /// new connection.
    pub head_timeout: Duration,
    /// Longest time for a request's body.
    pub body_timeout: Duration,
    /// Longest time that a connection without a request is kept.
    pub idle: Duration,
    /// Longest time that a caller may take nothing of what waits for it.
    pub stall: Duration,
    /// Time between two looks whether a waiting caller is still there.
    pub gone_check: Duration,
    /// Bytes of a body.
    pub body: usize,
    /// Tokens of an answer where the caller does not say.
    pub default_tokens: u32,
    /// Tokens of an answer that a caller may ask for.
    pub max_tokens: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            threads: 1,
            connections: 8192,
            requests: 8192,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            idle: Duration::from_secs(60),
            stall: Duration::from_secs(30),
            gone_check: Duration::from_millis(100),
            body: 4 << 20,
            default_tokens: 256,
            max_tokens: 8192,
        }
    }
}

/// Limits of connections to upstreams.
#[derive(Debug, Clone)]
pub struct UpstreamLimits {
    /// Attempts at one time; more end as not run.
    pub attempts: usize,
    /// Longest time to connect.
    pub connect: Duration,
    /// Longest time of an unused connection.
    pub idle: Duration,
    /// The same for calls that may not be repeated.
    pub idle_unrepeatable: Duration,
    /// Unused connections kept for each upstream.
    pub idle_connections: usize,
    /// Longest wait for the answer to a state, load or cancel call.
    pub call: Duration,
    /// Bytes of one event of a streamed answer.
    pub event: usize,
    /// Bytes of an answer that is collected whole.
    pub collected: usize,
    /// Time between two reports of progress of an attempt.
    pub progress: Duration,
}

impl Default for UpstreamLimits {
    fn default() -> Self {
        UpstreamLimits {
            attempts: 8192,
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(10),
            idle_unrepeatable: Duration::from_secs(1),
            idle_connections: 64,
            call: Duration::from_secs(2),
            event: 64 << 10,
            collected: 1 << 20,
            progress: Duration::from_millis(100),
        }
    }
}

/// Limits of connections to peers.
#[derive(Debug, Clone)]
pub struct PeerLimits {
    /// Longest time from connecting to the proof of the secret.
    pub handshake: Duration,
    /// Connections that have not yet proved the secret.
    pub unproven: usize,
    /// Frames that may wait for a connection.
    pub queue: usize,
    /// Bytes of one frame.
    pub frame: usize,
    /// Time without a frame from the peer, after one was sent to it, until a ping.
    pub ping_busy: Duration,
    /// Time without a frame from the peer until a ping.
    pub ping_idle: Duration,
    /// Longest wait for any frame after a ping; then the connection is closed.
    pub silence: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        PeerLimits {
            handshake: Duration::from_secs(2),
            unproven: 64,
            queue: 4096,
            frame: 8 << 20,
            ping_busy: Duration::from_millis(500),
            ping_idle: Duration::from_secs(10),
            silence: Duration::from_secs(1),
        }
    }
}

/// Limits of calls to the platform.
#[derive(Debug, Clone)]
pub struct PlatformLimits {
    /// Longest time to connect.
    pub connect: Duration,
    /// Longest wait for the answer to an append or a list.
    pub call: Duration,
    /// How long a read waits at the log for the first record.
    pub read_wait: Duration,
    /// Records of one read.
    pub batch: usize,
    /// Appends to one stream that may wait.
    pub waiting: usize,
    /// Bytes of an answer.
    pub answer: usize,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        PlatformLimits {
            connect: Duration::from_secs(1),
            call: Duration::from_secs(2),
            read_wait: Duration::from_secs(1),
            batch: hgw_wire::platform::MAX_BATCH,
            waiting: 1024,
            answer: 64 << 20,
        }
    }
}
