//! `serve`: starts a node from flags and environment variables and runs it until it stops.

use std::thread;

use hgw_events::{Event, emit};
use hgw_net::{Addrs, CallerLimits, Exit, Operators, Running};
use hgw_node::Node;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::{Error, Result, ServeSettings, init_logging};

/// A started node.
pub struct RunningNode {
    pub running: Running,
    /// The addresses that the node listens on.
    pub addrs: Addrs,
    operators: Operators,
}

impl RunningNode {
    /// Waits until the node has ended.
    pub fn wait(self) -> Exit {
        let exit = self.running.wait();
        self.operators.stop();
        exit
    }
}

/// Starts a node; it runs until it is stopped through its [`Running`].
pub fn start_node(settings: &ServeSettings) -> Result<RunningNode> {
    let bound = hgw_net::bind(net_settings(settings))?;
    let addrs = bound.addrs();
    let node = Node::new(hgw_node::Settings {
        key_shards: settings.key_shards,
        ..hgw_node::Settings::new(
            settings.node.clone(),
            settings.domain.clone(),
            bound.advertised(),
            rand::random(),
        )
    });
    let mut running = bound.start(Box::new(node))?;
    let listener = running.take_operators().expect("nobody has taken the listener yet");
    let port = running.operator_port();
    let operators = Operators::start(listener, port, &settings.operator_token)?;
    Ok(RunningNode { running, addrs, operators })
}

fn net_settings(settings: &ServeSettings) -> hgw_net::Settings {
    hgw_net::Settings {
        node: settings.node.clone(),
        domain: settings.domain.clone(),
        callers: settings.callers,
        peers: settings.peers,
        operators: settings.operators,
        advertise: settings.advertise.map(|a| a.to_string()),
        platform: settings.platform.to_string(),
        secret: settings.secret.clone(),
        operator_token: settings.operator_token.clone(),
        order_token: settings.order_token.clone(),
        caller: CallerLimits {
            threads: settings.caller_threads,
            connections: settings.max_connections,
            requests: settings.max_requests,
            body: settings.max_body,
            max_tokens: settings.max_tokens,
            ..CallerLimits::default()
        },
        ..hgw_net::Settings::default()
    }
}

/// Runs a node until it stops: the first signal starts a graceful shutdown, a second one forces the end.
pub(crate) fn serve(settings: &ServeSettings) -> Result<()> {
    init_logging(settings.log_format, settings.log_level)?;
    let signals = Signals::new([SIGTERM, SIGINT]).map_err(Error::Signals)?;
    let node = start_node(settings)?;
    let addrs = node.addrs;
    emit(
        Event::ProcessStarted,
        &[
            ("node", &settings.node),
            ("domain", &settings.domain),
            ("callers", &addrs.callers),
            ("peers", &addrs.peers),
            ("operators", &addrs.operators),
        ],
    );
    let stopper = node.running.stopper();
    let node_id = settings.node.clone();
    thread::spawn(move || stop_on_signals(signals, &stopper, &node_id));
    match node.wait() {
        Exit::Stopped => {
            emit(Event::ProcessStopped, &[("node", &settings.node)]);
            Ok(())
        }
        exit @ (Exit::Killed | Exit::Broken) => Err(Error::ShutdownIncomplete(exit)),
    }
}

fn stop_on_signals(mut signals: Signals, stopper: &hgw_net::Stopper, node: &hgw_types::NodeId) {
    let mut pending = signals.forever();
    if pending.next().is_some() {
        stopper.stop();
    }
    if pending.next().is_some() {
        emit(Event::StopForced, &[("node", node)]);
        stopper.kill();
    }
}
