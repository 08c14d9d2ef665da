//! Bounds of a shard whose records are read back at once.

use std::time::Duration;

use bytes::Bytes;
use hgw_once::{Action, Call, Event, Reply, RunOutcome, Settings, Shard};
use hgw_types::{AttemptId, Offset, Term, Time};

struct Owner {
    now: Time,
    shard: Shard,
    offset: u64,
    calls: u64,
}

impl Owner {
    fn new(cfg: Settings) -> Owner {
        let mut owner = Owner { now: Time::ZERO, shard: Shard::new(cfg, 1), offset: 1, calls: 0 };
        owner.tell(Event::Gained(Term(1)));
        owner
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.shard.handle(self.now, event, &mut out);
        let mut rest = Vec::new();
        for action in out {
            if let Action::Propose { id, data } = action {
                self.offset += 1;
                let offset = Offset(self.offset);
                rest.extend(self.tell(Event::Apply { offset, term: Term(1), id, data }));
            } else {
                rest.push(action);
            }
        }
        rest
    }

    /// Calls with a key, and ends the call with this answer if it is dispatched.
    fn call(&mut self, key: &str, answer: &Bytes) -> Vec<Action> {
        self.calls += 1;
        let attempt = AttemptId { boot: 1, seq: self.calls };
        let call = Call {
            attempt,
            service: "app".parse().unwrap(),
            key: key.parse().unwrap(),
            fingerprint: 1,
            deadline: self.now + Duration::from_secs(1),
        };
        let mut actions = self.tell(Event::Call(call));
        if actions.contains(&Action::Dispatch(attempt)) {
            let outcome = RunOutcome::Ran(answer.clone());
            actions.extend(self.tell(Event::Ended { attempt, outcome }));
        }
        actions
    }
}

fn replies(actions: &[Action]) -> Vec<&Reply> {
    let replies = actions.iter().filter_map(|action| match action {
        Action::Reply { reply, .. } => Some(reply),
        _ => None,
    });
    replies.collect()
}

fn dispatches(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Dispatch(_))).count()
}

/// All keys are in use. A new one is refused, as forgetting an old one would let that one's call run
/// twice; the old ones are still answered.
#[test]
fn full_table_refuses_new_keys() {
    let mut owner = Owner::new(Settings { keys: 2, ..Settings::default() });
    let answer = Bytes::from_static(b"yes");
    owner.call("k1", &answer);
    owner.call("k2", &answer);
    let refused = owner.call("k3", &answer);
    assert_eq!(replies(&refused), [&Reply::NotRun { retry_after: Duration::from_secs(1) }]);
    assert_eq!(replies(&owner.call("k1", &answer)), [&Reply::Answer(answer.clone())]);
}

/// A key is kept for the retention time and then free, by the time that the records carry.
#[test]
fn key_expires() {
    let hour = Duration::from_secs(3600);
    let mut owner = Owner::new(Settings { retention: hour, ..Settings::default() });
    let answer = Bytes::from_static(b"yes");
    owner.call("k1", &answer);
    owner.now += hour;
    owner.call("k2", &answer);
    assert_eq!(dispatches(&owner.call("k1", &answer)), 0);
    owner.now += Duration::from_secs(1);
    owner.call("k3", &answer);
    assert_eq!(dispatches(&owner.call("k1", &answer)), 1);
}

/// An answer over the limit goes to its caller and is not kept; with many answers the oldest go. A
/// repeat learns that the call may have run, and it does not run again.
#[test]
fn large_answers_are_not_kept() {
    let cfg = Settings { answer_bytes: 10, answers_bytes: 25, ..Settings::default() };
    let mut owner = Owner::new(cfg);
    let large = Bytes::from(vec![b'x'; 11]);
    assert_eq!(replies(&owner.call("large", &large)), [&Reply::Answer(large.clone())]);
    assert_eq!(replies(&owner.call("large", &large)), [&Reply::MayHaveRun]);
    let small = Bytes::from(vec![b'x'; 10]);
    for key in ["k1", "k2", "k3"] {
        owner.call(key, &small);
    }
    assert_eq!(replies(&owner.call("k1", &small)), [&Reply::MayHaveRun]);
    assert_eq!(replies(&owner.call("k2", &small)), [&Reply::Answer(small.clone())]);
}

/// A node that missed records takes a snapshot and answers as the one that wrote it.
#[test]
fn snapshot_restores_the_keys() {
    let mut owner = Owner::new(Settings::default());
    let answer = Bytes::from_static(b"yes");
    owner.call("k1", &answer);
    let actions = owner.tell(Event::SnapshotDue);
    let [Action::Snapshot(data)] = &actions[..] else { panic!("{actions:?}") };
    let mut next = Owner::new(Settings::default());
    next.tell(Event::Restore(data.clone()));
    assert_eq!(replies(&next.call("k1", &answer)), [&Reply::Answer(answer.clone())]);
}
