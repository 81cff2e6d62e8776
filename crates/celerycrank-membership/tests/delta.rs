//! A delta turns its base into the next configuration and can't be applied to any other.

use celerycrank_config::{ClientAccount, Configuration, KeyHash, PlanDefinition, PriorityClass};
use celerycrank_membership::{ConfigurationDelta, DeltaError, DeltaLog, UpdateMessage};
use celerycrank_types::{Revision, ShareWeight, TimeSpan};
use smallvec::smallvec;

/// Number of runs per property. The low 32 bits of a seed are the size of its input.
const RUNS: u64 = 256;

fn seeds(first: u64) -> impl Iterator<Item = u64> {
    (0..RUNS).map(move |run| ((first + run) << 32) | 0x800)
}

fn account(number: u8, key: u8) -> ClientAccount {
    ClientAccount {
        account: format!("account-{number}").parse().unwrap(),
        plan: "plan-0".parse().unwrap(),
        keys: smallvec![KeyHash::of_key(&key.to_string())],
    }
}

fn plan(number: u8, share: u8) -> PlanDefinition {
    PlanDefinition {
        plan: format!("plan-{number}").parse().unwrap(),
        share: ShareWeight::try_from(u32::from(share) + 1).unwrap(),
        priority: PriorityClass::Normal,
        rate: None,
        deadline: TimeSpan::from_secs(1),
        uses: Vec::new(),
    }
}

fn sample(u: &mut arbtest::arbitrary::Unstructured<'_>, revision: u64) -> SampleResult {
    let mut configuration = Configuration {
        revision: Revision(revision),
        ..Default::default()
    };
    for number in 0..12 {
        if u.ratio(2, 3)? {
            configuration
                .customers
                .accounts
                .push(account(number, u.int_in_range(0..=2)?));
        }
        if u.ratio(2, 3)? {
            configuration
                .plans
                .plans
                .push(plan(number, u.int_in_range(0..=2)?));
        }
    }
    if u.arbitrary()? {
        configuration.customers.accounts.reverse();
    }
    Ok(configuration)
}

type SampleResult = arbtest::arbitrary::Result<Configuration>;

fn sort_lists(mut configuration: Configuration) -> Configuration {
    configuration
        .customers
        .accounts
        .sort_by(|a, b| a.account.cmp(&b.account));
    configuration
        .plans
        .plans
        .sort_by(|a, b| a.plan.cmp(&b.plan));
    configuration
}

#[test]
fn delta_reproduces_the_next_configuration() {
    for seed in seeds(0x1300) {
        arbtest::arbtest(|u| {
            let old = sample(u, 1)?;
            let new = sample(u, 2)?;
            let delta = ConfigurationDelta::between(&old, &new);
            assert_eq!(sort_lists(delta.apply(&old).unwrap()), sort_lists(new));
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn rejects_a_delta_for_another_revision() {
    let old = Configuration {
        revision: Revision(1),
        ..Default::default()
    };
    let new = Configuration {
        revision: Revision(2),
        ..Default::default()
    };
    let delta = ConfigurationDelta::between(&old, &new);
    let error = delta.apply(&new).unwrap_err();
    assert_eq!(
        error,
        DeltaError::BaseMismatch {
            expected: Revision(1),
            found: Revision(2)
        }
    );
}

#[test]
fn rejects_a_base_with_different_content() {
    let old = Configuration {
        revision: Revision(1),
        ..Default::default()
    };
    let new = Configuration {
        revision: Revision(2),
        ..Default::default()
    };
    let delta = ConfigurationDelta::between(&old, &new);
    let mut other = old;
    other.customers.accounts.push(account(1, 1));
    assert_eq!(
        delta.apply(&other).unwrap_err(),
        DeltaError::ChecksumMismatch
    );
}

#[test]
fn log_brings_every_peer_up_to_date() {
    for seed in seeds(0x1500) {
        arbtest::arbtest(|u| {
            let mut history = vec![sample(u, 1)?];
            let mut log = DeltaLog::default();
            for revision in 2..=8 {
                let next = sample(u, revision)?;
                log.record(&history[history.len() - 1], &next);
                history.push(next);
            }
            let current = &history[history.len() - 1];
            let peer = &history[u.choose_index(history.len() - 1)?];
            let UpdateMessage::Deltas(deltas) = log.update_for(peer.revision, current) else {
                panic!("the log must cover revision 1");
            };
            let reached = deltas
                .iter()
                .fold(peer.clone(), |old, delta| delta.apply(&old).unwrap());
            assert_eq!(sort_lists(reached), sort_lists(current.clone()));
            let for_unknown_revision = log.update_for(Revision(0), current);
            assert_eq!(for_unknown_revision, UpdateMessage::Whole(current.clone()));
            Ok(())
        })
        .seed(seed);
    }
}
