//! Engines that cannot be reached, as one node finds out and its domain knows.
//!
//! Load: 36 of 93 engines are lost within three seconds, and each of 195 nodes finds out about each of them by itself:
//! 11,330 tries that found no connection, a third of a second each where the engine's machine is gone. Told by the first
//! that found out, the others leave it alone at once, and one node of the domain looks whether it is back.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::aggregation::{Neighbors, Relation};
use hgw_direct::hubs::Parent;
use hgw_direct::in_flight::EngineKey;
use hgw_direct::{Millis, broadcasts_sends};
use hgw_events::{Event, emit};
use hgw_http1::Conn;
use tokio::time::sleep;

use crate::shared::Node;

use super::flights::{circle, relation};
use super::sends::Word;

/// Time for which an engine that cannot be reached is left alone on the word of another node. Its head says so again
/// while it finds it so; a head that ends says nothing more.
const DARK_FOR: Duration = Duration::from_millis(1_500);

/// Time between two looks of the head whether it is back: so much later its work comes back to it.
const LOOK: Duration = Duration::from_millis(300);

/// An engine that this node has heard within this time is not dark, whatever others say: their own machine is slow, or
/// their way there is cut.
const HEARD_LATELY: Millis = 400;

/// An engine could not be reached, or was silent on all connections: the head of this node's domain is told.
pub(crate) fn lost(node: &Node, key: EngineKey) {
    if broadcasts_sends(node.state.borrow().nodes) {
        return;
    }
    match node.parent() {
        Some((Parent::Hub(head), _)) => {
            node.sends.tell_to([&head].into_iter(), &Word::Lost(key));
        }
        _ => watch(node, key),
    }
}

/// Another node says that an engine cannot be reached. What comes from elsewhere changes nothing.
pub(super) fn take_in_lost(node: &Node, from: SocketAddr, key: EngineKey) {
    if relation(node, from) == Relation::Child {
        watch(node, key);
    }
}

/// A head says that an engine cannot be reached from its domain, or can be again. Another domain believes it of the
/// engines that stand in that one: from anywhere else the way there may be cut.
pub(super) fn take_in_dark(
    node: &Node,
    from: SocketAddr,
    key: EngineKey,
    domain: &str,
    dark: bool,
) {
    let mine = node.settings.borrow().domain == domain;
    if !mine && domain_of(node, key).is_none_or(|of_engine| of_engine != domain) {
        return;
    }
    match relation(node, from) {
        // One of its nodes hears an engine that this one holds for dark.
        Relation::Child if !dark => tell(node, key, false),
        Relation::Child | Relation::Unrelated => {}
        relation => {
            if believe(node, key, dark) {
                tell_children(node, &circle(node), key, dark);
            } else if relation == Relation::Hub {
                node.sends.tell_to([&from].into_iter(), &word(node, key, false));
            }
        }
    }
}

/// Tells the domain that an engine cannot be reached, and looks until it can.
fn watch(node: &Node, key: EngineKey) {
    if !node.watched.borrow_mut().insert(key) {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        look_until_back(&node, key).await;
        node.watched.borrow_mut().swap_remove(&key);
    });
}

async fn look_until_back(node: &Node, key: EngineKey) {
    loop {
        let Some(addr) = addr_of(node, key) else { return };
        tell(node, key, true);
        // One that is lost refuses at once or takes all the time that there is for a connection.
        if Conn::connect(addr, node.connect_limits()).await.is_ok() {
            tell(node, key, false);
            return;
        }
        sleep(LOOK).await;
    }
}

fn addr_of(node: &Node, key: EngineKey) -> Option<SocketAddr> {
    node.state.borrow_mut().engines.by_key(key).map(|engine| engine.info.addr)
}

/// Believes it, and tells those that ask this node, and the other heads.
fn tell(node: &Node, key: EngineKey, dark: bool) {
    if !believe(node, key, dark) {
        return;
    }
    let circle = circle(node);
    tell_children(node, &circle, key, dark);
    node.sends.tell_to(circle.hubs.iter(), &word(node, key, dark));
}

/// The failure domain of an engine.
fn domain_of(node: &Node, key: EngineKey) -> Option<String> {
    node.state.borrow_mut().engines.by_key(key).map(|engine| engine.info.domain.clone())
}

fn tell_children(node: &Node, circle: &Neighbors, key: EngineKey, dark: bool) {
    node.sends.tell_to(circle.children.iter(), &word(node, key, dark));
}

fn word(node: &Node, key: EngineKey, dark: bool) -> Word {
    let domain = node.settings.borrow().domain.clone();
    if dark { Word::Dark(key, domain) } else { Word::Back(key, domain) }
}

/// Takes in that an engine is dark, or back; tells whether it agrees with what this node has heard itself.
fn believe(node: &Node, key: EngineKey, dark: bool) -> bool {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let Some(engine) = state.engines.by_key(key) else { return false };
    if dark && now.saturating_sub(engine.last_heard) < HEARD_LATELY {
        return false;
    }
    let was_dark = engine.health.is_reported_unreachable(now);
    if dark {
        engine.health.report_unreachable(now + DARK_FOR.as_millis() as Millis);
    } else {
        engine.health.report_reachable();
    }
    if was_dark != dark {
        let opinion = engine.health.health(now);
        let (name, engine) = (&node.settings.borrow().node, engine.info.id.clone());
        emit(
            Event::EngineJudged,
            &[("node", name), ("upstream", &engine), ("opinion", &opinion), ("told", &true)],
        );
    }
    drop(state);
    node.dark.notify_waiters();
    true
}
