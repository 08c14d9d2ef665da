//! Nodes as real processes before the stand-ins of the platform.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};

use super::engine::{self, Engine};
use super::{EngineSettings, Holds, Store};
use crate::client::{Caller, Result, Whole};
use crate::link::{Link, ProcessCut, Rate, Rates};

/// Longest wait for anything: a guard against hanging, far above what is expected.
const GUARD: Duration = Duration::from_secs(60);

/// Time after which nodes with a hub poll the hub.
const HUBS_KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Ports of nodes: each process that starts nodes has a set of its own.
const FIRST_PORT: u16 = 12_000;
const PORTS_IN_SET: u16 = 500;
const PORT_SETS: u32 = 40;

/// The host of all routes.
pub const HOST: &str = "desk.example";

/// The platform, its engines, and nodes before them.
#[derive(Debug)]
pub struct Fleet {
    /// The platform's store.
    pub store: Store,
    /// All engines.
    pub engines: Vec<Engine>,
    /// The way to each engine, in the same order.
    pub to_engines: Vec<Link>,
    /// All nodes that were started.
    pub nodes: Vec<Node>,
    /// What the links of nodes that are started from now on carry.
    pub links: NodeLinks,
    /// Features that nodes started from now on use beside the default ones, comma-separated.
    pub enabled: &'static str,
    program: PathBuf,
    folder: PathBuf,
    next: usize,
}

/// What the links of nodes carry; everything, unless told.
#[derive(Debug, Clone, Default)]
pub struct NodeLinks {
    /// Bytes per second in each direction of a node's own link, shared by the store and other nodes.
    pub bytes_per_s: Option<f64>,
    /// What the store gives to all nodes together.
    pub store_reads: Option<Rate>,
}

/// A node's process.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it says whether it takes them.
    pub ready: SocketAddr,
    /// Where it listens for other nodes.
    pub peers: SocketAddr,
    /// Where its metrics are.
    pub metrics: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its way to the store.
    pub to_store: Link,
    /// The way of other nodes to it, and where it listens behind that, if its link has a rate.
    from_peers: Option<(Link, SocketAddr)>,
    child: Child,
}

/// What a store is like, before any node.
pub fn holds(all: &[(&str, &[&str])]) -> Holds {
    let one = |(model, adapters): &(&str, &[&str])| {
        ((*model).to_owned(), adapters.iter().map(|a| (*a).to_owned()).collect())
    };
    all.iter().map(one).collect()
}

/// The configuration that tests begin with.
pub fn configuration(version: u64) -> Value {
    let model = |name: &str| json!({ "name": name, "weightsMb": 70_000.0, "loadS": 0.2, "adapters": 4, "adapterMb": 60.0 });
    let route = |name: &str, kind: &str, service: &str, resumable: bool| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 8_000, "sloMs": 300, "priority": 1, "service": service, "attempts": 2,
            "resumable": resumable, "gapAimMs": 150,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("look", "safe", "desk", false),
            route("print", "unsafe", "desk", false),
            route("ask", "stream", "models", true),
            route("once", "stream", "models", false),
        ],
        "services": [
            { "name": "desk", "healthPath": "/health", "maxConns": 96 },
            { "name": "models", "healthPath": "/health", "maxConns": 96, "engine": {
                "slots": 8, "weightsMb": 220_000.0, "adapterSlots": 4, "loadsPerS": 2.0,
                "models": [model("m"), model("n")],
            } },
        ],
        "limits": { "headerBytes": 16_384, "maxBodyBytes": 65_536, "idleTimeoutMs": 15_000 },
    })
}

/// The same with one more route to the plain service, under `/NAME/`.
pub fn configuration_with_route(version: u64, name: &str) -> Value {
    let mut config = configuration(version);
    let mut route = config["routes"][0].clone();
    route["name"] = name.into();
    route["prefix"] = format!("/{name}/").into();
    config["routes"].as_array_mut().expect("routes are a list").push(route);
    config
}

impl Fleet {
    /// Publishes a configuration.
    pub fn publish(&self, config: &Value) {
        self.store.put("keyed.op", "config", config.to_string().as_bytes());
    }

