//! What nodes tell each other: what is asked for, and what the engines hold.

mod message;
mod sends;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hgw_direct::{
    AtHand, Cursor, Engine, EngineId, Engines, ListNews, ListPart, Listed, Load, Passed, Standing,
    Wanted,
};
use hgw_events::{Event, emit};
use hgw_http1::{Body, Request};
use http::{Method, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::answer::{Answer, AnswerBody, Answered, own};
use crate::holder::Keeper;
use crate::keeper;
use crate::shared::Node;

use message::Want;
pub(crate) use message::{Asked, CountedBefore, HeardLoad, News, Placement, Tell, Told, Wish};
pub(crate) use sends::{Sends, Word, listen};

/// Longest that the keeper holds an answer back for want of news.
pub(crate) const NEWS_WAIT: Duration = Duration::from_millis(400);

/// Least time between two exchanges: what changes within it is told at once.
const EXCHANGE_LEAST: Duration = Duration::from_millis(40);

/// Longest wait for the keeper beyond that.
const PATIENCE: Duration = Duration::from_millis(600);

/// Longest wait for the placement of an adapter or the word that a model is coming.
const WANT_PATIENCE: Duration = Duration::from_millis(600);

/// Pause while no keeper is known or it does not answer.
const NO_KEEPER: Duration = Duration::from_millis(150);

/// Bytes of a message.
const MOST: usize = 1 << 20;

/// Age up to which a load is passed on.
const HEARD_FOR: u64 = 1_500;

/// Loads that are told at a time: told of all engines to all nodes, they would grow with both.
const MOST_LOADS: usize = 64;

/// Loads that were heard of since a time, with their age: of engines that hold one of these models, or of any.
pub(crate) fn heard_since(node: &Node, since: u64, models: Option<&[Asked]>) -> Vec<HeardLoad> {
    let now = node.now();
    let since = since.max(now.saturating_sub(HEARD_FOR));
    let state = node.state.borrow();
    let told = state.engines.iter().filter_map(|e| Some((e, e.told?)));
    let newer = told.filter(|(_, (_, at, _))| *at > since);
    let meant = |e: &Engine| {
        models.is_none_or(|models| models.iter().any(|asked| e.holds_model(&asked.model)))
    };
    let newer = newer.filter(|(e, _)| meant(e)).take(MOST_LOADS);
    let heard = newer.map(|(e, (load, at, _))| {
        let (id, start) = (e.listed.id.clone(), e.listed.start);
        HeardLoad(id, start, load.running, load.waiting, now.saturating_sub(at))
    });
    heard.collect()
}

/// Takes in what another node heard of.
fn take_in_loads(node: &Node, loads: &[HeardLoad]) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    for HeardLoad(engine, start, running, waiting, age_ms) in loads {
        if let Some(engine) = state.engines.meet(engine, *start) {
            let load = Load { running: *running, waiting: *waiting, slots: engine.listed.slots };
            engine.hear(load, now.saturating_sub(*age_ms));
        }
    }
    drop(state);
    node.look_for_starts();
}

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

