//! Keeps the configuration and the engine list up to date.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hgw_direct::{EngineInfo, EngineState, Era, ListVersion, Millis, VersionCheck};
use hgw_events::{Event, emit};
use tokio::time::{sleep, timeout};

use crate::backoff::{retry_pause, wait_to_retry};
use crate::catalog_reads;
use crate::clock::boot_time;
use crate::election::LeaderInfo;
use crate::eras;
use crate::freshness;
use crate::leader;
use crate::meter;
use crate::peers;
use crate::protocol::{Cursor, EngineChange, EngineEntry, EngineListUpdate, StoreError};
use crate::shared::{ListSource, Node};

/// Pause before the next read while the store has no configuration.
const NO_CONFIG_PAUSE: Duration = Duration::from_millis(300);

/// The leader reads the engine list this many times as often as other nodes, because forwarding
/// adds the delay of an exchange.
const LEADER_READ_FACTOR: u32 = 3;

/// An outage of the store shorter than this many heartbeats cannot make entries expire, so missing
/// engines are really gone.
const MIN_OUTAGE_HEARTBEATS: u32 = 2;

/// Interval at which a starting node checks for updates from the leader.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which a node checks whether the leader still sends updates.
const UPDATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// After an outage of the store, time for which missing engines are kept: their next heartbeats
/// restore the entries.
const KEEP_MISSING_FOR: Duration = Duration::from_millis(2_000);

/// Maximum wait at the start for the leader's first update. A leader that has just started itself
/// responds to hundreds of nodes within a second.
const MAX_START_WAIT: Duration = Duration::from_millis(1_500);

/// Time for a response beyond that for which a read waits, after which the read may be lost.
const OVERDUE_AFTER: Duration = Duration::from_millis(300);

/// How often that time is doubled.
const MAX_OVERDUE_DOUBLINGS: u32 = 5;

/// Interval at which a read that waits is checked.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a read of the configuration was given up.
const ANSWERS_OTHERS: &str = "the store answers other calls";

/// Maximum wait at the start for what another node may tell.
const MAX_WAIT_TO_BE_TOLD: Millis = 300;

/// Maximum wait at the start until it is known whether there is a leader, and while there is none.
const MAX_START_WAIT_WITHOUT_LEADER: Duration = Duration::from_millis(600);

/// Wait at the start for a node with a full processor while there is no leader.
const START_WAIT_WITHOUT_LEADER: Duration = Duration::from_millis(60);

/// Waits at the start for updates from the leader.
///
/// Without the wait, hundreds of nodes that start together would all read everything from the
/// store. Larger machines wait less, so one of them becomes the leader.
pub(crate) async fn wait_for_first_update(node: &Node) {
    let cpu_share = node.settings.borrow().cpu_share.clamp(0.01, 1.0);
    let max_wait_alone =
        START_WAIT_WITHOUT_LEADER.div_f64(cpu_share).min(MAX_START_WAIT_WITHOUT_LEADER).as_millis()
            as u64;
    loop {
        let now = node.now();
        let (has_other_leader, has_read_log) = {
            let leadership = node.leadership.borrow();
            let own_addr = node.settings.borrow().peer_addr;
            let is_other = |leader: &LeaderInfo| leader.addr != own_addr;
            let has_other_leader =
                !leadership.is_leader() && leadership.leader.as_ref().is_some_and(is_other);
            (has_other_leader, leadership.has_read_log)
        };
        let max_wait = match (has_other_leader, has_read_log) {
            (true, _) => MAX_START_WAIT.as_millis() as u64,
            (false, true) => max_wait_alone,
            (false, false) => MAX_START_WAIT_WITHOUT_LEADER.as_millis() as u64,
        };
        if node.has_recent_leader_updates() || now >= max_wait {
            return;
        }
        sleep(START_CHECK_INTERVAL).await;
    }
}

/// Waits a while at the start until another node has told this one what it needs, before it reads that from the
/// store.
pub(crate) async fn wait_to_be_told(node: &Node, is_known: impl Fn(&Node) -> bool) {
    let started = node.now();
    while !is_known(node)
        && node.has_recent_leader_updates()
        && node.now() - started < MAX_WAIT_TO_BE_TOLD
    {
        sleep(START_CHECK_INTERVAL).await;
    }
}

