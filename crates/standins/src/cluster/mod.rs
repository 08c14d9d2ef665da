//! Nodes as processes of their own, before a deployment of stand-ins: for tests and measurements.

mod chat;
mod node;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hgw_config::{Change, Document};
use hgw_types::{DomainId, NodeId, Offset, RecordId, StreamName};
use hgw_wire::platform::{Appended, Batch, Vm, VmList};
use http::Method;

use crate::client::{CallError, Caller, GUARD};
use crate::deployment::{self, Deployment, name};
use crate::engine;
use crate::log::LogRecord;

pub use chat::{Chat, ChatStream, Message, Question};
pub use node::{Addrs, Node, ORDER_TOKEN, Signal};

/// Outcome of work with a cluster.
pub type Result<T> = std::result::Result<T, ClusterError>;

/// Why a cluster does not do what it was asked for.
#[derive(Debug)]
pub enum ClusterError {
    /// A process or a listener of the stand-ins cannot be started.
    Start(io::Error),
    /// A call had no answer.
    Call(CallError),
    /// The operators' command line failed.
    Operator(String),
    /// Something awaited did not come about.
    NotYet(String),
}

impl fmt::Display for ClusterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClusterError::Start(e) => write!(f, "cannot start: {e}"),
            ClusterError::Call(e) => write!(f, "no answer: {e}"),
            ClusterError::Operator(text) => write!(f, "operator's call failed: {text}"),
            ClusterError::NotYet(what) => write!(f, "did not come about: {what}"),
        }
    }
}

impl std::error::Error for ClusterError {}

impl From<io::Error> for ClusterError {
    fn from(e: io::Error) -> Self {
        ClusterError::Start(e)
    }
}

impl From<CallError> for ClusterError {
    fn from(e: CallError) -> Self {
        ClusterError::Call(e)
    }
}

/// What to start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The program.
    pub program: PathBuf,
    /// Nodes: name and failure domain of each.
    pub nodes: Vec<(&'static str, &'static str)>,
    /// The stand-ins.
    pub deployment: deployment::Settings,
    /// Further arguments of each node.
    pub arguments: Vec<String>,
}

impl Settings {
    /// Two nodes in one failure domain and one in another, of the program at `program`.
    pub fn new(program: &str) -> Settings {
        Settings {
            program: Path::new(program).to_owned(),
            nodes: vec![("a1", "stgo-a"), ("a2", "stgo-a"), ("b1", "stgo-b")],
            deployment: deployment::Settings {
                engine: engine::Settings {
                    order_token: Some(ORDER_TOKEN.into()),
                    ..engine::Settings::default()
                },
                ..deployment::Settings::default()
            },
            arguments: Vec::new(),
        }
    }
}

/// Changes that this process has published; numbers their ids.
static PUBLISHED: AtomicU64 = AtomicU64::new(1);

/// Nodes and stand-ins at work.
#[derive(Debug)]
pub struct Cluster {
    /// The stand-ins.
    pub deployment: Deployment,
    /// The nodes.
    pub nodes: Vec<Node>,
    settings: Settings,
}

impl Cluster {
    /// Starts everything, puts the deployment's configuration in force and waits until every model
    /// and service is served through every node.
    pub fn start(settings: Settings) -> Result<Cluster> {
        let cluster = Cluster::start_bare(settings)?;
        cluster.publish(0, &cluster.deployment.document)?;
        cluster.wait_served()?;
        Ok(cluster)
    }

    /// Starts everything, without any configuration.
    pub fn start_bare(settings: Settings) -> Result<Cluster> {
        let deployment = deployment::start(&settings.deployment)?;
        let mut cluster = Cluster { deployment, nodes: Vec::new(), settings };
        for (id, domain) in cluster.settings.nodes.clone() {
            let node = cluster.start_node(id, domain)?;
            cluster.nodes.push(node);
        }
        cluster.list_vms()?;
        for node in &cluster.nodes {
            node.wait_up()?;
        }
        Ok(cluster)
    }

    /// Starts one more node.
    pub fn start_node(&self, id: &str, domain: &str) -> Result<Node> {
        self.start_node_at(id, domain, self.deployment.platform.addr(), &[])
    }

    /// Starts one more node, which is told that the platform is at `platform`, with arguments of its
    /// own.
    pub fn start_node_at(
        &self,
        id: &str,
        domain: &str,
        platform: SocketAddr,
        arguments: &[&str],
    ) -> Result<Node> {
        let mut all = self.settings.arguments.clone();
        all.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        Node::start(&self.settings.program, id, domain, platform, &all)
    }

    /// Tells the platform's list of VMs which nodes there are.
    pub fn list_vms(&self) -> Result<()> {
        let vm = |node: &Node| Vm {
            node: name::<NodeId>(&node.id),
            domain: name::<DomainId>(&node.domain),
            addr: node.addrs.peers.to_string(),
            leaving: false,
        };
        let list =
            VmList { vms: self.nodes.iter().map(vm).collect(), leaving_upstreams: Vec::new() };
        let body = serde_json::to_vec(&list).map_err(io::Error::from)?;
        Caller::new(self.deployment.platform.addr())?.call(Method::PUT, "/vms", &[], body)?;
        Ok(())
    }

    /// Puts `document` into the log, as made from version `base`, without any node; gives its offset,
    /// which is the new version if the change is accepted.
    pub fn publish(&self, base: u64, document: &Document) -> Result<u64> {
        let seq = PUBLISHED.fetch_add(1, Ordering::SeqCst);
        let id = RecordId { boot: u64::from(std::process::id()), seq };
        let change = Change { id, base: Offset(base), document: document.clone() };
        let path = format!("/streams/{}/records", StreamName::config());
        let log = Caller::new(self.deployment.platform.addr())?;
        let answer = log.call(Method::POST, &path, &[], change.encode())?;
        Ok(answer.json::<Appended>()?.offset.0)
    }

    /// Publishes `document` through node number `node`, as made from version `base`; gives the new
    /// version.
    pub fn apply(&self, node: usize, base: u64, document: &Document) -> Result<u64> {
        self.nodes[node].apply(base, document)
    }

    /// Waits until every model answers through every node.
    pub fn wait_served(&self) -> Result<()> {
        for node in &self.nodes {
            for (model, _) in &self.settings.deployment.models {
                let question = Question::new(model, "are you there", 1);
                wait(&format!("{model} is served through {}", node.id), || {
                    node.chat(&question).is_ok_and(|chat| chat.whole)
                })?;
            }
        }
        Ok(())
    }

    /// All records of the log's streams whose names begin so.
    pub fn logged(&self, prefix: &str) -> Result<Vec<Vec<u8>>> {
        let log = self.standin(self.deployment.platform.addr())?;
        let record: LogRecord = log.record()?;
        let mut all = Vec::new();
        for stream in record.appended.keys().filter(|name| name.starts_with(prefix)) {
            let batch: Batch = log.get(&format!("/streams/{stream}/records?from=1"))?;
            all.extend(batch.records.iter().filter_map(|r| STANDARD.decode(&r.data).ok()));
        }
        Ok(all)
    }

    /// A client for a stand-in.
    pub fn standin(&self, addr: SocketAddr) -> Result<Caller> {
        Ok(Caller::new(addr)?)
    }
}

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Waits until `condition` holds; the bound only guards against hanging.
pub fn wait(what: &str, mut condition: impl FnMut() -> bool) -> Result<()> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > GUARD {
            return Err(ClusterError::NotYet(what.to_owned()));
        }
        std::thread::sleep(LOOK);
    }
    Ok(())
}
