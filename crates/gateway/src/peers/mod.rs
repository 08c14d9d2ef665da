//! Communication between nodes: polls for updates, placement requests and load reports.

mod children;
mod dark;
mod exchange;
mod flights;
mod heard;
mod list;
mod message;
mod news;
mod placements;
mod sends;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hgw_direct::heads::PassedOver;
use hgw_direct::{EngineId, Wanted};
use hgw_http1::{Body, Request};
use http::{Method, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::answer::{Answer, AnswerBody, Answered, own};
use crate::eras;
use crate::follow;
use crate::keeper;
use crate::quotas;
use crate::shared::Node;

pub(crate) use children::Children;
pub(crate) use dark::lost;
pub(crate) use exchange::exchange;
pub(crate) use flights::tell as tell_flights;
use heard::take_in_loads;
use list::take_in;
use message::Want;
pub(crate) use message::{Asked, CountedBefore, Placement, Told};
use message::{Tell, Wish};
pub(crate) use placements::Placements;
pub(crate) use sends::{Sends, Word, listen};

/// Maximum time that a poll waits for an update.
const NEWS_WAIT: Duration = Duration::from_millis(400);

/// Timeout for a response, beyond the time that a poll waits.
const PATIENCE: Duration = Duration::from_millis(600);

/// Timeout of a placement request, during which an adapter may be loaded.
const WANT_PATIENCE: Duration = Duration::from_millis(600);

/// Pause while no leader is known or the polled node does not respond.
const NO_KEEPER: Duration = Duration::from_millis(150);

const MOST: usize = 1 << 20;

/// Asks the leader to place a model or an adapter.
pub(crate) async fn want(node: &Node, wanted: &Wanted, refuted: Option<&EngineId>) -> Placement {
    let leader = node.holding.borrow().leader.clone();
    let domain = node.settings.borrow().domain.clone();
    if node.holding.borrow().is_mine() {
        return keeper::request_placement(node, wanted, &domain, refuted).await;
    }
    let Some(leader) = leader else { return Placement::Unknown };
    let want = Want {
        fence: leader.fence,
        model: wanted.model.clone(),
        adapter: wanted.adapter.clone(),
        domain,
        refuted: refuted.cloned(),
    };
    match call::<_, Wish>(node, leader.addr, "/want", &want, WANT_PATIENCE).await {
        Some(response) => {
            take_in(node, response.engines);
            response.placement
        }
        None => Placement::Unknown,
    }
}

/// Fetches the configuration from the node that this one polls.
pub(crate) async fn catalog(node: &Node) -> Option<Bytes> {
    let (_, addr) = node.parent()?;
    let req = Request::post("/catalog", "peer", Bytes::new());
    exchange_once(node, addr, &req, PATIENCE).await.ok().filter(|text| !text.is_empty())
}

/// Fetches a newer configuration from a node that polls this one. The store may have lost that
/// version in a restore, and this node may have started since.
fn take_catalog(node: &Node, from: SocketAddr, newest: u64) {
    if newest <= news::version(node) || node.is_fetching_catalog.replace(true) {
        return;
    }
    let node = Node::clone(node);
    tokio::task::spawn_local(async move {
        let req = Request::post("/catalog", "peer", Bytes::new());
        // After a failure the next poll of that node tries again.
        if let Ok(text) = exchange_once(&node, from, &req, PATIENCE).await {
            follow::adopt(&node, text);
        }
        node.is_fetching_catalog.set(false);
    });
}

/// Makes this node poll another hub for a while.
pub(crate) fn is_silent(node: &Node, hub: SocketAddr) {
    node.heads.borrow_mut().pass_over(hub, PassedOver::Silent, node.now());
}

pub(crate) async fn call<T: Serialize, R: for<'a> Deserialize<'a>>(
    node: &Node,
    addr: SocketAddr,
    path: &str,
    message: &T,
    patience: Duration,
) -> Option<R> {
    ask(node, addr, path, message, patience).await.ok()
}

/// Why a call to another node failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unanswered {
    /// The node responded with a status other than 200.
    Refused,
    /// There was no response in time, or it cannot be parsed.
    Silent,
}

async fn ask<T: Serialize, R: for<'a> Deserialize<'a>>(
    node: &Node,
    addr: SocketAddr,
    path: &str,
    message: &T,
    patience: Duration,
) -> Result<R, Unanswered> {
    let body = serde_json::to_vec(message).expect("a peer message is valid JSON");
    let req = Request::post(path, "peer", body.into());
    let body = exchange_once(node, addr, &req, patience).await?;
    serde_json::from_slice(&body).map_err(|_| Unanswered::Silent)
}

