//! Tests of what is known of the prompts that backend servers hold.

use celerycrank_routing::{HolderKey, PromptBeginnings, PromptIndex, PromptRetention};
use celerycrank_types::{PromptPartId, TimePoint, TimeSpan};

const RETENTION: PromptRetention = PromptRetention {
    span: TimeSpan::from_secs(60),
    tokens: 10_000,
};

fn at(seconds: u64) -> TimePoint {
    TimePoint(seconds * 1_000_000)
}

fn holder(backend: u64, incarnation: u64) -> HolderKey {
    HolderKey::new(
        &format!("w{backend}").parse().expect("a valid name"),
        incarnation,
    )
}

/// A prompt with these shared parts of 1,000 tokens each, and 100 tokens of its own.
fn prompt(parts: &[u128]) -> PromptBeginnings {
    let service = "llm".parse().expect("a valid name");
    let shared = parts.iter().map(|part| (PromptPartId(*part), 1_000));
    PromptBeginnings::new(&service, shared, Some(1_000 * parts.len() as u64 + 100))
}

fn answer(index: &mut PromptIndex, parts: &[u128], holder: HolderKey, now: TimePoint) {
    index.note_sent(&prompt(parts), holder, 0, 1, RETENTION, now);
    index.note_begun(&prompt(parts), holder, now);
}

fn held(index: &PromptIndex, parts: &[u128], holder: HolderKey, now: TimePoint) -> Option<u64> {
    let holders = index.holders(&prompt(parts), RETENTION, now);
    holders.tokens_at(holder)
}

/// Guards against a holder that is preferred for what it has evicted, forgotten or lost.
#[test]
fn held_prompts_end_with_memory_age_and_incarnation() {
    let (mut index, first) = (PromptIndex::default(), holder(1, 1));
    answer(&mut index, &[1], first, at(1));
    assert_eq!(held(&index, &[1], holder(1, 2), at(2)), None, "restarted");
    assert_eq!(held(&index, &[1], first, at(60)), Some(1_000));
    assert_eq!(held(&index, &[1], first, at(61)), None, "too old");
    answer(&mut index, &[1], first, at(70));
    (10..19).for_each(|part| answer(&mut index, &[part], first, at(71)));
    (0..50).for_each(|_| answer(&mut index, &[18], first, at(71)));
    (0..50).for_each(|part| answer(&mut index, &[part], holder(2, 1), at(71)));
    assert_eq!(
        held(&index, &[1], first, at(72)),
        None,
        "18 needs 100 each time"
    );
    answer(&mut index, &[1], first, at(73));
    // Three entries send as much, also answers.
    index.note_sent(&prompt(&[20]), first, 2_300, 3, RETENTION, at(73));
    assert_eq!(held(&index, &[1], first, at(73)), None, "evicted");
}

/// Guards against memory that grows with callers, sizes that overflow and holdings that return once
/// a count was dropped.
#[test]
fn what_requests_teach_is_bounded() {
    let mut index = PromptIndex::default();
    let service = "llm".parse().expect("a valid name");
    let huge = (0..5_000).map(|part| (PromptPartId(part), u64::MAX));
    let huge = PromptBeginnings::new(&service, huge, None);
    index.note_sent(&huge, holder(0, 1), u64::MAX, u32::MAX, RETENTION, at(1));
    index.note_begun(&huge, holder(0, 1), at(1));
    assert_eq!(index.len(), 1, "the sum of the sizes overflows");
    let long = (0..5_000).map(|part| (PromptPartId(part), u64::MAX / 100));
    index.note_begun(
        &PromptBeginnings::new(&service, long, None),
        holder(0, 1),
        at(1),
    );
    // The first beginning of both prompts is the same.
    assert_eq!(index.len(), 64, "parts of one prompt");
    assert!(
        index.holders(&huge, RETENTION, at(1)).is_empty(),
        "too long"
    );
    answer(&mut index, &[1], holder(1, 1), at(1));
    (2..6_000).for_each(|backend| answer(&mut index, &[2], holder(backend, 1), at(1)));
    answer(&mut index, &[3], holder(1, 1), at(1));
    assert_eq!(held(&index, &[1], holder(1, 1), at(1)), None);
    (0..40_000).for_each(|part| answer(&mut index, &[part], holder(1, 1), at(1)));
    assert_eq!(index.len(), 32_768);
}

/// Guards against holders of another beginning, of one that is too old, or of none.
#[test]
fn holders_are_those_that_began_an_answer() {
    for seed in 0..256_u64 {
        arbtest::arbtest(|u| {
            let (mut index, mut begun) = (PromptIndex::default(), Vec::new());
            for second in 0..u.int_in_range(1..=60)? {
                let parts: [u128; 2] = [u.int_in_range(0..=3)?, u.int_in_range(0..=3)?];
                let (key, now) = (holder(u.int_in_range(0..=12)?, 1), at(second * 3));
                answer(&mut index, &parts, key, now);
                begun.push((parts, key, now));
                let asked: [u128; 2] = [u.int_in_range(0..=3)?, u.int_in_range(0..=3)?];
                for key in (0..=12).map(|backend| holder(backend, 1)) {
                    let tokens = held(&index, &asked, key, now).unwrap_or(0);
                    let length = usize::from(tokens > 0) + usize::from(tokens > 1_000);
                    assert!(
                        length == 0
                            || begun.iter().any(|(parts, holder, at)| {
                                let is_same = parts[..length] == asked[..length] && *holder == key;
                                is_same && now.since(*at) < RETENTION.span
                            })
                    );
                }
            }
            Ok(())
        })
        .seed((seed << 32) | 0x800);
    }
}
