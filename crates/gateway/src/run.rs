//! A node's life.

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
use crate::protocol::Protocols;
use crate::response::{CallerResponse, ResponseBody, ResponseResult, json_error};
use crate::shared::{Node, Shared};
use crate::{
    Settings, caller_listener, follow, freshness, holder, listen, members, meter, peers, quotas,
    stop,
};

/// What a node is told from outside.
#[derive(Debug, Clone)]
pub enum Signal {
    /// Stop as planned.
    Stop,
    /// Stop at once.
    Kill,
    /// These settings are in force from now on; addresses stay as they are.
    Settings(Box<Settings>),
}

/// How a node ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// As planned.
    Stopped,
    /// At once.
    Killed,
}

/// Time between two looks at the clocks.
const CLOCK_CHECK: Duration = Duration::from_millis(200);

/// A machine that stood still for this long believes nothing of its connections.
const STOOD_STILL: Duration = Duration::from_millis(1_000);

/// Runs a node until it is told to end.
pub fn run(
    settings: Settings,
    dialects: Protocols,
    signals: mpsc::UnboundedReceiver<Signal>,
) -> io::Result<Ended> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let ended = local.block_on(&rt, serve(settings, dialects, signals));
    rt.shutdown_background();
    ended
}

async fn serve(
    settings: Settings,
    dialects: Protocols,
    mut signals: mpsc::UnboundedReceiver<Signal>,
) -> io::Result<Ended> {
    let callers = listen::listen(settings.callers)?;
    let ready = listen::listen(settings.ready)?;
    let others = listen::listen(settings.peers)?;
    let words = UdpSocket::bind(settings.peers).await;
    let metrics = listen::listen(settings.metrics);
    let node = Shared::new(settings, dialects);
    let spawn = |work: std::pin::Pin<Box<dyn Future<Output = ()>>>| {
        tokio::task::spawn_local(work);
    };
    spawn(Box::pin(follow::catalog(Rc::clone(&node))));
    spawn(Box::pin(follow::engines(Rc::clone(&node))));
    spawn(Box::pin(holder::hold(Rc::clone(&node))));
    spawn(Box::pin(peers::exchange(Rc::clone(&node))));
    spawn(Box::pin(peers::tell_flights(Rc::clone(&node))));
    spawn(Box::pin(quotas::refill(Rc::clone(&node))));
    spawn(Box::pin(listen::serve(Rc::clone(&node), others, peers::answer)));
    spawn(Box::pin(members::count(Rc::clone(&node))));
    spawn(Box::pin(watch_clocks(Rc::clone(&node))));
    spawn(Box::pin(listen::serve(Rc::clone(&node), ready, answer_ready)));
    spawn(Box::pin(caller_listener::serve(Rc::clone(&node), callers)));
    match words {
        Ok(words) => spawn(Box::pin(peers::listen(Rc::clone(&node), Rc::new(words)))),
        // Each node then chooses by what it sent itself.
        Err(e) => listener_failed(&node, "words of other nodes", &e),
    }
    match metrics {
        Ok(metrics) => spawn(Box::pin(serve_metrics(Rc::clone(&node), metrics))),
        // Callers are served without them.
        Err(e) => listener_failed(&node, "metrics", &e),
    }
    loop {
        match signals.recv().await {
            Some(Signal::Stop) => break,
            Some(Signal::Kill) | None => return Ok(Ended::Killed),
            Some(Signal::Settings(settings)) => *node.settings.borrow_mut() = *settings,
        }
    }
    tokio::select! {
        () = stop::stop(&node) => Ok(Ended::Stopped),
        () = until_killed(&mut signals) => Ok(Ended::Killed),
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

/// Finds out that the machine stood still, as kept connections may have ended meanwhile, and that this node is
/// cut off.
async fn watch_clocks(node: Node) {
    let mut last = boot_time();
    loop {
        sleep(CLOCK_CHECK).await;
        let now = boot_time();
        if now - last > CLOCK_CHECK + STOOD_STILL {
            node.pool.clear();
            let ms = (now - last).as_millis();
            let name = node.settings.borrow().node.clone();
            emit(Event::StoodStill, &[("node", &name), ("ms", &ms)]);
        }
        last = now;
        node.look_around();
        freshness::log_change(&node);
    }
}

/// Answers with the metrics as text.
async fn serve_metrics(node: Node, listener: TcpListener) {
    let Some(recorder) = meter::install_recorder() else { return };
    let answer = move |node: Node, _| {
        meter::update_gauges(&node);
        let text = recorder.render();
        async { Ok(Response::new(ResponseBody::full(text))) }
    };
    listen::serve(node, listener, answer).await;
}

/// Answers whether this node takes callers.
async fn answer_ready(node: Node, req: http::Request<Incoming>) -> ResponseResult {
    let (head, _) = req.into_parts();
    Ok(ready_answer(&node, &head))
}

fn ready_answer(node: &Node, head: &http::request::Parts) -> CallerResponse {
    if !node.protocols.callers.is_readiness_probe(head) {
        return json_error(StatusCode::NOT_FOUND, "no such call");
    }
    if node.is_ready() {
        Response::new(ResponseBody::Full(None))
    } else {
        json_error(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}
