//! Calls to the platform: the append-only log and the list of VMs.

mod append;
mod read;

use std::sync::Arc;

use bytes::Bytes;
use hgw_node::Event;
use hgw_types::{Offset, RecordId, StreamName};
use hgw_wire::platform::VmList;
use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::PlatformLimits;
use crate::inbox::Inbox;
use crate::lifecycle::Lifecycle;
use crate::upstreams::{self, HttpClient};

use append::Append;

/// What the platform's thread is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// Read a stream.
    Read { stream: StreamName, from: Offset },
    /// Append to a stream.
    Append { stream: StreamName, id: RecordId, data: Bytes },
    /// Ask for the list of VMs.
    AskVms,
}

/// What all calls to the platform share.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) addr: String,
    pub(crate) inbox: Inbox,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) limits: PlatformLimits,
    pub(crate) client: HttpClient,
}

/// Serves commands for as long as the thread's runtime lives.
///
/// Appends to one stream go one after the other, so that records stand in the order in which the
/// state machine made them.
pub(crate) async fn run(platform: Arc<Platform>, mut commands: mpsc::Receiver<Command>) {
    let mut writers: IndexMap<StreamName, mpsc::Sender<Append>> = IndexMap::new();
    while let Some(command) = commands.recv().await {
        let cx = Arc::clone(&platform);
        match command {
            Command::Read { stream, from } => {
                platform.lifecycle.spawn(read::run(cx, stream, from));
            }
            Command::AskVms => {
                platform.lifecycle.spawn(ask_vms(cx));
            }
            Command::Append { stream, id, data } => {
                let writer = writers
                    .entry(stream.clone())
                    .or_insert_with(|| append::writer(Arc::clone(&platform), stream.clone()));
                append::queue(&cx, &stream, writer, Append::new(id, data)).await;
            }
        }
    }
}

async fn ask_vms(cx: Arc<Platform>) {
    let list = get_vms(&cx).await;
    cx.inbox.deliver(Event::Vms(list)).await;
}

async fn get_vms(cx: &Platform) -> Option<VmList> {
    let req = upstreams::get(&cx.addr, "/vms").ok()?;
    let (status, body) = cx.client.call(req, cx.limits.call, cx.limits.answer).await.ok()?;
    if !status.is_success() {
        return None;
    }
    upstreams::read_json(&body).ok()
}
