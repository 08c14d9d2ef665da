//! Following the configuration and the list of engines.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hgw_direct::{EngineInfo, EngineState, Era, ListVersion, VersionCheck};
use hgw_events::{Event, emit};
use tokio::time::{sleep, timeout};

use crate::backoff::{after_failure, pause_after_failure};
use crate::clock::boot_time;
use crate::dialect::{Cursor, EngineChange, EngineEntry, EngineNews, StoreError};
use crate::eras;
use crate::keeper;
use crate::meter;
use crate::peers;
use crate::proof;
use crate::shared::{ListedBy, Node};

/// Pause before the next look for a configuration where there is none yet.
const NONE_YET: Duration = Duration::from_millis(300);

/// By how much the keeper reads the list more often than a node that reads for itself: what it passes on is
/// older by the time between two exchanges.
const KEEPER_READS: u32 = 3;

/// Heartbeats after which an entry may lapse because the store was away. A shorter silence is this node's own,
/// and what is missing after it is gone.
const KEPT_AFTER: u32 = 2;

/// Time between two looks whether a node that has just started was told anything.
const START_LOOK: Duration = Duration::from_millis(20);

/// Time between two looks whether the keeper still tells what the store does.
const LOOK: Duration = Duration::from_millis(100);

/// Time after the store's return for which entries that are missing are kept: they come back with their
/// engines' next heartbeats.
const KEPT_FOR: Duration = Duration::from_millis(2_000);

/// Longest time after its start for which a node leaves it to a keeper to read the store. One that has just started itself
/// answers hundreds of nodes within a second.
const UNTOLD: Duration = Duration::from_millis(1_500);

/// Longest such time where no keeper is known.
const UNKNOWN: Duration = Duration::from_millis(600);

/// Time that a node with a whole processor leaves it to others, where no keeper is known.
const NO_KEEPER: Duration = Duration::from_millis(60);

/// Waits at the start for what other nodes tell.
///
/// Load: hundreds of nodes start at once, and each reads all that there is from the store before the first of them
/// could tell the others. Larger machines read first, and one of them becomes the keeper.
pub(crate) async fn until_told(node: &Node) {
    let processor = node.settings.borrow().processor.clamp(0.01, 1.0);
    let untold = NO_KEEPER.div_f64(processor).min(UNKNOWN).as_millis() as u64;
    loop {
        let now = node.now();
        let others = {
            let holding = node.holding.borrow();
            let me = node.settings.borrow().peers;
            !holding.is_mine() && holding.keeper.as_ref().is_some_and(|k| k.addr != me)
        };
        let longest = if others { UNTOLD.as_millis() as u64 } else { untold };
        if node.is_followed() || now >= longest {
            return;
        }
        sleep(START_LOOK).await;
    }
}

/// Follows the configuration until the process ends.
pub(crate) async fn catalog(node: Node) {
    let mut cursor = None;
    // The newest version up to there, where it could be read.
    let mut newest = None;
    let mut link = Link::new(&node, "configuration");
    until_told(&node).await;
    loop {
        let followed = node.is_followed();
        if followed && !node.lacks_catalog() && !proof_is_due(&node) {
            // The keeper reads for all nodes, and tells.
            let _ = timeout(LOOK, node.catalog_news.notified()).await;
            continue;
        }
        let told = followed && node.lacks_catalog();
        if told
            && let Some(text) = peers::catalog(&node).await
            && adopt(&node, text).is_some_and(|adopted| adopted.is_newer)
        {
            continue;
        }
        // An answer tells that the store is back: it must not wait there for news.
        let usual = proof::longest_wait(&node, node.settings.borrow().catalog_wait());
        let wait = if link.is_down() || followed { Duration::ZERO } else { usual };
        let asked = boot_time();
        if let Some((version, at)) = told_place(&node).filter(|(_, at)| cursor < Some(*at)) {
            (newest, cursor) = (Some(version), Some(at));
        }
        let call = node.dialects.store.catalog(cursor, wait);
        let answered = if told {
            call.await
        } else {
            tokio::select! {
                biased;
                answered = call => answered,
                () = until_lacking(&node) => continue,
            }
        };
        match answered {
            Ok(news) => {
                link.up();
                cursor = Some(news.cursor);
                let nothing = news.catalog.is_none();
                if let Some(text) = news.catalog {
                    newest = adopt(&node, text).map(|adopted| adopted.version);
                }
                if let Some(newest) = newest {
                    proof::read(&node, VersionCheck { newest, asked_at: asked });
                    node.catalog_at.set(cursor.map(|at| (newest, at)));
                }
                if nothing && node.state.borrow().catalog.is_none() {
                    sleep(NONE_YET).await;
                }
            }
            Err(e) => {
                link.down(&e);
                if followed {
                    // Another node may yet tell of a younger question.
                    sleep(pause_after_failure(&node).min(proof::longest_pause(&node))).await;
                } else {
                    after_failure(&node).await;
                }
            }
        }
    }
}

