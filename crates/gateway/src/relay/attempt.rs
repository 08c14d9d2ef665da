//! One attempt to send a request to an engine.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{Engine, EngineId, Verdict};
use hgw_http1::{Conn, Error, Head, Request};
use tokio::time::{Instant, sleep_until};

use crate::at_engine::AtEngine;
use crate::dialect::{Marks, Sending};
use crate::peers;

use super::identify::Denied;
use super::request::Relayed;

/// Silence on all connections to an engine, while a request waits there, after which the engine
/// counts as unresponsive. A full engine sends nothing while it prefills several long prompts; callers
/// abandon a stalled stream after two seconds.
const DARK_AFTER: Duration = Duration::from_millis(600);

/// The same when this node has few requests there: their own pauses say little about the engine.
const DARK_AFTER_FEW: Duration = Duration::from_millis(900);

/// The same when another node cannot reach the engine: some node would hear from a healthy one.
const DARK_AFTER_WORD: Duration = Duration::from_millis(250);

/// Requests of this node at an engine from which their common silence is a reliable signal.
const FEW: u32 = 3;

/// Longest wait for the first byte from an engine that still responds on other connections, as a
/// multiple of the route's objective: a single request can hang.
const HUNG_OBJECTIVES: u32 = 4;

/// Bounds of that wait: the lower one keeps a full engine from counting as hung, the upper one ends
/// the wait before callers give up.
const HUNG_LEAST: Duration = Duration::from_millis(450);
const HUNG_MOST: Duration = Duration::from_millis(1_300);

/// A response whose head has been read.
pub(super) struct Begun {
    pub(super) engine: EngineId,
    pub(super) conn: Conn,
    pub(super) head: Head,
    pub(super) at_engine: AtEngine,
}

/// Outcome of one attempt.
pub(super) enum Tried {
    Begun(Box<Begun>),
    /// No byte of the request was sent.
    NotSent,
    /// The engine rejected the request without executing it.
    NotRun,
    /// There is no usable response; the engine may have executed the request.
    Lost,
    /// The engine became unresponsive; a retry has been taken from the retry budget.
    Stalled,
    /// The deadline has passed; the engine may have executed the request.
    TimeOver,
    /// The caller is no longer authorized; no byte of the request was sent.
    Denied(Denied),
}

impl Tried {
    fn failure(&self) -> Option<&'static str> {
        match self {
            Tried::Begun(_) => None,
            Tried::NotSent => Some("no connection"),
            Tried::NotRun => Some("rejected unrun"),
            Tried::Lost => Some("no answer of this request"),
            Tried::Stalled => Some("silent"),
            Tried::TimeOver => Some("time over"),
            Tried::Denied(_) => Some("not allowed any more"),
        }
    }
}

/// Outcome of waiting for an engine.
pub(super) enum Waited<T> {
    Done(T),
    /// The engine is unresponsive; a retry has been taken from the retry budget.
    Stalled,
    /// The engine has restarted, which ended its earlier requests.
    StartedAnew,
    TimeOver,
}

impl Relayed {
    /// Makes one attempt at an engine and logs its failure.
    pub(super) async fn send(&mut self, engine: &EngineId, last_event: Option<u64>) -> Tried {
        let began = Instant::now();
        let tried = self.send_once(engine, last_event).await;
        if let Some(why) = tried.failure() {
            self.try_failed(engine, why, began.elapsed());
        }
        tried
    }

