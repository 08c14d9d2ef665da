//! Transcripts of two nodes on one scope, compared with snapshots.

mod common;

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use common::{Delivery, Log, TestNode, id};
use hgw_claim::{Action, AppendOutcome, Event, Settings};
use hgw_types::{RecordId, Time};

struct Session {
    now: Time,
    log: Log,
    nodes: Vec<TestNode>,
    transcript: String,
}

impl Session {
    fn new() -> Session {
        let cfg = Settings { jitter: Duration::ZERO, ..Settings::default() };
        let nodes = vec![TestNode::new(cfg.clone(), "a", 0xa), TestNode::new(cfg, "b", 0xb)];
        Session { now: Time::ZERO, log: Log::default(), nodes, transcript: String::new() }
    }

    fn note(&mut self, text: &str) {
        writeln!(self.transcript, "# {text}").unwrap();
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    fn handle(&mut self, node: usize, event: Event, delivery: Delivery) {
        let mut out = Vec::new();
        self.nodes[node].claim.handle(self.now, event, &mut out);
        self.execute(node, out, delivery);
    }

    fn tick(&mut self, node: usize, delivery: Delivery) {
        self.handle(node, Event::Tick, delivery);
    }

    fn report_membership(&mut self, node: usize, preferred: bool, leader_alive: bool) {
        self.handle(node, Event::Membership { preferred, leader_alive }, Delivery::Stored);
    }

    fn read(&mut self, node: usize) {
        let mut out = Vec::new();
        self.nodes[node].read(&self.log, self.now, 100, &mut out);
        self.execute(node, out, Delivery::Stored);
    }

    fn propose(&mut self, node: usize, id: RecordId, delivery: Delivery) {
        let mut out = Vec::new();
        let data = Bytes::from_static(b"entry");
        self.nodes[node].claim.propose(self.now, id, data, &mut out);
        self.execute(node, out, delivery);
    }

    fn execute(&mut self, node: usize, actions: Vec<Action>, delivery: Delivery) {
        for action in actions {
            let name = &self.nodes[node].node;
            let now = self.now;
            let shown = match &action {
                Action::Append { id, data } => {
                    format!("Append {id}, {} bytes: {delivery:?}", data.len())
                }
                Action::Dropped { id } => format!("Dropped {id}"),
                Action::Apply { offset, term, id, .. } => {
                    format!("Apply {id} of term {term} at {offset}")
                }
                other => format!("{other:?}"),
            };
            writeln!(self.transcript, "{now} {name} {shown}").unwrap();
            let mut more = Vec::new();
            match action {
                Action::Append { id, data } => {
                    let outcome = self.log.append(data, delivery);
                    if outcome != AppendOutcome::Unknown || delivery != Delivery::Delayed {
                        let event = Event::Appended { id, outcome };
                        self.nodes[node].claim.handle(now, event, &mut more);
                    }
                }
                Action::SnapshotDue => {
                    let data = Bytes::from_static(b"state");
                    self.nodes[node].claim.snapshot(now, data, &mut more);
                }
                _ => {}
            }
            self.execute(node, more, delivery);
        }
    }

    /// Node 0 acquires the lease, and both nodes read its claim.
    fn elect_first(&mut self) {
        self.note("a is preferred and claims after its delay");
        self.read(0);
        self.read(1);
        self.report_membership(0, true, false);
        self.report_membership(1, false, false);
        self.advance(300);
        self.tick(0, Delivery::Stored);
        self.read(0);
        self.read(1);
        self.advance(5);
        self.tick(0, Delivery::Stored);
        self.read(0);
        self.read(1);
        self.report_membership(1, false, true);
        self.advance(5);
    }
}

/// A paused leader's append that arrives after another node's claim must be void, and the leader
/// must learn on resuming that it lost the lease.
#[test]
fn paused_holder_is_superseded() {
    let mut s = Session::new();
    s.elect_first();
    s.note("a proposes; the append is delayed, and a is paused");
    s.propose(0, id(1, 1), Delivery::Delayed);
    s.note("b finds a dead and claims");
    s.report_membership(1, true, false);
    s.advance(300);
    s.tick(1, Delivery::Stored);
    s.read(1);
    s.note("the append of a is stored");
    s.log.deliver_delayed(0);
    s.read(1);
    s.advance(5);
    s.propose(1, id(2, 1), Delivery::Stored);
    s.advance(5);
    s.tick(1, Delivery::Stored);
    s.read(1);
    s.note("a resumes");
    s.read(0);
    s.propose(0, id(1, 2), Delivery::Stored);
    insta::assert_snapshot!(s.transcript);
}

/// If the response to a stored append is lost, the leader must find the record by reading and not
/// send it again.
#[test]
fn lost_answer_is_looked_up() {
    let mut s = Session::new();
    s.elect_first();
    s.propose(0, id(1, 1), Delivery::ResponseLost);
    s.advance(100);
    s.tick(0, Delivery::Stored);
    s.read(0);
    s.read(1);
    insta::assert_snapshot!(s.transcript);
}

/// A retried append whose first copy arrives late must count once.
#[test]
fn repeated_append_counts_once() {
    let mut s = Session::new();
    s.elect_first();
    s.propose(0, id(1, 1), Delivery::Delayed);
    s.note("no response for 5 s, then two reads without the record");
    s.advance(5000);
    s.tick(0, Delivery::Stored);
    s.read(0);
    s.read(0);
    s.advance(100);
    s.tick(0, Delivery::Stored);
    s.note("the first copy is stored after the second one");
    s.log.deliver_delayed(0);
    s.read(0);
    s.read(1);
    insta::assert_snapshot!(s.transcript);
}

/// While the log is down, proposals must be dropped in time and the leader must keep its term, as
/// nobody else can claim.
#[test]
fn log_down_drops_proposals_and_keeps_the_term() {
    let mut s = Session::new();
    s.elect_first();
    s.propose(0, id(1, 1), Delivery::Rejected);
    s.propose(0, id(1, 2), Delivery::RecordLost);
    s.advance(5);
    s.tick(0, Delivery::RecordLost);
    s.handle(0, Event::ReadFailed, Delivery::RecordLost);
    s.propose(0, id(1, 3), Delivery::RecordLost);
    s.advance(500);
    s.tick(0, Delivery::RecordLost);
    s.note(&format!("term: {:?}", s.nodes[0].claim.leader_term()));
    s.note("the log is available again: the append with an unknown outcome is retried first");
    s.read(0);
    s.read(0);
    s.tick(0, Delivery::Stored);
    s.read(0);
    insta::assert_snapshot!(s.transcript);
}

/// A released lease must be claimed at once.
#[test]
fn released_scope_is_claimed_at_once() {
    let mut s = Session::new();
    s.elect_first();
    s.report_membership(1, true, true);
    let mut out = Vec::new();
    s.nodes[0].claim.release(s.now, &mut out);
    s.execute(0, out, Delivery::Stored);
    s.read(0);
    s.read(1);
    s.advance(1);
    s.tick(1, Delivery::Stored);
    s.read(1);
    insta::assert_snapshot!(s.transcript);
}

/// A delayed claim must be void if another node has claimed meanwhile.
#[test]
fn late_claim_takes_nothing() {
    let mut s = Session::new();
    s.read(0);
    s.report_membership(0, true, false);
    s.advance(300);
    s.tick(0, Delivery::Delayed);
    s.note("b claims");
    s.read(1);
    s.report_membership(1, true, false);
    s.advance(300);
    s.tick(1, Delivery::Stored);
    s.read(1);
    s.note("the claim of a is stored");
    s.log.deliver_delayed(0);
    s.read(1);
    s.advance(5);
    s.propose(1, id(2, 1), Delivery::Stored);
    s.read(1);
    insta::assert_snapshot!(s.transcript);
}
