//! Whether this node's configuration is known to be current.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use hgw_direct::{Era, FreshnessProof, VersionCheck};
use hgw_events::{Event, emit};

use crate::clock::boot_time;
use crate::eras;
use crate::shared::Shared;

/// Age, as a share of the allowed age, at which a node queries the store itself: two calls may then
/// fail before callers are refused.
const STORE_CHECK_AFTER: f64 = 0.5;

/// The same for a node whose domain has a hub, which usually delivers a newer result first. The
/// nodes of a domain are spread over a further share, as the first response serves all nodes that
/// query the same node.
const STORE_CHECK_AFTER_BEHIND_HUB: f64 = 0.65;
const STORE_CHECK_SPREAD: f64 = 0.15;

/// Longest pause between failed queries, as a share of the allowed age.
const RETRY_DELAY_SHARE: f64 = 0.2;

/// Longest long poll of the node that reads the store for all others, as a share of the allowed
/// age. The result dates from the start of the poll, so a long poll ages it on every node.
const POLL_WAIT_SHARE: f64 = 0.1;

/// What is known about the newest version, and whether it sufficed at the last check.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    latest: RefCell<FreshnessProof>,
    was_fresh: Cell<bool>,
}

/// Records a read of the store that found no version newer than `check.newest`.
///
/// A store restored from a backup may lack versions that it had acknowledged, and the key
/// revocations in them. Its reads do not count until operators have had time to write them again,
/// nor while its newest version is older than the one known here.
pub(crate) fn record_store_read(node: &Shared, check: VersionCheck) {
    let known_version = node.catalog_version();
    let is_store_outdated = node.era.get().era() > Era::FIRST && check.newest < known_version;
    if !is_store_outdated && check.asked_at >= eras::recovered_at(node) {
        record(node, check);
    }
}

fn record(node: &Shared, check: VersionCheck) {
    node.freshness.latest.borrow_mut().record(check);
}

/// What this node reports to others: the newest version known to be current, and how many
/// milliseconds ago that was confirmed.
pub(crate) fn to_share(node: &Shared) -> Option<(u64, u64)> {
    let version = node.state.borrow().catalog.as_ref()?.version;
    let check = node.freshness.latest.borrow().latest_check(version)?;
    let age = boot_time().saturating_sub(check.asked_at);
    Some((check.newest, age.as_millis() as u64))
}

/// Records what another node reported in response to a query sent at `asked_at`, which it held back
/// for `held_ms`.
pub(crate) fn record_peer_report(
    node: &Shared,
    asked_at: Duration,
    held_ms: u64,
    report: Option<(u64, u64)>,
) {
    let Some((newest, age_ms)) = report else { return };
    let confirmed_at =
        (asked_at + Duration::from_millis(held_ms)).saturating_sub(Duration::from_millis(age_ms));
    record(node, VersionCheck { newest, asked_at: confirmed_at });
}

/// Time since the configuration was last known to be current.
pub(crate) fn age(node: &Shared) -> Option<Duration> {
    let version = node.state.borrow().catalog.as_ref()?.version;
    node.freshness.latest.borrow().age(version, boot_time())
}

/// Whether the configuration is known to be current, so that requests with a key may be sent to
/// engines.
pub(crate) fn is_fresh(node: &Shared) -> bool {
    is_younger_than(node, 1.0)
}

/// Whether this node must query the store itself because no other node reports a recent result.
pub(crate) fn needs_store_check(node: &Shared, is_behind_hub: bool) -> bool {
    let spread = STORE_CHECK_SPREAD * f64::from(node.jitter) / f64::from(u32::MAX);
    !is_younger_than(
        node,
        if is_behind_hub { STORE_CHECK_AFTER_BEHIND_HUB + spread } else { STORE_CHECK_AFTER },
    )
}

/// Longest pause before the store is queried again.
pub(crate) fn max_retry_delay(node: &Shared) -> Duration {
    let max_age = node.settings.borrow().revoke_within;
    max_age.map_or(Duration::MAX, |max_age| max_age.mul_f64(RETRY_DELAY_SHARE))
}

/// Whether the last confirmation is younger than this share of the allowed age; true if none is
/// needed.
fn is_younger_than(node: &Shared, share: f64) -> bool {
    let Some(max_age) = node.settings.borrow().revoke_within else { return true };
    let version = {
        let state = node.state.borrow();
        let Some(catalog) = &state.catalog else { return true };
        if catalog.customers.is_none() {
            return true;
        }
        catalog.version
    };
    let age = node.freshness.latest.borrow().age(version, boot_time());
    age.is_some_and(|age| age < max_age.mul_f64(share))
}

/// Longest long poll for a new configuration.
pub(crate) fn max_poll_wait(node: &Shared, default: Duration) -> Duration {
    let max_age = node.settings.borrow().revoke_within;
    max_age.map_or(default, |max_age| default.min(max_age.mul_f64(POLL_WAIT_SHARE)))
}

/// Logs when the configuration stops or starts being known to be current.
pub(crate) fn log_change(node: &Shared) {
    if node.state.borrow().catalog.is_none() {
        return;
    }
    let is_fresh = is_fresh(node);
    if is_fresh && age(node).is_none() {
        // No read has confirmed it since the process started.
        return;
    }
    if node.freshness.was_fresh.replace(is_fresh) != is_fresh {
        let event = if is_fresh { Event::ProofGained } else { Event::ProofLost };
        let version = node.catalog_version();
        emit(event, &[("node", &node.settings.borrow().node), ("version", &version)]);
    }
}
