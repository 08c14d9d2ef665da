//! What nodes tell each other: what is asked for, and what the engines hold.

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
use hgw_direct::hubs::SkipReason;
use hgw_direct::{EngineId, ModelRef};
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

/// Longest that the keeper holds an answer back for want of news.
const NEWS_WAIT: Duration = Duration::from_millis(400);

/// Longest wait for the keeper beyond that.
const PATIENCE: Duration = Duration::from_millis(600);

/// Longest wait for the placement of an adapter or the word that a model is coming.
const WANT_PATIENCE: Duration = Duration::from_millis(600);

/// Pause while no keeper is known or it does not answer.
const NO_KEEPER: Duration = Duration::from_millis(150);

/// Bytes of a message.
const MOST: usize = 1 << 20;

/// Asks that a model or an adapter be placed.
pub(crate) async fn want(node: &Node, wanted: &ModelRef, refuted: Option<&EngineId>) -> Placement {
    let keeper = node.holding.borrow().keeper.clone();
    let domain = node.settings.borrow().domain.clone();
    if node.holding.borrow().is_mine() {
        return keeper::want(node, wanted, &domain, refuted).await;
    }
    let Some(keeper) = keeper else { return Placement::Unknown };
    let want = Want {
        fence: keeper.fence,
        model: wanted.model.clone(),
        adapter: wanted.adapter.clone(),
        domain,
        refuted: refuted.cloned(),
    };
    match call::<_, Wish>(node, keeper.addr, "/want", &want, WANT_PATIENCE).await {
        Some(wish) => {
            take_in(node, wish.engines);
            wish.placement
        }
        None => Placement::Unknown,
    }
}

/// The text of the configuration of the node that this one asks for what is new.
pub(crate) async fn catalog(node: &Node) -> Option<Bytes> {
    let (_, addr) = node.parent()?;
    let req = Request::post("/catalog", "peer", Bytes::new());
    exchange_once(node, addr, &req, PATIENCE).await.ok().filter(|text| !text.is_empty())
}

/// Takes the configuration of a node that asks this one and has a newer one: the store may have lost that, and this node
/// may have started since.
fn take_catalog(node: &Node, from: SocketAddr, newest: u64) {
    if newest <= news::version(node) || node.takes_catalog.replace(true) {
        return;
    }
    let node = Node::clone(node);
    tokio::task::spawn_local(async move {
        let req = Request::post("/catalog", "peer", Bytes::new());
        // Where it does not answer, its next question comes soon.
        if let Ok(text) = exchange_once(&node, from, &req, PATIENCE).await {
            follow::adopt(&node, text);
        }
        node.takes_catalog.set(false);
    });
}

/// A node that passes on does not answer: the next is asked for a while.
pub(crate) fn is_silent(node: &Node, head: SocketAddr) {
    node.heads.borrow_mut().skip(head, SkipReason::Unresponsive, node.now());
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

/// Why another node gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unanswered {
    /// It is there, and does not do what it was asked to.
    Refused,
    /// It did not answer in time, or not so that it can be read.
    Silent,
}

async fn ask<T: Serialize, R: for<'a> Deserialize<'a>>(
    node: &Node,
    addr: SocketAddr,
    path: &str,
    message: &T,
    patience: Duration,
) -> Result<R, Unanswered> {
    let body = serde_json::to_vec(message).expect("a message can be written as JSON");
    let req = Request::post(path, "peer", body.into());
    let body = exchange_once(node, addr, &req, patience).await?;
    serde_json::from_slice(&body).map_err(|_| Unanswered::Silent)
}

/// The body of another node's answer, where it answered in time that all is well.
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

/// Answers another node.
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
            Ok(None) => own(StatusCode::CONFLICT, "gives no allowances"),
            Err(_) => own(StatusCode::BAD_REQUEST, "not a question for allowances"),
        },
        (&Method::POST, "/catalog") => {
            Response::new(AnswerBody::whole(node.state.borrow().catalog_text.clone()))
        }
        _ => own(StatusCode::NOT_FOUND, "no such call"),
    })
}

async fn answer_tell(node: &Node, body: &Bytes) -> Answer {
    let Ok(tell) = serde_json::from_slice::<Tell>(body) else {
        return own(StatusCode::BAD_REQUEST, "not a report of demand");
    };
    eras::hear(node, tell.era);
    let keeps = node.holding.borrow().is_mine();
    // Two nodes that asked each other would each take the other's old word for news.
    let asks_it = node.parent().is_some_and(|(_, addr)| addr == tell.from);
    if !keeps && (node.is_stopping() || asks_it) {
        return own(StatusCode::CONFLICT, "passes nothing on");
    }
    node.children.asks(tell.from, node.now());
    take_catalog(node, tell.from, tell.catalog);
    if keeps {
        if let Some(past) = &tell.past {
            keeper::counted_before(node, tell.from, past);
        }
        keeper::asked(node, &tell.asked);
        meet(node, tell.from);
    } else {
        pass_on(node, &tell.asked);
    }
    take_in_loads(node, &tell.loads);
    json(&news::news(node, &tell).await)
}

/// What the nodes of a domain are asked for goes to the keeper as what this one is asked for.
fn pass_on(node: &Node, asked: &[Asked]) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    for one in asked {
        let (wanted, count) = one.clone().parts();
        state.asked_for(now, &wanted, count);
    }
}

async fn answer_want(node: &Node, body: &Bytes) -> Answer {
    let Ok(want) = serde_json::from_slice::<Want>(body) else {
        return own(StatusCode::BAD_REQUEST, "not a wish for a model");
    };
    if !is_keeper(node, want.fence) {
        return own(StatusCode::CONFLICT, "not the keeper");
    }
    let wanted = ModelRef { model: want.model, adapter: want.adapter };
    let placement = keeper::want(node, &wanted, &want.domain, want.refuted.as_ref()).await;
    json(&Wish { placement, engines: keeper::told_of(node, &wanted) })
}

/// A node that has just come counts at once; the store's count comes seconds later.
fn meet(node: &Node, other: SocketAddr) {
    let known = u32::try_from(node.sends.meet(other)).unwrap_or(u32::MAX);
    let mut state = node.state.borrow_mut();
    state.nodes = state.nodes.max(known);
}

fn is_keeper(node: &Node, fence: u64) -> bool {
    let holding = node.holding.borrow();
    holding.is_mine() && holding.keeper.as_ref().is_some_and(|k| k.fence == fence)
}

fn json<T: Serialize>(message: &T) -> Answer {
    let body = serde_json::to_vec(message).expect("a message can be written as JSON");
    Response::new(AnswerBody::whole(body))
}
