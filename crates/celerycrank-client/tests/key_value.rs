//! Tests of the key-value client against the stand-in: effects, conflicts and errors.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_rt::time::timeout;
use celerycrank_client::{
    AnswerError, Expected, KeyValueClient, KeyValueError, KeyValueOperation, MAX_VALUE_BYTES,
    ModRevision, ReadPrefixes, RecordFeed, SendError, SwapOutcome, WatchEvent, WatchTarget,
};
use celerycrank_standin::{KeyValueFaults, KeyValueStandin, OutageKind};
use celerycrank_types::TimeSpan;

const TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// Maximum wait for an event that must happen; no test depends on it happening sooner.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start() -> (KeyValueStandin, KeyValueClient) {
    let standin = KeyValueStandin::start(loopback()).await.unwrap();
    let client = KeyValueClient::new(&[standin.url().into()], TIMEOUT);
    (standin, client)
}

fn written(outcome: SwapOutcome) -> ModRevision {
    match outcome {
        SwapOutcome::Written(revision) => revision,
        SwapOutcome::Conflict(found) => panic!("conflict with {found:?}"),
    }
}

#[actix_rt::test]
async fn swap_is_applied_only_at_the_expected_revision() {
    let (_standin, client) = start().await;
    assert_eq!(client.get("a").await.unwrap(), None);
    let first = client.compare_and_swap("a", Expected::Absent, "one".into());
    let first = written(first.await.unwrap());
    let second = client.compare_and_swap("a", Expected::At(first), "two".into());
    let second = written(second.await.unwrap());
    assert!(second > first);
    for stale in [Expected::Absent, Expected::At(first)] {
        let outcome = client.compare_and_swap("a", stale, "three".into()).await;
        let SwapOutcome::Conflict(Some(found)) = outcome.unwrap() else {
            panic!("a stale swap was applied");
        };
        assert_eq!((&*found.value, found.revision), (&b"two"[..], second));
    }
    assert!(client.delete("a").await.unwrap());
    assert!(!client.delete("a").await.unwrap());
    let outcome = client.compare_and_swap("a", Expected::At(second), "x".into());
    assert_eq!(outcome.await.unwrap(), SwapOutcome::Conflict(None));
}

#[actix_rt::test]
async fn range_returns_the_keys_of_its_prefix() {
    let (_standin, client) = start().await;
    for key in ["a/1", "a/2", "a0", "b"] {
        let swap = client.compare_and_swap(key, Expected::Absent, "v".into());
        written(swap.await.unwrap());
    }
    let snapshot = client.range("a/").await.unwrap();
    let keys = snapshot.records.iter().map(|record| &*record.key);
    assert_eq!(keys.collect::<Vec<_>>(), ["a/1", "a/2"]);
    assert_eq!(snapshot.revision, ModRevision(4));
}

#[actix_rt::test]
async fn lost_answer_is_an_unknown_outcome_of_an_applied_write() {
    let (standin, client) = start().await;
    standin.set_faults(KeyValueFaults {
        lost_answers: 1,
        ..KeyValueFaults::default()
    });
    let error = client.compare_and_swap("a", Expected::Absent, "one".into());
    let error = error.await.unwrap_err();
    assert!(
        matches!(error, KeyValueError::Unknown(AnswerError::Lost(_))),
        "{error}"
    );
    assert_eq!(client.get("a").await.unwrap().unwrap().value, "one");
}

#[actix_rt::test]
async fn outage_errors_tell_whether_the_call_was_sent() {
    let (standin, client) = start().await;
    for outage in [OutageKind::Refuse, OutageKind::Close, OutageKind::Hang] {
        standin.set_faults(KeyValueFaults {
            outage,
            ..KeyValueFaults::default()
        });
        let error = client.compare_and_swap("a", Expected::Absent, "one".into());
        let error = error.await.unwrap_err();
        assert!(!error.proves_no_effect(), "{outage:?}: {error}");
    }
    let address = standin.url().into();
    drop(standin);
    let client = KeyValueClient::new(&[address], TIMEOUT);
    let error = client.compare_and_swap("a", Expected::Absent, "one".into());
    let error = error.await.unwrap_err();
    assert!(
        matches!(error, KeyValueError::NotSent(SendError::Connect(_))),
        "{error}"
    );
}

