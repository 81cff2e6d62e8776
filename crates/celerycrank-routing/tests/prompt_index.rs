//! Tests of what is known of the prompts that backend servers hold.

use celerycrank_routing::{
    HolderKey, MAX_PROMPT_HOLDERS, PromptBeginnings, PromptIndex, PromptRetention,
};
use celerycrank_types::{PromptPartId, TimePoint, TimeSpan};

const RETENTION: PromptRetention = PromptRetention {
    span: TimeSpan::from_secs(60),
    tokens: 10_000,
};

fn at(seconds: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::from_secs(seconds)
}

fn holder(backend: u64, incarnation: u64) -> HolderKey {
    let backend = format!("w{backend}").parse().expect("a valid name");
    HolderKey::new(&backend, incarnation)
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

/// Guards against parts that count as held although what precedes them differs.
#[test]
fn the_longest_common_beginning_is_held() {
    let (mut index, first) = (PromptIndex::default(), holder(1, 1));
    answer(&mut index, &[1, 2, 3], first, at(1));
    assert_eq!(held(&index, &[1, 2, 3], first, at(2)), Some(3_000));
    assert_eq!(held(&index, &[1, 2, 9], first, at(2)), Some(2_000));
    assert_eq!(held(&index, &[9, 2, 3], first, at(2)), None);
    assert_eq!(held(&index, &[1], holder(2, 1), at(2)), None);
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
    for part in 10..19 {
        answer(&mut index, &[part], first, at(71));
    }
    assert_eq!(
        held(&index, &[1], first, at(72)),
        Some(1_000),
        "9,900 since"
    );
    for _ in 0..100 {
        index.note_sent(&prompt(&[1]), holder(2, 1), 0, 1, RETENTION, at(72));
    }
    assert_eq!(
        held(&index, &[1], first, at(72)),
        Some(1_000),
        "sent elsewhere"
    );
    answer(&mut index, &[20], first, at(72));
    assert_eq!(held(&index, &[1], first, at(72)), None, "evicted");
    assert_eq!(held(&index, &[20], first, at(72)), Some(1_000));
}

/// Guards against the eviction of a beginning by requests that use just it.
#[test]
fn a_held_beginning_needs_memory_once() {
    let (mut index, first) = (PromptIndex::default(), holder(1, 1));
    answer(&mut index, &[7], first, at(1));
    for _ in 0..50 {
        answer(&mut index, &[1], first, at(2));
    }
    assert_eq!(held(&index, &[7], first, at(3)), Some(1_000));
    // Three entries send as much, also answers.
    index.note_sent(&prompt(&[8]), first, 1_000, 3, RETENTION, at(3));
    assert_eq!(held(&index, &[7], first, at(3)), None);
}

/// Guards against memory that grows with callers, sizes that overflow and holdings that return once
/// a count was dropped.
#[test]
fn what_requests_teach_is_bounded() {
    let mut index = PromptIndex::default();
    let service = "llm".parse().expect("a valid name");
    let huge = (0..5_000).map(|part| (PromptPartId(part), u64::MAX));
    let huge = PromptBeginnings::new(&service, huge, None);
    for backend in 0..10_000 {
        let key = holder(backend, 1);
        index.note_sent(&huge, key, u64::MAX, u32::MAX, RETENTION, at(1));
        index.note_begun(&huge, key, at(1));
    }
    assert_eq!(index.len(), 64, "parts of one prompt");
    assert!(
        index.holders(&huge, RETENTION, at(1)).is_empty(),
        "too long"
    );
    answer(&mut index, &[1], holder(1, 1), at(1));
    for backend in 0..10_000 {
        answer(&mut index, &[2], holder(backend + 2, 1), at(1));
    }
    assert_eq!(held(&index, &[1], holder(1, 1), at(1)), None);
    for part in 0..40_000 {
        answer(&mut index, &[part], holder(1, 1), at(1));
    }
    assert_eq!(index.len(), 32_768);
}

/// Guards against holders that are listed twice, without a beginning, or beyond the bound.
#[test]
fn holders_are_those_that_began_an_answer() {
    for seed in 0..256_u64 {
        arbtest::arbtest(|u| {
            let mut index = PromptIndex::default();
            let mut begun = Vec::new();
            for second in 0..u.int_in_range(1..=60)? {
                let parts: [u128; 2] = [u.int_in_range(0..=3)?, u.int_in_range(0..=3)?];
                let key = holder(u.int_in_range(0..=12)?, 1);
                let now = at(second * 3);
                if u.arbitrary()? {
                    answer(&mut index, &parts, key, now);
                    begun.push((parts, key, now));
                }
                let holders = index.holders(&prompt(&parts), RETENTION, now);
                let keys = (0..=12).map(|backend| holder(backend, 1));
                let found = keys.filter_map(|key| Some((key, holders.tokens_at(key)?)));
                let found = found.collect::<Vec<_>>();
                assert!(found.len() <= MAX_PROMPT_HOLDERS);
                for (key, tokens) in found {
                    let count = if tokens == 2_000 { 2 } else { 1 };
                    assert!(begun.iter().any(|(known, holder, at)| {
                        let is_same = known[..count] == parts[..count] && *holder == key;
                        is_same && now.since(*at) < RETENTION.span
                    }));
                }
            }
            Ok(())
        })
        .seed((seed << 32) | 0x800);
    }
}
