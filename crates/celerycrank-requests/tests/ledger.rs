//! Unit tests of the attempt ledger, the retry budget, peer clocks and idempotency keys.

use celerycrank_requests::{
    AttemptAction, AttemptEvent, AttemptId, AttemptLedger, AttemptLedgerSettings, AttemptState,
    CallKey, CallKind, ClaimLayout, PeerClock, RetryBackoff, RetryBudget, RevokeAnswer,
};
use celerycrank_types::{
    BackendId, Incarnation, RefusalReason, RequestId, TimePoint, TimeSpan, UnknownReason,
};
use rand::{SeedableRng, rngs::SmallRng};

/// Fixed seeds of the property tests.
const SEEDS: [u64; 4] = [0x1_0000_0040, 0x2_0000_0400, 0x3_0000_1000, 0x4_0000_4000];

const INCARNATION: Incarnation = Incarnation(7);
const SETTINGS: AttemptLedgerSettings = AttemptLedgerSettings {
    capacity: 4,
    retention: TimeSpan::from_secs(1),
};

fn attempt(number: u128) -> AttemptId {
    AttemptId {
        request: RequestId(number),
        number: 1,
    }
}

fn arrived(incarnation: Incarnation, deadline: u64) -> AttemptEvent {
    AttemptEvent::Arrived {
        incarnation,
        deadline: TimePoint(deadline),
        call: CallKind::Plain,
    }
}

fn revoked(deadline: u64) -> AttemptEvent {
    AttemptEvent::Revoked {
        incarnation: INCARNATION,
        deadline: TimePoint(deadline),
    }
}

#[test]
fn copy_sent_to_an_earlier_incarnation_is_unproved() {
    let mut ledger = AttemptLedger::new(INCARNATION, SETTINGS);
    let actions = ledger.handle(attempt(1), arrived(Incarnation(6), 100), TimePoint(1));
    assert_eq!(
        actions.as_slice(),
        [AttemptAction::TellUnproved(UnknownReason::AgentRestarted)]
    );
}

#[test]
fn dropped_finished_attempt_is_forgotten() {
    let mut ledger = AttemptLedger::new(INCARNATION, SETTINGS);
    ledger.handle(attempt(1), arrived(INCARNATION, 100), TimePoint(1));
    ledger.handle(attempt(1), AttemptEvent::SlotFree, TimePoint(2));
    ledger.handle(attempt(1), AttemptEvent::Finished(None), TimePoint(3));
    let later = TimePoint(3) + SETTINGS.retention;
    let answer = ledger.handle(attempt(1), revoked(100), later);
    assert_eq!(
        answer.as_slice(),
        [AttemptAction::Answer(RevokeAnswer::Forgotten)]
    );
    let copy = ledger.handle(attempt(1), arrived(INCARNATION, 100), later);
    assert_eq!(
        copy.as_slice(),
        [AttemptAction::TellUnproved(UnknownReason::LinkLost)]
    );
}

#[test]
fn attempt_does_not_start_after_its_deadline_passed_in_a_freeze() {
    let mut ledger = AttemptLedger::new(INCARNATION, SETTINGS);
    ledger.handle(attempt(1), arrived(INCARNATION, 100), TimePoint(1));
    let actions = ledger.handle(attempt(1), AttemptEvent::SlotFree, TimePoint(100));
    assert_eq!(
        actions.as_slice(),
        [AttemptAction::Refuse(RefusalReason::DeadlineUnreachable)]
    );
    assert_eq!(ledger.state(attempt(1)), AttemptState::Tombstone);
}

#[test]
fn dropped_attempt_does_not_start_after_the_clock_goes_back() {
    let mut ledger = AttemptLedger::new(INCARNATION, SETTINGS);
    ledger.handle(attempt(1), revoked(100), TimePoint(1));
    ledger.handle(attempt(2), revoked(300), TimePoint(200));
    assert_eq!(ledger.state(attempt(1)), AttemptState::Absent);
    let copy = ledger.handle(attempt(1), arrived(INCARNATION, 100), TimePoint(1));
    assert_eq!(
        copy.as_slice(),
        [AttemptAction::Refuse(RefusalReason::DeadlineUnreachable)]
    );
}