#[actix_rt::test]
async fn write_goes_to_the_next_address_only_if_it_was_not_sent() {
    let down = KeyValueStandin::start(loopback()).await.unwrap();
    let down_url = Arc::<str>::from(down.url());
    drop(down);
    let (live, _) = start().await;
    let (hung, _) = start().await;
    hung.set_faults(KeyValueFaults {
        outage: OutageKind::Hang,
        ..KeyValueFaults::default()
    });
    let client = KeyValueClient::new(&[down_url, live.url().into()], TIMEOUT);
    let swap = client.compare_and_swap("a", Expected::Absent, "one".into());
    written(swap.await.unwrap());
    let client = KeyValueClient::new(&[hung.url().into(), live.url().into()], TIMEOUT);
    let swap = client.compare_and_swap("b", Expected::Absent, "one".into());
    assert_eq!(
        swap.await,
        Err(KeyValueError::Unknown(AnswerError::Timeout))
    );
    assert_eq!(client.get("b").await.unwrap(), None);
    assert_eq!(client.counters().sent(KeyValueOperation::Txn), 1);
    assert_eq!(client.counters().sent(KeyValueOperation::Range), 2);
    assert_eq!(client.counters().failed(KeyValueOperation::Range), 1);
}

#[actix_rt::test]
async fn oversized_value_is_not_sent() {
    let (standin, client) = start().await;
    let value = vec![0; MAX_VALUE_BYTES + 1].into();
    let error = client.compare_and_swap("a", Expected::Absent, value).await;
    let error = error.unwrap_err();
    assert!(matches!(
        error,
        KeyValueError::NotSent(SendError::ValueTooLarge(_))
    ));
    let value = vec![0; MAX_VALUE_BYTES].into();
    let swap = client.compare_and_swap("a", Expected::Absent, value).await;
    written(swap.unwrap());
    assert_eq!(
        client.get("a").await.unwrap().unwrap().value.len(),
        MAX_VALUE_BYTES
    );
    assert_eq!(standin.counts().writes, 1);
}

#[actix_rt::test]
async fn watch_delivers_every_change_in_order() {
    let (standin, client) = start().await;
    let swap = client.compare_and_swap("a/1", Expected::Absent, "one".into());
    let first = written(swap.await.unwrap());
    let target = WatchTarget::Prefix("a/".into());
    let mut watch = client.watch(&target, first).await.unwrap();
    assert_eq!(client.counters().waiting_watches(), 1);
    let swap = client.compare_and_swap("a/1", Expected::At(first), "two".into());
    let second = written(swap.await.unwrap());
    client.delete("a/1").await.unwrap();
    let WatchEvent::Put(record) = watch.next().await.unwrap() else {
        panic!("the first event is not a write");
    };
    assert_eq!((&*record.value, record.revision), (&b"one"[..], first));
    assert_eq!(watch.next().await.unwrap().revision(), second);
    let deleted = watch.next().await.unwrap();
    assert!(matches!(&deleted, WatchEvent::Deleted { key, .. } if &**key == "a/1"));
    let nothing = watch.next_within(TimeSpan::from_millis(5)).await;
    assert_eq!(nothing.unwrap(), None);
    standin.set_faults(KeyValueFaults {
        outage: OutageKind::Refuse,
        ..KeyValueFaults::default()
    });
    watch.next().await.unwrap_err();
    drop(watch);
    assert_eq!(client.counters().waiting_watches(), 0);
}