    async fn send_once(&mut self, engine: &EngineId, last_event: Option<u64>) -> Tried {
        let node = Rc::clone(&self.node);
        let Some(addr) = node.engine(engine, |e| e.listed.addr) else { return Tried::NotSent };
        self.tried.push(engine.clone());
        let tokens = self.prompt().map_or(0, |prompt| prompt.tokens_in);
        let at_engine = AtEngine::begin(&node, engine, &self.call.id, tokens);
        let connected = node.pool.get(addr, node.connect_limits());
        let connected = tokio::select! {
            biased;
            connected = self.bounded(connected) => connected,
            () = self.until_dark(engine) => return Tried::NotSent,
        };
        let mut conn = match connected {
            Waited::Done(Ok(conn)) => conn,
            Waited::Done(Err(_)) => {
                self.lost(engine);
                return Tried::NotSent;
            }
            Waited::Stalled | Waited::StartedAnew | Waited::TimeOver => return Tried::NotSent,
        };
        // Choosing and connecting may have used up the time, and the machine may have been
        // suspended: an engine should not work for a caller that has left.
        if !self.can_be_sent() {
            node.pool.put(addr, conn);
            return Tried::NotSent;
        }
        if self.runs == 0
            && let Err(denied) = self.is_allowed()
        {
            node.pool.put(addr, conn);
            return Tried::Denied(denied);
        }
        let req = self.request(engine, last_event);
        self.may_run(true);
        let sent = async {
            conn.begin(&req).await?;
            self.answer_to(&mut conn, &req).await
        };
        let waited = self.watched(&at_engine, sent).await;
        match waited {
            Waited::Done(Ok((head, marks))) => {
                node.heard(engine);
                self.take_in(engine, conn, head, marks, at_engine).await
            }
            Waited::Done(Err(e)) => {
                let verdict = match e {
                    Error::Connect { .. } => Verdict::Silent,
                    Error::Io(_) | Error::Ended | Error::Malformed { .. } => Verdict::Failed,
                };
                at_engine.saw(verdict);
                node.broke(engine);
                self.runs += 1;
                Tried::Lost
            }
            Waited::StartedAnew => {
                self.runs += 1;
                Tried::Lost
            }
            Waited::Stalled => {
                self.lost(engine);
                self.runs += 1;
                Tried::Stalled
            }
            Waited::TimeOver => {
                at_engine.saw(Verdict::Failed);
                self.runs += 1;
                Tried::TimeOver
            }
        }
    }

    /// Records that an engine is unreachable or unresponsive, and reports it to the other nodes.
    pub(super) fn lost(&self, engine: &EngineId) {
        self.node.saw(engine, Verdict::Silent);
        self.node.broke(engine);
        if let Some(key) = self.node.engine(engine, Engine::key) {
            peers::lost(&self.node, key);
        }
    }

    /// Returns once another node reports that the engine is unreachable.
    async fn until_dark(&self, engine: &EngineId) {
        loop {
            let told = self.node.dark.notified();
            if self.node.is_dark(engine) {
                return;
            }
            told.await;
        }
    }

    /// Reads the response head for this request. Late responses to earlier requests on the
    /// connection are drained and dropped.
    async fn answer_to(&self, conn: &mut Conn, req: &Request) -> Result<(Head, Marks), Error> {
        const MOST_STRAY: u32 = 3;
        for _ in 0..MOST_STRAY {
            let head = conn.head(&req.method).await?;
            let marks = self.node.dialects.upstreams.read(&head);
            match &marks.id {
                Some(id) if *id != self.call.id => {
                    let body = hgw_http1::Body::new(head.framing);
                    conn.collect(body, 1 << 20).await?;
                }
                _ => return Ok((head, marks)),
            }
        }
        Err(Error::Malformed { what: "too many responses to other requests on the connection" })
    }

    async fn take_in(
        &mut self,
        engine: &EngineId,
        mut conn: Conn,
        head: Head,
        marks: Marks,
        mut at_engine: AtEngine,
    ) -> Tried {
        if let Some(load) = marks.load {
            at_engine.tells(load);
        }
        if marks.not_run || marks.misdirected {
            self.rejected += 1;
            self.may_run(false);
            if marks.misdirected {
                self.correct(engine, &marks);
            } else {
                at_engine.saw(Verdict::Full);
            }
            let body = hgw_http1::Body::new(head.framing);
            if let Waited::Done(Ok(_)) = self.bounded(conn.collect(body, 64 << 10)).await {
                at_engine.keep(conn);
            }
            return Tried::NotRun;
        }
        self.runs += 1;
        // Without an id the response may belong to another request; a success without a signature
        // does not come from the engine.
        let ours = marks.id.is_some();
        let success = (200..300).contains(&head.status);
        if !ours || (success && !marks.sealed) {
            at_engine.saw(Verdict::Failed);
            return Tried::Lost;
        }
        at_engine.answers(marks.load);
        let engine = engine.clone();
        Tried::Begun(Box::new(Begun { engine, conn, head, at_engine }))
    }

