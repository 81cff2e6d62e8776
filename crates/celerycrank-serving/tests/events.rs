//! Only whole events are passed on, each once and in order.

use arbtest::arbtest;
use celerycrank_serving::{EventError, EventReader};

fn stream(numbers: std::ops::Range<u64>) -> Vec<u8> {
    let events = numbers.map(|number| format!("id: {number}\ndata: x\\n{number}\n\n"));
    events.collect::<String>().into_bytes()
}

#[test]
fn whole_events_come_out_however_the_bytes_arrive() {
    for seed in 0..256 {
        arbtest(|u| {
            let bytes = stream(1..20);
            let mut reader = EventReader::after(None);
            let mut rest = bytes.as_slice();
            let mut passed = Vec::new();
            while !rest.is_empty() {
                let size = u.int_in_range(1..=rest.len())?;
                let (piece, behind) = rest.split_at(size);
                let events = reader.push(piece).expect("in order");
                assert!(events.is_empty() || events.ends_with(b"\n\n"));
                passed.extend_from_slice(&events);
                rest = behind;
            }
            assert_eq!(passed, bytes);
            assert!(reader.is_between_events());
            assert_eq!(reader.last_event(), Some(19));
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn a_broken_event_is_held_back() {
    let mut reader = EventReader::after(None);
    let passed = reader
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("in order");
    assert_eq!(&*passed, b"id: 1\ndata: a\n\n");
    assert!(!reader.is_between_events());
    assert_eq!(reader.last_event(), Some(1));
}

#[test]
fn a_stream_goes_on_behind_the_last_event_or_not_at_all() {
    let mut reader = EventReader::after(Some(4));
    let passed = reader.push(&stream(5..7)).expect("in order");
    assert_eq!(&*passed, stream(5..7));
    let mut doubled = EventReader::after(Some(4));
    let fault = Err(EventError::OutOfOrder { last: 4, found: 4 });
    assert_eq!(doubled.push(&stream(4..6)), fault);
    let mut gap = EventReader::after(Some(4));
    let fault = Err(EventError::OutOfOrder { last: 4, found: 6 });
    assert_eq!(gap.push(&stream(6..8)), fault);
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut reader = EventReader::after(None);
    let bytes = b"id: 1\r\ndata: a\r\n\r\n";
    assert_eq!(&*reader.push(bytes).expect("in order"), bytes);
    assert_eq!(reader.last_event(), Some(1));
}
