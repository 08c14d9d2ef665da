//! Demand against placement, again and again with the node that tells this one what is new.

use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::hubs::{Parent, SkipReason, digest, poll_interval_factor};
use hgw_direct::{Millis, ModelRef};
use hgw_events::{Event, emit};
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::clock::boot_time;
use crate::eras;
use crate::keeper;
use crate::proof;
use crate::shared::Node;

use super::heard::{heard_since, take_in_loads};
use super::list::{take_in, take_in_list};
use super::message::{Asked, CountedBefore, News, Tell};
use super::placements::Heard;
use super::{NEWS_WAIT, NO_KEEPER, PATIENCE, Unanswered, ask};

/// Least time between two exchanges: what changes within it is told at once.
const EXCHANGE_LEAST: Duration = Duration::from_millis(40);

/// Exchanges demand against placement with the keeper, or with the head of this node's domain, until the process ends.
pub(crate) async fn exchange(node: Node) {
    let mut asking = Asking::default();
    loop {
        if node.holding.borrow().is_mine() {
            keeper::asked(&node, &take_asked(&node));
            sleep(NEWS_WAIT).await;
            continue;
        }
        let Some((parent, addr)) = node.parent() else {
            sleep(NO_KEEPER).await;
            continue;
        };
        let pause = match asking.ask(&node, parent, addr).await {
            Some(children) => {
                EXCHANGE_LEAST * poll_interval_factor(children, node.state.borrow().nodes)
            }
            None => NO_KEEPER,
        };
        sleep(pause).await;
    }
}

/// How far the exchange has come.
#[derive(Debug, Default)]
struct Asking {
    /// The keeper that knows what this node was asked for before.
    introduced: Option<u64>,
    heard: Heard,
    /// When loads were told last.
    told: Millis,
    links: IndexMap<SocketAddr, PeerLink>,
}

impl Asking {
    /// Asks once; gives how many nodes ask the one that answered.
    async fn ask(&mut self, node: &Node, parent: Parent, addr: SocketAddr) -> Option<u32> {
        let fence = node.holding.borrow().keeper.as_ref().map_or(0, |k| k.fence);
        let mut asked = take_asked(node);
        let introduces = parent == Parent::Leader && self.introduced != Some(fence);
        let past = introduces.then(|| counted_before(node));
        if introduces {
            // It is in there.
            asked.clear();
        }
        let tell = self.tell(node, asked, past);
        let (now, asked) = (node.now(), boot_time());
        self.told = now;
        let news: News = match ask(node, addr, "/tell", &tell, NEWS_WAIT + PATIENCE).await {
            Ok(news) => news,
            Err(why) => {
                self.is_silent(node, parent, addr);
                // Who gives the orders no more says so at once; its successor need not wait until its word is old.
                node.keeper_refuses.set(parent == Parent::Leader && why == Unanswered::Refused);
                give_back(node, tell.asked);
                return None;
            }
        };
        node.keeper_refuses.set(false);
        self.links.entry(addr).or_default().answers(node, addr);
        if introduces {
            self.introduced = Some(fence);
        }
        proof::hear(node, asked, news.held_ms, news.proof);
        if news.catalog_at > node.catalog_at.get() {
            node.catalog_at.set(news.catalog_at);
        }
        self.heard = news.heard;
        let children = news.children;
        node.backoff.siblings(children);
        if news.age_ms > longest_age(node) {
            node.heads.borrow_mut().skip(addr, SkipReason::Stale, node.now());
        }
        take_in_news(node, now, news);
        Some(children)
    }

    fn tell(&self, node: &Node, asked: Vec<Asked>, past: Option<CountedBefore>) -> Tell {
        let (catalog, list) = {
            let state = node.state.borrow();
            // A node that has none asks for all of it.
            (state.catalog.as_ref().map_or(0, |c| c.version), state.list_at.unwrap_or_default())
        };
        let settings = node.settings.borrow();
        Tell {
            from: settings.peers,
            domain: settings.domain.clone(),
            heard: self.heard,
            list,
            era: eras::told(node),
            catalog,
            loads: heard_since(node, self.told, None),
            asked,
            past,
            others: node.sends.digest(),
            heads: digest(node.heads.borrow().candidates()),
        }
    }

