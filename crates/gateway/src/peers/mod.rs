//! Communication between nodes: polls for updates, placement requests and load reports.

mod catalog_text;
mod children;
mod datagrams;
mod forwarding;
mod in_flight;
mod leader_search;
mod limits;
mod list;
mod loads;
mod message;
mod placements;
mod poll;
mod poll_response;
mod streams;
mod unreachable;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hgw_direct::hubs::SkipReason;
use hgw_direct::{EngineId, ModelRef, VersionKey};
use hgw_http1::{BodyDecoder, BodyPace, Request};
use http::{Method, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::crashes::{self, TrialRequest, TrialResponse};
use crate::engine_limits;
use crate::engine_notices;
use crate::engine_speed;
use crate::eras;
use crate::leader;
use crate::overload;
use crate::quotas;
use crate::response::{CallerResponse, ResponseBody, ResponseResult, json_error};
use crate::shared::{CatalogMention, Node};

pub(crate) use catalog_text::{
    CatalogTransfers, fetch_reported, record_catalog_of, wait_for_catalog,
};
pub(crate) use children::Children;
pub(crate) use datagrams::{Datagram, PeerSocket, receive};
pub(crate) use forwarding::{
    AGREE_WITHIN, AttemptGrant, FORWARDED, ForwardOutcome, ForwardedRequest, find_forwarders,
    request_attempt,
};
pub(crate) use in_flight::report_in_flight;
pub(crate) use leader_search::search_leader;
pub(crate) use limits::send_engine_news;
use list::apply_placements;
use loads::apply_loads;
use message::PlacementRequest;
pub(crate) use message::{DemandCount, EarlierDemand, EnginePlacement, Placement};
use message::{PlacementResponse, PollRequest};
pub(crate) use placements::PlacementChanges;
pub(crate) use poll::poll;
pub(crate) use streams::{AskResult, ask_version, record_stream};
pub(crate) use unreachable::report_unreachable;

/// Maximum time that a poll waits for an update.
const MAX_POLL_WAIT: Duration = Duration::from_millis(400);

/// Timeout for the head of a response, beyond the time that a poll waits.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for the body of a response.
const BODY_PACE: BodyPace =
    BodyPace { max_pause: RESPONSE_TIMEOUT, max_time: Duration::from_secs(3) };

/// Timeout of a placement request, during which an adapter may be loaded.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(600);

/// Path at which the leader is asked for a trial of a part of prompts.
pub(crate) const TRIAL_PATH: &str = "/trial";

/// Pause while no leader is known or the polled node does not respond.
const NO_LEADER_PAUSE: Duration = Duration::from_millis(150);

const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Asks the leader to place a model or an adapter.
pub(crate) async fn request_placement(
    node: &Node,
    model_ref: &ModelRef,
    stale_engine: Option<&EngineId>,
    version: Option<VersionKey>,
) -> Placement {
    let leader = node.leadership.borrow().leader.clone();
    let domain = node.settings.borrow().domain.clone();
    if node.leadership.borrow().is_leader() {
        return leader::request_placement(node, model_ref, &domain, stale_engine, version).await;
    }
    let Some(leader) = leader else { return Placement::Unknown };
    let request = PlacementRequest {
        fence: leader.fence,
        model: model_ref.model.clone(),
        adapter: model_ref.adapter.clone(),
        domain,
        stale_engine: stale_engine.cloned(),
        version,
    };
    match call::<_, PlacementResponse>(node, leader.addr, "/want", &request, PLACEMENT_TIMEOUT)
        .await
    {
        Some(response) => {
            apply_placements(node, response.placements);
            response.placement
        }
        None => Placement::Unknown,
    }
}

/// Makes this node poll another hub for a while.
pub(crate) fn mark_unresponsive(node: &Node, hub: SocketAddr) {
    node.hubs.borrow_mut().skip(hub, SkipReason::Unresponsive, node.now());
}

pub(crate) async fn call<T: Serialize, R: for<'a> Deserialize<'a>>(
    node: &Node,
    addr: SocketAddr,
    path: &str,
    message: &T,
    max_wait: Duration,
) -> Option<R> {
    try_call(node, addr, path, message, max_wait).await.ok()
}

/// Why a call to another node failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallError {
    /// The node responded with a status other than 200.
    Refused,
    /// There was no response in time, or it cannot be parsed.
    NoResponse,
}

