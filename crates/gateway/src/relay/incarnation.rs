//! Makes sure that a stream goes to the incarnation of an engine whose software version this node knows.
//!
//! An engine may start again under its identity with other software, and the list of this node may be older than that. No
//! response to a request tells it, but the engine's report names its start, and no connection outlives a restart: what the
//! report says holds for all requests on its connection.

use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::{EngineId, Millis, StartTime};
use hgw_http1::{BodyDecoder, Conn};
use http::StatusCode;
use tokio::time::timeout;

use super::request::RelayedRequest;
use super::silence::Awaited;

/// Longest wait for a report, which engines send at any load. Two such waits cover the silence of a second or so that a sound
/// engine may make.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Largest report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Connections on which a report is asked for, as one may have been closed, or the engine closes it after the report.
const MAX_CONNECTIONS: u32 = 2;

/// Age of the list of engines from which one of them may have started again and loaded its models since.
const MAX_LIST_AGE: Millis = 2_000;

/// What has come of a report.
enum Asked {
    /// The start that the engine names.
    Start(u64),
    /// The connection has broken, or what came names no start.
    Failed,
    /// The engine is silent.
    Silent,
    /// The request goes another way.
    Left,
}

impl RelayedRequest {
    /// Connects to an engine; if the request depends on that, to the incarnation in the list.
    pub(super) async fn connect_to_incarnation(
        &self,
        engine: &EngineId,
        addr: SocketAddr,
    ) -> Option<Conn> {
        let known = self.node.engine(engine, |e| e.info.started_at)?;
        if !self.depends_on_incarnation(known) {
            return self.connect(engine, addr).await;
        }
        for _ in 0..MAX_CONNECTIONS {
            let mut conn = self.connect(engine, addr).await?;
            if conn.peer_start().is_none() {
                match self.ask_for_start(engine, addr, &mut conn).await {
                    Asked::Start(start) => conn.record_peer_start(start),
                    Asked::Silent if self.has_alternative() => return None,
                    Asked::Failed | Asked::Silent => continue,
                    Asked::Left => return None,
                }
            }
            if conn.peer_start() != known.0 {
                return None;
            }
            // The engine may close the connection after its report.
            if conn.is_reusable(Duration::ZERO) {
                return Some(conn);
            }
        }
        None
    }

    /// Whether the stream, which may go on elsewhere, would be joined with that of another version if the engine had
    /// started again unnoticed. Engines that name no start do not start again under their identity.
    fn depends_on_incarnation(&self, known: StartTime) -> bool {
        let may_go_on = self.route.kind.is_stream() && self.route.kind.may_repeat();
        let is_outdated = || self.node.store_data_age() > MAX_LIST_AGE;
        may_go_on
            && known.0.is_some()
            && self.prompt().is_some()
            && (self.version.is_some() || is_outdated())
    }

    /// Asks the engine at the other end of a connection for its start, and records what that says of the engine and the path
    /// to it, as an attempt does.
    async fn ask_for_start(&self, engine: &EngineId, addr: SocketAddr, conn: &mut Conn) -> Asked {
        let node = &self.node;
        let idle = conn.was_used().then(|| conn.idle_since().elapsed());
        let max_wait = REPORT_TIMEOUT.min(self.time_left());
        let report = tokio::select! {
            biased;
            report = timeout(max_wait, self.read_report(engine, addr, conn)) => report,
            () = self.wait_until_path_left(engine) => return Asked::Left,
        };
        let start = match report {
            Ok(Some(start)) => start,
            Ok(None) => {
                self.record_lost(engine, addr, idle);
                return Asked::Failed;
            }
            Err(_) => {
                self.record_silence(engine, Awaited::Head { addr, idle });
                return Asked::Silent;
            }
        };
        self.record_reached(engine, addr, idle);
        node.record_response_byte(engine);
        node.state.borrow_mut().engines.observe_start(engine, start);
        node.handle_restarts();
        start.0.map_or(Asked::Failed, Asked::Start)
    }

    /// Reads the engine's report; none if there is none that can be read.
    async fn read_report(
        &self,
        engine: &EngineId,
        addr: SocketAddr,
        conn: &mut Conn,
    ) -> Option<StartTime> {
        let protocol = &self.node.protocols.upstreams;
        let head = conn.round_trip(&protocol.report_request(addr, engine)).await.ok()?;
        let body = conn.read_body(BodyDecoder::new(head.framing), MAX_REPORT_BYTES).await.ok()?;
        if head.status != StatusCode::OK {
            return None;
        }
        protocol.parse_report(&body).ok().map(|report| report.started_at)
    }
}