    /// A store with a configuration, two plain engines and these engines of models, and no node; nodes run
    /// this program.
    pub fn new(program: impl Into<PathBuf>, models: Vec<EngineSettings>) -> Fleet {
        let store = Store::start().expect("the store listens");
        store.put("keyed.op", "config", configuration(1).to_string().as_bytes());
        let plain = |id: &str| EngineSettings {
            id: id.into(),
            service: "desk".into(),
            ..EngineSettings::default()
        };
        let all = [plain("desk-1"), plain("desk-2")].into_iter().chain(models);
        let engines: Vec<Engine> =
            all.map(|s| engine::start(s).expect("the engine listens")).collect();
        let way = |e: &Engine| Link::to(e.addr()).expect("the way listens");
        let to_engines = engines.iter().map(way).collect();
        static FLEETS: AtomicUsize = AtomicUsize::new(0);
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("hgw-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        let (program, nodes) = (program.into(), Vec::new());
        let links = NodeLinks::default();
        let fleet = Fleet {
            store,
            engines,
            to_engines,
            nodes,
            links,
            enabled: "",
            program,
            folder,
            next: 1,
        };
        fleet.list_all();
        fleet
    }

    /// Writes the entries of all engines.
    pub fn list_all(&self) {
        for engine in &self.engines {
            self.list(engine, "ready");
        }
    }

    /// Writes an engine's entry in a state.
    pub fn list(&self, engine: &Engine, state: &str) {
        let entry = self.entry(engine.id(), state);
        self.store.put("keyed.servers", engine.id(), entry.to_string().as_bytes());
    }

    /// The entry of an engine in a state, at the way to it.
    pub fn entry(&self, id: &str, state: &str) -> Value {
        let mut entry = self.engine(id).entry(state);
        let at = self.engines.iter().position(|e| e.id() == id);
        if let Some(way) = at.and_then(|at| self.to_engines.get(at)) {
            entry["addr"] = way.addr().to_string().into();
        }
        entry
    }

    /// The engine with this identity.
    pub fn engine(&self, id: &str) -> &Engine {
        self.engines.iter().find(|e| e.id() == id).expect("there is such an engine")
    }

    /// How often a request ran, over all engines.
    pub fn runs(&self, id: &str) -> u32 {
        self.engines.iter().filter_map(|e| e.record().runs.get(id).copied()).sum()
    }

    /// Starts a node in a domain, and waits until it is ready.
    pub fn start(&mut self, zone: &str) -> usize {
        let node = self.spawn(zone);
        wait("the node is ready", || {
            assert_eq!(self.nodes[node].ended(), None, "the node ended by itself");
            self.nodes[node].is_ready()
        });
        node
    }

    /// Starts so many nodes, in these domains by turns, and waits until they are ready and know whom they poll. The first
    /// is the leader.
    pub fn start_with_leader(&mut self, nodes: usize, zones: &[&str]) {
        self.start(zones[0]);
        wait("the first node is the leader", || self.store.records("hgw-claims").len() > 1);
        let others: Vec<usize> = (1..nodes).map(|n| self.spawn(zones[n % zones.len()])).collect();
        for node in others {
            wait("the node is ready", || self.nodes[node].is_ready());
        }
        std::thread::sleep(HUBS_KNOWN_AFTER);
    }

    /// Starts a node whose lines go to a file, and waits until it is ready.
    pub fn start_logged(&mut self, zone: &str) -> (usize, PathBuf) {
        let path = self.folder.join(format!("front-{}.log", self.next));
        let file = File::create(&path).expect("the file can be made");
        let node = self.spawn_with(zone, file.into());
        wait("the node is ready", || self.nodes[node].is_ready());
        (node, path)
    }

    /// Path of a file in the folder of this platform, which goes with it.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// The lines of an event in such a file.
    pub fn lines(&self, path: &Path, event: u64) -> Vec<Value> {
        let text = std::fs::read_to_string(path).expect("the file can be read");
        let all = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        all.filter(|line| line["event"] == event).collect()
    }

    /// Cuts nodes off from all engines, or ends that.
    pub fn cut_from_engines(&self, nodes: &[usize], cut: Option<ProcessCut>) {
        for node in nodes {
            let pid = self.nodes[*node].child.id();
            self.to_engines.iter().for_each(|way| way.cut_process(pid, cut));
        }
    }

    /// Starts a node whose standard output is a pipe that nobody reads.
    pub fn start_unread(&mut self, zone: &str) -> usize {
        let node = self.spawn_with(zone, Stdio::piped());
        wait("the node is ready", || self.nodes[node].is_ready());
        node
    }

    /// Starts a node.
    pub fn spawn(&mut self, zone: &str) -> usize {
        self.spawn_with(zone, Stdio::null())
    }

    /// Starts a node whose standard output goes there.
    pub fn spawn_with(&mut self, zone: &str, stdout: Stdio) -> usize {
        let name = format!("front-{}", self.next);
        self.next += 1;
        let [callers, ready, peers, metrics] = free_ports();
        let settings = self.folder.join(format!("{name}.conf"));
        let own = |_| self.links.bytes_per_s.map(Rate::new);
        let [outbound, inbound] = [(); 2].map(own);
        let to_store = Rates {
            requests: outbound.iter().cloned().collect(),
            answers: inbound.iter().chain(&self.links.store_reads).cloned().collect(),
        };
        let to_store =
            Link::with_rates(self.store.addr(), to_store).expect("the way to the store listens");
        let from_peers = outbound.zip(inbound).map(|(outbound, inbound)| {
            let rates = Rates { requests: vec![inbound], answers: vec![outbound] };
            let way = Link::with_rates(peers, rates).expect("the way of other nodes listens");
            (way, peers)
        });
        let peers = from_peers.as_ref().map_or(peers, |(way, _)| way.addr());
        let text = settings_text(&name, zone, callers, ready, peers, to_store.addr());
        std::fs::write(&settings, text).expect("the settings can be written");
        let listener = from_peers.as_ref().map(|(_, listener)| *listener);
        let child = self.run(&settings, metrics, listener, stdout);
        self.nodes.push(Node {
            name,
            callers,
            ready,
            peers,
            metrics,
            settings,
            to_store,
            from_peers,
            child,
        });
        self.nodes.len() - 1
    }

    /// Starts a node that was killed again, with its settings, as the platform does.
    pub fn start_again(&mut self, node: usize) {
        let Node { settings, metrics, from_peers, .. } = &self.nodes[node];
        let listener = from_peers.as_ref().map(|(_, listener)| *listener);
        let child = self.run(settings, *metrics, listener, Stdio::null());
        self.nodes[node].child = child;
    }

    /// Starts a node's process. With `listener` it listens there for other nodes, which reach it at the address of
    /// its settings.
    fn run(
        &self,
        settings: &Path,
        metrics: SocketAddr,
        listener: Option<SocketAddr>,
        stdout: Stdio,
    ) -> Child {
        let mut command = Command::new(&self.program);
        command.args(["serve", "--log-format", "json", "--metrics", &metrics.to_string()]);
        command.args(["--enable", self.enabled]);
        if let Some(listener) = listener {
            command.args(["--peers-listener", &listener.to_string()]);
        }
        command
            .env("HIBISCUSGW_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(stdout)
            .spawn()
            .expect("the program starts")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        // Left-over files of a test harm nothing.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Node {
    /// Whether it says that it takes callers.
    pub fn is_ready(&self) -> bool {
        let caller = Caller::new(self.ready).expect("a client needs no network yet");
        caller.call(Method::GET, "/api/ready", &[], "").is_ok_and(|a| a.status == 200)
    }

    /// Sends a request and waits for the whole answer.
    pub fn call(&self, method: Method, path: &str, headers: &[(&str, &str)]) -> Result<Whole> {
        let caller = Caller::new(self.callers).expect("a client needs no network yet");
        let mut all = vec![("host", HOST)];
        all.extend_from_slice(headers);
        caller.call(method, path, &all, "body")
    }

    /// The same for a plain call.
    pub fn plain(&self, path: &str, id: &str) -> Result<Whole> {
        self.call(Method::POST, path, &[("x-request-id", id), ("x-deadline-ms", "5000")])
    }

    /// The same for a stream; all of these share their prompt.
    pub fn stream(&self, path: &str, id: &str, model: &str) -> Result<Whole> {
        self.stream_of_prompt(path, id, model, "a1:60,b2:40")
    }

    /// The same for a stream of a session that shares its prompt with none so far, so that any engine may get it.
    pub fn stream_of_new_session(&self, path: &str, id: &str, model: &str) -> Result<Whole> {
        static SESSIONS: AtomicU64 = AtomicU64::new(1);
        let session = SESSIONS.fetch_add(1, Ordering::Relaxed);
        let prompt = format!("a1:60,{:x}:40", session.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        self.stream_of_prompt(path, id, model, &prompt)
    }

    fn stream_of_prompt(&self, path: &str, id: &str, model: &str, prompt: &str) -> Result<Whole> {
        let headers = [
            ("x-request-id", id),
            ("x-deadline-ms", "8000"),
            ("x-model", model),
            ("x-tokens", "100,120"),
            ("x-prompt-prefix", prompt),
        ];
        self.call(Method::POST, path, &headers)
    }

    /// Replaces a setting in its file; it takes it in force within seconds.
    pub fn set(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings can be read");
        assert!(text.contains(from), "{from} is not in the settings");
        std::fs::write(&self.settings, text.replace(from, to)).expect("they can be written");
        self.signal(rustix::process::Signal::HUP);
    }

    /// Loses each request of other nodes with this text from now on, or none. Its link must have a rate.
    pub fn lose_from_peers(&self, text: Option<&str>) {
        let (way, _) = self.from_peers.as_ref().expect("other nodes come by a way of this test");
        way.lose(text);
    }

    /// Its process.
    pub fn pid(&self) -> rustix::process::Pid {
        rustix::process::Pid::from_child(&self.child)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: rustix::process::Signal) {
        rustix::process::kill_process(self.pid(), signal).expect("the process is this test's own");
    }

    /// Whether it has ended, and with success.
    pub fn ended(&mut self) -> Option<bool> {
        self.child.try_wait().expect("it can be asked").map(|status| status.success())
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        // Both fail only where it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether a connection of a caller can be made.
    pub fn accepts(&self) -> bool {
        TcpStream::connect(self.callers).is_ok()
    }
}

/// Waits until something holds.
pub fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + GUARD;
    while !holds() {
        assert!(Instant::now() < until, "not within {GUARD:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Ports that nobody has, below those that the system gives to connections and to listeners that name none: one of
/// these could be given away before the node takes it, and the node would never listen.
fn free_ports<const N: usize>() -> [SocketAddr; N] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = FIRST_PORT + (std::process::id() % PORT_SETS) as u16 * PORTS_IN_SET;
    std::array::from_fn(|_| {
        loop {
            let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_IN_SET;
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(addr).is_ok() {
                return addr;
            }
        }
    })
}

fn settings_text(
    name: &str,
    zone: &str,
    callers: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
    store: SocketAddr,
) -> String {
    format!(
        "nodeName={name}\nrole=entry\nbootstrap=true\nip=127.0.0.1\nzone={zone}\nlisten.front={callers}\n\
         listen.ready={ready}\nportRange={},{}\nlimits.maxFds=1024\nheartbeatMs=1000\n\
         bounds.graceS=8\nbounds.drainMs=2000\nbounds.applyMs=2000\nbounds.budgetRatio=0.2\n\
         bounds.budgetSlack=50\nbounds.budgetWindowS=10\nbounds.requireFence=true\n\
         bounds.leaseMs=1000\nbounds.strictRevoke=false\nbounds.revokeMs=2000\n\
         bounds.quotaWindowS=4\nbounds.quotaOver=0.1\nbounds.quotaSlack=6\n\
         bounds.ceilingWindowS=5\nprovider.addr={store}\nunheard.of=1\n",
        peers.port(),
        peers.port(),
    )
}
