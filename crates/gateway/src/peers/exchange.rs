//! Demand against placement, again and again with the keeper.

use std::time::Duration;

use hgw_direct::Wanted;
use hgw_events::{Event, emit};
use tokio::time::sleep;

use crate::holder::Keeper;
use crate::keeper;
use crate::shared::Node;

use super::heard::{heard_since, take_in_loads};
use super::list::{take_in, take_in_list};
use super::message::{Asked, CountedBefore, News, Tell};
use super::{NEWS_WAIT, NO_KEEPER, PATIENCE, call};

/// Least time between two exchanges: what changes within it is told at once.
const EXCHANGE_LEAST: Duration = Duration::from_millis(40);

/// Exchanges demand against placement with the keeper until the process ends.
pub(crate) async fn exchange(node: Node) {
    let (mut fence, mut version, mut exchanged) = (0, 0, 0);
    let mut introduced = false;
    let mut link = PeerLink::default();
    loop {
        let keeper = node.holding.borrow().keeper.clone();
        let mine = node.holding.borrow().is_mine();
        let mut asked = take_asked(&node);
        if mine {
            keeper::asked(&node, &asked);
            sleep(NEWS_WAIT).await;
            continue;
        }
        let Some(keeper) = keeper else {
            give_back(&node, asked);
            sleep(NO_KEEPER).await;
            continue;
        };
        if keeper.fence != fence {
            (fence, version) = (keeper.fence, 0);
            introduced = false;
        }
        let past = (!introduced).then(|| counted_before(&node));
        if past.is_some() {
            // It is in there.
            asked.clear();
        }
        let (catalog, list) = {
            let state = node.state.borrow();
            // A node that the store turns away has none, and asks for all of it.
            let list = state.list_at.or(node.list_failed.get().then_some(0));
            (state.catalog.as_ref().map_or(0, |c| c.version), list)
        };
        let now = node.now();
        let loads = heard_since(&node, exchanged, None);
        exchanged = now;
        let others = node.sends.digest();
        let from = node.settings.borrow().peers;
        let tell = Tell { from, fence, version, list, catalog, loads, asked, past, others };
        let news: Option<News> =
            call(&node, keeper.addr, "/tell", &tell, NEWS_WAIT + PATIENCE).await;
        match news {
            Some(news) => {
                link.answers(&node, &keeper);
                let renewed = news.renewed.map(|(end, age)| (end, node.now().saturating_sub(age)));
                node.holding.borrow_mut().silence.answers(renewed);
                introduced = true;
                version = news.version;
                take_in_list(&node, list, news.list);
                // By the time of the question: the answer may have been long on its way.
                node.followed((now + news.held_ms).saturating_sub(news.age_ms));
                take_in(&node, news.engines);
                take_in_loads(&node, &news.loads);
                let arrived = node.now();
                let begun = news.begun.iter().map(|age| arrived.saturating_sub(*age));
                node.state.borrow_mut().begun = Some((fence, begun.collect()));
                node.catalog_told(news.catalog);
                node.state.borrow_mut().nodes = news.nodes.max(1);
                if let Some(others) = news.others {
                    node.sends.know(others);
                }
                sleep(EXCHANGE_LEAST * node.crowd()).await;
            }
            None => {
                link.is_silent(&node, &keeper);
                node.holding.borrow_mut().silence.is_silent();
                give_back(&node, tell.asked);
                sleep(NO_KEEPER).await;
            }
        }
    }
}

/// Whether the keeper answers, logged when it changes.
#[derive(Debug, Default)]
struct PeerLink {
    silent: Option<Keeper>,
}

impl PeerLink {
    fn answers(&mut self, node: &Node, keeper: &Keeper) {
        if self.silent.take().is_some_and(|silent| silent == *keeper) {
            let name = &node.settings.borrow().node;
            emit(Event::PeerAnswers, &[("node", name), ("peer", &keeper.node)]);
        }
    }

    fn is_silent(&mut self, node: &Node, keeper: &Keeper) {
        if self.silent.as_ref() != Some(keeper) {
            let name = &node.settings.borrow().node;
            emit(
                Event::PeerUnreachable,
                &[
                    ("node", name),
                    ("peer", &keeper.node),
                    ("addr", &keeper.addr),
                    ("reason", &"no answer in time"),
                ],
            );
            self.silent = Some(keeper.clone());
        }
    }
}

fn take_asked(node: &Node) -> Vec<Asked> {
    let asked = std::mem::take(&mut node.state.borrow_mut().asked);
    let one = |(w, count): (Wanted, f64)| Asked { model: w.model, adapter: w.adapter, count };
    asked.into_iter().map(one).collect()
}

fn counted_before(node: &Node) -> CountedBefore {
    let now = node.now();
    let demand = &node.state.borrow().demand;
    let for_ms = demand.since().map(|since| now.saturating_sub(since));
    CountedBefore { for_ms, models: demand.past(now) }
}

fn give_back(node: &Node, asked: Vec<Asked>) {
    let mut state = node.state.borrow_mut();
    for one in asked {
        let (wanted, count) = one.parts();
        *state.asked.entry(wanted).or_default() += count;
    }
}
