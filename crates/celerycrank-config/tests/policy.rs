//! Key lookup, access rules and request policies of accounts, and the change history.

use std::sync::Arc;

use celerycrank_config::{
    ClientAccount, Configuration, ConfigurationRecord, KeyHash, ListChange, ListTexts, MAX_HISTORY,
    PolicyTable, RepeatRule, RequestTarget, ResolvedOffer, check_lists, diff_lists,
    is_normalized_path,
};
use celerycrank_types::{RefusalReason, Revision};

fn configuration() -> Configuration {
    let texts = ListTexts {
        customers: include_str!("data/good-customers.json"),
        plans: include_str!("data/good-plans.json"),
    };
    let (customers, plans) = check_lists(texts).unwrap();
    Configuration {
        revision: Revision(1),
        customers,
        plans,
    }
}

fn path<'a>(method: &'a str, path: &'a str) -> RequestTarget<'a> {
    RequestTarget::Path { method, path }
}

#[test]
fn keys_identify_their_account() {
    let table = PolicyTable::new(&configuration());
    for (key, account) in [
        ("one", "quarry-1"),
        ("two", "quarry-1"),
        ("three", "atelier"),
    ] {
        let index = table.authenticate(key).unwrap();
        assert_eq!(table.account(index).as_str(), account);
    }
    for key in ["", "One", "four", "sha256:"] {
        assert_eq!(table.authenticate(key), None, "{key}");
    }
}

#[test]
fn the_longest_prefix_wins_by_whole_segments() {
    let table = PolicyTable::new(&configuration());
    let index = table.authenticate("one").unwrap();
    let cases = [
        ("POST", "/bids", "bids", RepeatRule::Keyed),
        ("POST", "/bids/42", "bids", RepeatRule::Keyed),
        ("GET", "/bids/42", "bids", RepeatRule::Never),
        ("POST", "/bidsx", "catalogue", RepeatRule::Repeatable),
        ("GET", "/", "catalogue", RepeatRule::Repeatable),
    ];
    for (method, text, service, repeat) in cases {
        let policy = table.resolve(index, path(method, text)).unwrap();
        let offer = ResolvedOffer::Service(service.parse().unwrap());
        assert_eq!((policy.offer, policy.repeat), (offer, repeat), "{text}");
    }
    let policy = table
        .resolve(index, RequestTarget::Model("drafter"))
        .unwrap();
    assert_eq!(policy.repeat, RepeatRule::Never);
    assert_eq!(policy.share.get(), 5);
}

#[test]
fn uses_outside_the_plan_are_refused() {
    let table = PolicyTable::new(&configuration());
    let index = table.authenticate("three").unwrap();
    for target in [
        path("POST", "/bids/42"),
        path("GET", "/"),
        path("GET", "/cataloguex"),
        RequestTarget::Model("drafter"),
    ] {
        assert_eq!(
            table.resolve(index, target),
            Err(RefusalReason::OutsidePlan)
        );
    }
}

#[test]
fn ambiguous_paths_are_refused() {
    let table = PolicyTable::new(&configuration());
    let index = table.authenticate("three").unwrap();
    for text in [
        "/catalogue/../bids",
        "/catalogue/%2e%2E/bids",
        "/catalogue%2fx",
        "/catalogue/./x",
        "/catalogue//x",
        "/catalogue\\..\\bids",
        "/catalogue/%252e%252e/bids",
        "catalogue",
    ] {
        assert!(!is_normalized_path(text), "{text}");
        let refused = table.resolve(index, path("GET", text));
        assert_eq!(refused, Err(RefusalReason::BadRequest), "{text}");
    }
    assert!(is_normalized_path("/catalogue/lot..42/.well-known"));
}

#[test]
fn reports_semantic_changes() {
    let old = configuration();
    let mut new = old.clone();
    new.customers.accounts[0].plan = "plain".parse().unwrap();
    new.customers.accounts[0].keys.pop();
    new.customers.accounts.remove(1);
    new.plans.plans[1].share = "3".parse().unwrap();
    new.plans.plans[1].rate = Some("50/s".parse().unwrap());
    new.plans.plans[0].uses.remove(1);
    let changes = diff_lists((&old.customers, &old.plans), (&new.customers, &new.plans));
    let lines = changes.iter().map(ToString::to_string);
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
    // The order of accounts and plans in the lists is not significant.
    let mut reordered = old.clone();
    reordered.customers.accounts.reverse();
    reordered.plans.plans.reverse();
    let changes = diff_lists(
        (&old.customers, &old.plans),
        (&reordered.customers, &reordered.plans),
    );
    assert_eq!(changes, []);
}

#[test]
fn record_history_is_bounded() {
    let current = configuration();
    let mut record = ConfigurationRecord {
        revision: Revision(0),
        nonce: "n".into(),
        author: "ana".into(),
        note: "".into(),
        at: 0,
        customers: current.customers,
        plans: current.plans,
        changes: Vec::new(),
    };
    for _ in 0..MAX_HISTORY + 7 {
        record.revision = record.revision.next();
        record.append_change(Vec::new());
    }
    assert_eq!(record.changes.len(), MAX_HISTORY);
    assert_eq!(record.changes[0].revision, Revision(8));
}

/// Maximum size of a value in the key-value service.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The record at its design size, 680 accounts with two keys each and a full history of
/// large changes, must take less than half of the key-value service's size limit.
#[test]
fn record_of_design_size_fits_the_key_value_service() {
    let current = configuration();
    let account = |number: usize| ClientAccount {
        account: format!("client-account-number-{number:04}")
            .parse()
            .unwrap(),
        plan: "gold".parse().unwrap(),
        keys: [KeyHash::of_key("a"), KeyHash::of_key("b")].into(),
    };
    let mut record = ConfigurationRecord {
        revision: Revision(0),
        nonce: "0".repeat(32).into(),
        author: Arc::from("an operator with a long name"),
        note: "n".repeat(200).into(),
        at: 1_800_000_000,
        customers: current.customers,
        plans: current.plans,
        changes: Vec::new(),
    };
    record.customers.accounts = (0..680).map(account).collect();
    for _ in 0..MAX_HISTORY {
        record.revision = record.revision.next();
        let changes = record
            .customers
            .accounts
            .iter()
            .map(|entry| ListChange::AccountPlan {
                account: entry.account.clone(),
                from: "gold".parse().unwrap(),
                to: "plain".parse().unwrap(),
            });
        record.append_change(changes.collect());
    }
    let size = serde_json::to_vec(&record).unwrap().len();
    println!("record of 680 accounts: {size} bytes");
    assert!(size < MAX_VALUE_BYTES / 2, "{size} bytes");
}
