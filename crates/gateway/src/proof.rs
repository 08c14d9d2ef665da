//! Whether this node can show that its configuration is the newest.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use hgw_direct::{Era, FreshnessProof, VersionCheck};
use hgw_events::{Event, emit};

use crate::clock::boot_time;
use crate::eras;
use crate::shared::Shared;

/// Part of the time for which a proof holds after which a node asks the store itself: two calls may then fail before
/// callers are refused.
const ASKS_FROM: f64 = 0.5;

/// The same of a node whose domain has a head: what the head asks is here soon after. The nodes of a domain take turns
/// over the rest, as the first that is answered proves it for all that ask it.
const ASKS_FROM_BEHIND: f64 = 0.65;
const TURNS: f64 = 0.15;

/// Longest pause between two questions that fail, as a part of that time.
const PAUSE_SHARE: f64 = 0.2;

/// Part of that time for which the node that reads for all waits at the store for news at the most: its question is the
/// proof, so that those of all others are as old as it waits.
const WAIT_SHARE: f64 = 0.1;

/// What this node has learnt, and whether it was enough when it last looked.
#[derive(Debug, Default)]
pub(crate) struct Proofs {
    learnt: RefCell<FreshnessProof>,
    held: Cell<bool>,
}

/// This node has read that no version newer than this one was there when the store was asked.
///
/// A store that has come back from a copy may lack versions that it had acknowledged, with the keys that they take away:
/// it shows nothing until the operators have written them again, and nothing while it has an older one than is known here.
pub(crate) fn read(node: &Shared, seen: VersionCheck) {
    let known = node.state.borrow().catalog.as_ref().map_or(0, |c| c.version);
    let lacks = node.era.get().era() > Era::FIRST && seen.newest < known;
    if !lacks && seen.asked_at >= eras::written_again_at(node) {
        learn(node, seen);
    }
}

fn learn(node: &Shared, seen: VersionCheck) {
    node.proofs.learnt.borrow_mut().record(seen);
}

/// What this node can tell others: the newest version that it knows not to be followed by another, and how long ago.
pub(crate) fn told(node: &Shared) -> Option<(u64, u64)> {
    let version = node.state.borrow().catalog.as_ref()?.version;
    let seen = node.proofs.learnt.borrow().latest_check(version)?;
    let age = boot_time().saturating_sub(seen.asked_at);
    Some((seen.newest, age.as_millis() as u64))
}

/// Another node tells the same, in answer to a question of this time, which it held back for so long.
pub(crate) fn hear(node: &Shared, asked: Duration, held_ms: u64, told: Option<(u64, u64)>) {
    let Some((newest, age_ms)) = told else { return };
    let at = (asked + Duration::from_millis(held_ms)).saturating_sub(Duration::from_millis(age_ms));
    learn(node, VersionCheck { newest, asked_at: at });
}

/// How long ago it was last known that there is no newer configuration.
pub(crate) fn age(node: &Shared) -> Option<Duration> {
    let version = node.state.borrow().catalog.as_ref()?.version;
    node.proofs.learnt.borrow().age(version, boot_time())
}

/// Whether a request with a key may be sent to an engine now.
pub(crate) fn holds(node: &Shared) -> bool {
    is_younger(node, 1.0)
}

/// Whether this node asks the store itself, as nobody tells it of younger questions.
pub(crate) fn is_due(node: &Shared, behind_a_head: bool) -> bool {
    let turn = TURNS * f64::from(node.draw) / f64::from(u32::MAX);
    !is_younger(node, if behind_a_head { ASKS_FROM_BEHIND + turn } else { ASKS_FROM })
}

/// Longest pause before the store is asked again.
pub(crate) fn longest_pause(node: &Shared) -> Duration {
    let longest = node.settings.borrow().revoke_within;
    longest.map_or(Duration::MAX, |longest| longest.mul_f64(PAUSE_SHARE))
}

/// Whether the proof is younger than this share of the time for which it holds; true where none is needed.
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

/// How long a question for a new configuration waits at the store at the most.
pub(crate) fn longest_wait(node: &Shared, usual: Duration) -> Duration {
    let longest = node.settings.borrow().revoke_within;
    longest.map_or(usual, |longest| usual.min(longest.mul_f64(WAIT_SHARE)))
}

/// Says when the proof is lost, or there again.
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
