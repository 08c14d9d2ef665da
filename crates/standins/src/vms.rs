//! The platform's lagging list of VMs: `PUT /vms` sets it, `GET /vms` shows it some time later.

use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hgw_wire::platform::VmList;
use http::{Method, Request, StatusCode};

use crate::faults::{Switches, lock};
use crate::server::{Reply, Running, StandIn, failure, json, read_json, serve};

/// Settings of a stand-in list of VMs.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The list at the start.
    pub list: VmList,
    /// Time after which a list that was set is shown.
    pub lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            list: VmList::default(),
            lag: Duration::from_millis(200),
        }
    }
}

/// Starts a stand-in list of VMs.
pub fn start(settings: Settings) -> io::Result<Running> {
    let switches = Arc::new(Switches::new());
    let listen = settings.listen;
    serve("vms", listen, switches, Arc::new(Vms::new(settings)))
}

pub(crate) struct Vms {
    lag: Duration,
    lists: Mutex<Lists>,
}

impl Vms {
    pub(crate) fn new(settings: Settings) -> Self {
        let lists = Lists { shown: settings.list, coming: VecDeque::new() };
        Vms { lag: settings.lag, lists: Mutex::new(lists) }
    }
}

struct Lists {
    shown: VmList,
    /// Lists that were set, and when they are to be shown.
    coming: VecDeque<(Instant, VmList)>,
}

impl Lists {
    fn show(&mut self) -> &VmList {
        while let Some((at, _)) = self.coming.front()
            && *at <= Instant::now()
            && let Some((_, list)) = self.coming.pop_front()
        {
            self.shown = list;
        }
        &self.shown
    }
}

impl StandIn for Vms {
    async fn answer(self: Arc<Self>, req: Request<Bytes>) -> Reply {
        let mut lists = lock(&self.lists);
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/vms") => Ok(json(lists.show())),
            (&Method::PUT, "/vms") => match read_json(req.body()) {
                Ok(list) => {
                    lists.coming.push_back((Instant::now() + self.lag, list));
                    Ok(json(&serde_json::json!({})))
                }
                Err(answer) => Ok(*answer),
            },
            _ => Ok(failure(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    fn record(&self) -> serde_json::Value {
        serde_json::json!(lock(&self.lists).show())
    }
}