#[actix_rt::test]
async fn revoking_a_lease_deletes_its_keys() {
    let (_standin, client) = start().await;
    let grant = client.grant_lease(TimeSpan::from_secs(60)).await.unwrap();
    let swap = client.compare_and_swap_leased("a", Expected::Absent, "one".into(), grant.id);
    let revision = written(swap.await.unwrap());
    let renewed = client.keep_lease_alive(grant.id).await.unwrap();
    assert_eq!(renewed, Some(grant));
    let target = WatchTarget::Key("a".into());
    let mut watch = client.watch(&target, revision.next()).await.unwrap();
    client.revoke_lease(grant.id).await.unwrap();
    let event = watch.next().await.unwrap();
    assert!(matches!(event, WatchEvent::Deleted { .. }));
    assert_eq!(client.keep_lease_alive(grant.id).await.unwrap(), None);
    let error = client.revoke_lease(grant.id).await.unwrap_err();
    assert!(error.proves_no_effect(), "{error}");
}

#[actix_rt::test]
async fn lease_expires_unless_renewed() {
    let (_standin, client) = start().await;
    let grant = client.grant_lease(TimeSpan::from_millis(1)).await.unwrap();
    let swap = client.compare_and_swap_leased("a", Expected::Absent, "one".into(), grant.id);
    let revision = written(swap.await.unwrap());
    let target = WatchTarget::Key("a".into());
    let mut watch = client.watch(&target, revision.next()).await.unwrap();
    let event = watch.next().await.unwrap();
    assert!(matches!(event, WatchEvent::Deleted { .. }));
}

#[actix_rt::test]
async fn record_feed_delivers_the_latest_value() {
    let (standin, client) = start().await;
    let mut feed = RecordFeed::new(client.clone(), "a");
    assert_eq!(feed.next().await.unwrap(), None);
    let swap = client.compare_and_swap("a", Expected::Absent, "one".into());
    let first = written(swap.await.unwrap());
    // The write happens between the read and the watch, which starts at the revision of the
    // read and so must deliver it.
    let seen = timeout(EVENT_TIMEOUT, feed.next()).await;
    let seen = seen.expect("the feed delivers the write").unwrap();
    assert_eq!(seen.unwrap().value, "one");
    standin.set_faults(KeyValueFaults {
        outage: OutageKind::Refuse,
        ..KeyValueFaults::default()
    });
    feed.next().await.unwrap_err();
    feed.next().await.unwrap_err();
    standin.set_faults(KeyValueFaults::default());
    let swap = client.compare_and_swap("a", Expected::At(first), "two".into());
    written(swap.await.unwrap());
    assert_eq!(feed.next().await.unwrap().unwrap().value, "two");
    client.delete("a").await.unwrap();
    assert_eq!(feed.next().await.unwrap(), None);
    let counts = standin.counts();
    assert_eq!((counts.reads, counts.watches, counts.waiting), (2, 2, 1));
}

// Guards against a change that is applied after a later state was read: the deletion of a key that was
// written again would be in force until the next poll.
#[actix_rt::test]
async fn changes_before_a_read_are_not_applied_after_it() {
    let (_standin, client) = start().await;
    let first = client.compare_and_swap("a/x", Expected::Absent, "1".into());
    let mut polled_from = written(first.await.unwrap());
    client.delete("a/x").await.unwrap();
    for key in ["a/x", "b/x"] {
        let again = client.compare_and_swap(key, Expected::Absent, "2".into());
        written(again.await.unwrap());
    }
    let mut read = ReadPrefixes::default();
    read.note("a/", client.range("a/").await.unwrap().revision);
    client.delete("a/x").await.unwrap();
    let mut changes = Vec::new();
    while changes.len() < 4 {
        let poll = client.poll_changes("", polled_from, TIMEOUT);
        let batch = poll.await.unwrap();
        polled_from = batch.revision;
        changes.extend(batch.events);
    }
    let is_applied = changes.iter().map(|event| !read.include(event));
    assert_eq!(is_applied.collect::<Vec<_>>(), [false, false, true, true]);
}
