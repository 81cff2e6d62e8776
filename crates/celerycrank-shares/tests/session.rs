//! Scenarios of a fair queue with a few requests.

use celerycrank_config::PriorityClass;
use celerycrank_shares::{FairQueue, QueueRequest, QueueSettings, ShareBand};
use celerycrank_types::{RefusalReason, RequestId, ShareWeight, TimePoint, TimeSpan, TokenCount};

const SECOND: TimeSpan = TimeSpan::from_secs(1);

fn request(id: u128, account: &str, class: PriorityClass) -> QueueRequest {
    QueueRequest::builder()
        .id(RequestId(id))
        .account(account.parse().unwrap())
        .weight(ShareWeight::ONE)
        .class(class)
        .cost(TokenCount(100))
        .start_by(TimePoint(10_000_000))
        .build()
}

fn queue(concurrency: u32, capacity: u32) -> FairQueue {
    let settings = QueueSettings::builder()
        .concurrency(concurrency)
        .capacity(capacity)
        .build();
    FairQueue::new(settings)
}

#[test]
fn a_flooding_account_waits_behind_the_other() {
    let mut queue = queue(1, 100);
    let now = TimePoint(0);
    for id in 0..10 {
        queue
            .push(now, &request(id, "flood", PriorityClass::Normal))
            .unwrap();
    }
    assert_eq!(queue.advance(now).started[0].id, RequestId(0));
    queue
        .push(now, &request(20, "calm", PriorityClass::Normal))
        .unwrap();
    assert!(queue.settle(now + SECOND, RequestId(0), TokenCount(100)));
    assert_eq!(queue.advance(now + SECOND).started[0].id, RequestId(20));
}

#[test]
fn a_full_queue_refuses_the_account_that_fills_it() {
    let mut queue = queue(1, 3);
    let now = TimePoint(0);
    for id in 0..3 {
        queue
            .push(now, &request(id, "flood", PriorityClass::Normal))
            .unwrap();
    }
    let calm = request(20, "calm", PriorityClass::Low);
    let evicted = queue.push(now, &calm).unwrap().unwrap();
    assert_eq!(
        (evicted.id, evicted.reason),
        (RequestId(2), RefusalReason::QueueFull)
    );
    let flood = request(3, "flood", PriorityClass::High);
    let refusal = queue.push(now, &flood).unwrap_err();
    assert_eq!(
        (refusal.id, refusal.reason),
        (RequestId(3), RefusalReason::QueueFull)
    );
}

#[test]
fn what_cannot_start_in_time_is_refused_at_once() {
    // A request takes a second. The estimated wait of a request that exceeds its share is half as
    // long again.
    for (band, accepted) in [(ShareBand::Within, 9), (ShareBand::Excess, 6)] {
        let mut queue = queue(1, 100);
        let now = TimePoint(0);
        let offered = |id| QueueRequest {
            band,
            ..request(id, "a", PriorityClass::Normal)
        };
        queue.push(now, &offered(0)).unwrap();
        queue.advance(now);
        queue.settle(now + SECOND, RequestId(0), TokenCount(100));
        let now = now + SECOND;
        for id in 1..=accepted {
            queue.push(now, &offered(id)).unwrap();
        }
        let refusal = queue.push(now, &offered(20)).unwrap_err();
        assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
        // The wait is ten seconds, but the deadline is in nine.
        assert_eq!(refusal.retry_after, SECOND);
    }
}

#[test]
fn what_is_within_a_share_goes_first() {
    let mut queue = queue(1, 100);
    let now = TimePoint(0);
    queue
        .push(now, &request(0, "flood", PriorityClass::High))
        .unwrap();
    let within = QueueRequest {
        band: ShareBand::Within,
        ..request(1, "calm", PriorityClass::Low)
    };
    queue.push(now, &within).unwrap();
    assert_eq!(queue.advance(now).started[0].id, RequestId(1));
}

#[test]
fn overdue_and_cancelled_requests_leave() {
    let mut queue = queue(1, 100);
    let now = TimePoint(0);
    for id in 0..3 {
        queue
            .push(now, &request(id, "a", PriorityClass::Normal))
            .unwrap();
    }
    queue.advance(now);
    assert!(queue.remove(RequestId(1)));
    assert!(!queue.remove(RequestId(1)));
    let late = TimePoint(10_000_001);
    assert_eq!(queue.advance(late).refused[0].id, RequestId(2));
    assert!(queue.settle(late, RequestId(0), TokenCount(50)));
    assert!(!queue.settle(late, RequestId(0), TokenCount(50)));
    assert_eq!(
        (queue.waiting(), queue.running(), queue.accounts()),
        (0, 0, 0)
    );
}
