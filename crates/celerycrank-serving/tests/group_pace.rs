//! Where streams go while one of two lock-step groups is slow or stands still.

use celerycrank_serving::{
    BackendRegistration, BackendTable, ChoiceQuery, LoadReport, RegistrationState, choose_backend,
};
use celerycrank_types::{BackendId, GroupId, ServiceId, TimePoint, TimeSpan};
use rand::{SeedableRng, rngs::StdRng};

const RANKS: u16 = 96;
const CHOICES: usize = 1_000;
const GAP_TARGET: TimeSpan = TimeSpan::from_millis(150);
const GROUPS: [&str; 2] = ["g0", "g1"];

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * 1_000)
}

fn service() -> ServiceId {
    "drafts".parse().expect("a valid name")
}

fn group(index: usize) -> GroupId {
    GROUPS[index].parse().expect("a valid name")
}

fn backend(group: usize, rank: u16) -> BackendId {
    let name = format!("w{group}-{rank}");
    name.parse().expect("a valid name")
}

/// Two groups whose ranks report the same load.
fn table() -> BackendTable {
    let mut table = BackendTable::default();
    let ranks = (0..GROUPS.len()).flat_map(|group| (0..RANKS).map(move |rank| (group, rank)));
    let registrations = ranks.clone().map(|(group, rank)| BackendRegistration {
        backend: backend(group, rank),
        service: service(),
        address: ([10, 0, u8::try_from(group).unwrap(), 1], 8_000 + rank).into(),
        domain: "a".parse().expect("a valid name"),
        slots: 6,
        state: RegistrationState::Ready,
        incarnation: 1,
        warm_up_remaining: TimeSpan::ZERO,
    });
    table.replace(registrations.collect(), at(0));
    for (group, rank) in ranks {
        report(&mut table, group, rank, 3, at(0));
    }
    table
}

fn report(table: &mut BackendTable, index: usize, rank: u16, running: u32, now: TimePoint) {
    let report = LoadReport {
        running,
        waiting: 0,
        pace: 1.0,
        group: Some(group(index)),
        is_open: true,
    };
    let state = table.find_mut(&backend(index, rank));
    state.expect("it is listed").load.observe(report, now);
}

/// Streams of both groups, with these gaps in milliseconds between their events.
fn play(table: &mut BackendTable, gaps: [u64; 2], until: u64) {
    for (index, gap) in gaps.into_iter().enumerate() {
        for rank in 0..4 {
            table.begin_stream(&backend(index, rank), at(0));
        }
        for now in (gap..=until).step_by(usize::try_from(gap).unwrap()) {
            for _ in 0..4 {
                table.note_event(&group(index), TimeSpan::from_millis(gap), at(now));
            }
        }
    }
}

/// The part of the choices that fall on the first group.
fn part_of_first(table: &BackendTable, now: TimePoint) -> f64 {
    let mut random = StdRng::seed_from_u64(7);
    let query = ChoiceQuery {
        service: &service(),
        domain: &"a".parse().expect("a valid name"),
        tried: &[],
        gap_target: Some(GAP_TARGET),
        now,
    };
    let chosen = (0..CHOICES).map(|_| choose_backend(table, &query, &mut random));
    let in_first = chosen.filter(|state| {
        let state = state.expect("all are usable");
        state.load.group() == Some(&group(0))
    });
    in_first.count() as f64 / CHOICES as f64
}

#[test]
fn groups_within_the_target_share_streams_evenly() {
    let mut table = table();
    play(&mut table, [90, 140], 1_000);
    let part = part_of_first(&table, at(1_000));
    assert!((0.4..0.6).contains(&part), "{part}");
}

/// One rank is slow by a factor of several; the others of its group report the usual load.
#[test]
fn streams_avoid_a_group_with_a_slow_rank() {
    let mut table = table();
    play(&mut table, [400, 100], 1_200);
    let part = part_of_first(&table, at(1_200));
    assert!(part < 0.05, "{part}");
}

/// A group that is held sends no events at all.
#[test]
fn streams_avoid_a_group_that_stands_still_and_return_when_it_goes_on() {
    let mut table = table();
    play(&mut table, [100, 100], 600);
    for now in (700..=1_200).step_by(100) {
        table.note_event(&group(1), TimeSpan::from_millis(100), at(now));
    }
    let part = part_of_first(&table, at(1_200));
    assert!(part < 0.05, "{part}");
    for now in (1_300..=5_000).step_by(100) {
        for index in 0..2 {
            table.note_event(&group(index), TimeSpan::from_millis(100), at(now));
        }
    }
    for rank in 0..RANKS {
        report(&mut table, 0, rank, 3, at(5_000));
        report(&mut table, 1, rank, 3, at(5_000));
    }
    let part = part_of_first(&table, at(5_000));
    assert!((0.4..0.6).contains(&part), "{part}");
}

/// Streams beyond the places of the good group would wait there, and delay those behind them.
#[test]
fn a_slow_group_takes_the_streams_for_which_the_other_one_has_no_place() {
    let mut table = table();
    play(&mut table, [300, 100], 1_200);
    for rank in 0..RANKS {
        report(&mut table, 0, rank, 2, at(1_200));
        report(&mut table, 1, rank, 7, at(1_200));
    }
    let part = part_of_first(&table, at(1_200));
    assert!(part > 0.9, "{part}");
    for rank in 0..RANKS {
        report(&mut table, 1, rank, 5, at(1_200));
    }
    let part = part_of_first(&table, at(1_200));
    assert!(part < 0.05, "{part}");
}

#[test]
fn nothing_is_concluded_from_a_group_without_streams() {
    let mut table = table();
    play(&mut table, [400, 100], 1_200);
    for _ in 0..4 {
        table.finish_stream(&group(0));
    }
    let pause = 5_000;
    for now in (1_300..=pause).step_by(100) {
        table.note_event(&group(1), TimeSpan::from_millis(100), at(now));
    }
    let part = part_of_first(&table, at(pause));
    assert!((0.4..0.6).contains(&part), "{part}");
}
