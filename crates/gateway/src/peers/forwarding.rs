//! Requests that another node sends by way of this one, and who does that for others.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use hgw_direct::{EngineId, GrantId, Refusal, ServiceId, VersionKey, broadcasts_sends};
use http::{HeaderName, HeaderValue};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::attempt_grants;
use crate::relay;
use crate::response::{CallerResponse, Outcome};
use crate::shared::{CatalogMention, Node};

use super::catalog_text::{record_catalog_of, wait_for_catalog};
use super::{call, sample};

/// Marks a request that another node has forwarded, and the response to it. Callers do not reach the
/// listener on which it counts.
pub(crate) const FORWARDED: HeaderName = HeaderName::from_static("hgw-forwarded");

/// Nodes of its own domain, and of other domains, that a node names.
const NEAR_FORWARDERS: usize = 4;
const FAR_FORWARDERS: usize = 8;

/// Timeout of the question who forwards requests.
const FIND_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between two such questions.
const FIND_INTERVAL_MS: u64 = 1_000;

/// Number of usable nodes below which others are looked for.
const ENOUGH_FORWARDERS: usize = 2;

/// Path at which a node is asked for another attempt of a request that it has forwarded.
pub(super) const ATTEMPT_PATH: &str = "/attempts";

/// Timeout of that question: a node that lives answers within milliseconds, and the request waits.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that a forwarded request waits until both nodes have the same configuration.
pub(crate) const AGREE_WITHIN: Duration = Duration::from_millis(150);

/// What goes with a forwarded request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    /// Time since the other node had read its head.
    pub(crate) age_ms: u64,
    /// Service that the route was resolved to.
    pub(crate) service: ServiceId,
    /// Attempts that an engine may have executed. A release that asks for no attempts makes as many as remain, so that with a
    /// grant this is all but one of those that the route allows.
    pub(crate) executions: u32,
    /// What the node may ask for more attempts; none from a release that grants none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) grant: Option<AttemptGrant>,
    /// Attempts that an engine rejected.
    pub(crate) rejected: u32,
    pub(crate) tried_engines: Vec<EngineId>,
    /// Last event that the caller has, if a stream is resumed.
    pub(crate) last_event: Option<u64>,
    /// Software version that began that stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) version: Option<VersionKey>,
    /// Configuration of the other node; zero from a release that does not tell it.
    #[serde(default)]
    pub(crate) catalog_version: u64,
    /// Newest configuration that the other node has or cannot use. A node with a newer one refuses the request, so that the
    /// callers of the other node see no configuration that it has not in force. None from a release that would not take it then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) known_catalog: Option<u64>,
}

/// The one attempt that goes with a forwarded request, and where further ones are granted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct AttemptGrant {
    pub(crate) id: GrantId,
    /// Peer address of the node that grants it.
    pub(crate) from: SocketAddr,
    /// Attempts besides that an engine may have executed.
    pub(crate) executions: u32,
}

/// Asks for another attempt.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct AttemptRequest {
    grant: GrantId,
    /// Attempts that the node will have made by then.
    attempts: u32,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct AttemptResponse {
    is_granted: bool,
}

/// What a response to a forwarded request is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum ForwardOutcome {
    /// The response of an engine, after so many attempts that may have been executed.
    Engine {
        engine: EngineId,
        /// Its software version; none if the node's release does not know of versions.
        #[serde(default)]
        version: Option<VersionKey>,
        runs: u32,
        domain: String,
    },
    /// The request has not run.
    Refused {
        reason: String,
        may_run_elsewhere: bool,
        /// Configuration of the node, if it refused the request as the other node has an older one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        newer_catalog: Option<u64>,
    },
    /// No engine has completed it, after so many attempts that may have been executed.
    Failed { runs: u32 },
}

impl ForwardedRequest {
    pub(crate) fn to_header(&self) -> HeaderValue {
        header_value(self)
    }

    pub(crate) fn parse(value: &HeaderValue) -> Option<ForwardedRequest> {
        serde_json::from_slice(value.as_bytes()).ok()
    }

