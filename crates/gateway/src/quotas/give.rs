//! Grants allowances to other nodes.

use std::time::Duration;

use hgw_direct::heads::Parent;
use hgw_direct::quota::{Grant, Issuer, Lot, Waiting};
use tokio::time::timeout;

use crate::shared::Node;

use super::message::{Ask, Given};
use super::{Source, Waits, limit, now, source, with};

/// Longest time that a hub delays a response to request more itself.
const HELD_BACK: Duration = Duration::from_millis(60);

/// Grants allowances if this node's lease ensures that no other node issues.
pub(super) fn issue(node: &Node, ask: &Ask) -> Option<Given> {
    let lease = node.settings.borrow().lease;
    let fence = node.holding.borrow().sure(lease)?;
    let (now, nodes) = (now(), node.state.borrow().nodes);
    let mut issuer = node.quotas.issuer.borrow_mut();
    if issuer.as_ref().is_none_or(|(known, _)| *known != fence) {
        *issuer = Some((fence, Issuer::begin(now)));
    }
    let (_, issuer) = issuer.as_mut()?;
    if ask.nodes > 0 {
        issuer.hear(ask.from, ask.nodes, now);
    }
    let silent = issuer.silent_share(nodes, now);
    let mut given = Given::default();
    for (customer, want, alone) in &ask.rows {
        let Some((terms, _)) = limit(node, customer, None) else { continue };
        let part = Issuer::part_of(ask.nodes, nodes);
        let answer = issuer.give(ask.from, customer, &terms, want, (*alone, silent, part), now);
        let grant = Grant { amount: answer.amount, for_ms: terms.life() };
        given.rows.push((customer.clone(), vec![grant], answer.room_in));
    }
    Some(given)
}

/// Continues to issue under a new fencing token of this node; what was granted before still counts.
pub(crate) fn go_on(node: &Node, before: u64, fence: u64) {
    if let Some((known, _)) = node.quotas.issuer.borrow_mut().as_mut()
        && *known == before
    {
        *known = fence;
    }
}

/// Handles a request for allowances; `None` if this node has none to grant.
pub(crate) async fn answer(node: &Node, body: &[u8]) -> Result<Option<Vec<u8>>, serde_json::Error> {
    let ask: Ask = serde_json::from_slice(body)?;
    let given = match source(node) {
        Source::Itself => issue(node, &ask),
        _ if ask.of_issuer => None,
        // A node that has a hub itself forwards nothing: there are only two levels.
        Source::Node(Parent::Head(_), _) => None,
        Source::Node(Parent::Holder, _) | Source::Nobody => Some(pass_on(node, &ask).await),
    };
    given.map(|given| serde_json::to_vec(&given)).transpose()
}

async fn pass_on(node: &Node, ask: &Ask) -> Given {
    let mut waits = Vec::new();
    for (customer, want, _) in &ask.rows {
        let lacks = with(node, customer, |account| {
            account.count_want(now(), want);
            let lacks = want.most > account.purse.balance(now());
            lacks && account.room_in(now()).is_none()
        });
        if lacks {
            let waiting = Waiting { most: want.most, least: want.least };
            with(node, customer, |account| account.wait(waiting));
            waits.push(Waits { node, customer, waiting });
        }
    }
    if !waits.is_empty() {
        let filled = node.quotas.filled.notified();
        node.quotas.wake.notify_one();
        // Grants what has arrived by then; the node requests the rest again.
        let _ = timeout(HELD_BACK, filled).await;
    }
    drop(waits);
    let mut given = Given::default();
    for (customer, want, _) in &ask.rows {
        let now = now();
        let (lots, room_in) = with(node, customer, |account| {
            let there = account.purse.balance(now);
            let lots = account.purse.take(now, want.of(there));
            (lots, account.room_in(now))
        });
        let grant = |lot: Lot| Grant { amount: lot.amount, for_ms: lot.until.saturating_sub(now) };
        let grants: Vec<Grant> = lots.into_iter().map(grant).collect();
        given.rows.push((customer.clone(), grants, room_in));
    }
    node.quotas.wake.notify_one();
    given
}