/// Asks that a model or an adapter be placed.
pub(crate) async fn want(node: &Node, wanted: &Wanted, refuted: Option<&EngineId>) -> Placement {
    let keeper = node.holding.borrow().keeper.clone();
    let domain = node.settings.borrow().domain.clone();
    if node.holding.borrow().is_mine() {
        return keeper::want(node, wanted, &domain, refuted).await;
    }
    let Some(keeper) = keeper else { return Placement::Unknown };
    let want = Want {
        fence: keeper.fence,
        model: wanted.model.clone(),
        adapter: wanted.adapter.clone(),
        domain,
        refuted: refuted.cloned(),
    };
    match call::<_, Wish>(node, keeper.addr, "/want", &want, WANT_PATIENCE).await {
        Some(wish) => {
            take_in(node, wish.engines);
            wish.placement
        }
        None => Placement::Unknown,
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

/// Takes the keeper's list of engines in. An engine that this node knows to leave does not come back by the
/// word of a keeper that has not read of it yet.
fn take_in_list(node: &Node, since: Option<Cursor>, news: ListNews) {
    let mut state = node.state.borrow_mut();
    if news.part == ListPart::ReadAnew {
        state.list_at = None;
        return;
    }
    // Without a list of its own the node reads it now, and changes to it are not the whole.
    if since.is_none() {
        return;
    }
    let engines = &mut state.engines;
    let entries: Vec<Listed> =
        news.engines.into_iter().map(|passed| listed_as(engines, passed)).collect();
    if news.part == ListPart::Whole {
        engines.replace(entries, false);
    } else {
        for entry in entries {
            engines.list(entry);
        }
        for gone in &news.gone {
            engines.unlist(gone);
        }
    }
    drop(state);
    node.look_for_starts();
    node.listed_to(news.cursor);
}

fn listed_as(engines: &Engines, passed: Passed) -> Listed {
    let known = engines.get(&passed.engine).filter(|k| !k.listed.start.is_before(passed.start));
    let left = known.is_some_and(|k| matches!(k.listed.standing, Standing::Leaving { .. }));
    let standing = match (passed.leaving || left, passed.unreadable) {
        (_, true) => Standing::Unreadable,
        (true, false) => Standing::Leaving { gone_at: None },
        (false, false) => Standing::Ready,
    };
    Listed {
        id: passed.engine,
        start: passed.start,
        service: passed.service.into(),
        addr: passed.addr,
        domain: passed.domain,
        slots: passed.slots,
        standing,
        held: known.filter(|k| k.told_at.is_some()).map_or(passed.held, |k| k.listed.held.clone()),
        at_hand: AtHand::default(),
        cold_ms: u64::from(passed.cold),
    }
}

fn take_in(node: &Node, engines: Vec<Told>) {
    if engines.is_empty() {
        return;
    }
    let now = node.now();
    let mut state = node.state.borrow_mut();
    for told in engines {
        let Some(engine) = state.engines.meet(&told.engine, told.start) else { continue };
        if told.orders >= engine.orders {
            engine.orders = told.orders;
            engine.listed.held = told.held;
            engine.told_at = Some(now);
        }
    }
    drop(state);
    node.look_for_starts();
    node.placed.notify_waiters();
}

/// The text of the keeper's configuration.
pub(crate) async fn catalog(node: &Node) -> Option<Bytes> {
    let addr = node.holding.borrow().keeper.as_ref()?.addr;
    let req = Request::post("/catalog", "peer", Bytes::new());
    exchange_once(node, addr, &req, PATIENCE).await.filter(|text| !text.is_empty())
}

async fn call<T: Serialize, R: for<'a> Deserialize<'a>>(
    node: &Node,
    addr: SocketAddr,
    path: &str,
    message: &T,
    patience: Duration,
) -> Option<R> {
    let body = serde_json::to_vec(message).expect("a message can be written as JSON");
    let req = Request::post(path, "peer", body.into());
    let body = exchange_once(node, addr, &req, patience).await?;
    serde_json::from_slice(&body).ok()
}

/// The body of another node's answer, where it answered in time that all is well.
async fn exchange_once(
    node: &Node,
    addr: SocketAddr,
    req: &Request,
    patience: Duration,
) -> Option<Bytes> {
    let exchange = async {
        let mut conn = node.pool.get(addr, node.connect_limits()).await.ok()?;
        let head = conn.send(req).await.ok()?;
        let body = conn.collect(Body::new(head.framing), MOST).await.ok()?;
        node.pool.put(addr, conn);
        (head.status == 200).then_some(body)
    };
    timeout(patience, exchange).await.ok()?
}

/// Answers another node.
pub(crate) async fn answer(node: Node, req: http::Request<Incoming>) -> Answered {
    let (head, body) = req.into_parts();
    let Ok(body) = Limited::new(body, MOST).collect().await else {
        return Ok(own(StatusCode::BAD_REQUEST, "the body cannot be read"));
    };
    let body = body.to_bytes();
    Ok(match (&head.method, head.uri.path()) {
        (&Method::POST, "/tell") => answer_tell(&node, &body).await,
        (&Method::POST, "/want") => answer_want(&node, &body).await,
        (&Method::POST, "/catalog") => {
            Response::new(AnswerBody::whole(node.state.borrow().catalog_text.clone()))
        }
        _ => own(StatusCode::NOT_FOUND, "no such call"),
    })
}

async fn answer_tell(node: &Node, body: &Bytes) -> Answer {
    let Ok(tell) = serde_json::from_slice::<Tell>(body) else {
        return own(StatusCode::BAD_REQUEST, "not a report of demand");
    };
    if !is_keeper(node, tell.fence) {
        return own(StatusCode::CONFLICT, "not the keeper");
    }
    if let Some(past) = &tell.past {
        keeper::counted_before(node, past);
    }
    keeper::asked(node, &tell.asked);
    meet(node, tell.from);
    take_in_loads(node, &tell.loads);
    json(&keeper::news(node, &tell).await)
}

async fn answer_want(node: &Node, body: &Bytes) -> Answer {
    let Ok(want) = serde_json::from_slice::<Want>(body) else {
        return own(StatusCode::BAD_REQUEST, "not a wish for a model");
    };
    if !is_keeper(node, want.fence) {
        return own(StatusCode::CONFLICT, "not the keeper");
    }
    let wanted = Wanted { model: want.model, adapter: want.adapter };
    let placement = keeper::want(node, &wanted, &want.domain, want.refuted.as_ref()).await;
    json(&Wish { placement, engines: keeper::told_of(node, &wanted) })
}

/// A node that has just come counts at once; the store's count comes seconds later.
fn meet(node: &Node, other: SocketAddr) {
    let known = u32::try_from(node.sends.meet(other)).unwrap_or(u32::MAX);
    let mut state = node.state.borrow_mut();
    state.nodes = state.nodes.max(known);
}

fn is_keeper(node: &Node, fence: u64) -> bool {
    let holding = node.holding.borrow();
    holding.is_mine() && holding.keeper.as_ref().is_some_and(|k| k.fence == fence)
}

fn json<T: Serialize>(message: &T) -> Answer {
    let body = serde_json::to_vec(message).expect("a message can be written as JSON");
    Response::new(AnswerBody::whole(body))
}