/// The version of the configuration that this node was told, and where to read on from it.
///
/// Load: the keeper is lost, and hundreds of nodes ask at once whether what they have is still the newest. Without a
/// place in the log each would read the whole text to learn that, more than the store gives in a second.
fn told_place(node: &Node) -> Option<(u64, Cursor)> {
    let version = node.state.borrow().catalog.as_ref().map(|c| c.version);
    node.catalog_at.get().filter(|(told, _)| Some(*told) == version)
}

/// Whether nobody tells this node that its configuration is still the newest, so that it asks the store.
fn proof_is_due(node: &Node) -> bool {
    proof::is_due(node, node.has_head())
}

/// Ends when another node tells of a newer configuration. A call to the store may be without an answer for two seconds,
/// in which callers would be answered by the old one.
async fn until_lacking(node: &Node) {
    loop {
        let told = node.catalog_news.notified();
        if node.is_followed() && node.lacks_catalog() {
            return;
        }
        told.await;
    }
}

/// What a configuration was that this node was given.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Adopted {
    version: u64,
    /// Whether it was newer than the one before, and is in force now.
    is_newer: bool,
}

/// Puts a configuration in force, where it is newer; nothing where it cannot be read.
pub(crate) fn adopt(node: &Node, text: Bytes) -> Option<Adopted> {
    let known = node.state.borrow().catalog.as_ref().map(|catalog| catalog.version);
    if let Some(version) = known
        && node.state.borrow().catalog_text == text
    {
        return Some(Adopted { version, is_newer: false });
    }
    let catalog = match node.dialects.store.read_catalog(&text) {
        Ok(catalog) => catalog,
        Err(e) => {
            emit(Event::ConfigRejected, &[("node", &node.settings.borrow().node), ("why", &e)]);
            return None;
        }
    };
    let version = catalog.version;
    // A store that has come back from a copy may tell an older one.
    if known.is_some_and(|known| known >= version) {
        return Some(Adopted { version, is_newer: false });
    }
    emit(Event::ConfigInForce, &[("node", &node.settings.borrow().node), ("version", &version)]);
    let mut state = node.state.borrow_mut();
    state.catalog = Some(Arc::new(catalog));
    state.catalog_text = text;
    drop(state);
    keeper::catalog_changed(node);
    Some(Adopted { version, is_newer: true })
}

/// Follows the list of engines until the process ends.
pub(crate) async fn engines(node: Node) {
    let mut cursor = None;
    let mut link = Link::new(&node, "engines");
    until_told(&node).await;
    let (mut back_at, mut last) = (None, node.now());
    loop {
        if node.is_followed() && !node.reads_list.get() {
            // Read anew from the start once the keeper tells no more.
            (cursor, back_at, last) = (None, None, node.now());
            sleep(LOOK).await;
            node.pool.sweep();
            continue;
        }
        match node.dialects.store.engines(cursor).await {
            Ok(news) => {
                node.list_read.set(node.now());
                node.reads_list.set(false);
                let was_away = link.up()
                    && down_for(&node, last) >= KEPT_AFTER * node.settings.borrow().heartbeat;
                if was_away || eras::is_young(&node) && back_at.is_none() {
                    back_at = Some(node.now());
                }
                last = node.now();
                // Those that ask this node have the same from now on, also where nothing has changed.
                node.news.notify_waiters();
                cursor = Some(news.cursor);
                let since_back = back_at.map(|at| node.now().saturating_sub(at));
                let keep = since_back.is_some_and(|t| t < KEPT_FOR.as_millis() as u64);
                take_in(&node, news, keep);
                if back_at.is_some() && !keep {
                    // What is still missing is gone: the whole list shows it.
                    back_at = None;
                    cursor = None;
                    continue;
                }
                sleep(pause_before_next(&node)).await;
            }
            Err(e) => {
                link.down(&e);
                after_failure(&node).await;
            }
        }
        node.pool.sweep();
    }
}

