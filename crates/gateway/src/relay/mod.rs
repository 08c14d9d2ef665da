//! One request of a caller, from its head to the end of its answer.

mod attempt;
mod events;
mod identify;
mod pace;
mod plain;
mod request;
mod stream;
mod told;

use std::sync::Arc;
use std::time::Duration;

use hgw_direct::{Catalog, Refusal, retry_after};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::random;

use crate::answer::{Answer, own};
use crate::quotas::NoAllowance;
use crate::shared::Node;
use crate::stop;
use crate::stop::Active;

use identify::Identity;
use request::Relayed;

/// When a caller comes back that met a node without configuration or list.
const NOT_READY: Duration = Duration::from_millis(500);

/// Answers a request.
pub(crate) async fn answer(node: &Node, req: Request<Incoming>) -> Answer {
    let active = Active::begin(node);
    if stop::takes_no_more(node) {
        return refuse(node, Refusal::Stopping, Duration::ZERO);
    }
    let catalog = node.state.borrow().catalog.clone();
    let listed = node.state.borrow().listed;
    match catalog.filter(|_| listed) {
        Some(catalog) => routed(node, active, catalog, req).await,
        None => refuse(node, Refusal::NotReady, NOT_READY),
    }
}

async fn routed(
    node: &Node,
    active: Active,
    catalog: Arc<Catalog>,
    req: Request<Incoming>,
) -> Answer {
    let arrived = tokio::time::Instant::now();
    let (head, body) = req.into_parts();
    let host = head.headers.get(http::header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let Some(found) = catalog.find(host, head.uri.path(), random()) else {
        return own(StatusCode::NOT_FOUND, "no route");
    };
    let (mut route, service) = (found.route.clone(), found.service.clone());
    let body = match Limited::new(body, catalog.limits.max_body_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => {
            return own(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        }
        Err(_) => return own(StatusCode::BAD_REQUEST, "the body cannot be read"),
    };
    let call = match node.dialects.callers.read(&head) {
        Ok(call) => call,
        Err(bad) => return own(StatusCode::BAD_REQUEST, &bad.to_string()),
    };
    let shown = node.dialects.callers.shown(&head);
    let identity = match Identity::find(node, &catalog, &route, shown) {
        Ok((identity, customer)) => {
            // A customer's priority goes before the route's.
            route.priority = customer.and_then(|c| c.priority).unwrap_or(route.priority);
            identity
        }
        Err(why) => return identify::deny(node, &call.id, &route, why),
    };
    let mut relayed =
        Relayed::new(node, active, head, body, call, route, service, identity, arrived);
    if let Err(none) = relayed.spend().await {
        return match none {
            NoAllowance::OverLimit(wait) => relayed.refuse(Refusal::QuotaExceeded, wait),
            NoAllowance::NoWord(wait) => relayed.refuse(Refusal::QuotaUnknown, wait),
        };
    }
    if relayed.route.kind.is_stream() {
        stream::answer(relayed).await
    } else {
        plain::answer(relayed).await
    }
}

/// Refuses a request that has not run, with a time to come back.
fn refuse(node: &Node, why: Refusal, wait: Duration) -> Answer {
    let status = match why {
        Refusal::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut answer = own(status, &why.to_string());
    node.dialects.callers.come_back(answer.headers_mut(), retry_after(wait, random()));
    answer
}
