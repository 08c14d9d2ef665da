//! Proxies one caller request to an engine, from the request head to the end of the response.

mod admission;
mod attempt;
mod body;
mod buffered;
mod chunk_read;
mod counted_attempts;
mod engine_choice;
mod engine_response;
mod event_buffer;
mod event_timing;
mod forward;
mod forwarded;
mod identity;
mod incarnation;
mod open_attempt;
mod outcome;
mod read_ahead;
mod request;
mod room;
mod second_attempt;
mod silence;
mod source;
mod start;
mod stop;
mod stream;
mod take_up;
mod wait;
mod withhold;

use std::sync::Arc;
use std::time::Duration;

use hgw_direct::{Catalog, Refusal, retry_after};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use rand::random;
use tokio::time::Instant;

use crate::meter;
use crate::peers::ForwardedRequest;
use crate::quotas::NoAllowance;
use crate::response::{CallerResponse, Outcome, json_error};
use crate::shared::Node;
use crate::shutdown;
use crate::shutdown::ActiveRequest;

use attempt::StartedResponse;
use forwarded::ForwardedSlot;
use identity::Identity;
use request::RelayedRequest;
use stop::StopWatch;

/// Retry delay for callers while the node has no configuration or engine list yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

pub(crate) use forwarded::{handle_forwarded, refuse_at_once};

pub(crate) async fn handle(node: &Node, req: Request<Incoming>) -> CallerResponse {
    let active = ActiveRequest::begin(node);
    if shutdown::refuses_requests(node) {
        return refuse(node, Refusal::Stopping, Duration::ZERO);
    }
    match node.serving_catalog() {
        Ok(catalog) => handle_routed(node, active, catalog, req, None).await,
        Err(reason) => refuse_unserved(node, reason),
    }
}

/// Refuses a request while this node serves none. Others have a configuration that this one lacks, so callers may
/// come back to them at once.
fn refuse_unserved(node: &Node, reason: Refusal) -> CallerResponse {
    let min_delay = match reason {
        Refusal::OutdatedConfig => Duration::ZERO,
        _ => NOT_READY_RETRY_AFTER,
    };
    refuse(node, reason, min_delay)
}

async fn handle_routed(
    node: &Node,
    active: ActiveRequest,
    catalog: Arc<Catalog>,
    req: Request<Incoming>,
    forwarded: Option<ForwardedRequest>,
) -> CallerResponse {
    let age = forwarded.as_ref().map_or(Duration::ZERO, |f| Duration::from_millis(f.age_ms));
    let received_at = Instant::now().checked_sub(age).unwrap_or_else(Instant::now);
    let (head, body) = req.into_parts();
    let host = head.headers.get(http::header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let Some(matched) = catalog.find(host, head.uri.path(), random()) else {
        return json_error(StatusCode::NOT_FOUND, "no route");
    };
    let (mut route, service) = (matched.route.clone(), matched.service.clone());
    let service = forwarded.as_ref().map_or(service, |f| f.service_of(&route, matched.service));
    let read = tokio::select! {
        biased;
        read = body::read(node, body, catalog.limits.max_body_bytes) => read,
        () = node.shutdown.until_ending() => return refuse_at_once(node, Refusal::Stopping),
    };
    let body = match read {
        Ok(body) => body,
        Err(error) => return body::refuse(node, &route, error),
    };
    let info = match node.protocols.callers.parse(&head) {
        Ok(info) => info,
        Err(invalid) => return json_error(StatusCode::BAD_REQUEST, &invalid.to_string()),
    };
    if let Some(reason) = &info.ignored_length_hint {
        meter::ignored_figure("X-Length-Hint", reason);
    }
    let credentials = node.protocols.callers.credentials(&head);
    let identity = match Identity::authenticate(node, &catalog, &route, credentials) {
        Ok((identity, customer)) => {
            // The customer's priority overrides the route's.
            route.priority = customer.and_then(|c| c.priority).unwrap_or(route.priority);
            identity
        }
        Err(error) => return identity::refuse_unauthorized(node, &info.id, &route, error),
    };
    let slot = match &forwarded {
        Some(_) => ForwardedSlot::acquire(node, route.priority).map(Some),
        None => Some(None),
    };
    let Some(slot) = slot else { return refuse_at_once(node, Refusal::NodeBusy) };
    let mut relayed =
        RelayedRequest::new(node, active, head, body, info, route, service, identity, received_at);
    if let Some((forwarded, slot)) = forwarded.zip(slot) {
        relayed.continue_forwarded(forwarded, slot);
    }
    let stop = StopWatch::of(&relayed);
    let begun = tokio::select! {
        biased;
        begun = begin(&mut relayed) => begun,
        () = stop.until_due() => return relayed.respond_stopped(),
    };
    match begun {
        Begun::Complete(response) => response,
        Begun::Stream(started) => stream::respond(relayed, *started),
    }
}

/// What has come of a request when its response begins.
enum Begun {
    /// A complete response.
    Complete(CallerResponse),
    /// The response of an engine, which is streamed.
    Stream(Box<StartedResponse>),
}

/// Serves a request until its response begins.
async fn begin(req: &mut RelayedRequest) -> Begun {
    if let Err(response) = prepare(req).await {
        return Begun::Complete(*response);
    }
    if !req.route.kind.is_stream() {
        return Begun::Complete(buffered::serve(req).await);
    }
    match stream::start(req).await {
        Ok(started) => Begun::Stream(Box::new(started)),
        Err(reason) => Begun::Complete(req.respond_not_started(reason)),
    }
}

/// Makes sure that the request may be sent to an engine; fails with the response if it may not.
async fn prepare(req: &mut RelayedRequest) -> Result<(), Box<CallerResponse>> {
    if req.is_too_late() {
        return Err(Box::new(req.refuse_stopping()));
    }
    req.count_request();
    if let Err(withheld) = req.check_crashes()
        && !req.begin_trial(withheld).await
    {
        return Err(Box::new(req.respond_withheld(withheld)));
    }
    if !req.is_admitted() {
        return Err(Box::new(req.refuse_overloaded()));
    }
    req.bind_to_version().await?;
    req.charge_quota().await.map_err(|error| {
        let (reason, retry_after) = match error {
            NoAllowance::QuotaExceeded(retry_after) => (Refusal::QuotaExceeded, retry_after),
            NoAllowance::NoResponse(retry_after) => (Refusal::QuotaUnknown, retry_after),
        };
        Box::new(req.refuse(reason, retry_after))
    })
}

/// Rejects a request that no engine has executed, with a `Retry-After` of at least `min_delay`.
fn refuse(node: &Node, reason: Refusal, min_delay: Duration) -> CallerResponse {
    refuse_for(node, reason, retry_after(min_delay, random()))
}

/// Rejects a request that no engine has executed, with exactly this `Retry-After`.
fn refuse_for(node: &Node, reason: Refusal, delay: Duration) -> CallerResponse {
    let status = match reason {
        Refusal::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = json_error(status, &reason.to_string());
    node.protocols.callers.set_retry_after(response.headers_mut(), delay);
    response.extensions_mut().insert(Outcome::Refused(reason));
    response
}
