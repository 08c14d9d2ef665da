//! Judges what engines have ended under, and keeps in the store what is blocked, so that a node that
//! starts knows it.

use std::time::Duration;

use bytes::Bytes;
use hgw_direct::{BlockedSubject, CrashSubject, JudgeParams, Millis, broadcasts_sends};
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::backoff::wait_to_retry;
use crate::follow::{wait_for_first_update, wait_to_be_told};
use crate::shared::Node;

use super::{log_blocked, update};

/// Interval at which reports of ended engines are judged, and blocked subjects are stored.
const JUDGE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum pause between two writes of blocked subjects to the store.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

/// Heartbeats after which an engine that is still listed has not ended: its entry would have expired
/// after three.
const LISTED_FOR_HEARTBEATS: u32 = 5;

/// Age up to which the list of engines counts as up to date.
const FRESH_LIST_AGE: Duration = Duration::from_secs(2);

/// Time in which nodes agree that tell each other of each end at once.
const AGREED_WITHIN: Duration = Duration::from_millis(100);

/// The same for nodes that learn of others by polls, over a hub and the leader.
const AGREED_BY_POLLS_WITHIN: Duration = Duration::from_secs(1);

/// Time after which an engine's end is no evidence any more.
const FORGET_AFTER: Duration = Duration::from_mins(15);

/// The subjects in the store, each with the trials that are stored with it.
type StoredTrials = IndexMap<CrashSubject, usize>;

/// Judges reports, and keeps the blocked subjects in the store if this node is the leader, until the
/// process ends.
pub(crate) async fn follow(node: Node) {
    wait_for_first_update(&node).await;
    wait_to_be_told(&node, |node| node.knows_blocked_requests.get()).await;
    while !node.knows_blocked_requests.get() {
        if read_blocked(&node).await.is_none() {
            wait_to_retry(&node).await;
        }
    }
    // Subjects in the store, read anew by each new leader.
    let mut stored: Option<StoredTrials> = None;
    let mut era = node.era.get().era();
    loop {
        judge(&node);
        let current_era = node.era.get().era();
        let has_new_era = std::mem::replace(&mut era, current_era) != current_era;
        if !node.leadership.borrow().is_leader() || has_new_era {
            stored = None;
        } else if let Some(stored) = &mut stored {
            store_change(&node, stored).await;
        } else {
            stored = read_blocked(&node).await;
            if stored.is_none() {
                wait_to_retry(&node).await;
            }
        }
        sleep(JUDGE_INTERVAL).await;
    }
}

fn judge(node: &Node) {
    let agreed_within = match broadcasts_sends(node.state.borrow().nodes) {
        true => AGREED_WITHIN,
        false => AGREED_BY_POLLS_WITHIN,
    };
    let params = JudgeParams {
        listed_for: (node.settings.borrow().heartbeat * LISTED_FOR_HEARTBEATS).as_millis() as u64,
        list_is_fresh: node.store_data_age() <= FRESH_LIST_AGE.as_millis() as Millis,
        agreed_within: agreed_within.as_millis() as Millis,
        forget_after: FORGET_AFTER.as_millis() as Millis,
    };
    let now = node.now();
    let blocked = update(node, |crashes| crashes.judge(&node.state.borrow().engines, params, now));
    for (subject, engines) in &blocked {
        log_blocked(node, *subject, engines.len(), "known");
    }
}

/// Reads the blocked subjects from the store; returns them.
async fn read_blocked(node: &Node) -> Option<StoredTrials> {
    let entries = node.protocols.store.blocked_requests().await.ok()?;
    let mut stored = StoredTrials::new();
    for (key, value) in entries {
        let Ok(subject) = key.parse() else { continue };
        let (blocked, now) = (decode(subject, &value), node.now());
        stored.insert(subject, blocked.trials);
        update(node, |crashes| crashes.block(subject, blocked, now));
    }
    node.knows_blocked_requests.set(true);
    Some(stored)
}

/// Requests are stored with their origin alone, as releases before know them.
fn encode(subject: CrashSubject, blocked: &BlockedSubject) -> Bytes {
    let json = match subject {
        CrashSubject::Request(_) => serde_json::to_vec(&blocked.origin),
        CrashSubject::Part(_) => serde_json::to_vec(blocked),
    };
    json.expect("a blocked subject is valid JSON").into()
}

fn decode(subject: CrashSubject, value: &[u8]) -> BlockedSubject {
    match subject {
        CrashSubject::Request(_) => {
            let origin = serde_json::from_slice(value).unwrap_or_default();
            BlockedSubject { origin, ..BlockedSubject::default() }
        }
        CrashSubject::Part(_) => serde_json::from_slice(value).unwrap_or_default(),
    }
}

/// Whether a blocked subject is not stored as it is now. Trials of a request are not stored, as there are none.
fn is_new(stored: &StoredTrials, subject: CrashSubject, blocked: &BlockedSubject) -> bool {
    stored.get(&subject).is_none_or(|trials| subject.is_part() && *trials != blocked.trials)
}

/// Stores or removes one subject whose entry in the store is not as it should be.
async fn store_change(node: &Node, stored: &mut StoredTrials) {
    let blocked: Vec<(CrashSubject, BlockedSubject)> = node.crashes.borrow().blocked().collect();
    let new = blocked.iter().find(|(subject, blocked)| is_new(stored, *subject, blocked));
    let released = || stored.keys().find(|subject| !node.crashes.borrow().is_blocked(**subject));
    let (subject, blocked) = match (new, released()) {
        (Some((subject, blocked)), _) => (*subject, Some(blocked)),
        (None, Some(subject)) => (*subject, None),
        (None, None) => return,
    };
    let entry = blocked.map(|blocked| encode(subject, blocked)).unwrap_or_default();
    if node.protocols.store.store_blocked_request(&subject.to_string(), entry).await.is_ok() {
        match blocked {
            Some(blocked) => stored.insert(subject, blocked.trials),
            None => stored.shift_remove(&subject),
        };
        sleep(WRITE_PAUSE).await;
    } else {
        wait_to_retry(node).await;
    }
}
