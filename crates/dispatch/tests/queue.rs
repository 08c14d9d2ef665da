//! What callers get from one queue: each case plays a short story and reads the decisions.

use std::time::Duration;

use assert_matches::assert_matches;
use hgw_config::Urgency;
use hgw_dispatch::{Decision, End, Job, Queue, QueueSettings, Refusal, Report, Taken};
use hgw_types::{AttemptId, Time, Tokens};

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn id(seq: u64) -> AttemptId {
    AttemptId { boot: 1, seq }
}

fn queue(slots: u32) -> Queue {
    Queue::new(QueueSettings { slots, reserve: 0, ..Default::default() })
}

/// A model request of 100 tokens, or half a second.
fn job(seq: u64, urgency: Urgency, deadline: Time) -> Job {
    Job {
        attempt: id(seq),
        model: Some("m".parse().unwrap()),
        adapter: None,
        urgency,
        deadline,
        prompt: Tokens(64),
        output: Tokens(100),
        prefix: Vec::new(),
        may_bounce: false,
    }
}

fn urgent(seq: u64, deadline: u64) -> Job {
    job(seq, Urgency::Urgent, ms(deadline))
}

fn deferrable(seq: u64) -> Job {
    job(seq, Urgency::Deferrable, ms(3_600_000))
}

fn poll(queue: &mut Queue, now: u64) -> Vec<Decision> {
    let mut out = Vec::new();
    queue.poll(ms(now), &mut out);
    out
}

fn starts_by_deadline() {
    let mut q = queue(1);
    q.submit(ms(0), deferrable(1)).unwrap();
    q.submit(ms(0), urgent(2, 9000)).unwrap();
    q.submit(ms(0), urgent(3, 5000)).unwrap();
    assert_eq!(poll(&mut q, 0), [Decision::Start(id(3))]);
    q.ended(ms(500), id(3), End::Whole);
    assert_eq!(poll(&mut q, 500), [Decision::Start(id(2))]);
    q.ended(ms(900), id(2), End::Whole);
    assert_eq!(poll(&mut q, 900), [Decision::Start(id(1))]);
}

fn refuses_what_would_be_late() {
    let mut q = queue(1);
    q.submit(ms(0), urgent(1, 600)).unwrap();
    poll(&mut q, 0);
    q.submit(ms(0), urgent(2, 600)).unwrap();
    let refused = q.submit(ms(0), urgent(3, 600));
    assert_matches!(refused, Err(Refusal::TooLate { retry_after }) if retry_after >= Duration::from_millis(400));
    let bounced = q.submit(ms(0), Job { may_bounce: true, ..urgent(4, 600) });
    assert_eq!(bounced, Err(Refusal::Bounced));
}

fn more_slots_take_more_work() {
    let mut q = queue(1);
    q.submit(ms(0), urgent(1, 600)).unwrap();
    q.submit(ms(0), urgent(2, 9000)).unwrap();
    assert_eq!(poll(&mut q, 0), [Decision::Start(id(1))]);
    q.set_slots(2);
    assert_eq!(poll(&mut q, 1), [Decision::Start(id(2))]);
}

fn long_work_counts_as_long() {
    let mut q = queue(1);
    let long = Job { output: Tokens(1000), ..urgent(1, 600) };
    q.submit(ms(0), long).unwrap();
    poll(&mut q, 0);
    assert_matches!(q.submit(ms(0), urgent(2, 4000)), Err(Refusal::TooLate { .. }));
    q.submit(ms(0), urgent(3, 6000)).unwrap();
}

fn preempts_work_that_may_wait() {
    let mut q = queue(1);
    q.submit(ms(0), deferrable(1)).unwrap();
    assert_eq!(poll(&mut q, 0), [Decision::Start(id(1))]);
    q.submit(ms(10), urgent(2, 600)).unwrap();
    assert_eq!(poll(&mut q, 10), [Decision::Preempt(id(1))]);
    assert_eq!(poll(&mut q, 11), [], "the slot is not free before the work has ended");
    q.ended(ms(15), id(1), End::Cancelled);
    assert_eq!(poll(&mut q, 15), [Decision::Start(id(2))]);
}

fn aged_work_is_not_preempted() {
    let mut q = queue(1);
    q.submit(ms(0), urgent(1, 900)).unwrap();
    poll(&mut q, 0);
    q.submit(ms(0), deferrable(2)).unwrap();
    q.ended(ms(20_000), id(1), End::Whole);
    q.submit(ms(20_000), urgent(3, 29_000)).unwrap();
    assert_eq!(poll(&mut q, 20_000), [Decision::Start(id(2))]);
    assert_eq!(poll(&mut q, 20_100), []);
}

fn never_cuts_off_a_plain_call() {
    let plain = |seq, urgency| Job { model: None, output: Tokens(0), ..job(seq, urgency, ms(100)) };
    let mut q =
        Queue::new(QueueSettings { slots: 1, plain: true, reserve: 0, ..Default::default() });
    q.submit(ms(0), plain(1, Urgency::Deferrable)).unwrap();
    assert_eq!(poll(&mut q, 0), [Decision::Start(id(1))]);
    q.submit(ms(1), plain(2, Urgency::Urgent)).unwrap();
    assert_eq!(poll(&mut q, 1), []);
    let late = poll(&mut q, 200);
    assert_matches!(late[..], [Decision::GiveUp(attempt, Refusal::Expired { .. })] if attempt == id(2));
}

