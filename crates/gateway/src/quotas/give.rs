//! Giving allowances to nodes that ask for them.

use std::time::Duration;

use hgw_direct::hubs::Parent;
use hgw_direct::quota::{Allowance, Grant, Issuer, Waiter};
use tokio::time::timeout;

use crate::shared::Node;

use super::message::{Ask, Given};
use super::{Source, Waits, limit, now, source, with};

/// Longest time for which a head holds an answer back to ask for more itself.
const HELD_BACK: Duration = Duration::from_millis(60);

/// Gives allowances, where this node is sure that no other does.
pub(super) fn issue(node: &Node, ask: &Ask) -> Option<Given> {
    let lease = node.settings.borrow().lease;
    let fence = node.holding.borrow().sure(lease)?;
    let (now, nodes) = (now(), node.state.borrow().nodes);
    let mut issuer = node.quotas.issuer.borrow_mut();
    if issuer.as_ref().is_none_or(|(known, _)| *known != fence) {
        *issuer = Some((fence, Issuer::new(now)));
    }
    let (_, issuer) = issuer.as_mut()?;
    if ask.nodes > 0 {
        issuer.record_contact(ask.from, ask.nodes, now);
    }
    let silent = issuer.silent_share(nodes, now);
    let mut given = Given::default();
    for (customer, want, alone) in &ask.rows {
        let Some((terms, _)) = limit(node, customer, None) else { continue };
        let part = Issuer::max_share(ask.nodes, nodes);
        let answer = issuer.grant(ask.from, customer, &terms, want, (*alone, silent, part), now);
        let grant = Grant { amount: answer.amount, ttl_ms: terms.allowance_ttl() };
        given.rows.push((customer.clone(), vec![grant], answer.available_in));
    }
    Some(given)
}

/// Goes on issuing under another claim of this node: what it gave under the one before still counts.
pub(crate) fn go_on(node: &Node, before: u64, fence: u64) {
    if let Some((known, _)) = node.quotas.issuer.borrow_mut().as_mut()
        && *known == before
    {
        *known = fence;
    }
}

/// Answers a node that asks for allowances; nothing where this one has none to give.
pub(crate) async fn answer(node: &Node, body: &[u8]) -> Result<Option<Vec<u8>>, serde_json::Error> {
    let ask: Ask = serde_json::from_slice(body)?;
    let given = match source(node) {
        Source::Itself => issue(node, &ask),
        _ if ask.of_issuer => None,
        // Two levels and no more: a head passes on what the issuer gives.
        Source::Node(Parent::Hub(_), _) => None,
        Source::Node(Parent::Leader, _) | Source::Nobody => Some(pass_on(node, &ask).await),
    };
    given.map(|given| serde_json::to_vec(&given)).transpose()
}

async fn pass_on(node: &Node, ask: &Ask) -> Given {
    let mut waits = Vec::new();
    for (customer, want, _) in &ask.rows {
        let lacks = with(node, customer, |account| {
            account.record_peer_request(now(), want);
            let lacks = want.max > account.allowances.balance(now());
            lacks && account.available_in(now()).is_none()
        });
        if lacks {
            let waiting = Waiter { max: want.max, min: want.min };
            with(node, customer, |account| account.add_waiter(waiting));
            waits.push(Waits { node, customer, waiting });
        }
    }
    if !waits.is_empty() {
        let filled = node.quotas.filled.notified();
        node.quotas.wake.notify_one();
        // What has come by then is given; the node asks again.
        let _ = timeout(HELD_BACK, filled).await;
    }
    drop(waits);
    let mut given = Given::default();
    for (customer, want, _) in &ask.rows {
        let now = now();
        let (lots, room_in) = with(node, customer, |account| {
            let there = account.allowances.balance(now);
            let lots = account.allowances.take(now, want.grantable(there));
            (lots, account.available_in(now))
        });
        let grant = |lot: Allowance| Grant {
            amount: lot.amount,
            ttl_ms: lot.expires_at.saturating_sub(now),
        };
        let grants: Vec<Grant> = lots.into_iter().map(grant).collect();
        given.rows.push((customer.clone(), grants, room_in));
    }
    node.quotas.wake.notify_one();
    given
}
