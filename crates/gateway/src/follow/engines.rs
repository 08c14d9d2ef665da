//! Keeps the engine list up to date.

use std::time::Duration;

use hgw_direct::{EngineInfo, EngineState, Era, ListVersion, Millis};
use hgw_events::{Event, emit};
use tokio::time::sleep;

use crate::backoff::wait_to_retry;
use crate::eras;
use crate::leader;
use crate::pool::Pool;
use crate::protocol::{EngineChange, EngineEntry, EngineListUpdate};
use crate::shared::{ListSource, Node};

use super::{StoreLink, UPDATE_CHECK_INTERVAL, wait_for_first_update};

/// The leader reads the engine list this many times as often as other nodes, because forwarding
/// adds the delay of an exchange.
const LEADER_READ_FACTOR: u32 = 3;

/// An outage of the store shorter than this many heartbeats cannot make entries expire, so missing
/// engines are really gone.
const MIN_OUTAGE_HEARTBEATS: u32 = 2;

/// After an outage of the store, time for which missing engines are kept: their next heartbeats
/// restore the entries.
const KEEP_MISSING_FOR: Duration = Duration::from_millis(2_000);

/// Pause after which a list that could not be read to its end is read again. Meanwhile the heartbeats in the log tell of the
/// engines in the missing part.
const REREAD_PAUSE: Duration = Duration::from_millis(5_000);

/// Keeps the engine list up to date until the process ends.
pub(crate) async fn engines(node: Node) {
    let mut cursor = None;
    let mut link = StoreLink::new(&node, "engines");
    let mut incomplete_since = None;
    wait_for_first_update(&node).await;
    let (mut store_back_at, mut last_read) = (None, node.now());
    loop {
        if node.has_recent_leader_updates() {
            // The complete list is read again once the leader's updates stop.
            (cursor, store_back_at, last_read) = (None, None, node.now());
            incomplete_since = None;
            sleep(UPDATE_CHECK_INTERVAL).await;
            node.pools().for_each(Pool::sweep);
            continue;
        }
        match node.protocols.store.read_engines(cursor).await {
            Ok(update) => {
                node.list_read_at.set(node.now());
                let had_outage = link.record_success()
                    && time_since(&node, last_read)
                        >= MIN_OUTAGE_HEARTBEATS * node.settings.borrow().heartbeat;
                if had_outage || eras::is_recovering(&node) && store_back_at.is_none() {
                    store_back_at = Some(node.now());
                }
                last_read = node.now();
                // Nodes that poll this one learn the new age of the list, even if no engine
                // changed.
                node.update_available.notify_waiters();
                cursor = Some(update.cursor);
                let since_back = store_back_at.map(|at| node.now().saturating_sub(at));
                let keep_missing =
                    since_back.is_some_and(|t| t < KEEP_MISSING_FOR.as_millis() as u64);
                if let Some(error) = &update.missing {
                    link.record_failure(error);
                    incomplete_since = Some(node.now());
                }
                apply_list_update(&node, update, keep_missing);
                if incomplete_since.is_some_and(|at| time_since(&node, at) >= REREAD_PAUSE) {
                    (incomplete_since, cursor) = (None, None);
                }
                if store_back_at.is_some() && !keep_missing {
                    // A read of the complete list removes the engines that are still missing.
                    store_back_at = None;
                    cursor = None;
                    continue;
                }
                sleep(list_read_pause(&node)).await;
            }
            Err(e) => {
                link.record_failure(&e);
                wait_to_retry(&node).await;
            }
        }
        node.pools().for_each(Pool::sweep);
    }
}

fn list_read_pause(node: &Node) -> Duration {
    let pause = node.settings.borrow().list_read_interval();
    if node.leadership.borrow().is_leader() {
        pause / LEADER_READ_FACTOR
    } else if node.polls_store() {
        pause
    } else {
        pause * node.poll_interval_factor()
    }
}

fn time_since(node: &Node, last: Millis) -> Duration {
    Duration::from_millis(node.now().saturating_sub(last))
}

fn apply_list_update(node: &Node, update: EngineListUpdate, keep_missing: bool) {
    let now = node.now();
    if let Some(first) = update.malformed.first() {
        let (name, entries) = (&node.settings.borrow().node, update.malformed.len());
        emit(Event::ConfigRejected, &[("node", name), ("why", first), ("entries", &entries)]);
    }
    let mut state = node.state.borrow_mut();
    if update.is_full_list && update.cursor.era > Era::FIRST {
        state.engines.set_backup_end(update.cursor);
    }
    let mut snapshot = Vec::new();
    for EngineChange { position, entry } in update.entries {
        match entry {
            EngineEntry::Listed { mut listed, left } => {
                if let Some(left) = left {
                    let left = Millis::try_from(left.as_millis()).unwrap_or(Millis::MAX);
                    let gone_at = Some(now.saturating_add(left));
                    listed.state = EngineState::Leaving { terminates_at: gone_at };
                }
                listed.position = position;
                keep_reported_models(&state.engines, &mut listed);
                if update.is_full_list {
                    snapshot.push(*listed);
                } else {
                    state.engines.upsert(*listed);
                }
            }
            EngineEntry::Gone(id) => {
                if keep_missing {
                    state.engines.skip_removal();
                } else {
                    state.engines.remove(&id, position);
                }
            }
            EngineEntry::Unreadable(id) => {
                state.engines.mark_unreadable(&id, position);
                if update.is_full_list {
                    snapshot.extend(state.engines.get(&id).map(|engine| engine.info.clone()));
                }
            }
        }
    }
    if update.is_full_list {
        state.engines.apply_snapshot(snapshot, update.cursor, keep_missing);
        state.list_receiver.discard();
    } else if update.missing.is_none() {
        state.engines.record_complete(update.cursor);
    }
    drop(state);
    node.handle_restarts();
    node.record_list_version(ListVersion::at_position(update.cursor), ListSource::Store);
    leader::notify_list_change(node);
    node.placement_changed.notify_waiters();
}

/// Keeps the loaded models that the leader reported instead of those in a heartbeat, which may have
/// been written before an order completed. Adapter loads write no heartbeat at all; the leader
/// reports every change.
fn keep_reported_models(engines: &hgw_direct::Engines, listed: &mut EngineInfo) {
    let Some(known) = engines.get(&listed.id) else { return };
    if known.placement_reported_at.is_some() && !known.info.started_at.is_before(listed.started_at)
    {
        listed.loaded = known.info.loaded.clone();
    }
}
