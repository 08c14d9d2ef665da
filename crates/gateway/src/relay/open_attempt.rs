//! Attempts whose response has not begun, which may stay open while their engine is silent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{FutureExt, LocalBoxFuture, pending, select_all};
use hgw_direct::{EngineId, Millis, VersionKey};
use hgw_http1::{BodyDecoder, Conn, Error, Head, Request};
use tokio::time::Instant;

use crate::attempt_guard::AttemptGuard;
use crate::protocol::ResponseInfo;
use crate::quotas::Charge;
use crate::shared::Node;

use super::forward::NextHop;
use super::source::ForwardGuard;

/// Sends a request and reads the head of its response; hands the connection back.
pub(super) type Exchange<T> = LocalBoxFuture<'static, Exchanged<T>>;

/// The connection and the head of the response.
pub(super) type Exchanged<T> = (Conn, Result<T, Error>);

/// The head of an engine's response.
pub(super) type EngineHead = (Head, ResponseInfo);

/// An attempt whose response has not begun.
pub(super) enum OpenAttempt {
    Engine(Box<EngineAttempt>),
    Forwarder(ForwardAttempt),
}

/// The response to an attempt that was kept open, or what ended it.
pub(super) enum LateResponse {
    Engine(Box<EngineAttempt>, Exchanged<EngineHead>),
    EngineRestarted(Box<EngineAttempt>),
    Forwarder(ForwardAttempt, Exchanged<Head>),
}

impl LateResponse {
    /// Where the request was sent, and when.
    pub(super) fn origin(&self) -> (NextHop, Instant) {
        match self {
            LateResponse::Engine(attempt, _) | LateResponse::EngineRestarted(attempt) => {
                (NextHop::Engine(attempt.engine.clone()), attempt.sent.sent_at)
            }
            LateResponse::Forwarder(attempt, _) => {
                (NextHop::Forwarder(attempt.guard.addr), attempt.sent.sent_at)
            }
        }
    }
}

/// An attempt at an engine.
pub(super) struct EngineAttempt {
    pub(super) engine: EngineId,
    pub(super) addr: SocketAddr,
    /// Its software version when the request was sent.
    pub(super) version: VersionKey,
    pub(super) guard: AttemptGuard,
    pub(super) sent: SentRequest<EngineHead>,
    /// Whether the request has counted it as one that an engine may have executed.
    pub(super) is_counted: bool,
    /// When it was sent, by the node's clock.
    pub(super) sent_at_ms: Millis,
    /// How long the connection had been idle; none if it was new.
    pub(super) idle: Option<Duration>,
    /// The charge to the engine's limit.
    pub(super) _charge: Option<Charge>,
}

/// An attempt by way of another node.
pub(super) struct ForwardAttempt {
    pub(super) guard: ForwardGuard,
    pub(super) sent: SentRequest<Head>,
}

/// A request that is being sent, until the head of its response has been read.
pub(super) struct SentRequest<T> {
    pub(super) exchange: Exchange<T>,
    pub(super) sent_at: Instant,
}

impl<T> SentRequest<T> {
    pub(super) fn start(exchange: Exchange<T>) -> SentRequest<T> {
        SentRequest { exchange, sent_at: Instant::now() }
    }
}

impl OpenAttempt {
    async fn response(self) -> LateResponse {
        match self {
            OpenAttempt::Engine(mut attempt) => {
                let exchanged = tokio::select! {
                    biased;
                    exchanged = attempt.sent.exchange.as_mut() => Some(exchanged),
                    () = attempt.guard.wait_for_restart() => None,
                };
                match exchanged {
                    Some(exchanged) => LateResponse::Engine(attempt, exchanged),
                    None => LateResponse::EngineRestarted(attempt),
                }
            }
            OpenAttempt::Forwarder(mut attempt) => {
                let exchanged = attempt.sent.exchange.as_mut().await;
                LateResponse::Forwarder(attempt, exchanged)
            }
        }
    }
}

/// Attempts that are kept open while another one is made; each ends when dropped.
#[derive(Default)]
pub(super) struct SilentAttempts(Vec<LocalBoxFuture<'static, LateResponse>>);

impl SilentAttempts {
    pub(super) fn push(&mut self, attempt: OpenAttempt) {
        self.0.push(attempt.response().boxed_local());
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Waits until one of them responds; for ever if there is none.
    pub(super) async fn next_response(&mut self) -> LateResponse {
        if self.0.is_empty() {
            return pending().await;
        }
        let (response, index, _) = select_all(&mut self.0).await;
        drop(self.0.swap_remove(index));
        response
    }
}

/// Largest response to another request that is read past on a connection.
const MAX_STRAY_BYTES: usize = 1 << 20;

/// Sends a request to an engine.
pub(super) fn exchange_with_engine(
    node: &Node,
    mut conn: Conn,
    req: Request,
    id: String,
) -> Exchange<EngineHead> {
    let node = Rc::clone(node);
    Box::pin(async move {
        let head = async {
            conn.send_request(&req).await?;
            read_head(&node, &mut conn, &req, &id).await
        };
        let head = head.await;
        (conn, head)
    })
}

/// Sends a request to another node.
pub(super) fn exchange_with_forwarder(mut conn: Conn, req: Request) -> Exchange<Head> {
    Box::pin(async move {
        let head = conn.round_trip(&req).await;
        (conn, head)
    })
}

/// Reads the response head for a request. Late responses to earlier requests on the connection are drained and
/// dropped.
async fn read_head(
    node: &Node,
    conn: &mut Conn,
    req: &Request,
    request_id: &str,
) -> Result<EngineHead, Error> {
    const MAX_STRAY_RESPONSES: u32 = 3;
    for _ in 0..MAX_STRAY_RESPONSES {
        let head = conn.read_head(&req.method).await?;
        let info = node.protocols.upstreams.parse_head(&head)?;
        match &info.id {
            Some(id) if id != request_id => {
                let body = BodyDecoder::new(head.framing);
                conn.skip_body(body, MAX_STRAY_BYTES).await?;
            }
            _ => return Ok((head, info)),
        }
    }
    Err(Error::Malformed { what: "too many responses to other requests on the connection" })
}
