//! The platform's service: the log and the list of VMs on one listener.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use http::Request;

use crate::faults::{Faults, Switches};
use crate::log::{self, Log};
use crate::server::{Reply, Running, StandIn, serve};
use crate::vms::{self, Vms};

/// Settings of a stand-in platform; the addresses of its parts are unused.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The log.
    pub log: log::Settings,
    /// The list of VMs.
    pub vms: vms::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            log: log::Settings::default(),
            vms: vms::Settings::default(),
        }
    }
}

/// Starts a stand-in platform.
pub fn start(settings: Settings) -> io::Result<Running> {
    let switches = Arc::new(Switches::new());
    let platform = Platform {
        log: Arc::new(Log::new(settings.log, Arc::clone(&switches))),
        vms: Arc::new(Vms::new(settings.vms)),
    };
    serve("platform", settings.listen, switches, Arc::new(platform))
}

struct Platform {
    log: Arc<Log>,
    vms: Arc<Vms>,
}

impl StandIn for Platform {
    async fn answer(self: Arc<Self>, req: Request<Bytes>) -> Reply {
        if req.uri().path() == "/vms" {
            Arc::clone(&self.vms).answer(req).await
        } else {
            Arc::clone(&self.log).answer(req).await
        }
    }

    /// The log's record: a list of VMs has none of its own.
    fn record(&self) -> serde_json::Value {
        self.log.record()
    }

    fn switched(&self, faults: &Faults) {
        self.log.switched(faults);
    }
}
