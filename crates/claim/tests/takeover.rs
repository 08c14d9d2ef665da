//! Transcripts of two nodes on one scope, compared with snapshots.

mod common;

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use common::{Fate, Log, Reader, id};
use hgw_claim::{Action, AppendOutcome, Event, Settings};
use hgw_types::{RecordId, Time};

struct Session {
    now: Time,
    log: Log,
    nodes: Vec<Reader>,
    transcript: String,
}

impl Session {
    fn new() -> Session {
        let cfg = Settings { jitter: Duration::ZERO, ..Settings::default() };
        let nodes = vec![Reader::new(cfg.clone(), "a", 0xa), Reader::new(cfg, "b", 0xb)];
        Session { now: Time::ZERO, log: Log::default(), nodes, transcript: String::new() }
    }

    fn note(&mut self, text: &str) {
        writeln!(self.transcript, "# {text}").unwrap();
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    fn tell(&mut self, node: usize, event: Event, fate: Fate) {
        let mut out = Vec::new();
        self.nodes[node].claim.handle(self.now, event, &mut out);
        self.carry_out(node, out, fate);
    }

    fn tick(&mut self, node: usize, fate: Fate) {
        self.tell(node, Event::Tick, fate);
    }

    fn stand(&mut self, node: usize, preferred: bool, holder_alive: bool) {
        self.tell(node, Event::Standing { preferred, holder_alive }, Fate::Stored);
    }

    fn read(&mut self, node: usize) {
        let mut out = Vec::new();
        self.nodes[node].read(&self.log, self.now, 100, &mut out);
        self.carry_out(node, out, Fate::Stored);
    }

    fn propose(&mut self, node: usize, id: RecordId, fate: Fate) {
        let mut out = Vec::new();
        let data = Bytes::from_static(b"entry");
        self.nodes[node].claim.propose(self.now, id, data, &mut out);
        self.carry_out(node, out, fate);
    }

    fn carry_out(&mut self, node: usize, actions: Vec<Action>, fate: Fate) {
        for action in actions {
            let name = &self.nodes[node].node;
            let now = self.now;
            let shown = match &action {
                Action::Append { id, data } => {
                    format!("Append {id}, {} bytes: {fate:?}", data.len())
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
                    let outcome = self.log.append(data, fate);
                    if outcome != AppendOutcome::Unknown || fate != Fate::Late {
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
            self.carry_out(node, more, fate);
        }
    }

    /// Node 0 acquires the lease, and both nodes read its claim.
    fn begin(&mut self) {
        self.note("a comes first and claims after the settle time");
        self.read(0);
        self.read(1);
        self.stand(0, true, false);
        self.stand(1, false, false);
        self.pass(300);
        self.tick(0, Fate::Stored);
        self.read(0);
        self.read(1);
        self.pass(5);
        self.tick(0, Fate::Stored);
        self.read(0);
        self.read(1);
        self.stand(1, false, true);
        self.pass(5);
    }
}

/// A paused leader's append that arrives after another node's claim must be void, and the leader
/// must learn on resuming that it lost the lease.
#[test]
fn paused_holder_is_superseded() {
    let mut s = Session::new();
    s.begin();
    s.note("a proposes; the append hangs, and a is paused");
    s.propose(0, id(1, 1), Fate::Late);
    s.note("b finds a dead and claims");
    s.stand(1, true, false);
    s.pass(300);
    s.tick(1, Fate::Stored);
    s.read(1);
    s.note("the append of a lands");
    s.log.land(0);
    s.read(1);
    s.pass(5);
    s.propose(1, id(2, 1), Fate::Stored);
    s.pass(5);
    s.tick(1, Fate::Stored);
    s.read(1);
    s.note("a thaws");
    s.read(0);
    s.propose(0, id(1, 2), Fate::Stored);
    insta::assert_snapshot!(s.transcript);
}

/// If the response to a stored append is lost, the leader must find the record by reading and not
/// send it again.
#[test]
fn lost_answer_is_looked_up() {
    let mut s = Session::new();
    s.begin();
    s.propose(0, id(1, 1), Fate::AnswerLost);
    s.pass(100);
    s.tick(0, Fate::Stored);
    s.read(0);
    s.read(1);
    insta::assert_snapshot!(s.transcript);
}

/// A retried append whose first copy arrives late must count once.
#[test]
fn repeated_append_counts_once() {
    let mut s = Session::new();
    s.begin();
    s.propose(0, id(1, 1), Fate::Late);
    s.note("no answer for 5 s, then two reads without the record");
    s.pass(5000);
    s.tick(0, Fate::Stored);
    s.read(0);
    s.read(0);
    s.pass(100);
    s.tick(0, Fate::Stored);
    s.note("the first copy lands behind the second one");
    s.log.land(0);
    s.read(0);
    s.read(1);
    insta::assert_snapshot!(s.transcript);
}

/// While the log is down, proposals must be dropped in time and the leader must keep its term, as
/// nobody else can claim.
#[test]
fn log_down_drops_proposals_and_keeps_the_term() {
    let mut s = Session::new();
    s.begin();
    s.propose(0, id(1, 1), Fate::Refused);
    s.propose(0, id(1, 2), Fate::RecordLost);
    s.pass(5);
    s.tick(0, Fate::RecordLost);
    s.tell(0, Event::ReadFailed, Fate::RecordLost);
    s.propose(0, id(1, 3), Fate::RecordLost);
    s.pass(500);
    s.tick(0, Fate::RecordLost);
    s.note(&format!("held: {:?}", s.nodes[0].claim.leader_term()));
    s.note("the log is back: what is in doubt is settled first");
    s.read(0);
    s.read(0);
    s.tick(0, Fate::Stored);
    s.read(0);
    insta::assert_snapshot!(s.transcript);
}

/// A released lease must be claimed at once.
#[test]
fn released_scope_is_claimed_at_once() {
    let mut s = Session::new();
    s.begin();
    s.stand(1, true, true);
    let mut out = Vec::new();
    s.nodes[0].claim.release(s.now, &mut out);
    s.carry_out(0, out, Fate::Stored);
    s.read(0);
    s.read(1);
    s.pass(1);
    s.tick(1, Fate::Stored);
    s.read(1);
    insta::assert_snapshot!(s.transcript);
}

/// A delayed claim must be void if another node has claimed meanwhile.
#[test]
fn late_claim_takes_nothing() {
    let mut s = Session::new();
    s.read(0);
    s.stand(0, true, false);
    s.pass(300);
    s.tick(0, Fate::Late);
    s.note("b claims");
    s.read(1);
    s.stand(1, true, false);
    s.pass(300);
    s.tick(1, Fate::Stored);
    s.read(1);
    s.note("the claim of a lands");
    s.log.land(0);
    s.read(1);
    s.pass(5);
    s.propose(1, id(2, 1), Fate::Stored);
    s.read(1);
    insta::assert_snapshot!(s.transcript);
}
