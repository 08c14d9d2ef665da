use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{AttemptOutcome, Engine, EngineId};
use hgw_http1::{Conn, Error, Head, Request};
use tokio::time::{Instant, sleep_until};

use crate::at_engine::AtEngine;
use crate::dialect::{Marks, Sending};
use crate::peers;

use super::identify::Denied;
use super::request::Relayed;

/// Silence of an engine on all connections, while a request waits there, after which it counts as dark. A full
/// engine that reads several long prompts is silent for up to 350 ms; callers leave a silent stream after
/// two seconds.
const DARK_AFTER: Duration = Duration::from_millis(600);

/// The same where few requests of this node are there: their own pauses say little of the engine.
const DARK_AFTER_FEW: Duration = Duration::from_millis(900);

/// The same where another node cannot reach the engine: a silent engine that is well is heard by some node.
const DARK_AFTER_WORD: Duration = Duration::from_millis(250);

/// Requests of this node at an engine from which their common silence says much.
const FEW: u32 = 3;

/// Longest wait for a first byte at an engine that is heard on other connections, in objectives of the
/// route: a request may hang alone.
const HUNG_OBJECTIVES: u32 = 4;

/// Bounds of that wait: below the least a full engine is taken for a hung one, above the most a caller
/// has given up.
const HUNG_LEAST: Duration = Duration::from_millis(450);
const HUNG_MOST: Duration = Duration::from_millis(1_300);

/// An answer that has begun.
pub(super) struct Begun {
    pub(super) engine: EngineId,
    pub(super) conn: Conn,
    pub(super) head: Head,
    pub(super) at_engine: AtEngine,
}

/// What became of one try.
pub(super) enum Tried {
    /// The answer has begun.
    Begun(Box<Begun>),
    /// No byte was sent.
    NotSent,
    /// The engine says that it has not run.
    NotRun,
    /// It may have run.
    Lost,
    /// The engine went silent and the request was taken from it; the next try is paid for.
    Stalled,
    /// Its time is over; it may have run.
    TimeOver,
    /// No byte was sent: it may not run any more.
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

/// Why waiting has ended.
pub(super) enum Waited<T> {
    Done(T),
    /// Another try is paid for.
    Stalled,
    /// The engine has started anew: what it ran before has ended.
    StartedAnew,
    TimeOver,
}

impl Relayed {
    /// Sends the request to an engine, once.
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
        let Some(addr) = node.engine(engine, |e| e.info.addr) else { return Tried::NotSent };
        self.tried.push(engine.clone());
        let tokens = self.prompt().map_or(0, |prompt| prompt.prompt_tokens);
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
        // A choice and a connection may have taken all the time that there was, and the machine may have stood still
        // meanwhile: the caller has left, and the engine would not know.
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
                    Error::Connect { .. } => AttemptOutcome::Unreachable,
                    Error::Io(_) | Error::Ended | Error::Malformed { .. } => AttemptOutcome::Failed,
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
                at_engine.saw(AttemptOutcome::Failed);
                self.runs += 1;
                Tried::TimeOver
            }
        }
    }

    /// An engine could not be reached, or was silent.
    pub(super) fn lost(&self, engine: &EngineId) {
        self.node.saw(engine, AttemptOutcome::Unreachable);
        self.node.broke(engine);
        if let Some(key) = self.node.engine(engine, Engine::key) {
            peers::lost(&self.node, key);
        }
    }

    /// Ends when another node says that an engine cannot be reached.
    async fn until_dark(&self, engine: &EngineId) {
        loop {
            let told = self.node.dark.notified();
            if self.node.is_dark(engine) {
                return;
            }
            told.await;
        }
    }

    /// The head of the answer to this request: one that comes late to an earlier request on the
    /// connection is read to its end and dropped.
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
        Err(Error::Malformed { what: "answers to other requests" })
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
                at_engine.saw(AttemptOutcome::Rejected);
            }
            let body = hgw_http1::Body::new(head.framing);
            if let Waited::Done(Ok(_)) = self.bounded(conn.collect(body, 64 << 10)).await {
                at_engine.keep(conn);
            }
            return Tried::NotRun;
        }
        self.runs += 1;
        // Without its id it may belong to another request; a success without a signature is not the
        // engine's.
        let ours = marks.id.is_some();
        let success = (200..300).contains(&head.status);
        if !ours || (success && !marks.sealed) {
            at_engine.saw(AttemptOutcome::Failed);
            return Tried::Lost;
        }
        at_engine.answers(marks.load);
        let engine = engine.clone();
        Tried::Begun(Box::new(Begun { engine, conn, head, at_engine }))
    }

    /// The engine that answers is another one, or has not the model that it was said to have.
    fn correct(&mut self, engine: &EngineId, marks: &Marks) {
        let refuted = engine.clone();
        let wanted = self.wanted().cloned();
        let mut state = self.node.state.borrow_mut();
        if marks.engine.as_ref().is_some_and(|answered| answered != engine) {
            let at = state.engines.get(engine).map(|e| e.info.position).unwrap_or_default();
            state.engines.remove(engine, at);
            return;
        }
        let (Some(wanted), Some(engine)) = (&wanted, state.engines.get_mut(engine)) else {
            return;
        };
        engine.remove_loaded(wanted);
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

    /// Waits no longer than the request's time.
    pub(super) async fn bounded<F: Future>(&self, work: F) -> Waited<F::Output> {
        match tokio::time::timeout_at(self.end, work).await {
            Ok(done) => Waited::Done(done),
            Err(_) => Waited::TimeOver,
        }
    }

    /// Waits for a first byte, and gives up early on an engine that is silent, where the request may be
    /// sent to another.
    async fn watched<F: Future>(&self, at_engine: &AtEngine, work: F) -> Waited<F::Output> {
        if !self.route.kind.may_repeat() || self.runs + 1 >= self.route.max_attempts {
            return self.at(at_engine, work).await;
        }
        let hung = (self.route.first_byte_objective * HUNG_OBJECTIVES).clamp(HUNG_LEAST, HUNG_MOST);
        let work = std::pin::pin!(work);
        self.unless_silent(at_engine, hung, work).await
    }

    /// The same for what an engine does, which ends where it starts anew.
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

    /// Waits until the engine has been silent on all connections for a while, or this answer for `hung`, and
    /// another try can be paid for. Where none can, silence is no reason to end an answer.
    pub(super) async fn unless_silent<F: Future>(
        &self,
        at_engine: &AtEngine,
        hung: Duration,
        mut work: std::pin::Pin<&mut F>,
    ) -> Waited<F::Output> {
        let (began, engine) = (Instant::now(), at_engine.engine());
        let few = self.node.engine(engine, |e| e.own_requests).unwrap_or(0) < FEW;
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
                // Only where another engine can take it is it taken from this one.
                if self.choose_now().is_ok() && self.may_go_on() {
                    return Waited::Stalled;
                }
                return self.at(at_engine, work).await;
            }
        }
    }
}