/// Time until the list is read again.
fn pause_before_next(node: &Node) -> Duration {
    let pause = node.settings.borrow().list_pause();
    if node.holding.borrow().is_mine() {
        pause / KEEPER_READS
    } else if node.reads_on() {
        pause
    } else {
        pause * node.crowd()
    }
}

fn down_for(node: &Node, last: hgw_direct::Millis) -> Duration {
    Duration::from_millis(node.now().saturating_sub(last))
}

fn take_in(node: &Node, news: EngineNews, keep: bool) {
    let now = node.now();
    if let Some(first) = news.malformed.first() {
        let (name, entries) = (&node.settings.borrow().node, news.malformed.len());
        emit(Event::ConfigRejected, &[("node", name), ("why", first), ("entries", &entries)]);
    }
    let mut state = node.state.borrow_mut();
    if news.whole && news.cursor.era > Era::FIRST {
        state.engines.set_backup_end(news.cursor);
    }
    let mut whole = Vec::new();
    for EngineChange { at, entry } in news.entries {
        match entry {
            EngineEntry::Listed { mut listed, left } => {
                if let Some(left) = left {
                    let gone_at = Some(now + left.as_millis() as u64);
                    listed.state = EngineState::Leaving { terminates_at: gone_at };
                }
                listed.position = at;
                keep_newer(&state.engines, &mut listed);
                if news.whole {
                    whole.push(*listed);
                } else {
                    state.engines.upsert(*listed);
                }
            }
            EngineEntry::Gone(id) => {
                if !keep {
                    state.engines.remove(&id, at);
                }
            }
            EngineEntry::Unreadable(id) => {
                state.engines.mark_unreadable(&id, at);
                if news.whole {
                    whole.extend(state.engines.get(&id).map(|engine| engine.info.clone()));
                }
            }
        }
    }
    if news.whole {
        state.engines.apply_snapshot(whole, news.cursor, keep);
    }
    drop(state);
    node.look_for_starts();
    node.listed_to(ListVersion::at_position(news.cursor), ListedBy::Store);
    keeper::look_at_list(node);
    node.placed.notify_waiters();
}

/// What the keeper told of an engine goes before its heartbeats: these may be written before an order has
/// ended, and none is written for an adapter. The keeper tells every change.
fn keep_newer(engines: &hgw_direct::Engines, listed: &mut EngineInfo) {
    let Some(known) = engines.get(&listed.id) else { return };
    if known.placement_reported_at.is_some() && !known.info.started_at.is_before(listed.started_at)
    {
        listed.loaded = known.info.loaded.clone();
    }
}

/// Whether the store answers one kind of call, logged when it changes.
pub(crate) struct Link {
    node: Node,
    what: &'static str,
    up: Option<bool>,
}

impl Link {
    pub(crate) fn new(node: &Node, what: &'static str) -> Link {
        Link { node: Node::clone(node), what, up: None }
    }

    /// It answered; tells whether it had not before.
    pub(crate) fn up(&mut self) -> bool {
        meter::store_call(self.what, Ok(()));
        eras::look(&self.node);
        self.node.store_heard.set(self.node.now());
        let back = self.up == Some(false);
        if back {
            let name = self.node.settings.borrow().node.clone();
            emit(Event::LogUp, &[("node", &name), ("what", &self.what)]);
        }
        self.up = Some(true);
        back
    }

    /// Whether it did not answer last.
    pub(crate) fn is_down(&self) -> bool {
        self.up == Some(false)
    }

    /// It did not answer.
    pub(crate) fn down(&mut self, why: &StoreError) {
        meter::store_call(self.what, Err(why));
        eras::look(&self.node);
        if self.up != Some(false) {
            let name = self.node.settings.borrow().node.clone();
            emit(Event::LogDown, &[("node", &name), ("what", &self.what), ("why", why)]);
        }
        self.up = Some(false);
    }
}
