//! Datagrams of a burst that the link cannot carry at once are spread over time, not lost.

use celerycrank_groups::LinkPacer;
use celerycrank_types::{LinkRate, TimePoint, TimeSpan};

const LINK: LinkRate = LinkRate(6_000);

/// Sends datagrams as early as the pacer allows; returns when each one was sent.
fn send_all(pacer: &mut LinkPacer, sizes: &[usize]) -> Vec<TimePoint> {
    let mut now = TimePoint(0);
    let mut sent = Vec::new();
    for size in sizes {
        while let Err(wait) = pacer.take(*size, now) {
            assert!(wait > TimeSpan::ZERO);
            now = now + wait;
        }
        sent.push(now);
    }
    sent
}

#[test]
fn short_messages_to_every_rank_are_sent_at_once() {
    let mut pacer = LinkPacer::new(LINK, TimePoint(0));
    let sent = send_all(&mut pacer, &[60; 95]);
    assert_eq!(sent.last(), Some(&TimePoint(0)));
}

/// A queue before the link that holds 32 KiB is never exceeded.
#[test]
fn whole_maps_to_every_rank_never_exceed_the_queue_before_the_link() {
    let mut pacer = LinkPacer::new(LINK, TimePoint(0));
    let sizes = [3_700; 95];
    let sent = send_all(&mut pacer, &sizes);
    let rate = LINK.bytes_per_second();
    let mut queued = 0_u64;
    let mut last = TimePoint(0);
    for (at, size) in sent.iter().zip(sizes) {
        let drained = at.since(last).0 * rate / 1_000_000;
        queued = queued.saturating_sub(drained) + size as u64;
        last = *at;
        assert!(queued <= 32 << 10, "{queued} bytes wait at {at}");
    }
    // 350 KB take 0.47 s of the link.
    assert!(last <= TimePoint(700_000), "{last}");
}

#[test]
fn a_datagram_above_the_burst_is_sent_after_a_pause() {
    let mut pacer = LinkPacer::new(LINK, TimePoint(0));
    let sent = send_all(&mut pacer, &[60_000, 60_000]);
    assert!(sent[1] > sent[0]);
}
