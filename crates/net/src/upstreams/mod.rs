//! Calls to model engines and plain services.
//!
//! Every attempt is a task of the upstreams' thread. It hands the chunks of the answer to the
//! caller's ring, to a peer or to a buffer, and only then reports its end.

mod ask;
mod attempt;
mod body;
mod client;
mod generate;
mod outlet;
mod plain;
mod silence;
mod sse;

use std::sync::Arc;
use std::time::{Duration, Instant};

use hgw_node::Sink;
use hgw_types::{NodeId, Time, UpstreamId};
use hgw_wire::peer::Work;
use hgw_wire::upstream::Order;
use tokio::sync::{Semaphore, mpsc};

use crate::UpstreamLimits;
use crate::attempts::{Attempt, Attempts};
use crate::inbox::Inbox;
use crate::lifecycle::Lifecycle;
use crate::peers::PeerTable;
use crate::secret::Secret;
use crate::streams::Streams;

pub(crate) use client::{CallError, HttpClient, build, get, read_json};
pub(crate) use plain::is_end_to_end;

/// What the upstreams' thread is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start an attempt.
    Start(Box<Start>),
    /// Send an order.
    Order(Box<GivenOrder>),
    /// Ask an engine what it holds.
    AskState { upstream: UpstreamId, addr: String, asked: Time },
    /// Ask an upstream for its load.
    AskLoad { upstream: UpstreamId, addr: String },
}

/// An order to be sent.
#[derive(Debug)]
pub(crate) struct GivenOrder {
    pub(crate) upstream: UpstreamId,
    pub(crate) addr: String,
    pub(crate) order: Order,
    pub(crate) token: bool,
    pub(crate) send_by: Time,
    pub(crate) timeout: Duration,
}

/// An attempt to be started.
#[derive(Debug)]
pub(crate) struct Start {
    pub(crate) attempt: Arc<Attempt>,
    pub(crate) addr: String,
    pub(crate) work: Work,
    pub(crate) priority: u8,
    pub(crate) silence: Duration,
    pub(crate) sink: Sink,
}

/// What all calls to upstreams share.
#[derive(Debug)]
pub(crate) struct Upstreams {
    pub(crate) node: NodeId,
    pub(crate) inbox: Inbox,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) streams: Arc<Streams>,
    pub(crate) attempts: Arc<Attempts>,
    pub(crate) peers: Arc<PeerTable>,
    pub(crate) limits: UpstreamLimits,
    /// What [`Time`] counts from.
    pub(crate) start: Instant,
    pub(crate) order_token: Secret,
    /// Attempts that may still be started.
    pub(crate) room: Semaphore,
    /// Keeps connections for later calls.
    pub(crate) pooled: HttpClient,
    /// Keeps connections for a short time, for calls that may not be repeated.
    ///
    /// A kept connection may have gone silent: the call is lost on it, and its caller can only be
    /// told that it may have run. The shorter the time, the fewer such calls; a new connection
    /// fails before the call is sent.
    pub(crate) recent: HttpClient,
    /// Makes a new connection for each call: where one has gone silent, a kept one may be too.
    pub(crate) fresh: HttpClient,
}

/// Serves commands for as long as the thread's runtime lives.
pub(crate) async fn run(upstreams: Arc<Upstreams>, mut commands: mpsc::Receiver<Command>) {
    while let Some(command) = commands.recv().await {
        let cx = Arc::clone(&upstreams);
        match command {
            Command::Start(start) => {
                upstreams.lifecycle.spawn(attempt::run(cx, start));
            }
            Command::Order(given) => {
                upstreams.lifecycle.spawn(ask::order(cx, given));
            }
            Command::AskState { upstream, addr, asked } => {
                upstreams.lifecycle.spawn(ask::state(cx, upstream, addr, asked));
            }
            Command::AskLoad { upstream, addr } => {
                upstreams.lifecycle.spawn(ask::load(cx, upstream, addr));
            }
        }
    }
}