/// Keeps the configuration up to date until the process ends.
pub(crate) async fn catalog(node: Node) {
    let mut cursor = None;
    // Newest version up to `cursor`, unless it could not be parsed.
    let mut newest = None;
    // Reads in a row that were taken for lost.
    let mut lost_reads = 0;
    let mut link = StoreLink::new(&node, "configuration");
    wait_for_first_update(&node).await;
    loop {
        let has_leader_updates = node.has_recent_leader_updates();
        let must_read = has_leader_updates && catalog_reads::must_read(&node);
        if has_leader_updates
            && !node.is_catalog_outdated()
            && !needs_store_check(&node)
            && !must_read
        {
            // The leader reads the store for all nodes.
            let _ = timeout(UPDATE_CHECK_INTERVAL, node.catalog_reported.notified()).await;
            continue;
        }
        let is_reported = has_leader_updates && node.is_catalog_outdated();
        if is_reported
            && let Some(text) = peers::fetch_catalog(&node).await
            && adopt(&node, text).is_some_and(|adopted| adopted.is_newer)
        {
            continue;
        }
        // After an outage, a call that waits for an update would delay the detection that the store
        // is back.
        let default_wait =
            freshness::max_poll_wait(&node, node.settings.borrow().max_catalog_wait());
        let reads_at_once = link.is_down() || has_leader_updates && !must_read;
        let wait = if reads_at_once { Duration::ZERO } else { default_wait };
        let asked_at = boot_time();
        if let Some((version, at)) =
            reported_catalog_position(&node).filter(|(_, at)| cursor < Some(*at))
        {
            (newest, cursor) = (Some(version), Some(at));
        }
        let call = node.protocols.store.poll_catalog(cursor, wait);
        let response = if is_reported {
            call.await
        } else {
            tokio::select! {
                biased;
                response = call => response,
                () = until_catalog_outdated(&node) => continue,
                () = until_others_are_answered(&node, wait, lost_reads) => {
                    lost_reads += 1;
                    link.record_failure(&StoreError::NoResponse { why: ANSWERS_OTHERS.to_owned() });
                    continue;
                }
            }
        };
        match response {
            Ok(update) => {
                link.record_success();
                lost_reads = 0;
                cursor = Some(update.cursor);
                let is_unchanged = update.catalog.is_none();
                if let Some(text) = update.catalog {
                    newest = adopt(&node, text).map(|adopted| adopted.version);
                }
                if let Some(newest) = newest {
                    freshness::record_store_read(&node, VersionCheck { newest, asked_at });
                    node.catalog_position.set(cursor.map(|at| (newest, at)));
                }
                if newest.is_some() || is_unchanged && node.state.borrow().catalog.is_none() {
                    // One that this release cannot parse counts as not read: others may be able to.
                    node.catalog_reads.record_success(node.now(), default_wait);
                }
                if must_read {
                    // Many nodes that read for themselves must not overload the store.
                    sleep(UPDATE_CHECK_INTERVAL * (node.poll_interval_factor() - 1)).await;
                }
                if is_unchanged && node.state.borrow().catalog.is_none() {
                    sleep(NO_CONFIG_PAUSE).await;
                }
            }
            Err(e) => {
                link.record_failure(&e);
                if has_leader_updates {
                    // Another node may still report that the configuration is current.
                    sleep(retry_pause(&node).min(freshness::max_retry_delay(&node))).await;
                } else {
                    wait_to_retry(&node).await;
                }
            }
        }
    }
}

/// Version of this node's configuration and the log position to read on from, if another node sent
/// them.
///
/// Without the position, every node would read the complete configuration from the store when the
/// leader fails.
fn reported_catalog_position(node: &Node) -> Option<(u64, Cursor)> {
    let version = node.state.borrow().catalog.as_ref().map(|c| c.version);
    node.catalog_position.get().filter(|(reported, _)| Some(*reported) == version)
}

/// Whether this node must ask the store if its configuration is current.
fn needs_store_check(node: &Node) -> bool {
    freshness::needs_store_check(node, node.has_hub())
}

/// Resolves when another node reports a newer configuration. Requests would be served with the old
/// one if the pending call to the store had to end first.
async fn until_catalog_outdated(node: &Node) {
    loop {
        let notified = node.catalog_reported.notified();
        if node.has_recent_leader_updates() && node.is_catalog_outdated() {
            return;
        }
        notified.await;
    }
}

