//! Keeps the configuration up to date.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use hgw_direct::{Millis, VersionCheck};
use hgw_events::{Event, emit};
use tokio::time::{Instant, sleep, timeout};

use crate::backoff::{retry_pause, wait_to_retry};
use crate::catalog_reads;
use crate::clock::boot_time;
use crate::freshness;
use crate::leader;
use crate::meter;
use crate::peers;
use crate::protocol::{CatalogUpdate, Cursor, StoreError, StoreResult};
use crate::shared::Node;

use super::{StoreLink, UPDATE_CHECK_INTERVAL, wait_for_first_update};

/// Pause before the next read while the store has no configuration.
const NO_CONFIG_PAUSE: Duration = Duration::from_millis(300);

/// Time for a response beyond that for which a read waits, after which the read may be lost.
const OVERDUE_AFTER: Duration = Duration::from_millis(300);

/// How often that time is doubled.
const MAX_OVERDUE_DOUBLINGS: u32 = 5;

/// Interval at which a read that waits is checked.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a read of the configuration was given up.
const ANSWERS_OTHERS: &str = "the store answers other calls";

/// Keeps the configuration up to date until the process ends.
pub(crate) async fn catalog(node: Node) {
    wait_for_first_update(&node).await;
    let mut reader = CatalogReader::new(node);
    loop {
        reader.step().await;
    }
}

/// Reads the configuration, while nobody else does so for this node.
struct CatalogReader {
    node: Node,
    cursor: Option<Cursor>,
    /// Newest version up to `cursor`, unless it could not be parsed.
    newest: Option<u64>,
    /// Reads in a row that were taken for lost.
    lost_reads: u32,
    /// Whether another node was reading until now.
    has_followed: bool,
    link: StoreLink,
}

impl CatalogReader {
    fn new(node: Node) -> CatalogReader {
        let link = StoreLink::new(&node, "configuration");
        CatalogReader { node, cursor: None, newest: None, lost_reads: 0, has_followed: false, link }
    }

    /// Waits for a change, or reads the store once.
    async fn step(&mut self) {
        let node = Node::clone(&self.node);
        let has_leader_updates = node.has_recent_leader_updates();
        let must_read = has_leader_updates && catalog_reads::must_read(&node);
        let is_outdated = node.is_catalog_outdated();
        if has_leader_updates && !is_outdated && !needs_store_check(&node) && !must_read {
            // The leader reads the store for all nodes.
            self.has_followed = true;
            let _ = timeout(UPDATE_CHECK_INTERVAL, node.catalog_reported.notified()).await;
            return;
        }
        let is_reported = has_leader_updates && is_outdated;
        if is_reported && peers::fetch_reported(&node).await {
            return;
        }
        // After an outage, a call that waits for an update would delay the detection that the store
        // is back.
        let max_wait = freshness::max_poll_wait(&node, node.settings.borrow().max_catalog_wait());
        let reads_at_once = self.link.is_down() || has_leader_updates && !must_read;
        let wait = if reads_at_once { Duration::ZERO } else { max_wait };
        let asked_at = boot_time();
        if std::mem::take(&mut self.has_followed) {
            // A new leader's first read waits for a change like any other and is not overdue meanwhile.
            node.catalog_reads.expect(node.now(), wait);
        }
        match self.read(wait, is_reported).await {
            Some(Ok(update)) => {
                self.apply(update, asked_at, max_wait).await;
                if must_read {
                    // Many nodes that read for themselves must not overload the store.
                    sleep(UPDATE_CHECK_INTERVAL * (node.poll_interval_factor() - 1)).await;
                }
            }
            Some(Err(e)) => {
                self.link.record_failure(&e);
                if has_leader_updates {
                    // Another node may still report that the configuration is current.
                    sleep(retry_pause(&node).min(freshness::max_retry_delay(&node))).await;
                } else {
                    wait_to_retry(&node).await;
                }
            }
            None => {}
        }
    }

    /// Reads the store, and waits so long for a change. None if the read was given up.
    async fn read(
        &mut self,
        wait: Duration,
        is_reported: bool,
    ) -> Option<StoreResult<CatalogUpdate>> {
        let node = &self.node;
        if let Some((version, at)) =
            reported_catalog_position(node).filter(|(_, at)| self.cursor < Some(*at))
        {
            (self.newest, self.cursor) = (Some(version), Some(at));
        }
        let call = node.protocols.store.poll_catalog(self.cursor, wait);
        if is_reported {
            return Some(call.await);
        }
        tokio::select! {
            biased;
            response = call => Some(response),
            () = until_catalog_outdated(node) => None,
            () = until_others_are_answered(node, wait, self.lost_reads) => {
                self.lost_reads += 1;
                let why = ANSWERS_OTHERS.to_owned();
                self.link.record_failure(&StoreError::NoResponse { why });
                None
            }
        }
    }