fn answers_at_once_what_is_past_its_deadline() {
    let mut q = queue(1);
    q.submit(ms(0), urgent(1, 600)).unwrap();
    poll(&mut q, 0);
    q.submit(ms(0), urgent(2, 700)).unwrap();
    let wake = q.next_wake().unwrap();
    assert!(wake <= ms(701), "{wake}");
    let late = poll(&mut q, 701);
    assert_eq!(late[1], Decision::Abandon(id(1)));
    assert_matches!(late[0], Decision::GiveUp(attempt, Refusal::Expired { .. }) if attempt == id(2));
}

fn begun_text_goes_on_past_the_deadline() {
    let mut q = queue(1);
    q.submit(ms(0), urgent(1, 600)).unwrap();
    poll(&mut q, 0);
    q.progress(ms(100), id(1), 1);
    assert_eq!(poll(&mut q, 700), []);
}

fn an_upstream_that_leaves_gets_no_work() {
    let mut q = queue(1);
    q.submit(ms(0), urgent(1, 600)).unwrap();
    poll(&mut q, 0);
    q.submit(ms(0), deferrable(2)).unwrap();
    q.set_leaving(true);
    assert_eq!(poll(&mut q, 1), [Decision::GiveUp(id(2), Refusal::Leaving)]);
    assert_eq!(q.submit(ms(1), urgent(3, 600)), Err(Refusal::Leaving));
    assert_eq!(q.load().running, 1);
}

fn work_of_another_dispatcher_takes_slots() {
    let mut q = queue(2);
    q.report(ms(0), &Report { active: 1, ..Default::default() });
    q.submit(ms(0), urgent(1, 5000)).unwrap();
    q.submit(ms(0), urgent(2, 5000)).unwrap();
    assert_eq!(poll(&mut q, 0), [Decision::Start(id(1))]);
    q.report(ms(500), &Report { active: 1, ..Default::default() });
    assert_eq!(poll(&mut q, 500), [Decision::Start(id(2))]);
}

fn cancelled_work_is_gone() {
    let mut q = queue(1);
    q.submit(ms(0), urgent(1, 600)).unwrap();
    poll(&mut q, 0);
    q.submit(ms(0), urgent(2, 600)).unwrap();
    assert_eq!(q.cancel(ms(1), id(2)), Some(Taken::Queued));
    assert_eq!(q.cancel(ms(1), id(1)), Some(Taken::Running));
    assert_eq!(q.cancel(ms(1), id(9)), None);
    q.ended(ms(2), id(1), End::Cancelled);
    assert_eq!((q.load().running, q.load().urgent_waiting), (0, 0));
}

fn a_stuck_upstream_looks_slow() {
    let mut q = queue(1);
    q.submit(ms(0), urgent(1, 600)).unwrap();
    poll(&mut q, 0);
    q.progress(ms(20), id(1), 1);
    assert!(q.delay(ms(30), Urgency::Urgent) < Duration::from_secs(1));
    assert!(q.delay(ms(9000), Urgency::Urgent) > Duration::from_secs(5));
}

fn waiting_work_asks_for_few_polls() {
    let settings = QueueSettings { patience: Duration::ZERO, slots: 1, ..Default::default() };
    let mut q = Queue::new(settings);
    q.submit(ms(0), urgent(1, 900)).unwrap();
    poll(&mut q, 0);
    q.submit(ms(0), urgent(2, 900)).unwrap();
    let mut polls = 0;
    while let Some(wake) = q.next_wake().filter(|at| *at < ms(800)) {
        q.poll(wake, &mut Vec::new());
        polls += 1;
    }
    assert!(polls <= 160, "{polls}");
}

fn a_full_queue_names_a_time() {
    let settings = QueueSettings { slots: 1, max_deferrable: 2, reserve: 0, ..Default::default() };
    let mut q = Queue::new(settings);
    q.submit(ms(0), deferrable(1)).unwrap();
    q.submit(ms(0), deferrable(2)).unwrap();
    let full = q.submit(ms(0), deferrable(3));
    assert_matches!(full, Err(Refusal::Full { retry_after }) if retry_after >= Duration::from_millis(900));
}

macro_rules! cases {
    ($($name:ident;)*) => {
        mod cases {
            $(#[test] fn $name() { super::$name() })*
        }
    };
}

cases! {
    starts_by_deadline;
    refuses_what_would_be_late;
    long_work_counts_as_long;
    more_slots_take_more_work;
    preempts_work_that_may_wait;
    aged_work_is_not_preempted;
    never_cuts_off_a_plain_call;
    answers_at_once_what_is_past_its_deadline;
    begun_text_goes_on_past_the_deadline;
    an_upstream_that_leaves_gets_no_work;
    work_of_another_dispatcher_takes_slots;
    cancelled_work_is_gone;
    a_stuck_upstream_looks_slow;
    waiting_work_asks_for_few_polls;
    a_full_queue_names_a_time;
}
