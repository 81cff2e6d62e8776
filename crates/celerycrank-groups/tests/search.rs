//! Searches for missing agents: soon at first, and rarely if an agent stays away.

use celerycrank_groups::SearchBackoff;

/// The rounds, counted from 0, in which a leader searches while its group stays incomplete.
fn searches(backoff: &mut SearchBackoff, rounds: u32) -> Vec<u32> {
    let mut found = Vec::new();
    for round in 0..rounds {
        if backoff.begin_round(false) {
            found.push(round);
        }
    }
    found
}

#[test]
fn searches_become_rare_while_an_agent_stays_away() {
    let mut backoff = SearchBackoff::default();
    assert_eq!(searches(&mut backoff, 64), [0, 1, 3, 7, 15, 31, 47, 63]);
}

#[test]
fn a_group_that_was_complete_is_searched_at_once_when_it_is_not() {
    let mut backoff = SearchBackoff::default();
    searches(&mut backoff, 20);
    assert!(!backoff.begin_round(true));
    assert_eq!(searches(&mut backoff, 4), [0, 1, 3]);
}

/// 150 groups of 8 in a service of 1,200 VMs, each of which lacks one agent for 10 minutes.
#[test]
fn leaders_that_each_lack_an_agent_stay_within_the_budget_of_a_node() {
    const VMS: u64 = 1_200;
    const HELLO_BYTES: u64 = 60;
    const ROUND_MILLIS: u64 = 700;
    const BUDGET_BYTES_PER_SECOND: u64 = 18_000;
    let rounds = 600_000 / ROUND_MILLIS;
    let mut backoff = SearchBackoff::default();
    let count = searches(&mut backoff, u32::try_from(rounds).unwrap()).len() as u64;
    let bytes_per_second = count * VMS * HELLO_BYTES / 600;
    assert!(
        bytes_per_second <= BUDGET_BYTES_PER_SECOND,
        "{bytes_per_second}"
    );
}
