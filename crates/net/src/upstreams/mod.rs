//! Calls to model engines and plain services.
//!
//! Every attempt is a task of the upstreams' thread. It hands the chunks of the answer to the
//! caller's ring, to a peer or to a buffer, and only then reports its end.

mod ask;
mod attempt;
mod client;
mod generate;
mod outlet;
mod plain;
mod sse;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hgw_node::Sink;
use hgw_types::{Time, UpstreamId};
use hgw_wire::peer::Work;
use hgw_wire::upstream::Order;
use tokio::sync::{Semaphore, mpsc};

use crate::UpstreamLimits;
use crate::attempts::{Attempt, Attempts};
use crate::inbox::Inbox;
use crate::peers::PeerTable;
use crate::streams::Streams;

pub(crate) use client::{CallError, HttpClient, build, get, read_json};
pub(crate) use plain::is_end_to_end;

/// What the upstreams' thread is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start an attempt.
    Start(Box<Start>),
    /// Send an order.
    Order {
        upstream: UpstreamId,
        addr: String,
        order: Order,
        token: bool,
        send_by: Instant,
        timeout: Duration,
    },
    /// Ask an engine what it holds.
    AskState { upstream: UpstreamId, addr: String, asked: Time },
    /// Ask an upstream for its load.
    AskLoad { upstream: UpstreamId, addr: String },
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
    pub(crate) inbox: Inbox,
    pub(crate) streams: Arc<Streams>,
    pub(crate) attempts: Arc<Attempts>,
    pub(crate) peers: Arc<PeerTable>,
    pub(crate) limits: UpstreamLimits,
    pub(crate) order_token: Bytes,
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
                tokio::spawn(attempt::run(cx, start));
            }
            Command::Order { upstream, addr, order, token, send_by, timeout } => {
                let limits = ask::OrderLimits { token, send_by, timeout };
                tokio::spawn(ask::order(cx, upstream, addr, order, limits));
            }
            Command::AskState { upstream, addr, asked } => {
                tokio::spawn(ask::state(cx, upstream, addr, asked));
            }
            Command::AskLoad { upstream, addr } => {
                tokio::spawn(ask::load(cx, upstream, addr));
            }
        }
    }
}