/// Resolves when a read that waits so long for a change is overdue and the store has answered other calls of this
/// node meanwhile: the read was lost, as on a connection that has gone silent. After each that was taken for lost, the next
/// one gets twice as long: a long configuration may take its time. The nodes that poll this one are told as soon
/// as it is overdue.
async fn until_others_are_answered(node: &Node, wait: Duration, lost_reads: u32) {
    let asked_at = node.now();
    let max_response = OVERDUE_AFTER * (1 << lost_reads.min(MAX_OVERDUE_DOUBLINGS));
    let overdue_at = asked_at + (wait + max_response).as_millis() as Millis;
    let mut has_told = false;
    loop {
        sleep(OVERDUE_CHECK_INTERVAL).await;
        let now = node.now();
        if now >= node.catalog_reads.due() && !has_told {
            has_told = true;
            node.update_available.notify_waiters();
        }
        if now >= overdue_at && node.store_responded_at.get() >= overdue_at {
            return;
        }
    }
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Adopted {
    version: u64,
    /// Whether it replaced an older one.
    is_newer: bool,
}

/// Puts a configuration in force if it is newer. Returns none if it cannot be parsed.
pub(crate) fn adopt(node: &Node, text: Bytes) -> Option<Adopted> {
    let known = node.state.borrow().catalog.as_ref().map(|catalog| catalog.version);
    if let Some(version) = known
        && node.state.borrow().catalog_text == text
    {
        return Some(Adopted { version, is_newer: false });
    }
    let catalog = match node.protocols.store.parse_catalog(&text) {
        Ok(catalog) => catalog,
        Err(e) => {
            emit(Event::ConfigRejected, &[("node", &node.settings.borrow().node), ("why", &e)]);
            return None;
        }
    };
    let version = catalog.version;
    // A store restored from a backup may return an older version.
    if known.is_some_and(|known| known >= version) {
        return Some(Adopted { version, is_newer: false });
    }
    emit(Event::ConfigInForce, &[("node", &node.settings.borrow().node), ("version", &version)]);
    let mut state = node.state.borrow_mut();
    state.catalog = Some(Arc::new(catalog));
    state.catalog_text = text;
    drop(state);
    leader::catalog_changed(node);
    Some(Adopted { version, is_newer: true })
}

/// Keeps the engine list up to date until the process ends.
pub(crate) async fn engines(node: Node) {
    let mut cursor = None;
    let mut link = StoreLink::new(&node, "engines");
    wait_for_first_update(&node).await;
    let (mut store_back_at, mut last_read) = (None, node.now());
    loop {
        if node.has_recent_leader_updates() {
            // The complete list is read again once the leader's updates stop.
            (cursor, store_back_at, last_read) = (None, None, node.now());
            sleep(UPDATE_CHECK_INTERVAL).await;
            node.pool.sweep();
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
                apply_list_update(&node, update, keep_missing);
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
        node.pool.sweep();
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
                    let gone_at = Some(now + left.as_millis() as u64);
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
    } else {
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

/// Tracks whether the store answers one kind of call and logs changes.
pub(crate) struct StoreLink {
    node: Node,
    what: &'static str,
    up: Option<bool>,
}

impl StoreLink {
    pub(crate) fn new(node: &Node, what: &'static str) -> StoreLink {
        StoreLink { node: Node::clone(node), what, up: None }
    }

    /// Records a response. Returns whether the previous call failed.
    pub(crate) fn record_success(&mut self) -> bool {
        meter::store_call(self.what, Ok(()));
        eras::check(&self.node);
        self.node.store_responded_at.set(self.node.now());
        let recovered = self.up == Some(false);
        if recovered {
            let name = self.node.settings.borrow().node.clone();
            emit(Event::LogUp, &[("node", &name), ("what", &self.what)]);
        }
        self.up = Some(true);
        recovered
    }

    pub(crate) fn is_down(&self) -> bool {
        self.up == Some(false)
    }

    /// Records a failed call.
    pub(crate) fn record_failure(&mut self, why: &StoreError) {
        meter::store_call(self.what, Err(why));
        eras::check(&self.node);
        if self.up != Some(false) {
            let name = self.node.settings.borrow().node.clone();
            emit(Event::LogDown, &[("node", &name), ("what", &self.what), ("why", why)]);
        }
        self.up = Some(false);
    }
}