    /// Takes in what was read; the next read may wait for so long.
    async fn apply(&mut self, update: CatalogUpdate, asked_at: Duration, next_wait: Duration) {
        let node = &self.node;
        self.link.record_success();
        self.lost_reads = 0;
        self.cursor = Some(update.cursor);
        let is_unchanged = update.catalog.is_none();
        if let Some(text) = update.catalog {
            self.newest = adopt(node, text, TextSource::Store);
        }
        if let Some(newest) = self.newest {
            freshness::record_store_read(node, VersionCheck { newest, asked_at });
            node.catalog_position.set(self.cursor.map(|at| (newest, at)));
        }
        let has_none = is_unchanged && node.state.borrow().catalog.is_none();
        if self.newest.is_some() || has_none {
            // One that this release cannot parse counts as not read: others may be able to.
            node.catalog_reads.expect(node.now(), next_wait);
        }
        if has_none {
            sleep(NO_CONFIG_PAUSE).await;
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
/// one gets twice as long. The nodes that poll this one are told as soon
/// as it is overdue.
async fn until_others_are_answered(node: &Node, wait: Duration, lost_reads: u32) {
    let store = &node.protocols.store;
    let max_response = OVERDUE_AFTER * (1 << lost_reads.min(MAX_OVERDUE_DOUBLINGS));
    let mut overdue_at = node.now() + (wait + max_response).as_millis() as Millis;
    let mut received = store.catalog_bytes();
    let mut has_told = false;
    loop {
        sleep(OVERDUE_CHECK_INTERVAL).await;
        let now = node.now();
        if std::mem::replace(&mut received, store.catalog_bytes()) != received {
            // A response that arrives is not lost, however long it is.
            overdue_at = now + max_response.as_millis() as Millis;
            node.catalog_reads.expect(now, Duration::ZERO);
        }
        if now >= node.catalog_reads.due() && !has_told {
            has_told = true;
            node.update_available.notify_waiters();
        }
        if now >= overdue_at && node.store_responded_at.get() >= overdue_at {
            return;
        }
    }
}

/// Where the text of a configuration comes from.
#[derive(Debug, Clone, Copy, Display)]
pub(crate) enum TextSource {
    #[display("store")]
    Store,
    /// Another node.
    Peer(SocketAddr),
}

/// Puts a configuration in force if it is newer. Returns its version, or none if it cannot be parsed.
pub(crate) fn adopt(node: &Node, text: Bytes, source: TextSource) -> Option<u64> {
    let known = node.state.borrow().catalog.as_ref().map(|catalog| catalog.version);
    if let Some(version) = known
        && node.state.borrow().catalog_text == text
    {
        return Some(version);
    }
    let parse_started_at = Instant::now();
    let mut catalog = match node.protocols.store.parse_catalog(&text) {
        Ok(catalog) => catalog,
        Err(e) => {
            emit(Event::ConfigRejected, &[("node", &node.settings.borrow().node), ("why", &e)]);
            node.record_rejected_catalog();
            return None;
        }
    };
    let version = catalog.version;
    // A store restored from a backup may return an older version.
    if known.is_some_and(|known| known >= version) {
        return Some(version);
    }
    emit(
        Event::ConfigInForce,
        &[
            ("node", &node.settings.borrow().node),
            ("version", &version),
            ("by", &source),
            ("bytes", &text.len()),
            ("parse_us", &parse_started_at.elapsed().as_micros()),
        ],
    );
    catalog.ignored_fields.iter().for_each(|field| meter::ignored_figure(field, &"not usable"));
    let mut state = node.state.borrow_mut();
    if let Some(previous) = &state.catalog {
        let is_loaded = |model: &str| state.engines.iter().any(|engine| engine.has_model(model));
        catalog.keep_dropped_models(previous, is_loaded);
    }
    state.catalog = Some(Arc::new(catalog));
    state.catalog_text = text;
    drop(state);
    node.record_adopted_catalog(version);
    leader::catalog_changed(node);
    Some(version)
}
