//! One node as a process.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use hgw_config::Document;
use http::{Method, StatusCode};
use rustix::process::{Pid, kill_process};

use super::chat::{Chat, ChatStream, Question};
use super::{ClusterError, Result, wait};
use crate::client::{Caller, Whole};

pub use rustix::process::Signal;

/// Secret that the nodes of a cluster share.
const SECRET: &str = "the nodes of this cluster share it";
/// Token that operators' calls carry.
const OPERATOR_TOKEN: &str = "an operator of this cluster";
/// Token that orders to engines carry.
pub const ORDER_TOKEN: &str = "a keeper of this cluster";

/// Where a node listens.
#[derive(Debug, Clone, Copy)]
pub struct Addrs {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Nodes that this process has started.
static STARTED: AtomicU16 = AtomicU16::new(0);
/// First port of the first node; below those that the system picks from.
const FIRST_PORT: u16 = 7000;

impl Addrs {
    /// Addresses that no other node of this machine has: the loopback host is made from this
    /// process's id, so that tests that run at once do not meet.
    fn next() -> Addrs {
        let [_, b, c, d] = std::process::id().to_be_bytes();
        let first = FIRST_PORT + 3 * STARTED.fetch_add(1, Ordering::SeqCst);
        // 127.0.*.* is where everything else listens; bit 7 of the second byte keeps off it.
        let ip = IpAddr::V4(Ipv4Addr::new(127, 128 | b, c, d));
        let at = |n| SocketAddr::new(ip, first + n);
        Addrs { callers: at(0), peers: at(1), operators: at(2) }
    }
}

/// Environment variable that lets the nodes' logs through; they are dropped otherwise.
const LOGS: &str = "HGW_CLUSTER_LOGS";

fn logs() -> Stdio {
    if std::env::var_os(LOGS).is_some() { Stdio::inherit() } else { Stdio::null() }
}

/// A node; the process ends when this is dropped.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub id: String,
    /// Its failure domain.
    pub domain: String,
    /// Where it listens.
    pub addrs: Addrs,
    program: PathBuf,
    child: Child,
}

impl Node {
    pub(super) fn start(
        program: &Path,
        id: &str,
        domain: &str,
        platform: SocketAddr,
        arguments: &[String],
    ) -> Result<Node> {
        let addrs = Addrs::next();
        let child = Command::new(program)
            .arg("serve")
            .args(["--node", id, "--domain", domain])
            .args(["--callers", &addrs.callers.to_string()])
            .args(["--peers", &addrs.peers.to_string()])
            .args(["--operators", &addrs.operators.to_string()])
            .args(["--platform", &platform.to_string()])
            .args(arguments)
            .env("HIBISCUSGW_SECRET", SECRET)
            .env("HIBISCUSGW_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .env("HIBISCUSGW_ORDER_TOKEN", ORDER_TOKEN)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(logs())
            .spawn()?;
        let (id, domain) = (id.to_owned(), domain.to_owned());
        Ok(Node { id, domain, addrs, program: program.to_owned(), child })
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// A client for callers' requests at this node.
    pub fn caller(&self) -> Result<Caller> {
        Ok(Caller::new(self.addrs.callers)?)
    }

    /// Waits until the process answers callers at all.
    pub fn wait_up(&self) -> Result<()> {
        wait(&format!("{} answers", self.id), || self.status_of("/livez") == Some(StatusCode::OK))
    }

    /// Status of the answer to `GET path`, if there is one.
    pub fn status_of(&self, path: &str) -> Option<StatusCode> {
        let answer = self.caller().ok()?.call(Method::GET, path, &[], "");
        answer.ok().map(|answer| answer.status)
    }

    /// Asks a model and waits for the whole answer.
    pub fn chat(&self, question: &Question) -> Result<Chat> {
        self.open_chat(question)?.rest()
    }

    /// Asks a model; the answer is read bit by bit.
    pub fn open_chat(&self, question: &Question) -> Result<ChatStream> {
        question.open(&self.caller()?)
    }

    /// Calls a plain service.
    pub fn plain(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &'static str,
    ) -> Result<Whole> {
        Ok(self.caller()?.call(method, path, headers, body)?)
    }

    /// Publishes `document` as made from version `base`; gives the new version.
    pub fn apply(&self, base: u64, document: &Document) -> Result<u64> {
        let mut file = std::env::temp_dir();
        file.push(format!("hgw-{}-{}-{base}.json", std::process::id(), self.id));
        let json = serde_json::to_vec_pretty(document).map_err(std::io::Error::from)?;
        std::fs::File::create(&file)?.write_all(&json)?;
        let path = file.display().to_string();
        let said = self.operator("apply", &["--base", &base.to_string(), &path]);
        std::fs::remove_file(&file)?;
        let said = said?;
        let version = said.split_whitespace().find_map(|word| word.parse().ok());
        version.ok_or(ClusterError::Operator(said))
    }

    /// Runs an operator's command against this node; gives what it prints.
    pub fn operator(&self, command: &str, arguments: &[&str]) -> Result<String> {
        let output = Command::new(&self.program)
            .arg(command)
            .args(["--operators", &self.addrs.operators.to_string()])
            .args(arguments)
            .env("HIBISCUSGW_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .output()?;
        let said = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(said);
        }
        let error = String::from_utf8_lossy(&output.stderr);
        Err(ClusterError::Operator(format!("{said}{error}")))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| ClusterError::NotYet("a process id".into()))?;
        kill_process(pid, signal).map_err(|e| ClusterError::Start(e.into()))
    }

    /// Waits until the process has ended.
    pub fn wait_exit(&mut self) -> Result<ExitStatus> {
        let mut status = None;
        let child = &mut self.child;
        wait(&format!("{} ends", self.id), || {
            status = child.try_wait().ok().flatten();
            status.is_some()
        })?;
        status.ok_or_else(|| ClusterError::NotYet("an exit status".into()))
    }

    /// Ends the process at once, as a crash does.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Both fail only where the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