/// Sends a request to another node and returns the body of a 200 response.
async fn exchange_once(
    node: &Node,
    addr: SocketAddr,
    req: &Request,
    patience: Duration,
) -> Result<Bytes, Unanswered> {
    let exchange = async {
        let mut conn = node.pool.get(addr, node.connect_limits()).await?;
        let head = conn.send(req).await?;
        let body = conn.collect(Body::new(head.framing), MOST).await?;
        node.pool.put(addr, conn);
        Ok::<_, hgw_http1::Error>((head.status, body))
    };
    match timeout(patience, exchange).await {
        Ok(Ok((200, body))) => Ok(body),
        Ok(Ok(_)) => Err(Unanswered::Refused),
        Ok(Err(_)) | Err(_) => Err(Unanswered::Silent),
    }
}

pub(crate) async fn answer(node: Node, req: http::Request<Incoming>) -> Answered {
    let (head, body) = req.into_parts();
    let Ok(body) = Limited::new(body, MOST).collect().await else {
        return Ok(own(StatusCode::BAD_REQUEST, "the body cannot be read"));
    };
    let body = body.to_bytes();
    Ok(match (&head.method, head.uri.path()) {
        (&Method::POST, "/tell") => answer_tell(&node, &body).await,
        (&Method::POST, "/want") => answer_want(&node, &body).await,
        (&Method::POST, "/quota") => match quotas::answer(&node, &body).await {
            Ok(Some(given)) => Response::new(AnswerBody::whole(given)),
            Ok(None) => own(StatusCode::CONFLICT, "this node grants no quota allowances"),
            Err(_) => own(StatusCode::BAD_REQUEST, "the body is not a quota request"),
        },
        (&Method::POST, "/catalog") => {
            Response::new(AnswerBody::whole(node.state.borrow().catalog_text.clone()))
        }
        _ => own(StatusCode::NOT_FOUND, "unknown path"),
    })
}

async fn answer_tell(node: &Node, body: &Bytes) -> Answer {
    let Ok(request) = serde_json::from_slice::<Tell>(body) else {
        return own(StatusCode::BAD_REQUEST, "the body is not a poll request");
    };
    eras::record_reported(node, request.era);
    let is_leader = node.holding.borrow().is_mine();
    // Two nodes that poll each other would each take the other's old data for new.
    let polls_sender = node.parent().is_some_and(|(_, addr)| addr == request.from);
    if !is_leader && (node.is_stopping() || polls_sender) {
        return own(StatusCode::CONFLICT, "this node relays no updates");
    }
    node.children.asks(request.from, node.now());
    take_catalog(node, request.from, request.catalog);
    if is_leader {
        if let Some(past) = &request.past {
            keeper::add_earlier_demand(node, request.from, past);
        }
        keeper::add_demand(node, &request.asked);
        meet(node, request.from);
    } else {
        pass_on(node, &request.asked);
    }
    take_in_loads(node, &request.loads);
    json(&news::news(node, &request).await)
}

/// Adds the demand of nodes behind this hub to its own report to the leader.
fn pass_on(node: &Node, asked: &[Asked]) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    for entry in asked {
        let (wanted, count) = entry.clone().parts();
        state.asked_for(now, &wanted, count);
    }
}

async fn answer_want(node: &Node, body: &Bytes) -> Answer {
    let Ok(request) = serde_json::from_slice::<Want>(body) else {
        return own(StatusCode::BAD_REQUEST, "the body is not a placement request");
    };
    if !is_keeper(node, request.fence) {
        return own(StatusCode::CONFLICT, "this node is not the leader");
    }
    let wanted = Wanted { model: request.model, adapter: request.adapter };
    let placement =
        keeper::request_placement(node, &wanted, &request.domain, request.refuted.as_ref()).await;
    json(&Wish { placement, engines: keeper::placements_of(node, &wanted) })
}

/// A new node counts at once, because the next count in the store takes seconds.
fn meet(node: &Node, other: SocketAddr) {
    let known = u32::try_from(node.sends.meet(other)).unwrap_or(u32::MAX);
    let mut state = node.state.borrow_mut();
    state.nodes = state.nodes.max(known);
}

fn is_keeper(node: &Node, fence: u64) -> bool {
    let leadership = node.holding.borrow();
    leadership.is_mine() && leadership.leader.as_ref().is_some_and(|leader| leader.fence == fence)
}

fn json<T: Serialize>(message: &T) -> Answer {
    let body = serde_json::to_vec(message).expect("a peer message is valid JSON");
    Response::new(AnswerBody::whole(body))
}