    /// Attempts of other nodes that an engine may have executed.
    pub(crate) fn executions_elsewhere(&self) -> u32 {
        self.grant.as_ref().map_or(self.executions, |grant| grant.executions)
    }
}

impl ForwardOutcome {
    pub(crate) fn parse(value: &HeaderValue) -> Option<ForwardOutcome> {
        serde_json::from_slice(value.as_bytes()).ok()
    }

    fn of(response: &CallerResponse, node: &Node) -> ForwardOutcome {
        match response.extensions().get::<Outcome>() {
            Some(Outcome::Engine { engine, version, runs }) => {
                let (engine, version) = (engine.clone(), Some(*version));
                ForwardOutcome::Engine {
                    engine,
                    version,
                    runs: *runs,
                    domain: node.settings.borrow().domain.clone(),
                }
            }
            Some(Outcome::Failed { runs }) => ForwardOutcome::Failed { runs: *runs },
            Some(Outcome::Refused(reason)) => ForwardOutcome::Refused {
                reason: reason.to_string(),
                may_run_elsewhere: may_run_elsewhere(*reason),
                newer_catalog: (*reason == Refusal::NewerConfig).then(|| node.catalog_version()),
            },
            // Denied before an engine was chosen.
            None => ForwardOutcome::Refused {
                reason: response.status().to_string(),
                may_run_elsewhere: false,
                newer_catalog: None,
            },
        }
    }
}

fn header_value(json: &impl Serialize) -> HeaderValue {
    let json = serde_json::to_vec(json).expect("a forwarding header is valid JSON");
    HeaderValue::from_bytes(&json).expect("JSON without line breaks is a valid header value")
}

/// Whether another node may serve what this one refused for this reason.
fn may_run_elsewhere(reason: Refusal) -> bool {
    matches!(
        reason,
        Refusal::NotReady
            | Refusal::Stopping
            | Refusal::EnginesUnreachable
            | Refusal::EnginesResting
            | Refusal::StaleConfig
            | Refusal::OutdatedConfig
            | Refusal::NewerConfig
            | Refusal::NodeBusy
            | Refusal::NodeMemory
    )
}

/// Serves a request that another node forwarded.
pub(super) async fn handle_forwarded(
    node: &Node,
    mut req: http::Request<Incoming>,
) -> CallerResponse {
    let forwarded = req.headers_mut().remove(FORWARDED);
    let forwarded = forwarded.as_ref().and_then(ForwardedRequest::parse);
    let mut response = match forwarded {
        _ if node.is_stopping() => relay::refuse_at_once(node, Refusal::Stopping),
        None => relay::refuse_at_once(node, Refusal::NotReady),
        Some(forwarded) => match agree_on_catalog(node, &forwarded).await {
            Ok(()) => relay::handle_forwarded(node, forwarded, req).await,
            Err(reason) => relay::refuse_at_once(node, reason),
        },
    };
    let outcome = ForwardOutcome::of(&response, node);
    response.headers_mut().insert(FORWARDED, header_value(&outcome));
    response
}

/// Makes sure that this node has the configuration of the other one. With an older one it would handle the request as the
/// caller knows to be outdated; with a newer one the caller's next request, which the other node handles itself, would go back.
async fn agree_on_catalog(node: &Node, forwarded: &ForwardedRequest) -> Result<(), Refusal> {
    let version = forwarded.catalog_version;
    if version > node.catalog_version()
        && let Some(grant) = &forwarded.grant
    {
        record_catalog_of(node, grant.from, version, CatalogMention::ForwardedRequest);
        wait_for_catalog(node, version, AGREE_WITHIN).await;
    }
    let own = node.catalog_version();
    if version > own {
        return Err(Refusal::OutdatedConfig);
    }
    let is_behind = forwarded.known_catalog.is_some_and(|known| known < own);
    if is_behind { Err(Refusal::NewerConfig) } else { Ok(()) }
}

/// Asks the node that forwarded a request whether this one may make so many attempts in all; none without an answer.
pub(crate) async fn request_attempt(
    node: &Node,
    grant: &AttemptGrant,
    attempts: u32,
) -> Option<bool> {
    let request = AttemptRequest { grant: grant.id, attempts };
    let response: AttemptResponse =
        call(node, grant.from, ATTEMPT_PATH, &request, ATTEMPT_TIMEOUT).await?;
    Some(response.is_granted)
}

