//! The demo: two nodes and their stand-ins in one process.

use std::fmt;
use std::io::{self, Write};
use std::time::{Duration, Instant};

use gumdrop::Options;
use hgw_node::{ApplyOutcome, OperatorReply, OperatorRequest};
use hgw_types::Offset;
use hibiscusgw::{LogFormat, RunningNode, ServeSettings};
use http::Method;

use crate::client::{CallError, Caller, GUARD};
use crate::cluster::Question;
use crate::deployment::{self, Deployment, DomainSettings, PLAIN_SERVICE, name};

/// `demo [--once]`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "send one request of each kind and end")]
    once: bool,
}

/// Why the demo does not go on.
#[derive(Debug)]
pub enum DemoError {
    /// A stand-in cannot be started, or the output cannot be written.
    Io(io::Error),
    /// A node cannot be started.
    Node(hibiscusgw::Error),
    /// A call had no answer.
    Call(CallError),
    /// Something did not go as it must.
    Failed(String),
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DemoError::Io(e) => e.fmt(f),
            DemoError::Node(e) => e.fmt(f),
            DemoError::Call(e) => e.fmt(f),
            DemoError::Failed(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for DemoError {}

impl From<io::Error> for DemoError {
    fn from(e: io::Error) -> Self {
        DemoError::Io(e)
    }
}

impl From<hibiscusgw::Error> for DemoError {
    fn from(e: hibiscusgw::Error) -> Self {
        DemoError::Node(e)
    }
}

impl From<CallError> for DemoError {
    fn from(e: CallError) -> Self {
        DemoError::Call(e)
    }
}

/// Outcome of a step of the demo.
pub type Result<T> = std::result::Result<T, DemoError>;

/// Secret and token of the demo's own two nodes.
const SECRET: &str = "only for the demo on loopback";
const TOKENS: u32 = 24;

/// Runs the demo; prints to `out`.
pub fn run(args: &Args, out: &mut dyn Write) -> Result<()> {
    let deployment = start_standins()?;
    // Upstreams are dispatched by nodes of their own failure domain, so the second one never does.
    let dispatcher = start_node("a1", "stgo-a", &deployment)?;
    let entry = start_node("b1", "stgo-b", &deployment)?;
    tell_vms(&deployment, &[("a1", "stgo-a", &dispatcher), ("b1", "stgo-b", &entry)])?;
    let version = apply(&entry, &deployment)?;
    writeln!(out, "configuration in force as version {version}: two models and one plain service")?;
    let caller = Caller::new(entry.addrs.callers)?;
    show_chat(&caller, out)?;
    show_plain(&caller, out)?;
    if args.once {
        return Ok(());
    }
    show_commands(&dispatcher, &entry, out)?;
    loop {
        std::thread::park();
    }
}

fn start_standins() -> Result<Deployment> {
    let domains = vec![DomainSettings::new("stgo-a", 1, 1), DomainSettings::new("stgo-b", 0, 0)];
    let settings = deployment::Settings { domains, ..deployment::Settings::default() };
    Ok(deployment::start(&settings)?)
}

fn start_node(id: &str, domain: &str, deployment: &Deployment) -> Result<RunningNode> {
    let any = ([127, 0, 0, 1], 0).into();
    Ok(hibiscusgw::start_node(&ServeSettings {
        node: name(id),
        domain: name(domain),
        callers: any,
        peers: any,
        operators: any,
        advertise: None,
        platform: deployment.platform.addr(),
        secret: SECRET.into(),
        operator_token: SECRET.into(),
        order_token: String::new(),
        key_shards: 8,
        caller_threads: 1,
        max_connections: 1024,
        max_requests: 1024,
        max_body: 1 << 20,
        max_tokens: 4096,
        log_format: LogFormat::Plain,
        log_level: log::LevelFilter::Warn,
    })?)
}

fn tell_vms(deployment: &Deployment, nodes: &[(&str, &str, &RunningNode)]) -> Result<()> {
    let vm = |(id, domain, node): &(&str, &str, &RunningNode)| hgw_wire::platform::Vm {
        node: name(id),
        domain: name(domain),
        addr: node.addrs.peers.to_string(),
        leaving: false,
    };
    let list = hgw_wire::platform::VmList {
        vms: nodes.iter().map(vm).collect(),
        leaving_upstreams: Vec::new(),
    };
    let body = serde_json::to_vec(&list).map_err(io::Error::from)?;
    Caller::new(deployment.platform.addr())?.call(Method::PUT, "/vms", &[], body)?;
    Ok(())
}

/// Publishes the configuration; asks until the node has read the log.
fn apply(node: &RunningNode, deployment: &Deployment) -> Result<Offset> {
    let document = serde_json::to_vec(&deployment.document).map_err(io::Error::from)?;
    let port = node.running.operator_port();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let started = Instant::now();
    loop {
        let document = document.clone().into();
        let request = OperatorRequest::Apply { id: None, base: Offset(0), document };
        let wait = async { tokio::time::timeout(GUARD, port.call(request)).await };
        match runtime.block_on(wait).ok().flatten() {
            Some(OperatorReply::Apply { outcome: ApplyOutcome::Accepted(version), .. }) => {
                return Ok(version);
            }
            // Published by the try before, whose answer came too late.
            Some(OperatorReply::Apply {
                outcome: ApplyOutcome::Superseded { current }, ..
            }) if current != Offset(0) => {
                return Ok(current);
            }
            reply if started.elapsed() > GUARD => {
                return Err(DemoError::Failed(format!("no configuration: {reply:?}")));
            }
            _ => std::thread::sleep(RETRY),
        }
    }
}

/// Pause before something is tried again.
const RETRY: Duration = Duration::from_millis(100);

fn show_chat(caller: &Caller, out: &mut dyn Write) -> Result<()> {
    let question = Question::new("rules", "May a school hold petty cash over the summer?", TOKENS);
    let started = Instant::now();
    // Until the models have been loaded, requests are refused as not run.
    while question.open(caller).and_then(|open| open.rest()).is_ok_and(|chat| !chat.whole) {
        if started.elapsed() > GUARD {
            return Err(DemoError::Failed("the model is not served".into()));
        }
        std::thread::sleep(RETRY);
    }
    writeln!(out, "models loaded after {} ms", started.elapsed().as_millis())?;
    let started = Instant::now();
    let failed = |e: crate::cluster::ClusterError| DemoError::Failed(e.to_string());
    let mut stream = question.open(caller).map_err(failed)?;
    stream.read(1).map_err(failed)?;
    let first = started.elapsed();
    let chat = stream.rest().map_err(failed)?;
    if chat.text != question.expected("v1") {
        return Err(DemoError::Failed(format!("not the whole answer: {}", chat.text)));
    }
    writeln!(out, "model answered: {}", chat.text)?;
    writeln!(out, "  first token after {}, whole after {}", ms(first), ms(started.elapsed()))?;
    Ok(())
}

fn show_plain(caller: &Caller, out: &mut dyn Write) -> Result<()> {
    let path = format!("/svc/{PLAIN_SERVICE}/status?job=7");
    let started = Instant::now();
    let answer = caller.call(Method::GET, &path, &[], "")?;
    if !answer.status.is_success() {
        return Err(DemoError::Failed(format!("plain call: {} {}", answer.status, answer.body)));
    }
    writeln!(out, "plain service answered: {}", answer.body)?;
    writeln!(out, "  whole after {}", ms(started.elapsed()))?;
    Ok(())
}

fn ms(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1000.0)
}

fn show_commands(first: &RunningNode, second: &RunningNode, out: &mut dyn Write) -> Result<()> {
    let (a, b) = (first.addrs.callers, second.addrs.callers);
    writeln!(out, "\nTry, at either node ({a}, {b}):")?;
    writeln!(out, "  curl http://{a}/v1/models")?;
    writeln!(
        out,
        "  curl -N http://{b}/v1/chat/completions -d '{{\"model\":\"notes\",\"stream\":true,\
         \"max_tokens\":40,\"messages\":[{{\"role\":\"user\",\"content\":\"Draft a note.\"}}]}}'"
    )?;
    writeln!(
        out,
        "  curl http://{b}/svc/{PLAIN_SERVICE}/vouchers -H 'idempotency-key: 12' -d amount=5"
    )?;
    writeln!(out, "  curl http://{b}/metrics\nctrl-c ends the demo.")?;
    Ok(out.flush()?)
}
