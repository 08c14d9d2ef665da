//! Grants allowances to other nodes.

use std::time::Duration;

use hgw_direct::LimitState;
use hgw_direct::hubs::Parent;
use hgw_direct::quota::{Allowance, Grant, Issuer, Waiter};
use tokio::time::timeout;

use crate::engine_limits;
use crate::shared::Node;

use super::message::{GrantRequest, GrantResponse};
use super::{AllowanceSource, WaitGuard, allowance_source, boot_now, quota_params, with_account};

/// Maximum time that a hub delays a response while it requests more from the issuer.
const MAX_HUB_DELAY: Duration = Duration::from_millis(60);

/// Grants allowances as the issuer; `None` unless this node's lease ensures that there is no other.
pub(super) fn issue(node: &Node, request: &GrantRequest) -> Option<GrantResponse> {
    start_issuer(node)?;
    let (now, nodes) = (boot_now(), node.state.borrow().nodes);
    let mut issuer = node.quotas.issuer.borrow_mut();
    let (_, issuer) = issuer.as_mut()?;
    if request.nodes > 0 {
        issuer.record_contact(request.from, request.nodes, now);
    }
    let unresponsive_share = issuer.unresponsive_share(nodes, now);
    let mut response = GrantResponse::default();
    for (key, requested, usage) in &request.rows {
        let Some(params) = quota_params(node, key) else { continue };
        let max_share = Issuer::max_share(request.nodes, nodes);
        let issued = issuer.grant(
            request.from,
            key,
            &params,
            requested,
            (*usage, unresponsive_share, max_share),
            now,
        );
        let grant = Grant { amount: issued.amount, ttl_ms: params.allowance_ttl() };
        response.rows.push((key.clone(), vec![grant], issued.available_in));
    }
    Some(response)
}

/// Starts the issuer if this node has become the leader; `None` unless its lease ensures that there is no
/// other. It starts with the lease, as its age tells what earlier issuers may have granted.
pub(super) fn start_issuer(node: &Node) -> Option<()> {
    let lease = node.settings.borrow().lease;
    let fence = node.leadership.borrow().exclusive_fencing_token(lease)?;
    let mut issuer = node.quotas.issuer.borrow_mut();
    if issuer.as_ref().is_none_or(|(current, _)| *current != fence) {
        *issuer = Some((fence, Issuer::new(boot_now())));
    }
    Some(())
}

/// Keeps the issuer's state, with all earlier grants, when this node's fencing token changes.
pub(crate) fn update_issuer_fence(node: &Node, old_fence: u64, fence: u64) {
    if let Some((current, _)) = node.quotas.issuer.borrow_mut().as_mut()
        && *current == old_fence
    {
        *current = fence;
    }
}

/// Handles a request for allowances; `None` if this node has none to grant.
pub(crate) async fn handle_request(
    node: &Node,
    body: &[u8],
) -> Result<Option<Vec<u8>>, serde_json::Error> {
    let request: GrantRequest = serde_json::from_slice(body)?;
    engine_limits::apply_states(node, &request.engine_limits);
    let response = match allowance_source(node) {
        AllowanceSource::Issuer => issue(node, &request),
        _ if request.issuer_only => None,
        // A node that has a hub itself forwards nothing: there are only two levels.
        AllowanceSource::Node(Parent::Hub(_), _) => None,
        AllowanceSource::Node(Parent::Leader, _) | AllowanceSource::None => {
            Some(grant_as_hub(node, &request).await)
        }
    };
    let response = response.map(|mut response| {
        response.lifted = lifted(node, &request);
        response
    });
    response.map(|response| serde_json::to_vec(&response)).transpose()
}

/// Requested engines that have no limit any more, as far as this node knows.
fn lifted(node: &Node, request: &GrantRequest) -> Vec<LimitState> {
    let limits = node.engine_limits.borrow();
    let states = request.engine_limits.iter().filter_map(|s| limits.state(s.engine, node.now()));
    states.filter(|state| state.limit.is_none()).collect()
}

/// Grants from the allowances of this node, which acts as a hub. If they do not suffice, waits
/// briefly for more from the issuer.
async fn grant_as_hub(node: &Node, request: &GrantRequest) -> GrantResponse {
    let mut waiters = Vec::new();
    for (key, requested, usage) in &request.rows {
        if *usage > 0.0 {
            node.quotas.fallback.borrow_mut().add_usage(key.clone(), *usage, boot_now());
        }
        if requested.max <= 0.0 {
            continue;
        }
        let is_short = with_account(node, key, |account| {
            account.record_peer_request(boot_now(), requested);
            let is_short = requested.max > account.allowances.balance(boot_now());
            is_short && account.available_in(boot_now()).is_none()
        });
        if is_short {
            let waiter = Waiter { max: requested.max, min: requested.min, ..Waiter::default() };
            with_account(node, key, |account| account.add_waiter(waiter));
            waiters.push(WaitGuard { node, key, waiter });
        }
    }
    if !waiters.is_empty() {
        let refilled = node.quotas.refilled.notified();
        node.quotas.refill_needed.notify_one();
        // Grants what has arrived by then; the node requests the rest again.
        let _ = timeout(MAX_HUB_DELAY, refilled).await;
    }
    drop(waiters);
    let mut response = GrantResponse::default();
    for (key, requested, _) in &request.rows {
        let now = boot_now();
        let (allowances, available_in) = with_account(node, key, |account| {
            let balance = account.allowances.balance(now);
            let allowances = account.allowances.take(now, requested.grantable(balance));
            (allowances, account.available_in(now))
        });
        let grant = |allowance: Allowance| Grant {
            amount: allowance.amount,
            ttl_ms: allowance.expires_at.saturating_sub(now),
        };
        let grants: Vec<Grant> = allowances.into_iter().map(grant).collect();
        response.rows.push((key.clone(), grants, available_in));
    }
    node.quotas.refill_needed.notify_one();
    response
}