/// Answers a node to which this one has forwarded a request.
pub(super) fn grant_attempt(node: &Node, request: AttemptRequest) -> AttemptResponse {
    let AttemptRequest { grant, attempts } = request;
    AttemptResponse { is_granted: attempt_grants::raise(node, grant, attempts) }
}

/// Asks which nodes reach engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ForwardersRequest {
    from: SocketAddr,
    domain: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ForwardersResponse {
    /// Peer addresses and failure domains.
    nodes: Vec<(SocketAddr, Option<String>)>,
}

/// Names a few random nodes that may reach engines.
pub(super) fn forwarders_response(node: &Node, request: &ForwardersRequest) -> ForwardersResponse {
    let own_addr = node.settings.borrow().peer_addr;
    let directory = node.directory.borrow();
    let mut nodes = Vec::new();
    if node.engine_path.failed_services().is_empty() {
        nodes.push((own_addr, Some(node.settings.borrow().domain.clone())));
    }
    // Who cannot lead does not reach engines of models either.
    let near = sample(node.children.able_to_lead(), NEAR_FORWARDERS);
    nodes.extend(near.into_iter().map(|addr| (addr, directory.domain(addr).map(str::to_owned))));
    let far = sample(directory.outside(&request.domain), FAR_FORWARDERS);
    nodes.extend(far.into_iter().map(|addr| (addr, directory.domain(addr).map(str::to_owned))));
    nodes.retain(|(addr, _)| *addr != request.from);
    ForwardersResponse { nodes }
}

/// Makes sure that this node knows others that may forward its requests, if there are any.
pub(crate) async fn find_forwarders(node: &Node, service: &ServiceId) {
    let own_addr = node.settings.borrow().peer_addr;
    if broadcasts_sends(node.state.borrow().nodes) {
        let peers = node.peer_socket.addrs().into_iter().filter(|addr| *addr != own_addr);
        node.forwarders.borrow_mut().set_all(peers);
        return;
    }
    let now = node.now();
    if node.forwarders.borrow().usable(service, now) >= ENOUGH_FORWARDERS {
        return;
    }
    if node.is_finding_forwarders.get() {
        // Another request has asked; without an answer this one goes on with what is known.
        let _ = timeout(FIND_TIMEOUT, node.forwarders_found.notified()).await;
        return;
    }
    let asked_at = node.forwarders_asked_at.get();
    if asked_at.is_some_and(|at| now.saturating_sub(at) < FIND_INTERVAL_MS) {
        return;
    }
    node.forwarders_asked_at.set(Some(now));
    node.is_finding_forwarders.set(true);
    let node = Node::clone(node);
    // The question goes on if its request ends meanwhile, as others wait for the answer.
    let asking = tokio::task::spawn_local(async move {
        ask_for_forwarders(&node, own_addr).await;
        node.is_finding_forwarders.set(false);
        node.forwarders_found.notify_waiters();
    });
    let _ = asking.await;
}

async fn ask_for_forwarders(node: &Node, own_addr: SocketAddr) {
    let request =
        ForwardersRequest { from: own_addr, domain: node.settings.borrow().domain.clone() };
    let leader = node.leadership.borrow().leader.as_ref().map(|leader| leader.addr);
    let parent = node.parent().map(|(_, addr)| addr);
    let mut asked = vec![own_addr];
    let mut found = forwarders_response(node, &request).nodes;
    for addr in parent.into_iter().chain(leader) {
        if !asked.contains(&addr) {
            asked.push(addr);
        }
    }
    let calls = asked.iter().filter(|addr| **addr != own_addr).map(|addr| {
        call::<_, ForwardersResponse>(node, *addr, "/forwarders", &request, FIND_TIMEOUT)
    });
    for response in join_all(calls).await.into_iter().flatten() {
        found.extend(response.nodes);
    }
    found.retain(|(addr, _)| *addr != own_addr);
    node.forwarders.borrow_mut().add(found);
}