    fn is_silent(&mut self, node: &Node, parent: Parent, addr: SocketAddr) {
        self.links.entry(addr).or_default().is_silent(node, addr);
        if parent == Parent::Leader {
            node.holding.borrow_mut().silence.mark_unresponsive();
        }
        node.heads.borrow_mut().skip(addr, SkipReason::Unresponsive, node.now());
    }
}

/// Age from which the word of another node is no news. Two more may be asked before this node reads for itself, as one
/// whose domain has a head: it may be turned away by the store, too.
fn longest_age(node: &Node) -> Millis {
    node.settings.borrow().followed_for(false).as_millis() as Millis
}

/// Takes in the answer to a question of this time.
fn take_in_news(node: &Node, asked_at: Millis, news: News) {
    let arrived = node.now();
    eras::hear(node, news.era);
    if let Some(keeper) = news.keeper {
        node.holding.borrow_mut().hear_of(keeper);
    }
    let renewed = news.renewed.map(|(end, age)| (end, arrived.saturating_sub(age)));
    node.holding.borrow_mut().silence.record_response(renewed);
    if let Some(heads) = news.heads {
        node.heads.borrow_mut().set_candidates(heads);
    }
    take_in_list(node, news.list);
    // By the time of the question: the answer may have been long on its way.
    node.followed((asked_at + news.held_ms).saturating_sub(news.age_ms));
    take_in(node, news.engines);
    take_in_loads(node, &news.loads);
    let fence = node.holding.borrow().keeper.as_ref().map(|k| k.fence);
    if let Some(fence) = fence {
        let begun = news.begun.iter().map(|age| arrived.saturating_sub(*age));
        node.state.borrow_mut().begun = Some((fence, begun.collect()));
    }
    node.catalog_told(news.catalog);
    node.state.borrow_mut().nodes = news.nodes.max(1);
    if let Some(others) = news.others {
        node.sends.know(others);
    }
}

/// Whether a node answers, logged when it changes.
#[derive(Debug, Default)]
struct PeerLink {
    silent: bool,
}

impl PeerLink {
    fn answers(&mut self, node: &Node, addr: SocketAddr) {
        if std::mem::take(&mut self.silent) {
            let name = &node.settings.borrow().node;
            emit(Event::PeerAnswers, &[("node", name), ("peer", &name_of(node, addr))]);
        }
    }

    fn is_silent(&mut self, node: &Node, addr: SocketAddr) {
        if !std::mem::replace(&mut self.silent, true) {
            let name = &node.settings.borrow().node;
            let reason = "no answer in time";
            let peer = name_of(node, addr);
            let fields: &[(&str, &dyn std::fmt::Display)] =
                &[("node", name), ("peer", &peer), ("addr", &addr), ("reason", &reason)];
            emit(Event::PeerUnreachable, fields);
        }
    }
}

/// The name of the node at an address, as far as it is known.
fn name_of(node: &Node, addr: SocketAddr) -> String {
    let holding = node.holding.borrow();
    let keeper = holding.keeper.as_ref().filter(|k| k.addr == addr).map(|k| k.node.clone());
    let heads = node.heads.borrow();
    let head = heads.candidates().iter().find(|c| c.addr == addr).map(|c| c.node.clone());
    keeper.or(head).unwrap_or_else(|| addr.to_string())
}

fn take_asked(node: &Node) -> Vec<Asked> {
    let asked = std::mem::take(&mut node.state.borrow_mut().asked);
    let one = |(w, count): (ModelRef, f64)| Asked { model: w.model, adapter: w.adapter, count };
    asked.into_iter().map(one).collect()
}

fn counted_before(node: &Node) -> CountedBefore {
    let now = node.now();
    let demand = &node.state.borrow().demand;
    let for_ms = demand.since().map(|since| now.saturating_sub(since));
    CountedBefore { for_ms, models: demand.snapshot(now) }
}

fn give_back(node: &Node, asked: Vec<Asked>) {
    let mut state = node.state.borrow_mut();
    for one in asked {
        let (wanted, count) = one.parts();
        *state.asked.entry(wanted).or_default() += count;
    }
}
