//! Requests that wait for room at engines.

use std::time::Duration;

use hgw_direct::quota::WaiterRank;
use hgw_direct::{
    BeginTimes, ModelRef, RoomGroup, RoomQueue, RoomReason, ServiceId, TicketId, max_room_wait,
};

fn group(model: &str) -> RoomGroup {
    let model_ref: Option<ModelRef> = (!model.is_empty()).then(|| model.parse().unwrap());
    RoomGroup { service: ServiceId::from("service"), model_ref, version: None }
}

fn rank(priority: u8, deadline: u64) -> WaiterRank {
    WaiterRank { priority, deadline }
}

fn enter(queue: &mut RoomQueue, model: &str, rank: WaiterRank) -> TicketId {
    queue.enter(group(model), rank, RoomReason::Full, 100).unwrap().ticket
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against room that goes to the request which arrived first instead of the most urgent one.
#[test]
fn waiting_requests_are_ordered_by_priority_then_deadline_then_arrival() {
    let mut queue = RoomQueue::default();
    let tickets = [
        enter(&mut queue, "m", rank(2, 100)),
        enter(&mut queue, "m", rank(1, 900)),
        enter(&mut queue, "m", rank(1, 500)),
        enter(&mut queue, "m", rank(1, 500)),
    ];
    let mut order = Vec::new();
    while !queue.is_empty() {
        let first = queue.firsts().next().unwrap();
        assert!(queue.is_first(first));
        order.push(first);
        queue.leave(first);
    }
    assert_eq!(order, [tickets[2], tickets[3], tickets[1], tickets[0]]);
}

/// Guards against a request for an adapter at one full engine that holds up those of other engines.
#[test]
fn request_holds_up_only_its_own_group() {
    let mut queue = RoomQueue::default();
    let urgent = enter(&mut queue, "m/a", rank(0, 100));
    let other = enter(&mut queue, "m/b", rank(3, 100));
    let unrelated = enter(&mut queue, "n", rank(3, 100));
    assert!([urgent, other, unrelated].iter().all(|ticket| queue.is_first(*ticket)));
    assert!(queue.has_more_urgent(other));
    assert!(!queue.has_more_urgent(unrelated));
    assert!(!queue.has_more_urgent(urgent));
}

/// Guards against newcomers that take the room for which a more urgent request waits, and against
/// small prompts that wait behind a large one although an engine could run them.
#[test]
fn newcomer_goes_behind_those_that_wait_for_a_slot() {
    let mut queue = RoomQueue::default();
    let waiting = enter(&mut queue, "m", rank(1, 500));
    assert!(queue.goes_behind(&group("m"), rank(1, 900)));
    assert!(queue.goes_behind(&group("m"), rank(4, 100)));
    assert!(!queue.goes_behind(&group("m"), rank(1, 100)));
    assert!(!queue.goes_behind(&group("m"), rank(0, 900)));
    assert!(!queue.goes_behind(&group("n"), rank(4, 900)));
    queue.set_reason(waiting, RoomReason::PrefillBusy);
    assert!(!queue.goes_behind(&group("m"), rank(4, 900)));
}

/// Guards against unbounded memory, and against urgent requests that are refused for others that wait.
#[test]
fn queue_is_bounded_and_the_least_urgent_leave_first() {
    let mut queue = RoomQueue::default();
    let mut tickets: Vec<TicketId> = Vec::new();
    while let Some(entered) = queue.enter(group("m"), rank(5, 1_000), RoomReason::Full, 100) {
        assert!(entered.displaced.is_empty());
        tickets.push(entered.ticket);
    }
    assert_eq!(queue.len(), 256);
    let entered = queue.enter(group("n"), rank(1, 5_000), RoomReason::Full, 100).unwrap();
    assert_eq!(entered.displaced, [*tickets.last().unwrap()]);
    assert!(!queue.contains(entered.displaced[0]));
    assert_eq!(queue.len(), 256);
    assert!(queue.enter(group("n"), rank(6, 0), RoomReason::Full, 100).is_none());
}

/// Guards against a few large bodies that use up a node's memory.
#[test]
fn sum_of_bodies_is_bounded() {
    let mut queue = RoomQueue::default();
    let large = 3 << 20;
    let tickets: Vec<TicketId> = (0..2)
        .map(|i| queue.enter(group("m"), rank(3, i), RoomReason::Full, large).unwrap().ticket)
        .collect();
    assert!(queue.enter(group("m"), rank(3, 9), RoomReason::Full, large).is_none());
    let entered = queue.enter(group("m"), rank(0, 9), RoomReason::Full, large).unwrap();
    assert_eq!(entered.displaced, [tickets[1]]);
    queue.leave(entered.ticket);
    queue.leave(tickets[0]);
    assert!(queue.is_empty());
    assert!(queue.enter(group("m"), rank(3, 9), RoomReason::Full, 8 << 20).is_some());
}

/// Guards against a request that waits until it can only be late, or until its caller cannot retry.
#[test]
fn wait_ends_while_the_request_can_be_in_time() {
    assert_eq!(
        max_room_wait(ms(300), ms(130), ms(20), ms(9_980)),
        ms(37) + Duration::from_micros(500)
    );
    assert_eq!(max_room_wait(ms(8_000), ms(200), ms(0), ms(10_000)), ms(1_950));
    assert_eq!(max_room_wait(ms(8_000), ms(200), ms(0), ms(3_000)), ms(1_500));
    assert_eq!(max_room_wait(ms(150), ms(40), ms(200), ms(1_000)), ms(0));
}

#[test]
fn begin_time_follows_what_is_seen() {
    let (mut times, service) = (BeginTimes::default(), ServiceId::from("service"));
    assert_eq!(times.expected(&service, ms(150)), ms(75));
    for _ in 0..100 {
        times.record(&service, 30);
    }
    let expected = times.expected(&service, ms(150));
    assert!((ms(30)..ms(32)).contains(&expected), "{expected:?}");
    (0..100).for_each(|_| times.record(&service, 400));
    assert_eq!(times.expected(&service, ms(150)), ms(150));
}
