//! Polls the leader or a hub for updates, and reports demand and loads to it.

use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::heads::{Parent, PassedOver, crowd, digest};
use hgw_direct::{Millis, Wanted};
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

/// Least pause between polls. Updates during a poll are returned at once.
const EXCHANGE_LEAST: Duration = Duration::from_millis(40);

/// Polls the leader or the hub of this node's domain until the process ends.
pub(crate) async fn exchange(node: Node) {
    let mut poller = Asking::default();
    loop {
        if node.holding.borrow().is_mine() {
            keeper::add_demand(&node, &take_asked(&node));
            sleep(NEWS_WAIT).await;
            continue;
        }
        let Some((parent, addr)) = node.parent() else {
            sleep(NO_KEEPER).await;
            continue;
        };
        let pause = match poller.ask(&node, parent, addr).await {
            Some(children) => EXCHANGE_LEAST * crowd(children, node.state.borrow().nodes),
            None => NO_KEEPER,
        };
        sleep(pause).await;
    }
}

/// State kept between polls.
#[derive(Debug, Default)]
struct Asking {
    /// Fencing token of the leader that has received this node's earlier demand.
    introduced: Option<u64>,
    heard: Heard,
    /// Time up to which loads were reported.
    told: Millis,
    links: IndexMap<SocketAddr, PeerLink>,
}

impl Asking {
    /// Polls once. Returns the number of nodes that poll the same node, or none if it did not
    /// respond.
    async fn ask(&mut self, node: &Node, parent: Parent, addr: SocketAddr) -> Option<u32> {
        let fence = node.holding.borrow().leader.as_ref().map_or(0, |leader| leader.fence);
        let mut asked = take_asked(node);
        let reports_earlier_demand = parent == Parent::Holder && self.introduced != Some(fence);
        let earlier_demand = reports_earlier_demand.then(|| counted_before(node));
        if reports_earlier_demand {
            // The earlier demand includes these counts.
            asked.clear();
        }
        let request = self.tell(node, asked, earlier_demand);
        let (now, asked) = (node.now(), boot_time());
        self.told = now;
        let news: News = match ask(node, addr, "/tell", &request, NEWS_WAIT + PATIENCE).await {
            Ok(news) => news,
            Err(error) => {
                self.is_silent(node, parent, addr);
                // A node that no longer leads refuses at once, so its successor need not wait until
                // its updates are too old.
                node.leader_refuses.set(parent == Parent::Holder && error == Unanswered::Refused);
                give_back(node, request.asked);
                return None;
            }
        };
        node.leader_refuses.set(false);
        self.links.entry(addr).or_default().answers(node, addr);
        if reports_earlier_demand {
            self.introduced = Some(fence);
        }
        proof::hear(node, asked, news.held_ms, news.proof);
        if news.catalog_at > node.catalog_position.get() {
            node.catalog_position.set(news.catalog_at);
        }
        self.heard = news.heard;
        let children = news.children;
        node.backoff.set_siblings(children);
        if news.age_ms > longest_age(node) {
            node.heads.borrow_mut().pass_over(addr, PassedOver::Stale, node.now());
        }
        take_in_news(node, now, news);
        Some(children)
    }

    fn tell(&self, node: &Node, asked: Vec<Asked>, earlier_demand: Option<CountedBefore>) -> Tell {
        let (catalog, list) = {
            let state = node.state.borrow();
            // Version 0 requests the complete configuration.
            (
                state.catalog.as_ref().map_or(0, |c| c.version),
                state.list_version.unwrap_or_default(),
            )
        };
        let settings = node.settings.borrow();
        Tell {
            from: settings.peers,
            domain: settings.domain.clone(),
            heard: self.heard,
            list,
            era: eras::to_report(node),
            catalog,
            loads: heard_since(node, self.told, None),
            asked,
            past: earlier_demand,
            others: node.sends.digest(),
            heads: digest(node.heads.borrow().candidates()),
        }
    }

    fn is_silent(&mut self, node: &Node, parent: Parent, addr: SocketAddr) {
        self.links.entry(addr).or_default().is_silent(node, addr);
        if parent == Parent::Holder {
            node.holding.borrow_mut().leader_liveness.is_silent();
        }
        node.heads.borrow_mut().pass_over(addr, PassedOver::Silent, node.now());
    }
}

/// Age from which the response of another node counts as stale. It is short enough to poll two more
/// nodes before this one reads from the store.
fn longest_age(node: &Node) -> Millis {
    node.settings.borrow().max_leader_update_age(false).as_millis() as Millis
}

/// Takes in the response to a poll that was sent at `asked_at`.
fn take_in_news(node: &Node, polled_at: Millis, news: News) {
    let arrived = node.now();
    eras::record_reported(node, news.era);
    if let Some(leader) = news.keeper {
        node.holding.borrow_mut().record_reported_leader(leader);
    }
    let renewed = news.renewed.map(|(end, age)| (end, arrived.saturating_sub(age)));
    node.holding.borrow_mut().leader_liveness.answers(renewed);
    if let Some(heads) = news.heads {
        node.heads.borrow_mut().know(heads);
    }
    take_in_list(node, news.list);
    // Counted from the request, because the response may have been delayed on its way.
    node.record_leader_update((polled_at + news.held_ms).saturating_sub(news.age_ms));
    take_in(node, news.engines);
    take_in_loads(node, &news.loads);
    let fence = node.holding.borrow().leader.as_ref().map(|leader| leader.fence);
    if let Some(fence) = fence {
        let begun = news.begun.iter().map(|age| arrived.saturating_sub(*age));
        node.state.borrow_mut().leader_loads = Some((fence, begun.collect()));
    }
    node.record_reported_catalog(news.catalog);
    node.state.borrow_mut().nodes = news.nodes.max(1);
    if let Some(peer_addrs) = news.others {
        node.sends.know(peer_addrs);
    }
}

/// Tracks whether a node responds and logs changes.
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

/// Name of the node at `addr`, or the address if the name is unknown.
fn name_of(node: &Node, addr: SocketAddr) -> String {
    let leadership = node.holding.borrow();
    let leader = leadership
        .leader
        .as_ref()
        .filter(|leader| leader.addr == addr)
        .map(|leader| leader.node.clone());
    let hubs = node.heads.borrow();
    let hub = hubs.candidates().iter().find(|c| c.addr == addr).map(|c| c.node.clone());
    leader.or(hub).unwrap_or_else(|| addr.to_string())
}

fn take_asked(node: &Node) -> Vec<Asked> {
    let asked = std::mem::take(&mut node.state.borrow_mut().unreported_demand);
    let into_entry =
        |(w, count): (Wanted, f64)| Asked { model: w.model, adapter: w.adapter, count };
    asked.into_iter().map(into_entry).collect()
}

fn counted_before(node: &Node) -> CountedBefore {
    let now = node.now();
    let demand = &node.state.borrow().demand;
    let for_ms = demand.since().map(|since| now.saturating_sub(since));
    CountedBefore { for_ms, models: demand.past(now) }
}

fn give_back(node: &Node, asked: Vec<Asked>) {
    let mut state = node.state.borrow_mut();
    for entry in asked {
        let (wanted, count) = entry.parts();
        *state.unreported_demand.entry(wanted).or_default() += count;
    }
}
