//! What the threads of a process share, and what each of them gets of it.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use tokio::sync::Semaphore;

use crate::Settings;
use crate::attempts::Attempts;
use crate::callers::Callers;
use crate::inbox::Inbox;
use crate::lifecycle::Lifecycle;
use crate::operator_port::Calls;
use crate::peers::{Identity, PeerTable, Peers};
use crate::platform::Platform;
use crate::secret::Secret;
use crate::streams::Streams;
use crate::upstreams::{HttpClient, Upstreams};

/// Unused connections to the platform that are kept.
const PLATFORM_IDLE: usize = 16;

/// What the threads of a process share.
pub(crate) struct Shared {
    pub(crate) streams: Arc<Streams>,
    pub(crate) attempts: Arc<Attempts>,
    pub(crate) peers: Arc<PeerTable>,
    pub(crate) calls: Arc<Calls>,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) lifecycle: Lifecycle,
    /// What the state machine's time counts from.
    pub(crate) start: Instant,
}

impl Shared {
    pub(crate) fn new(settings: &Settings) -> Self {
        Shared {
            streams: Arc::default(),
            attempts: Arc::default(),
            peers: Arc::new(PeerTable::new(settings.peer.queue)),
            calls: Arc::default(),
            ready: Arc::default(),
            lifecycle: Lifecycle::new(),
            start: Instant::now(),
        }
    }

    pub(crate) fn upstreams(&self, settings: &Settings, inbox: &Inbox) -> Arc<Upstreams> {
        let limits = settings.upstream.clone();
        Arc::new(Upstreams {
            node: settings.node.clone(),
            inbox: inbox.clone(),
            lifecycle: self.lifecycle.clone(),
            streams: Arc::clone(&self.streams),
            attempts: Arc::clone(&self.attempts),
            peers: Arc::clone(&self.peers),
            order_token: Secret::new(&settings.order_token),
            room: Semaphore::new(limits.attempts),
            pooled: HttpClient::new(limits.connect, limits.idle, limits.idle_connections),
            recent: HttpClient::new(
                limits.connect,
                limits.idle_unrepeatable,
                limits.idle_connections,
            ),
            fresh: HttpClient::new(limits.connect, limits.idle, 0),
            limits,
            start: self.start,
        })
    }

    pub(crate) fn peers(&self, settings: &Settings, inbox: &Inbox, me: Identity) -> Arc<Peers> {
        Arc::new(Peers {
            me,
            table: Arc::clone(&self.peers),
            streams: Arc::clone(&self.streams),
            attempts: Arc::clone(&self.attempts),
            inbox: inbox.clone(),
            lifecycle: self.lifecycle.clone(),
            limits: settings.peer.clone(),
            refusal_logged: Mutex::default(),
            progress: settings.upstream.progress,
        })
    }

    pub(crate) fn callers(&self, settings: &Settings, inbox: &Inbox) -> Arc<Callers> {
        Arc::new(Callers::new(
            settings.node.clone(),
            settings.caller.clone(),
            inbox.clone(),
            Arc::clone(&self.streams),
            Arc::clone(&self.peers),
            Arc::clone(&self.ready),
            self.lifecycle.clone(),
        ))
    }

    pub(crate) fn platform(&self, settings: &Settings, inbox: &Inbox) -> Arc<Platform> {
        let limits = settings.platform_calls.clone();
        Arc::new(Platform {
            addr: settings.platform.clone(),
            inbox: inbox.clone(),
            lifecycle: self.lifecycle.clone(),
            client: HttpClient::new(limits.connect, settings.upstream.idle, PLATFORM_IDLE),
            limits,
        })
    }
}
