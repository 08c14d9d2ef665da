use std::time::Duration;

use bytes::Bytes;
use hgw_types::{AttemptId, IdempotencyKey, RecordId, ServiceId, Term, Time};
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::record::{Body, Key, Record, decode, encode};
use crate::run::{Closing, End, Proposal, Run, State};
use crate::table::Table;
use crate::{Action, Call, Event, Reply, RunOutcome, Settings};

/// The shard that a key belongs to, of `shards` in all.
pub fn shard_of(service: &ServiceId, key: &IdempotencyKey, shards: u32) -> u32 {
    // A name holds no NUL, so no two pairs give the same bytes.
    let hash = xxh3_64(format!("{service}\0{key}").as_bytes());
    u32::try_from(hash % u64::from(shards.max(1))).unwrap_or(0)
}

/// One shard of the idempotency keys at one node, which may own it or only follow it.
#[derive(Debug)]
pub struct Shard {
    cfg: Settings,
    boot: u64,
    next_id: u64,
    term: Option<Term>,
    table: Table,
    /// When the last record was applied here.
    applied_at: Time,
    runs: IndexMap<Key, Run>,
}

impl Shard {
    /// Starts without any key. `boot` is a random number of this process, which makes its record ids
    /// unique.
    pub fn new(cfg: Settings, boot: u64) -> Shard {
        Shard {
            cfg,
            boot,
            next_id: 1,
            term: None,
            table: Table::default(),
            applied_at: Time::ZERO,
            runs: IndexMap::new(),
        }
    }

    /// Keys kept.
    pub fn keys(&self) -> usize {
        self.table.len()
    }

