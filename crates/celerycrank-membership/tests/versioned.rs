//! A document's revision never decreases, and a starting process gets the revision in force.

use std::sync::Arc;

use celerycrank_membership::{
    BootstrapOutcome, BootstrapQuorum, OfferOutcome, RevisionComparison, VersionedDocument,
};
use celerycrank_types::{Revision, VmId};

/// Number of runs per property. The low 32 bits of a seed are the size of its input.
const RUNS: u64 = 256;

fn seeds(first: u64) -> impl Iterator<Item = u64> {
    (0..RUNS).map(move |run| ((first + run) << 32) | 0x800)
}

#[test]
fn revision_never_decreases() {
    for seed in seeds(0x300) {
        arbtest::arbtest(|u| {
            let mut versioned = VersionedDocument::new();
            let mut newest = Revision(0);
            for _ in 0..64 {
                let offered = Revision(u.int_in_range(1..=20)?);
                let outcome = versioned.offer(offered, Arc::new(offered));
                newest = newest.max(offered);
                assert_eq!(versioned.revision(), newest);
                assert_eq!(
                    versioned.document().map(|document| **document),
                    Some(newest)
                );
                assert_eq!(outcome == OfferOutcome::Older, offered < newest);
            }
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn compares_peer_revisions() {
    let mut versioned = VersionedDocument::new();
    assert_eq!(
        versioned.compare_revision(Revision(0)),
        RevisionComparison::BothEmpty
    );
    assert_eq!(
        versioned.compare_revision(Revision(3)),
        RevisionComparison::SelfBehind
    );
    versioned.offer(Revision(3), Arc::new(()));
    assert_eq!(
        versioned.compare_revision(Revision(3)),
        RevisionComparison::Equal
    );
    assert_eq!(
        versioned.compare_revision(Revision(2)),
        RevisionComparison::PeerBehind
    );
    assert_eq!(
        versioned.compare_revision(Revision(0)),
        RevisionComparison::PeerBehind
    );
    assert_eq!(
        versioned.compare_revision(Revision(4)),
        RevisionComparison::SelfBehind
    );
}

#[test]
fn bootstrap_requires_a_majority() {
    let watchers = ["a", "b", "c"].map(|name| name.parse::<VmId>().unwrap());
    let mut quorum = BootstrapQuorum::default();
    quorum.record_answer(&watchers[0], 3, Revision(4), Arc::new(4));
    quorum.record_answer(&watchers[0], 3, Revision(4), Arc::new(4));
    assert_eq!(
        quorum.outcome(),
        BootstrapOutcome::Waiting {
            answered: 1,
            needed: 2
        }
    );
    quorum.record_answer(&watchers[2], 3, Revision(5), Arc::new(5));
    assert_eq!(
        quorum.outcome(),
        BootstrapOutcome::QuorumReached(Revision(5), Arc::new(5))
    );
}

#[test]
fn stale_watcher_cannot_roll_back_a_starting_process() {
    for seed in seeds(0x700) {
        arbtest::arbtest(|u| {
            let watchers = ["a", "b", "c"].map(|name| name.parse::<VmId>().unwrap());
            let in_force = Revision(u.int_in_range(2..=100)?);
            let frozen = u.choose_index(watchers.len())?;
            let mut quorum = BootstrapQuorum::default();
            let mut order = [0, 1, 2];
            order.swap(0, u.choose_index(3)?);
            order.swap(1, 1 + u.choose_index(2)?);
            for index in order {
                let revision = if index == frozen {
                    Revision(1)
                } else {
                    in_force
                };
                quorum.record_answer(&watchers[index], 3, revision, Arc::new(revision));
                if let BootstrapOutcome::QuorumReached(adopted, _) = quorum.outcome() {
                    assert_eq!(adopted, in_force);
                }
            }
            Ok(())
        })
        .seed(seed);
    }
}
