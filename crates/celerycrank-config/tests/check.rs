//! Validation errors of invalid files, compared with snapshots.

use std::fmt::Write;

use celerycrank_config::{
    ListTexts, ValidationError, check_agent, check_direct_entry, check_entry, check_lists,
};

const GOOD: ListTexts<'_> = ListTexts {
    customers: include_str!("data/good-customers.json"),
    plans: include_str!("data/good-plans.json"),
};

const BAD: ListTexts<'_> = ListTexts {
    customers: include_str!("data/bad-customers.json"),
    plans: include_str!("data/bad-plans.json"),
};

fn lines(errors: &[ValidationError]) -> String {
    let mut text = String::new();
    for error in errors {
        writeln!(text, "{error}").unwrap();
    }
    text
}

#[test]
fn good_lists_are_read() {
    let (customers, plans) = check_lists(GOOD).unwrap();
    assert_eq!((customers.accounts.len(), plans.plans.len()), (2, 2));
}

#[test]
fn reports_every_error_of_both_lists() {
    let errors = check_lists(BAD).unwrap_err();
    insta::assert_snapshot!(errors.to_string());
}

#[test]
fn syntax_error_in_one_list_does_not_hide_errors_of_the_other() {
    let texts = ListTexts {
        customers: "{\n  \"accounts\": [\n",
        plans: BAD.plans,
    };
    let errors = check_lists(texts).unwrap_err();
    assert_eq!(errors.customers.len(), 1);
    assert_eq!(
        errors.customers[0].to_string(),
        "not valid JSON: EOF while parsing a list at line 3 column 0"
    );
    assert_eq!(errors.plans, check_lists(BAD).unwrap_err().plans);
}

#[test]
fn reports_every_error_of_the_settings() {
    let entry = check_entry(include_str!("data/bad-entry.json")).unwrap_err();
    insta::assert_snapshot!("entry_errors", lines(&entry));
    let agent = check_agent(include_str!("data/bad-agent.json")).unwrap_err();
    insta::assert_snapshot!("agent_errors", lines(&agent));
}

/// Guards against a field of the settings that the check does not know, upon which the process that
/// reads it does not start.
#[test]
fn the_check_knows_every_field_of_the_settings() {
    let text = include_str!("data/full-direct-entry.json");
    let settings = check_direct_entry(text).expect("all fields are known");
    let value = serde_json::to_value(&settings).expect("it encodes");
    let fields = value.as_object().expect("an object").values();
    assert!(
        fields.clone().all(|field| !field.is_null()),
        "the file has to give every field: {value}"
    );
}

/// Guards against a part of the memory that is larger than the whole.
#[test]
fn the_memory_of_the_prompt_cache_is_a_part_of_the_whole() {
    let errors = |memory: &str| {
        let text = format!(r#"{{"prompt_cache": {{"retention": "60s", "memory": "{memory}"}}}}"#);
        lines(&check_direct_entry(&text).unwrap_err())
    };
    assert!(!errors("0.9").contains("prompt_cache"));
    assert!(errors("1.1").contains("prompt_cache.memory"));
    assert!(errors("-1").contains("prompt_cache.memory"));
}

/// Validation must neither panic on corrupted lists nor accept one that cannot be parsed;
/// `check_lists` panics in the second case.
#[test]
fn damaged_lists_never_panic() {
    for seed in [0x0000_0001_0000_0080, 0x0000_0002_0000_0080] {
        arbtest::arbtest(|u| {
            let mut customers = GOOD.customers.as_bytes().to_vec();
            let mut plans = GOOD.plans.as_bytes().to_vec();
            for text in [&mut customers, &mut plans] {
                for _ in 0..u.int_in_range(0..=3)? {
                    let position = u.choose_index(text.len())?;
                    text[position] = *u.choose(b"\"{}[],:019-. /ax")?;
                }
            }
            let texts = ListTexts {
                customers: std::str::from_utf8(&customers).unwrap(),
                plans: std::str::from_utf8(&plans).unwrap(),
            };
            let _ = check_lists(texts).is_ok();
            Ok(())
        })
        .seed(seed);
    }
}