    /// Calls taken on that have not come to their end.
    pub fn open_calls(&self) -> usize {
        self.runs.len()
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Call(call) => self.call(now, &call, out),
            Event::Gained(term) => self.term = Some(term),
            Event::Lost => self.lost(out),
            Event::Apply { id, data, .. } => self.apply(now, id, &data, out),
            Event::Restore(data) => self.restore(&data),
            Event::Dropped(id) => self.dropped(now, id, out),
            Event::SnapshotDue => out.push(Action::Snapshot(encode(&self.table.snapshot()))),
            Event::Ended { attempt, outcome } => self.ended(now, attempt, outcome, out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn call(&mut self, now: Time, call: &Call, out: &mut Vec<Action>) {
        let attempt = call.attempt;
        if self.term.is_none() {
            out.push(Action::Reply { attempt, reply: Reply::NotOwner });
            return;
        }
        let key = Key::from(call);
        let reply = match self.runs.get_mut(&key) {
            Some(run) => join(run, call, self.cfg.retry_after),
            None => self.look_up(&key, call),
        };
        match reply {
            Some(reply) => out.push(Action::Reply { attempt, reply }),
            None if self.runs.contains_key(&key) => {}
            None => self.begin(now, key, call, out),
        }
    }

    /// The reply to a call that no run of this node is for; none where it may begin.
    fn look_up(&self, key: &Key, call: &Call) -> Option<Reply> {
        let Some(used) = self.table.get(key) else {
            return self.refuses_new_keys().then_some(self.not_run());
        };
        if used.fingerprint != call.fingerprint {
            return Some(Reply::KeyReused);
        }
        // Begun and not known to have ended: by an owner that was superseded or died. It may have
        // dispatched the call, may do so yet, and nobody can know.
        Some(used.answer.clone().map_or(Reply::MayHaveRun, Reply::Answer))
    }

    /// While a record has been waited for in vain the log is down or slow: new calls are refused at
    /// once instead of each waiting in vain as well.
    fn refuses_new_keys(&self) -> bool {
        let full = self.table.len() + self.runs.len() >= self.cfg.keys;
        full || self.runs.values().any(Run::is_abandoned)
    }

    fn begin(&mut self, now: Time, key: Key, call: &Call, out: &mut Vec<Action>) {
        let body = Body::Begin { fingerprint: call.fingerprint };
        let begin = self.propose(now, key.clone(), body, out);
        self.runs.insert(key, Run::new(now, begin, call));
    }

    fn propose(&mut self, now: Time, key: Key, body: Body, out: &mut Vec<Action>) -> RecordId {
        let id = RecordId { boot: self.boot, seq: self.next_id };
        self.next_id += 1;
        let clock = self.table.clock() + now.since(self.applied_at).as_secs();
        let data = encode(&Record { key, clock, body });
        out.push(Action::Propose { id, data });
        id
    }

    fn apply(&mut self, now: Time, id: RecordId, data: &Bytes, out: &mut Vec<Action>) {
        let Some(record) = decode::<Record>(data) else { return };
        let Record { key, body, .. } = record.clone();
        self.applied_at = now;
        self.table.apply(&self.cfg, id, record);
        match body {
            Body::Begin { .. } => self.begun(now, id, &key, out),
            Body::Done { begin, .. } | Body::NotRun { begin } => {
                let ours = self.runs.get(&key).is_some_and(|run| run.begin == begin);
                if ours {
                    self.runs.swap_remove(&key);
                }
            }
        }
    }

    /// Dispatches a call whose `Begin` was read back as valid.
    ///
    /// The record keeps every other owner from dispatching the call: whoever claims later has read it
    /// before. Before it is read back, a successor may have begun the same key. The run is found by
    /// the record's id, and is gone once this node has lost the term, so it is dispatched here only,
    /// and once.
    fn begun(&mut self, now: Time, id: RecordId, key: &Key, out: &mut Vec<Action>) {
        if self.table.get(key).is_none_or(|used| used.begin != id) {
            return;
        }
        let Some(run) = self.runs.get_mut(key).filter(|run| run.begin == id) else { return };
        match run.first_waiter() {
            Some(attempt) => {
                run.state = State::Running(attempt);
                out.push(Action::Dispatch(attempt));
            }
            // All callers were told that it did not run, so it must not; the key is freed.
            None => self.close(now, key, End::NotRun, out),
        }
    }

    fn ended(&mut self, now: Time, attempt: AttemptId, outcome: RunOutcome, out: &mut Vec<Action>) {
        let is_it = |run: &Run| matches!(run.state, State::Running(running) if running == attempt);
        let found = self.runs.iter().find(|(_, run)| is_it(run));
        let Some(key) = found.map(|(key, _)| key.clone()) else { return };
        let not_run = self.not_run();
        let Some(run) = self.runs.get_mut(&key) else { return };
        match outcome {
            RunOutcome::Ran(answer) => {
                run.reply_all(&Reply::Answer(answer.clone()), out);
                self.close(now, &key, End::Ran(answer), out);
            }
            RunOutcome::NotRun => {
                run.reply_all(&not_run, out);
                self.close(now, &key, End::NotRun, out);
            }
            // `Begin` without an end says just that.
            RunOutcome::Unknown => {
                run.reply_all(&Reply::MayHaveRun, out);
                self.runs.swap_remove(&key);
            }
        }
    }

    /// Records how a run ended; until that is read back, repeats are answered from the run. Without
    /// the term it cannot be recorded, and the successor tells repeats that it may have run.
    fn close(&mut self, now: Time, key: &Key, end: End, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get(key) else { return };
        if self.term.is_none() {
            self.runs.swap_remove(key);
            return;
        }
        let body = run.end_record(&end, self.cfg.answer_bytes);
        let id = self.propose(now, key.clone(), body, out);
        if let Some(run) = self.runs.get_mut(key) {
            run.state = State::Closing(Closing { proposal: Proposal::Sent(id), end });
        }
    }

    fn dropped(&mut self, now: Time, id: RecordId, out: &mut Vec<Action>) {
        let due = Proposal::Due(now + self.cfg.repropose);
        let not_run = self.not_run();
        let mut gone = None;
        for (key, run) in &mut self.runs {
            match &mut run.state {
                State::Recording { .. } if run.begin == id => {
                    run.reply_all(&not_run, out);
                    gone = Some(key.clone());
                    break;
                }
                State::Closing(closing) if closing.proposal == Proposal::Sent(id) => {
                    closing.proposal = due;
                    break;
                }
                _ => {}
            }
        }
        if let Some(key) = gone {
            self.runs.swap_remove(&key);
        }
    }

    /// Calls whose `Begin` was not read back are never dispatched now; they go to the new owner, which
    /// may know more of their keys. Those that were dispatched go on, and their callers get the
    /// answer, though it cannot be recorded.
    fn lost(&mut self, out: &mut Vec<Action>) {
        self.term = None;
        self.runs.retain(|_, run| match run.state {
            State::Running(_) => true,
            State::Recording { .. } | State::Closing(_) => {
                run.reply_all(&Reply::NotOwner, out);
                false
            }
        });
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let not_run = self.not_run();
        let bound = self.cfg.record_bound;
        let mut due = Vec::new();
        for (key, run) in &mut self.runs {
            match &run.state {
                State::Recording { since } if now.since(*since) >= bound => {
                    run.reply_all(&not_run, out);
                }
                State::Recording { .. } => run.reply_late(now, &not_run, out),
                State::Running(_) => run.reply_late(now, &Reply::MayHaveRun, out),
                State::Closing(Closing { proposal: Proposal::Due(at), end }) if now >= *at => {
                    due.push((key.clone(), end.clone()));
                }
                State::Closing(_) => {}
            }
        }
        for (key, end) in due {
            self.close(now, &key, end, out);
        }
    }

    /// Records were missed. The runs stay: only their own ends and [`Event::Lost`] end them.
    fn restore(&mut self, data: &[u8]) {
        if let Some(snapshot) = decode(data) {
            self.table = Table::restore(snapshot);
        }
    }

    fn not_run(&self) -> Reply {
        Reply::NotRun { retry_after: self.cfg.retry_after }
    }
}

/// Lets a repeat wait for the run of the same key, or answers it at once.
fn join(run: &mut Run, call: &Call, retry_after: Duration) -> Option<Reply> {
    if run.fingerprint != call.fingerprint {
        return Some(Reply::KeyReused);
    }
    match &run.state {
        State::Recording { .. } | State::Running(_) => {
            run.wait(call);
            None
        }
        State::Closing(Closing { end: End::Ran(answer), .. }) => {
            Some(Reply::Answer(answer.clone()))
        }
        // The record that frees the key is on its way. Were the call dispatched now, that record
        // would free the key of a call that runs.
        State::Closing(Closing { end: End::NotRun, .. }) => Some(Reply::NotRun { retry_after }),
    }
}