    /// Corrects the engine list: removes the engine if another one answered at its address, or else
    /// the model that it does not have.
    fn correct(&mut self, engine: &EngineId, marks: &Marks) {
        let refuted = engine.clone();
        let wanted = self.wanted().cloned();
        let mut state = self.node.state.borrow_mut();
        if marks.engine.as_ref().is_some_and(|answered| answered != engine) {
            let at = state.engines.get(engine).map(|e| e.listed.at).unwrap_or_default();
            state.engines.unlist(engine, at);
            return;
        }
        let (Some(wanted), Some(engine)) = (&wanted, state.engines.get_mut(engine)) else {
            return;
        };
        engine.drop_held(wanted);
        drop(state);
        self.refuted = Some(refuted);
    }

    fn request(&self, engine: &EngineId, last_event: Option<u64>) -> Request {
        let sending = Sending {
            engine,
            left: self.left(),
            priority: self.route.priority,
            last_event: last_event.or(self.call.last_event),
            sender: self.identity.sent_by(),
        };
        let target = self.head.uri.path_and_query().map_or("/", |t| t.as_str());
        Request {
            method: self.head.method.clone(),
            target: target.to_owned(),
            headers: self.node.dialects.upstreams.headers(&self.head, &sending),
            body: self.body.clone(),
        }
    }

    /// Waits until the request's deadline at the latest.
    pub(super) async fn bounded<F: Future>(&self, work: F) -> Waited<F::Output> {
        match tokio::time::timeout_at(self.end, work).await {
            Ok(done) => Waited::Done(done),
            Err(_) => Waited::TimeOver,
        }
    }

    /// Waits for the first byte. Gives up early on an unresponsive engine if the request may be sent to
    /// another one.
    async fn watched<F: Future>(&self, at_engine: &AtEngine, work: F) -> Waited<F::Output> {
        if !self.route.kind.may_repeat() || self.runs + 1 >= self.route.attempts {
            return self.at(at_engine, work).await;
        }
        let hung = (self.route.objective * HUNG_OBJECTIVES).clamp(HUNG_LEAST, HUNG_MOST);
        let work = std::pin::pin!(work);
        self.unless_silent(at_engine, hung, work).await
    }

    /// Waits for an engine until the request's deadline or until the engine restarts.
    pub(super) async fn at<F: Future>(&self, at_engine: &AtEngine, work: F) -> Waited<F::Output> {
        let mut work = std::pin::pin!(work);
        loop {
            let started_anew = self.node.started_anew.notified();
            if at_engine.has_ended() {
                return Waited::StartedAnew;
            }
            tokio::select! {
                biased;
                done = &mut work => return Waited::Done(done),
                () = started_anew => {}
                () = sleep_until(self.end) => return Waited::TimeOver,
            }
        }
    }

    /// Waits until the engine has been silent on all connections for a while, or this response for
    /// `hung`, and the retry budget allows another attempt. If it allows none, keeps waiting:
    /// silence alone does not end a response.
    pub(super) async fn unless_silent<F: Future>(
        &self,
        at_engine: &AtEngine,
        hung: Duration,
        mut work: std::pin::Pin<&mut F>,
    ) -> Waited<F::Output> {
        let (began, engine) = (Instant::now(), at_engine.engine());
        let few = self.node.engine(engine, |e| e.own).unwrap_or(0) < FEW;
        let usual = if few { DARK_AFTER_FEW } else { DARK_AFTER };
        loop {
            let dark_after = if self.node.is_dark(engine) { DARK_AFTER_WORD } else { usual };
            let silent = self.node.silent_for(engine).min(began.elapsed());
            let look = (Instant::now() + dark_after.saturating_sub(silent)).min(began + hung);
            let told = self.node.dark.notified();
            let started_anew = self.node.started_anew.notified();
            if at_engine.has_ended() {
                return Waited::StartedAnew;
            }
            tokio::select! {
                biased;
                done = &mut work => return Waited::Done(done),
                () = started_anew => continue,
                () = told => continue,
                () = sleep_until(look.min(self.end)) => {}
            }
            let now = Instant::now();
            if now >= self.end {
                return Waited::TimeOver;
            }
            let silent = self.node.silent_for(engine).min(now - began);
            if silent >= dark_after || now - began >= hung {
                // Leave this engine only if another one can take the request.
                if self.choose_now().is_ok() && self.may_go_on() {
                    return Waited::Stalled;
                }
                return self.at(at_engine, work).await;
            }
        }
    }
}