async fn try_call<T: Serialize, R: for<'a> Deserialize<'a>>(
    node: &Node,
    addr: SocketAddr,
    path: &str,
    message: &T,
    max_wait: Duration,
) -> Result<R, CallError> {
    let body = serde_json::to_vec(message).expect("a peer message is valid JSON");
    let req = Request::post(path, "peer", body.into());
    let body = send_request(node, addr, &req, max_wait).await?;
    serde_json::from_slice(&body).map_err(|_| CallError::NoResponse)
}

/// Sends a request to another node and returns the body of a 200 response, whose head must arrive within `max_wait`.
async fn send_request(
    node: &Node,
    addr: SocketAddr,
    req: &Request,
    max_wait: Duration,
) -> Result<Bytes, CallError> {
    let send = async {
        let mut conn = node.pool.get(addr, node.conn_timeouts()).await?;
        let head = conn.round_trip(req).await?;
        Ok::<_, hgw_http1::Error>((conn, head))
    };
    let Ok(Ok((mut conn, head))) = timeout(max_wait, send).await else {
        return Err(CallError::NoResponse);
    };
    let body = BodyDecoder::new(head.framing);
    let body = conn.read_body_at_pace(body, MAX_MESSAGE_BYTES, BODY_PACE, |_| {}).await;
    let body = body.map_err(|_| CallError::NoResponse)?;
    node.pool.put(addr, conn);
    if head.status == StatusCode::OK { Ok(body) } else { Err(CallError::Refused) }
}

pub(crate) async fn handle_request(node: Node, req: http::Request<Incoming>) -> ResponseResult {
    if req.headers().contains_key(FORWARDED) {
        return Ok(forwarding::handle_forwarded(&node, req).await);
    }
    let (head, body) = req.into_parts();
    let Ok(body) = Limited::new(body, MAX_MESSAGE_BYTES).collect().await else {
        return Ok(json_error(StatusCode::BAD_REQUEST, "the body cannot be read"));
    };
    let body = body.to_bytes();
    Ok(match (&head.method, head.uri.path()) {
        (&Method::POST, "/tell") => handle_poll(&node, &body).await,
        (&Method::POST, "/want") => handle_placement_request(&node, &body).await,
        (&Method::POST, "/quota") => match quotas::handle_request(&node, &body).await {
            Ok(Some(given)) => Response::new(ResponseBody::full(given)),
            Ok(None) => json_error(StatusCode::CONFLICT, "this node grants no quota allowances"),
            Err(_) => json_error(StatusCode::BAD_REQUEST, "the body is not a quota request"),
        },
        (&Method::POST, "/streams") => match serde_json::from_slice(&body) {
            Ok(question) => json_response(&streams::answer(&node, &question)),
            Err(_) => json_error(StatusCode::BAD_REQUEST, "the body names no stream"),
        },
        (&Method::POST, "/forwarders") => match serde_json::from_slice(&body) {
            Ok(request) => json_response(&forwarding::forwarders_response(&node, &request)),
            Err(_) => json_error(StatusCode::BAD_REQUEST, "the body names no node"),
        },
        (&Method::POST, forwarding::ATTEMPT_PATH) => match serde_json::from_slice(&body) {
            Ok(request) => json_response(&forwarding::grant_attempt(&node, request)),
            Err(_) => json_error(StatusCode::BAD_REQUEST, "the body names no grant"),
        },
        (&Method::POST, leader_search::LEADER_PATH) => {
            json_response(&leader_search::leader_response(&node))
        }
        (&Method::POST, TRIAL_PATH) => match serde_json::from_slice::<TrialRequest>(&body) {
            Ok(TrialRequest { part }) => {
                json_response(&TrialResponse { is_granted: crashes::grant(&node, part) })
            }
            Err(_) => json_error(StatusCode::BAD_REQUEST, "the body names no part of a prompt"),
        },
        (&Method::POST, catalog_text::PART_PATH) => catalog_text::handle_part_request(&node, &body),
        (&Method::POST, catalog_text::WHOLE_PATH) => {
            Response::new(ResponseBody::full(node.state.borrow().catalog_text.clone()))
        }
        _ => json_error(StatusCode::NOT_FOUND, "unknown path"),
    })
}

