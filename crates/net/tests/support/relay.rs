//! A state machine that sends every request to one upstream, here or by way of a peer.

use std::sync::mpsc;
use std::time::Duration;

use hgw_net::{Running, Settings};
use hgw_node::{
    Action, Answer, CallerRequest, CallerWork, Event, Failure, FailureCode, Machine, Ran, Sink,
    StreamId,
};
use hgw_types::{AttemptId, NodeId, Time};
use hgw_wire::peer::{Message, ModelWork, Outcome, Submit, Work};
use indexmap::IndexMap;

/// What the machine does with events that it does not know, or differently from its own way.
pub(crate) type Hook = Box<dyn FnMut(&Event, &mut Vec<Action>) -> bool + Send>;

/// The machine.
pub(crate) struct Relay {
    /// `IP:PORT` of the upstream.
    pub(crate) upstream: String,
    /// The peer that has the upstream.
    pub(crate) via: Option<NodeId>,
    pub(crate) silence: Duration,
    /// Looks at each event first; true where it has dealt with it.
    pub(crate) hook: Hook,
    /// Copies of all events but ticks.
    pub(crate) seen: mpsc::Sender<Event>,
    next: u64,
    callers: IndexMap<AttemptId, StreamId>,
    remote: IndexMap<AttemptId, NodeId>,
}

impl Relay {
    pub(crate) fn new(upstream: &str) -> (Relay, mpsc::Receiver<Event>) {
        let (seen, rx) = mpsc::channel();
        let relay = Relay {
            upstream: upstream.into(),
            via: None,
            silence: Duration::from_secs(10),
            hook: Box::new(|_, _| false),
            seen,
            next: 0,
            callers: IndexMap::new(),
            remote: IndexMap::new(),
        };
        (relay, rx)
    }

    fn request(&mut self, stream: StreamId, request: CallerRequest, out: &mut Vec<Action>) {
        self.next += 1;
        let attempt = AttemptId { boot: 7, seq: self.next };
        self.callers.insert(attempt, stream);
        out.push(Action::Attach { stream, attempt });
        let work = work(request.work);
        let Some(to) = self.via.clone() else {
            return out.push(self.start(attempt, work, Sink::Caller));
        };
        let submit = Submit {
            attempt,
            request: request.id,
            upstream: "u".parse().unwrap(),
            service: "s".parse().unwrap(),
            urgency: hgw_config::Urgency::Urgent,
            left_us: 1_000_000,
            may_bounce: false,
            collect: false,
            work,
        };
        out.push(Action::Send { to, message: Box::new(Message::Submit(submit)) });
    }

    pub(crate) fn start(&self, attempt: AttemptId, work: Work, sink: Sink) -> Action {
        Action::Start {
            attempt,
            upstream: "u".parse().unwrap(),
            addr: self.upstream.clone(),
            work,
            priority: 0,
            silence: self.silence,
            sink,
        }
    }

    fn ended(&mut self, attempt: AttemptId, outcome: Outcome, out: &mut Vec<Action>) {
        if let Some(to) = self.remote.swap_remove(&attempt) {
            let message = Message::Ended { attempt, outcome, answer: None, delay_us: 0 };
            return out.push(Action::Send { to, message: Box::new(message) });
        }
        let Some(stream) = self.callers.swap_remove(&attempt) else { return };
        out.push(Action::Answer { stream, answer: answer(outcome) });
    }
}

fn work(work: CallerWork) -> Work {
    match work {
        CallerWork::Chat { model, adapter, prompt, max_tokens } => Work::Model(ModelWork {
            model,
            version: "1".parse().unwrap(),
            adapter,
            prompt,
            max_tokens,
            resume: Vec::new(),
        }),
        CallerWork::Plain { work, .. } => Work::Plain(work),
        CallerWork::Models => unreachable!("answered by the hook"),
    }
}

fn answer(outcome: Outcome) -> Answer {
    let (ran, message) = match outcome {
        Outcome::Whole(_) => return Answer::Whole,
        Outcome::NotRun(message) => (Ran::NotRun, message),
        Outcome::Broken(message) => (Ran::MayHaveRun, message),
        Outcome::Preempted => (Ran::MayHaveRun, "preempted".into()),
    };
    let retry_after = Some(Duration::from_millis(1500));
    Answer::Failed(Failure { code: FailureCode::UpstreamFailed, ran, retry_after, message })
}

impl Machine for Relay {
    fn handle(&mut self, _now: Time, event: Event, out: &mut Vec<Action>) {
        if matches!(event, Event::Tick) {
            (self.hook)(&event, out);
            return;
        }
        // Nobody listens any more where a test has what it wanted.
        let _ = self.seen.send(event.clone());
        if (self.hook)(&event, out) {
            return;
        }
        match event {
            Event::CallerRequest { stream, request } => self.request(stream, *request, out),
            Event::CallerGone { stream } => {
                let gone = self.callers.iter().find(|(_, s)| **s == stream);
                out.extend(gone.map(|(attempt, _)| Action::Cancel { attempt: *attempt }));
            }
            Event::Ended(ended) => self.ended(ended.attempt, ended.outcome, out),
            Event::Message { from, message } => match *message {
                Message::Submit(submit) => {
                    self.remote.insert(submit.attempt, from.clone());
                    out.push(self.start(submit.attempt, submit.work, Sink::Peer(from)));
                }
                Message::Ended { attempt, outcome, .. } => self.ended(attempt, outcome, out),
                _ => {}
            },
            Event::Stop => out.push(Action::Exit),
            _ => {}
        }
    }
}

/// Starts a node with this machine.
pub(crate) fn start(settings: Settings, machine: Relay) -> Running {
    hgw_net::start(settings, Box::new(machine)).expect("the node starts")
}

/// Settings of a node with this name.
pub(crate) fn settings(node: &str) -> Settings {
    Settings {
        node: node.parse().unwrap(),
        secret: "a shared secret".into(),
        ..Settings::default()
    }
}
