//! Tests of the decision which callers may hold memory and connections.

use std::{collections::HashMap, net::IpAddr};

use celerycrank_serving::{
    BudgetBounds, CallerBudget, ConnectionNumber, EndReason, EndedConnection, NoRoomError,
};
use celerycrank_types::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng};

const KIB: u64 = 1 << 10;

const BOUNDS: BudgetBounds = BudgetBounds {
    bytes: 1_000 * KIB,
    reserve: 200 * KIB,
    descriptors: 12,
};

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::from_millis(millis)
}

fn address(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

/// Opens a connection whose request begins to arrive.
fn begin(budget: &mut CallerBudget, last: u8, now: u64) -> ConnectionNumber {
    let (number, ended) = budget.open(address(last), at(now)).expect("room");
    assert_eq!(ended, None);
    budget.begin(number, at(now));
    number
}

/// Lets a connection hold more bytes, all of which have just arrived.
fn hold(
    budget: &mut CallerBudget,
    number: ConnectionNumber,
    bytes: u64,
    now: u64,
) -> Result<Vec<ConnectionNumber>, NoRoomError> {
    let decision = budget.resize(number, bytes * KIB, bytes * KIB, at(now));
    let ended = decision.ended.iter().map(|it| it.number).collect();
    if decision.is_granted {
        Ok(ended)
    } else {
        Err(NoRoomError)
    }
}

// Guards against ending a body that is about to be complete in place of one that has stopped.
#[test]
fn a_stopped_body_gives_way_before_a_larger_one_that_makes_progress() {
    let mut budget = CallerBudget::new(BOUNDS);
    let stopped = begin(&mut budget, 1, 0);
    let steady = begin(&mut budget, 1, 0);
    assert_eq!(hold(&mut budget, stopped, 200, 0), Ok(vec![]));
    assert_eq!(hold(&mut budget, steady, 400, 1_500), Ok(vec![]));
    let new = begin(&mut budget, 1, 1_600);
    assert_eq!(hold(&mut budget, new, 300, 1_600), Ok(vec![stopped]));
    assert_eq!(budget.held(), 700 * KIB);
    // The ended one gets no space any more, and can no longer be forwarded.
    assert_eq!(hold(&mut budget, stopped, 201, 1_600), Err(NoRoomError));
    assert_eq!(budget.complete(stopped, at(1_600)), Err(NoRoomError));
}

// Guards against a caller that keeps its space by sending a byte a second.
#[test]
fn a_body_that_trickles_counts_as_stopped() {
    let mut budget = CallerBudget::new(BOUNDS);
    let trickling = begin(&mut budget, 1, 0);
    let steady = begin(&mut budget, 1, 0);
    assert_eq!(hold(&mut budget, trickling, 100, 0), Ok(vec![]));
    for second in 1..9 {
        let now = at(second * 1_000);
        let decision = budget.resize(trickling, 100 * KIB + second, 1, now);
        assert!(decision.is_granted);
    }
    assert_eq!(hold(&mut budget, steady, 690, 8_500), Ok(vec![]));
    let new = begin(&mut budget, 1, 8_600);
    assert_eq!(hold(&mut budget, new, 70, 8_600), Ok(vec![trickling]));
}

// Guards against one address that takes the space of all others.
#[test]
fn bodies_of_the_address_that_holds_most_give_way_first() {
    let mut budget = CallerBudget::new(BOUNDS);
    let single = begin(&mut budget, 1, 0);
    let first = begin(&mut budget, 2, 50);
    let second = begin(&mut budget, 2, 60);
    assert_eq!(hold(&mut budget, single, 300, 100), Ok(vec![]));
    assert_eq!(hold(&mut budget, first, 250, 100), Ok(vec![]));
    assert_eq!(hold(&mut budget, second, 240, 100), Ok(vec![]));
    let new = begin(&mut budget, 3, 100);
    assert_eq!(hold(&mut budget, new, 100, 110), Ok(vec![first]));
    // Within an address, the largest and oldest one gives way, also the one that asks.
    assert_eq!(hold(&mut budget, second, 600, 120), Err(NoRoomError));
}

// Guards against large bodies that leave no room for ordinary requests, and against large requests
// that end small ones.
#[test]
fn the_reserve_is_kept_for_small_requests() {
    let mut budget = CallerBudget::new(BOUNDS);
    let large = [0, 1].map(|_| begin(&mut budget, 1, 0));
    for number in large {
        assert_eq!(hold(&mut budget, number, 400, 0), Ok(vec![]));
        assert_eq!(budget.complete(number, at(0)), Ok(None));
    }
    let small = [0, 1, 2].map(|_| begin(&mut budget, 2, 0));
    for number in small {
        assert_eq!(hold(&mut budget, number, 64, 10), Ok(vec![]));
    }
    let late = begin(&mut budget, 3, 20);
    assert_eq!(hold(&mut budget, late, 70, 20), Err(NoRoomError));
    // An answer gets its space, although requests that are being answered cannot give way.
    assert_eq!(hold(&mut budget, large[0], 600, 30), Ok(vec![]));
    budget.close(small[0]);
    let small = begin(&mut budget, 2, 40);
    assert_eq!(hold(&mut budget, small, 64, 40), Ok(vec![]));
    // Beyond the budget, answers are read one after another.
    let may_read = large.map(|it| budget.may_read_answer(it, at(40)));
    assert_eq!(may_read, [true, false]);
    budget.end_answer(large[0]);
    assert!(budget.may_read_answer(large[1], at(40)));
}

/// A budget that is used up by two large requests whose answers are being read.
fn two_large_answers() -> (CallerBudget, [ConnectionNumber; 2]) {
    let mut budget = CallerBudget::new(BudgetBounds {
        descriptors: 20,
        ..BOUNDS
    });
    let large = [0, 1].map(|_| begin(&mut budget, 1, 0));
    for number in large {
        assert_eq!(hold(&mut budget, number, 400, 0), Ok(vec![]));
        assert_eq!(budget.complete(number, at(0)), Ok(None));
    }
    assert_eq!(hold(&mut budget, large[0], 600, 0), Ok(vec![]));
    (budget, large)
}

// Guards against ordinary requests whose short answers wait for the large answer of another one.
#[test]
fn small_answers_are_read_beside_a_large_one() {
    let (mut budget, large) = two_large_answers();
    assert!(budget.may_read_answer(large[0], at(10)));
    let small = [0, 1, 2, 3].map(|_| begin(&mut budget, 2, 10));
    for number in small {
        assert_eq!(hold(&mut budget, number, 40, 10), Ok(vec![]));
        assert_eq!(budget.complete(number, at(10)), Ok(None));
        assert!(budget.may_read_answer(number, at(10)));
    }
    // An answer that grows beyond a small request waits like the other large ones.
    assert_eq!(hold(&mut budget, small[0], 65, 20), Ok(vec![]));
    assert!(!budget.may_read_answer(small[0], at(20)));
    // Small answers together have no more than the reserve.
    for number in &small[1..] {
        assert_eq!(hold(&mut budget, *number, 64, 20), Ok(vec![]));
    }
    let last = begin(&mut budget, 3, 20);
    assert_eq!(budget.complete(last, at(20)), Ok(None));
    assert_eq!(hold(&mut budget, last, 10, 20), Ok(vec![]));
    assert!(!budget.may_read_answer(last, at(20)));
}

// Guards against answers that wait until their deadlines for one whose backend server is silent.
#[test]
fn a_silent_answer_passes_its_turn_on() {
    let (mut budget, [silent, waiting]) = two_large_answers();
    assert!(budget.may_read_answer(silent, at(0)));
    assert!(!budget.may_read_answer(waiting, at(900)));
    assert!(budget.may_read_answer(waiting, at(1_100)));
    // It has been read, and keeps the turn while it makes progress.
    assert!(budget.may_read_answer(waiting, at(2_000)));
    assert!(!budget.may_read_answer(silent, at(2_900)));
    assert!(budget.may_read_answer(silent, at(3_100)));
}

// Guards against a bound that refuses a legal body although nobody else needs space.
#[test]
fn a_single_large_body_is_served_beyond_the_budget() {
    let mut budget = CallerBudget::new(BOUNDS);
    let single = begin(&mut budget, 1, 0);
    assert_eq!(hold(&mut budget, single, 4_000, 0), Ok(vec![]));
    let small = begin(&mut budget, 2, 10);
    assert_eq!(hold(&mut budget, small, 2, 10), Ok(vec![single]));
}

// Guards against idle connections that use up the descriptors.
#[test]
fn the_longest_idle_connection_ends_for_a_new_one() {
    let mut budget = CallerBudget::new(BOUNDS);
    let opened = (0..12).map(|now| budget.open(address(1), at(now)).expect("room").0);
    let opened = opened.collect::<Vec<_>>();
    budget.begin(opened[0], at(20));
    let (_, ended) = budget.open(address(2), at(30)).expect("an idle one ends");
    let (number, reason) = (opened[1], EndReason::Idle);
    assert_eq!(ended, Some(EndedConnection { number, reason }));
    let mut busy = CallerBudget::new(BOUNDS);
    for _ in 0..12 {
        begin(&mut busy, 1, 0);
    }
    assert_eq!(busy.open(address(2), at(40)), Err(NoRoomError));
}

// Guards against half heads that keep everybody out until their timeouts.
#[test]
fn the_request_stopped_for_the_longest_time_ends_for_a_new_connection() {
    let mut budget = CallerBudget::new(BOUNDS);
    let opened = (0..12).map(|now| begin(&mut budget, 1, now * 10));
    let opened = opened.collect::<Vec<_>>();
    // The oldest one makes progress.
    assert_eq!(hold(&mut budget, opened[0], 8, 900), Ok(vec![]));
    assert_eq!(budget.open(address(2), at(1_000)), Err(NoRoomError));
    let (_, ended) = budget.open(address(2), at(1_050)).expect("one ends");
    let (number, reason) = (opened[1], EndReason::Space);
    assert_eq!(ended, Some(EndedConnection { number, reason }));
}

// Guards against descriptors beyond the bound while callers read their refusals.
#[test]
fn only_some_connections_end_at_once_for_new_ones() {
    let bounds = BudgetBounds {
        descriptors: 100,
        ..BOUNDS
    };
    let mut budget = CallerBudget::new(bounds);
    for _ in 0..100 {
        begin(&mut budget, 1, 0);
    }
    let mut ended = Vec::new();
    while let Ok((number, end)) = budget.open(address(2), at(2_000)) {
        budget.begin(number, at(2_000));
        ended.push(end.expect("one ends").number);
    }
    assert_eq!(ended.len(), 32);
    budget.close(ended[0]);
    budget.close(ended[1]);
    budget.open(address(2), at(2_000)).expect("one ends");
}

// Guards against space that is never returned, whatever the order of events.
#[test]
fn the_accounts_hold_and_return_to_zero() {
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut budget = CallerBudget::new(BOUNDS);
        // What each connection that was not ended holds, and whether it is being answered.
        let mut held = HashMap::<ConnectionNumber, (u64, bool)>::new();
        let mut open = Vec::new();
        for step in 0..2_000 {
            let now = at(step * 10);
            let mut ended = Vec::new();
            if open.is_empty() || random.random_bool(0.1) {
                let from = address(random.random_range(0..3));
                if let Ok((number, end)) = budget.open(from, now) {
                    budget.begin(number, now);
                    ended.extend(end);
                    open.push(number);
                    held.insert(number, (0, false));
                }
            } else {
                let index = random.random_range(0..open.len());
                let number = open[index];
                match random.random_range(0..10) {
                    0 => {
                        budget.close(number);
                        open.swap_remove(index);
                        held.remove(&number);
                    }
                    1 => {
                        budget.rest(number, now);
                        held.entry(number).and_modify(|it| *it = (0, false));
                        budget.begin(number, now);
                    }
                    2 => {
                        if let Ok(end) = budget.complete(number, now) {
                            ended.extend(end);
                            held.entry(number).and_modify(|it| it.1 = true);
                        }
                    }
                    _ => {
                        let bytes = random.random_range(0..300) * KIB;
                        let decision = budget.resize(number, bytes, bytes, now);
                        ended.extend(decision.ended);
                        if decision.is_granted {
                            held.entry(number).and_modify(|it| it.0 = bytes);
                        } else {
                            held.remove(&number);
                        }
                    }
                }
            }
            for end in ended {
                let (_, is_answered) = held.remove(&end.number).expect("it had not ended");
                assert!(!is_answered, "seed {seed}: a forwarded request was ended");
            }
            let sum = held.values().map(|it| it.0).sum::<u64>();
            assert_eq!(budget.held(), sum, "seed {seed}, step {step}");
        }
        for number in open {
            budget.close(number);
        }
        assert_eq!(budget.held(), 0, "seed {seed}");
        // Every descriptor is free again.
        for _ in 0..BOUNDS.descriptors {
            begin(&mut budget, 1, 0);
        }
    }
}
