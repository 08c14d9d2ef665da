//! Starts the tasks of a node and runs them until shutdown.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use hgw_events::{Event, emit};
use http::{Response, StatusCode};
use hyper::body::Incoming;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::clock::boot_time;
use crate::pool::Pool;
use crate::protocol::Protocols;
use crate::response::{CallerResponse, ResponseBody, ResponseResult, json_error};
use crate::shared::{Node, Shared};
use crate::{
    Settings, caller_listener, connection_gate, crashes, election, follow, freshness, listen,
    members, meter, peers, quotas, shutdown, versions,
};

#[derive(Debug, Clone)]
pub enum Signal {
    /// Shut down gracefully.
    Stop,
    /// End immediately.
    Kill,
    /// Replace the settings; changed listen addresses have no effect.
    Settings(Box<Settings>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// After a graceful shutdown.
    Stopped,
    /// Without a graceful shutdown.
    Killed,
}

/// Interval at which the boot clock is checked for a suspended machine.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Pauses longer than this count as suspended: pooled connections may be dead.
const MIN_SUSPEND_TIME: Duration = Duration::from_millis(1_000);

/// Runs a node until a signal ends it.
pub fn run(
    settings: Settings,
    protocols: Protocols,
    signals: mpsc::UnboundedReceiver<Signal>,
) -> io::Result<ExitReason> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let ended = local.block_on(&rt, serve(settings, protocols, signals));
    rt.shutdown_background();
    ended
}

async fn serve(
    settings: Settings,
    protocols: Protocols,
    mut signals: mpsc::UnboundedReceiver<Signal>,
) -> io::Result<ExitReason> {
    let callers = listen::listen(settings.caller_addr)?;
    let ready = listen::listen(settings.ready_addr)?;
    let peer_addr = settings.peer_listener.unwrap_or(settings.peer_addr);
    let peer_listener = listen::listen(peer_addr)?;
    let datagrams = UdpSocket::bind(peer_addr).await;
    let metrics = listen::listen(settings.metrics_addr);
    let node = Shared::new(settings, protocols);
    let spawn = |task: std::pin::Pin<Box<dyn Future<Output = ()>>>| {
        tokio::task::spawn_local(task);
    };
    spawn(Box::pin(follow::catalog(Rc::clone(&node))));
    spawn(Box::pin(follow::engines(Rc::clone(&node))));
    spawn(Box::pin(election::run(Rc::clone(&node))));
    spawn(Box::pin(peers::poll(Rc::clone(&node))));
    spawn(Box::pin(peers::search_leader(Rc::clone(&node))));
    spawn(Box::pin(peers::report_in_flight(Rc::clone(&node))));
    spawn(Box::pin(quotas::refill(Rc::clone(&node))));
    spawn(Box::pin(listen::serve(Rc::clone(&node), peer_listener, peers::handle_request)));
    spawn(Box::pin(members::register_and_count(Rc::clone(&node))));
    spawn(Box::pin(crashes::follow(Rc::clone(&node))));
    spawn(Box::pin(versions::follow(Rc::clone(&node))));
    spawn(Box::pin(connection_gate::measure(Rc::clone(&node))));
    spawn(Box::pin(watch_suspension(Rc::clone(&node))));
    spawn(Box::pin(listen::serve(Rc::clone(&node), ready, handle_readiness_probe)));
    spawn(Box::pin(caller_listener::serve(Rc::clone(&node), callers)));
    match datagrams {
        Ok(datagrams) => spawn(Box::pin(peers::receive(Rc::clone(&node), Rc::new(datagrams)))),
        // Without datagrams a node balances load by its own requests only.
        Err(e) => listener_failed(&node, "words of other nodes", &e),
    }
    match metrics {
        Ok(metrics) => spawn(Box::pin(serve_metrics(Rc::clone(&node), metrics))),
        // Callers are served without metrics.
        Err(e) => listener_failed(&node, "metrics", &e),
    }
    loop {
        match signals.recv().await {
            Some(Signal::Stop) => break,
            Some(Signal::Kill) | None => return Ok(ExitReason::Killed),
            Some(Signal::Settings(settings)) => *node.settings.borrow_mut() = *settings,
        }
    }
    tokio::select! {
        () = shutdown::shut_down(&node) => Ok(ExitReason::Stopped),
        () = until_killed(&mut signals) => Ok(ExitReason::Killed),
    }
}

fn listener_failed(node: &Node, duty: &str, reason: &io::Error) {
    let name = &node.settings.borrow().node;
    emit(Event::ListenerFailed, &[("node", name), ("duty", &duty), ("reason", reason)]);
}

async fn until_killed(signals: &mut mpsc::UnboundedReceiver<Signal>) {
    while let Some(signal) = signals.recv().await {
        if matches!(signal, Signal::Kill) {
            return;
        }
    }
    std::future::pending().await
}

/// Drops pooled connections after the machine was suspended, and checks whether this node
/// is isolated and its configuration current.
async fn watch_suspension(node: Node) {
    let mut last = boot_time();
    loop {
        sleep(CLOCK_CHECK_INTERVAL).await;
        let now = boot_time();
        if now - last > CLOCK_CHECK_INTERVAL + MIN_SUSPEND_TIME {
            node.pools().for_each(Pool::clear);
            let ms = (now - last).as_millis();
            let name = node.settings.borrow().node.clone();
            emit(Event::StoodStill, &[("node", &name), ("ms", &ms)]);
        }
        last = now;
        node.update_isolation();
        freshness::log_change(&node);
        node.log_lag_change();
    }
}

async fn serve_metrics(node: Node, listener: TcpListener) {
    let Some(recorder) = meter::install_recorder() else { return };
    let answer = move |node: Node, _| {
        meter::update_gauges(&node);
        let text = recorder.render();
        async { Ok(Response::new(ResponseBody::full(text))) }
    };
    listen::serve(node, listener, answer).await;
}

async fn handle_readiness_probe(node: Node, req: http::Request<Incoming>) -> ResponseResult {
    let (parts, _) = req.into_parts();
    Ok(readiness_response(&node, &parts))
}

fn readiness_response(node: &Node, parts: &http::request::Parts) -> CallerResponse {
    if !node.protocols.callers.is_readiness_probe(parts) {
        return json_error(StatusCode::NOT_FOUND, "unknown path");
    }
    if node.is_ready() {
        Response::new(ResponseBody::Full(None))
    } else {
        json_error(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}
