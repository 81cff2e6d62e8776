//! Tests that only complete events are returned, each once and in order.

use arbtest::arbtest;
use celerycrank_serving::{EventError, EventReader};

fn stream(numbers: std::ops::Range<u64>) -> Vec<u8> {
    let events = numbers.map(|number| format!("id: {number}\ndata: x\\n{number}\n\n"));
    events.collect::<String>().into_bytes()
}

#[test]
fn complete_events_are_returned_for_any_chunking() {
    for seed in 0..256 {
        arbtest(|u| {
            let bytes = stream(1..20);
            let mut reader = EventReader::after(None);
            let mut rest = bytes.as_slice();
            let mut returned = Vec::new();
            while !rest.is_empty() {
                let size = u.int_in_range(1..=rest.len())?;
                let (chunk, remainder) = rest.split_at(size);
                let events = reader.push(chunk).expect("in order");
                assert!(events.is_empty() || events.ends_with(b"\n\n"));
                returned.extend_from_slice(&events);
                rest = remainder;
            }
            assert_eq!(returned, bytes);
            assert!(reader.is_between_events());
            assert_eq!(reader.last_event(), Some(19));
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut reader = EventReader::after(None);
    let returned = reader
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("in order");
    assert_eq!(&*returned, b"id: 1\ndata: a\n\n");
    assert!(!reader.is_between_events());
    assert_eq!(reader.last_event(), Some(1));
}

#[test]
fn a_stream_resumes_after_the_last_event_or_fails() {
    let mut reader = EventReader::after(Some(4));
    let returned = reader.push(&stream(5..7)).expect("in order");
    assert_eq!(&*returned, stream(5..7));
    let mut duplicated = EventReader::after(Some(4));
    let error = Err(EventError::OutOfOrder { last: 4, found: 4 });
    assert_eq!(duplicated.push(&stream(4..6)), error);
    let mut gap = EventReader::after(Some(4));
    let error = Err(EventError::OutOfOrder { last: 4, found: 6 });
    assert_eq!(gap.push(&stream(6..8)), error);
}

#[test]
fn events_of_a_rejected_read_do_not_count_as_returned() {
    let mut reader = EventReader::after(Some(4));
    reader.push(&stream(5..6)).expect("in order");
    let bytes = [stream(6..8), stream(9..10)].concat();
    let error = Err(EventError::OutOfOrder { last: 7, found: 9 });
    assert_eq!(reader.push(&bytes), error);
    assert_eq!(reader.last_event(), Some(5), "a resumed stream follows it");
    let mut fresh = EventReader::after(None);
    let bytes = [stream(1..3), stream(1..2)].concat();
    let error = Err(EventError::OutOfOrder { last: 2, found: 1 });
    assert_eq!(fresh.push(&bytes), error);
    assert_eq!((fresh.last_event(), fresh.has_events()), (None, false));
}

#[test]
fn empty_lines_after_an_event_are_returned() {
    let mut reader = EventReader::after(None);
    let pieces: [&[u8]; 4] = [b"id: 1\ndata: a\n\n\n", b"\r\n", b"\r", b"\n"];
    let mut returned = Vec::new();
    for piece in pieces {
        returned.extend_from_slice(&reader.push(piece).expect("in order"));
    }
    assert_eq!(returned, pieces.concat());
    assert!(reader.is_between_events(), "the stream may end here");
    let mut unused = EventReader::after(None);
    assert_eq!(&*unused.push(b"\n").expect("in order"), b"");
    assert!(!unused.has_events());
}

#[test]
fn lines_may_end_with_crlf() {
    let mut reader = EventReader::after(None);
    let bytes = b"id: 1\r\ndata: a\r\n\r\n";
    assert_eq!(&*reader.push(bytes).expect("in order"), bytes);
    assert_eq!(reader.last_event(), Some(1));
}