#[test]
fn number_of_attempts_is_bounded() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let mut ledger = AttemptLedger::new(INCARNATION, SETTINGS);
            while !u.is_empty() {
                let id = attempt(u128::from(u.int_in_range(0..=20_u8)?));
                let now = TimePoint(u.int_in_range(0..=3_000_000)?);
                let deadline = u.int_in_range(0..=3_000_000)?;
                let event = match u.int_in_range(0..=4_u8)? {
                    0 => AttemptEvent::SlotFree,
                    1 => AttemptEvent::Finished(None),
                    2 => revoked(deadline),
                    3 => AttemptEvent::AdmissionRefused(RefusalReason::QueueFull),
                    _ => arrived(INCARNATION, deadline),
                };
                ledger.handle(id, event, now);
                assert!(ledger.len() <= SETTINGS.capacity);
            }
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn retries_are_at_most_a_tenth_of_the_requests() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let mut budget = RetryBudget::default();
            while !u.is_empty() {
                if u.arbitrary()? {
                    budget.record_request();
                } else {
                    let was_granted = budget.spend();
                    assert!(!was_granted || budget.retries() * 10 <= budget.requests());
                }
            }
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn backoff_stays_within_its_bounds() {
    let random = &mut SmallRng::seed_from_u64(1);
    let backoff = RetryBackoff {
        base: TimeSpan::from_millis(10),
        limit: TimeSpan::from_secs(1),
    };
    for tries in 0..100 {
        let wait = backoff.wait(tries, random);
        assert!(wait <= backoff.limit);
        assert!(tries > 1 || wait <= backoff.base);
    }
}

#[test]
fn deadline_is_converted_to_the_clock_of_the_peer() {
    let clock = PeerClock::new(TimePoint(5_000), TimePoint(100));
    assert_eq!(clock.deadline(TimePoint(350)), TimePoint(5_250));
    assert_eq!(clock.deadline(TimePoint(50)), TimePoint(5_000));
}

#[test]
fn key_contains_its_time() {
    let account = "quarry".parse().unwrap();
    let service = "ledger".parse().unwrap();
    let read = |text| CallKey::parse(&account, &service, text);
    let uuid = read("0192f0c1-2f00-7abc-8def-0123456789ab").unwrap();
    assert_eq!(uuid.time().0, 0x0192_f0c1_2f00 / 1_000);
    assert_eq!(uuid, read("0192F0C1-2F00-7ABC-8DEF-0123456789AB").unwrap());
    assert_eq!(read("1764826806-bid-17").unwrap().time().0, 1_764_826_806);
    for text in [
        "",
        "bid-17",
        "176482680-bid",
        "1764826806-",
        "0192f0c1-2f00-4abc-8def-0123456789ab",
    ] {
        assert!(read(text).is_err(), "{text}");
    }
    let long = format!("1764826806-{}", "x".repeat(128));
    CallKey::parse(&account, &service, &long).unwrap_err();
    let other = "workshop".parse().unwrap();
    assert_ne!(
        CallKey::parse(&other, &service, "1764826806-bid-17").unwrap(),
        read("1764826806-bid-17").unwrap()
    );
}

#[test]
fn removing_an_owner_moves_only_its_own_keys() {
    let layout = ClaimLayout::builder().build();
    let account = "quarry".parse().unwrap();
    let service = "ledger".parse().unwrap();
    let backends = ["b0", "b1", "b2"].map(|name| name.parse::<BackendId>().unwrap());
    for number in 0..200 {
        let text = format!("1764826806-{number}");
        let key = CallKey::parse(&account, &service, &text).unwrap();
        let owner = layout.owner(&key, &backends).unwrap();
        let left = backends.iter().filter(|backend| **backend != backends[0]);
        let next = layout.owner(&key, left).unwrap();
        assert!(*owner == backends[0] || owner == next);
    }
    assert_eq!(
        layout.owner(
            &CallKey::parse(&account, &service, "1764826806-1").unwrap(),
            []
        ),
        None
    );
}
