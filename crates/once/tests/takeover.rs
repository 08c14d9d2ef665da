//! Whole sessions of two nodes with one shard, compared with the transcripts kept beside them.

#[path = "../../claim/tests/common/mod.rs"]
mod common;

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use common::{Delivery, Log, TestNode};
use hgw_claim as claim;
use hgw_once::{Action, Call, Event, Reply, RunOutcome, Settings, Shard};
use hgw_types::{AttemptId, Time};

struct Session {
    now: Time,
    log: Log,
    nodes: Vec<(TestNode, Shard)>,
    transcript: String,
}

impl Session {
    /// Node a owns the shard, and both nodes have read so.
    fn new() -> Session {
        let cfg = claim::Settings { jitter: Duration::ZERO, ..claim::Settings::default() };
        let node = |name, boot| {
            (TestNode::new(cfg.clone(), name, boot), Shard::new(Settings::default(), boot))
        };
        let nodes = vec![node("a", 0xa), node("b", 0xb)];
        let mut s =
            Session { now: Time::ZERO, log: Log::default(), nodes, transcript: String::new() };
        s.read(0);
        s.claim(0);
        s.read(1);
        s
    }

    fn note(&mut self, text: &str) {
        writeln!(self.transcript, "# {text}").unwrap();
    }

    fn show(&mut self, node: usize, text: &str) {
        let name = &self.nodes[node].0.node;
        writeln!(self.transcript, "{} {name} {text}", self.now).unwrap();
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    /// The node finds the holder dead and takes the scope.
    fn claim(&mut self, node: usize) {
        let event = claim::Event::Membership { preferred: true, leader_alive: false };
        self.tell_claim(node, event, Delivery::Stored);
        self.pass(300);
        self.tick(node, Delivery::Stored);
        self.read(node);
        self.pass(5);
    }

    fn call(&mut self, node: usize, attempt: u64, key: &str, delivery: Delivery) {
        let call = Call {
            attempt: AttemptId { boot: 1, seq: attempt },
            service: "app".parse().unwrap(),
            key: key.parse().unwrap(),
            fingerprint: 7,
            deadline: self.now + Duration::from_secs(2),
        };
        self.show(node, &format!("< call {attempt} with key {key}"));
        self.tell(node, Event::Call(call), delivery);
    }

    fn end(&mut self, node: usize, attempt: u64, outcome: RunOutcome) {
        self.pass(5);
        self.show(node, &format!("< call {attempt} ended: {outcome:?}"));
        let attempt = AttemptId { boot: 1, seq: attempt };
        self.tell(node, Event::Ended { attempt, outcome }, Delivery::Stored);
    }

    fn tick(&mut self, node: usize, delivery: Delivery) {
        self.tell_claim(node, claim::Event::Tick, delivery);
        self.tell(node, Event::Tick, delivery);
    }

    fn read(&mut self, node: usize) {
        let mut out = Vec::new();
        self.nodes[node].0.read(&self.log, self.now, 100, &mut out);
        self.carry_out_claim(node, out, Delivery::Stored);
    }

    fn tell_claim(&mut self, node: usize, event: claim::Event, delivery: Delivery) {
        let mut out = Vec::new();
        self.nodes[node].0.claim.handle(self.now, event, &mut out);
        self.carry_out_claim(node, out, delivery);
    }

    fn tell(&mut self, node: usize, event: Event, delivery: Delivery) {
        let mut out = Vec::new();
        self.nodes[node].1.handle(self.now, event, &mut out);
        self.carry_out(node, out, delivery);
    }

    fn carry_out_claim(&mut self, node: usize, actions: Vec<claim::Action>, delivery: Delivery) {
        for action in actions {
            let event = match action {
                claim::Action::Append { id, data } => {
                    self.show(node, &format!("> append: {delivery:?}"));
                    let outcome = self.log.append(data, delivery);
                    if delivery != Delivery::Delayed {
                        self.tell_claim(node, claim::Event::Appended { id, outcome }, delivery);
                    }
                    continue;
                }
                claim::Action::LeaseAcquired(term) => Event::Gained(term),
                claim::Action::LeaseLost(_) => Event::Lost,
                claim::Action::Apply { offset, term, id, data } => {
                    Event::Apply { offset, term, id, data }
                }
                claim::Action::Restore { data, .. } => Event::Restore(data),
                claim::Action::Dropped { id } => Event::Dropped(id),
                claim::Action::SnapshotDue => Event::SnapshotDue,
                claim::Action::LeaderChanged(_) | claim::Action::NoSnapshot => continue,
            };
            match &event {
                Event::Gained(term) => self.show(node, &format!("gained, term {term}")),
                Event::Lost => self.show(node, "lost"),
                Event::Apply { offset, id, .. } => {
                    self.show(node, &format!("read {id} at {offset}"))
                }
                Event::Dropped(id) => self.show(node, &format!("dropped {id}")),
                _ => {}
            }
            self.tell(node, event, delivery);
        }
    }

    fn carry_out(&mut self, node: usize, actions: Vec<Action>, delivery: Delivery) {
        for action in actions {
            let mut out = Vec::new();
            let now = self.now;
            match action {
                Action::Propose { id, data } => {
                    self.show(node, &format!("propose {id}"));
                    self.nodes[node].0.claim.propose(now, id, data, &mut out);
                }
                Action::Snapshot(data) => self.nodes[node].0.claim.snapshot(now, data, &mut out),
                Action::Dispatch(attempt) => {
                    self.show(node, &format!("> dispatch call {}", attempt.seq));
                }
                Action::Reply { attempt, reply } => {
                    self.show(node, &format!("> reply to call {}: {reply:?}", attempt.seq));
                }
            }
            self.carry_out_claim(node, out, delivery);
        }
    }
}

fn ran() -> RunOutcome {
    RunOutcome::Ran(Bytes::from_static(b"voucher 1"))
}

/// A caller sends a voucher print and, impatient, sends it again; later it asks once more. The
/// voucher is printed once, and all three get the same answer.
#[test]
fn repeats_share_one_run() {
    let mut s = Session::new();
    s.call(0, 1, "k", Delivery::Stored);
    s.call(0, 2, "k", Delivery::Stored);
    s.read(0);
    s.end(0, 1, ran());
    s.read(0);
    s.call(0, 3, "k", Delivery::Stored);
    insta::assert_snapshot!(s.transcript);
}

/// The owner dispatches a call and dies before its answer. The repeat reaches the successor, which
/// has read the `Begin` and cannot know how far the call came: it is told so, and nothing runs. A
/// call that had ended is answered as recorded.
#[test]
fn owner_dies_after_dispatch() {
    let mut s = Session::new();
    s.call(0, 1, "ended", Delivery::Stored);
    s.read(0);
    s.end(0, 1, ran());
    s.read(0);
    s.pass(5);
    s.call(0, 2, "open", Delivery::Stored);
    s.read(0);
    s.note("a dies");
    s.read(1);
    s.claim(1);
    s.call(1, 3, "open", Delivery::Stored);
    s.call(1, 4, "ended", Delivery::Stored);
    insta::assert_snapshot!(s.transcript);
}

/// The owner is paused with a `Begin` on its way. The successor claims and is given the same key,
/// which is free: it runs there. Then the `Begin` lands, void, and the old owner thaws: it does not
/// dispatch, and sends its caller on to the new owner.
#[test]
fn owner_is_paused_before_its_begin_lands() {
    let mut s = Session::new();
    s.call(0, 1, "k", Delivery::Delayed);
    s.note("a is paused");
    s.read(1);
    s.claim(1);
    s.call(1, 2, "k", Delivery::Stored);
    s.read(1);
    s.note("the Begin of a lands");
    s.log.deliver_delayed(0);
    s.end(1, 2, ran());
    s.read(1);
    s.note("a thaws");
    s.read(0);
    s.tick(0, Delivery::Stored);
    insta::assert_snapshot!(s.transcript);
}

/// The log is down without an answer. The caller is told within half a second that its call did not
/// run, later callers at once; when the log is back the `Begin` turns out to stand, is not
/// dispatched, and its key is freed.
#[test]
fn log_is_down() {
    let mut s = Session::new();
    s.call(0, 1, "k", Delivery::ResponseLost);
    s.pass(500);
    s.tick(0, Delivery::Stored);
    s.call(0, 2, "k2", Delivery::Stored);
    s.note("the log is back");
    s.read(0);
    s.pass(5);
    s.tick(0, Delivery::Stored);
    s.read(0);
    s.pass(5);
    s.call(0, 3, "k", Delivery::Stored);
    s.read(0);
    insta::assert_snapshot!(s.transcript);
}

/// The same key with another body is refused, before, during and after the run.
#[test]
fn key_is_reused() {
    let mut s = Session::new();
    s.call(0, 1, "k", Delivery::Stored);
    for attempt in 2..4 {
        let call = Call {
            attempt: AttemptId { boot: 1, seq: attempt },
            service: "app".parse().unwrap(),
            key: "k".parse().unwrap(),
            fingerprint: 8,
            deadline: s.now + Duration::from_secs(2),
        };
        s.tell(0, Event::Call(call), Delivery::Stored);
        s.read(0);
    }
    assert!(s.transcript.contains(&format!("reply to call 2: {:?}", Reply::KeyReused)));
    assert!(s.transcript.contains(&format!("reply to call 3: {:?}", Reply::KeyReused)));
}
