//! Every text format parses back to the value that it was formatted from.

use std::{fmt::Display, str::FromStr};

use celerycrank_types::{
    AccountId, ByteSize, DecimalSpan, LinkRate, PromptPartId, RefusalReason, RequestId,
    RetryReason, ShareWeight, TimeSpan, TokenRate, UnknownReason,
};

/// Number of runs of each property; the low half of a seed is the size of its input.
const RUNS: u64 = 256;

fn assert_round_trip<T>(value: &T)
where
    T: Display + FromStr + PartialEq + std::fmt::Debug,
    T::Err: std::fmt::Debug,
{
    assert_eq!(value.to_string().parse::<T>().unwrap(), *value);
}

#[test]
fn quantities_round_trip() {
    for run in 1..=RUNS {
        arbtest::arbtest(|u| {
            assert_round_trip(&TimeSpan(u.arbitrary()?));
            assert_round_trip(&ByteSize(u.arbitrary()?));
            assert_round_trip(&TokenRate(u.arbitrary()?));
            assert_round_trip(&LinkRate(u.arbitrary::<u64>()?.max(1)));
            assert_round_trip(&RequestId(u.arbitrary()?));
            Ok(())
        })
        .seed((run << 32) | 0x40);
    }
}

#[test]
fn labels_round_trip() {
    RefusalReason::ALL.iter().for_each(assert_round_trip);
    RetryReason::ALL.iter().for_each(assert_round_trip);
    UnknownReason::ALL.iter().for_each(assert_round_trip);
}

#[test]
fn text_formats() {
    assert_eq!(TimeSpan::from_millis(250).to_string(), "250ms");
    assert_eq!(TimeSpan::from_secs(120).to_string(), "2m");
    assert_eq!(ByteSize(65_536).to_string(), "64KiB");
    assert_eq!(TokenRate(1_200).to_string(), "1200/s");
    assert_eq!(LinkRate(6_000).to_string(), "6Mbit/s");
    assert_eq!(LinkRate(1_050).to_string(), "1.05Mbit/s");
    assert_eq!("6.0Mbit/s".parse(), Ok(LinkRate(6_000)));
}

#[test]
fn invalid_texts_are_rejected() {
    for text in ["", "5", "ms", "-1s", "1.5s", "5 s", "99999999999999999h"] {
        assert!(text.parse::<TimeSpan>().is_err(), "{text}");
    }
    for text in [
        "",
        "6",
        "0Mbit/s",
        "-1Mbit/s",
        ".5Mbit/s",
        "1.Mbit/s",
        "1.x Mbit/s",
    ] {
        assert!(text.parse::<LinkRate>().is_err(), "{text}");
    }
    for text in ["", "5", "KiB", "5kb", "99999999999999999GiB"] {
        assert!(text.parse::<ByteSize>().is_err(), "{text}");
    }
    for text in ["", "Lisboa", "a b", "é", "a/b"] {
        assert!(text.parse::<AccountId>().is_err(), "{text}");
    }
    "0".parse::<ShareWeight>().unwrap_err();
    serde_json::from_str::<ShareWeight>("0").unwrap_err();
}

#[test]
fn decimal_spans_accept_a_decimal_point() {
    let read = |text: &str| text.parse::<DecimalSpan>().map(|span| span.0);
    assert_eq!(read("1.5s"), Ok(TimeSpan::from_millis(1_500)));
    assert_eq!(read("8.0s"), Ok(TimeSpan::from_secs(8)));
    assert_eq!(read("250ms"), Ok(TimeSpan::from_millis(250)));
    for text in ["", "1.5", ".5s", "1.s", "1.x5s", "-1.5s", "1.5.5s", "ms"] {
        read(text).expect_err(text);
    }
}

// Guards against prompt parts that are unknown to an entry since their IDs are digests of more than 128
// bits (review/9), and against one part that counts as two.
#[test]
fn prompt_parts_have_ids_of_any_length() {
    let read = |text: &str| text.parse::<PromptPartId>();
    assert_eq!(read("0b"), Ok(PromptPartId(11)));
    assert_eq!(read(&"f".repeat(32)), Ok(PromptPartId(u128::MAX)));
    assert_eq!(read(&format!("{:0>64}", "B")), Ok(PromptPartId(11)));
    for length in [33, 40, 64, 128, 4_000] {
        let digits = "5c1e07a2".repeat(length / 8 + 1);
        let id = read(&digits[..length]).expect("a hexadecimal number");
        assert_round_trip(&id);
        assert_eq!(
            read(&format!("000{}", &digits[..length].to_uppercase())),
            Ok(id)
        );
        for place in 0..length {
            let mut other = digits[..length].to_owned();
            other.replace_range(place..=place, "d");
            assert_ne!(read(&other), Ok(id), "digit {place} of {length}");
        }
    }
    let long = "a".repeat(40);
    for text in [
        "",
        "x",
        &format!("{long}x"),
        &format!("-{long}"),
        &format!("+{long}"),
    ] {
        read(text).expect_err(text);
    }
}
