//! Whether this node's configuration is known to be current.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use hgw_direct::{Era, Proof, Seen};
use hgw_events::{Event, emit};

use crate::clock::boot_time;
use crate::eras;
use crate::shared::Shared;

/// Age, as a share of the allowed age, at which a node queries the store itself: two calls may then
/// fail before callers are refused.
const ASKS_FROM: f64 = 0.5;

/// The same for a node whose domain has a hub, which usually delivers a newer result first. The
/// nodes of a domain are spread over a further share, as the first response serves all nodes that
/// query the same node.
const ASKS_FROM_BEHIND: f64 = 0.65;
const TURNS: f64 = 0.15;

/// Longest pause between failed queries, as a share of the allowed age.
const PAUSE_SHARE: f64 = 0.2;

/// Longest long poll of the node that reads the store for all others, as a share of the allowed
/// age. The result dates from the start of the poll, so a long poll ages it on every node.
const WAIT_SHARE: f64 = 0.1;

/// What is known about the newest version, and whether it sufficed at the last check.
#[derive(Debug, Default)]
pub(crate) struct Proofs {
    learnt: RefCell<Proof>,
    held: Cell<bool>,
}

/// Records a read of the store that found no version newer than `seen.newest`.
///
/// A store restored from a backup may lack versions that it had acknowledged, and the key
/// revocations in them. Its reads do not count until operators have had time to write them again,
/// nor while its newest version is older than the one known here.
pub(crate) fn read(node: &Shared, seen: Seen) {
    let known = node.state.borrow().catalog.as_ref().map_or(0, |c| c.version);
    let lacks = node.era.get().era() > Era::FIRST && seen.newest < known;
    if !lacks && seen.asked >= eras::written_again_at(node) {
        learn(node, seen);
    }
}

fn learn(node: &Shared, seen: Seen) {
    node.proofs.learnt.borrow_mut().learn(seen);
}

/// What this node reports to others: the newest version known to be current, and how many
/// milliseconds ago that was confirmed.
pub(crate) fn told(node: &Shared) -> Option<(u64, u64)> {
    let version = node.state.borrow().catalog.as_ref()?.version;
    let seen = node.proofs.learnt.borrow().of(version)?;
    let age = boot_time().saturating_sub(seen.asked);
    Some((seen.newest, age.as_millis() as u64))
}

/// Records what another node reported in response to a query sent at `asked`, which it held back
/// for `held_ms`.
pub(crate) fn hear(node: &Shared, asked: Duration, held_ms: u64, told: Option<(u64, u64)>) {
    let Some((newest, age_ms)) = told else { return };
    let at = (asked + Duration::from_millis(held_ms)).saturating_sub(Duration::from_millis(age_ms));
    learn(node, Seen { newest, asked: at });
}

/// Time since the configuration was last known to be current.
pub(crate) fn age(node: &Shared) -> Option<Duration> {
    let version = node.state.borrow().catalog.as_ref()?.version;
    node.proofs.learnt.borrow().age(version, boot_time())
}

/// Whether the configuration is known to be current, so that requests with a key may be sent to
/// engines.
pub(crate) fn holds(node: &Shared) -> bool {
    is_younger(node, 1.0)
}

/// Whether this node must query the store itself because no other node reports a recent result.
pub(crate) fn is_due(node: &Shared, behind_a_head: bool) -> bool {
    let turn = TURNS * f64::from(node.draw) / f64::from(u32::MAX);
    !is_younger(node, if behind_a_head { ASKS_FROM_BEHIND + turn } else { ASKS_FROM })
}

/// Longest pause before the store is queried again.
pub(crate) fn longest_pause(node: &Shared) -> Duration {
    let longest = node.settings.borrow().revoke_within;
    longest.map_or(Duration::MAX, |longest| longest.mul_f64(PAUSE_SHARE))
}

/// Whether the last confirmation is younger than this share of the allowed age; true if none is
/// needed.
fn is_younger(node: &Shared, share: f64) -> bool {
    let Some(longest) = node.settings.borrow().revoke_within else { return true };
    let version = {
        let state = node.state.borrow();
        let Some(catalog) = &state.catalog else { return true };
        if catalog.customers.is_none() {
            return true;
        }
        catalog.version
    };
    let age = node.proofs.learnt.borrow().age(version, boot_time());
    age.is_some_and(|age| age < longest.mul_f64(share))
}

/// Longest long poll for a new configuration.
pub(crate) fn longest_wait(node: &Shared, usual: Duration) -> Duration {
    let longest = node.settings.borrow().revoke_within;
    longest.map_or(usual, |longest| usual.min(longest.mul_f64(WAIT_SHARE)))
}

/// Logs when the configuration stops or starts being known to be current.
pub(crate) fn look(node: &Shared) {
    if node.state.borrow().catalog.is_none() {
        return;
    }
    let held = holds(node);
    if node.proofs.held.replace(held) != held {
        let event = if held { Event::ProofGained } else { Event::ProofLost };
        let version = node.state.borrow().catalog.as_ref().map_or(0, |c| c.version);
        emit(event, &[("node", &node.settings.borrow().node), ("version", &version)]);
    }
}