async fn handle_poll(node: &Node, body: &Bytes) -> CallerResponse {
    let Ok(request) = serde_json::from_slice::<PollRequest>(body) else {
        return json_error(StatusCode::BAD_REQUEST, "the body is not a poll request");
    };
    eras::record_reported(node, request.era);
    let is_leader = node.leadership.borrow().is_leader();
    // Two nodes that poll each other would each take the other's old data for new.
    let polls_sender = node.parent().is_some_and(|(_, addr)| addr == request.from);
    let has_released = node.leadership.borrow().has_released_lately();
    if !is_leader && (node.is_stopping() || polls_sender || has_released) {
        return json_error(StatusCode::CONFLICT, "this node forwards no updates");
    }
    node.children.record_poll(request.from, request.cannot_lead, node.now());
    record_catalog_of(node, request.from, request.catalog_version, CatalogMention::Poll);
    if is_leader {
        if let Some(earlier) = &request.earlier_demand {
            leader::add_earlier_demand(node, request.from, earlier);
        }
        leader::add_demand(node, &request.demand);
        add_peer(node, request.from);
    } else {
        record_child_demand(node, &request.demand);
    }
    apply_loads(node, &request.loads);
    engine_limits::apply_states(node, &request.engine_limits);
    engine_speed::apply_report(node, &request.speeds);
    overload::apply_reports(node, &request.service_reports);
    engine_notices::apply_leaving(node, &request.leaving_engines);
    let crash_reports = request.crash_reports.iter().chain(&request.part_crash_reports);
    crashes::apply_reports(node, crash_reports.cloned());
    json_response(&poll_response::poll_response(node, &request).await)
}

/// So many random entries.
fn sample(mut addrs: Vec<SocketAddr>, count: usize) -> Vec<SocketAddr> {
    addrs.partial_shuffle(&mut rand::rng(), count).0.to_vec()
}

/// Adds the demand of nodes behind this hub to its own report to the leader.
fn record_child_demand(node: &Node, demand: &[DemandCount]) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    for entry in demand {
        let (model_ref, count) = entry.clone().into_parts();
        state.record_demand(now, &model_ref, count);
    }
}

async fn handle_placement_request(node: &Node, body: &Bytes) -> CallerResponse {
    let Ok(request) = serde_json::from_slice::<PlacementRequest>(body) else {
        return json_error(StatusCode::BAD_REQUEST, "the body is not a placement request");
    };
    if !is_leader(node, request.fence) {
        return json_error(StatusCode::CONFLICT, "this node is not the leader");
    }
    let model_ref = ModelRef { model: request.model, adapter: request.adapter };
    let stale_engine = request.stale_engine.as_ref();
    let placement =
        leader::request_placement(node, &model_ref, &request.domain, stale_engine, request.version)
            .await;
    json_response(&PlacementResponse {
        placement,
        placements: leader::placements_of(node, &model_ref),
    })
}

/// Counts a new node immediately, because the next count in the store may be seconds away.
fn add_peer(node: &Node, peer: SocketAddr) {
    let known = u32::try_from(node.peer_socket.add_peer(peer)).unwrap_or(u32::MAX);
    let mut state = node.state.borrow_mut();
    state.nodes = state.nodes.max(known);
}

fn is_leader(node: &Node, fence: u64) -> bool {
    let leadership = node.leadership.borrow();
    leadership.is_leader() && leadership.leader.as_ref().is_some_and(|leader| leader.fence == fence)
}

fn json_response<T: Serialize>(message: &T) -> CallerResponse {
    let body = serde_json::to_vec(message).expect("a peer message is valid JSON");
    Response::new(ResponseBody::full(body))
}
