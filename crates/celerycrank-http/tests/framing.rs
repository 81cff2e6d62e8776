//! Tests that bodies are read up to their end and no further, however the bytes are split.

use arbtest::arbtest;
use bytes::BytesMut;
use celerycrank_http::{
    BodyDecoder, BodyFraming, BodyStep, FramingError, HeadError, HeadParser, MessageWriter,
    parse_request, parse_response,
};

const LIMIT: usize = 16 << 10;

/// Seeds of the random tests.
const SEEDS: std::ops::Range<u64> = 0..256;

/// Names of fields that hold a blank or a control byte, or are empty.
const MALFORMED_NAMES: [&str; 14] = [
    "X Field",
    "X-Field ",
    " X-Field",
    "X-Field\t",
    "\tX-Field",
    "X\tField",
    "X\0Field",
    "X\u{1}Field",
    "X\u{b}Field",
    "X\u{1f}Field",
    "X\u{7f}Field",
    "Content-Length ",
    "Transfer-Encoding ",
    "",
];

/// Decodes a body that is received in these pieces; also returns the remaining bytes.
fn read(framing: BodyFraming, pieces: &[&[u8]]) -> Result<(Vec<u8>, Vec<u8>), FramingError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    for piece in pieces {
        buffer.extend_from_slice(piece);
        while let BodyStep::Data(data) = decoder.decode(&mut buffer)? {
            body.extend_from_slice(&data);
        }
    }
    decoder.finish()?;
    Ok((body, buffer.to_vec()))
}

fn request_framing(head: &str) -> Result<BodyFraming, String> {
    let mut buffer = BytesMut::from(head);
    let head = parse_request(&mut buffer, LIMIT).map_err(|error| error.to_string())?;
    let head = head.ok_or("incomplete")?;
    BodyFraming::of_request(&head).map_err(|error| error.to_string())
}

#[test]
fn chunked_bodies_round_trip() {
    for seed in SEEDS {
        arbtest(|u| {
            let parts = u.arbitrary::<Vec<Vec<u8>>>()?;
            let mut writer = MessageWriter::default();
            for part in &parts {
                writer.chunk(part);
            }
            writer.end_chunks();
            writer.put(b"HTTP/1.1");
            let bytes = writer.into_bytes();
            let cut = u.choose_index(bytes.len())?;
            let (first, second) = bytes.split_at(cut);
            let (body, rest) = read(BodyFraming::Chunked, &[first, second]).expect("well-formed");
            assert_eq!(body, parts.concat());
            assert_eq!(rest, b"HTTP/1.1");
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn arbitrary_bytes_are_parsed_or_rejected() {
    for seed in SEEDS {
        arbtest(|u| {
            let bytes = u.arbitrary::<Vec<u8>>()?;
            let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
            let mut buffer = BytesMut::from(bytes.as_slice());
            let mut taken = 0;
            while let Ok(BodyStep::Data(data)) = decoder.decode(&mut buffer) {
                taken += data.len();
            }
            assert!(taken <= bytes.len());
            let mut head = BytesMut::from(bytes.as_slice());
            let _ = parse_request(&mut head, LIMIT);
            let mut head = BytesMut::from(bytes.as_slice());
            let _ = parse_response(&mut head, LIMIT);
            Ok(())
        })
        .seed(seed);
    }
}

/// Whether a byte may stand in the name of a field.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Checks that a response is rejected, incomplete, or one of the protocol.
fn assert_well_formed_or_rejected(response: &[u8]) {
    let Ok(Some(head)) = parse_response(&mut BytesMut::from(response), LIMIT) else {
        return;
    };
    let response = response.escape_ascii();
    assert!((100..=599).contains(&head.status), "{response}");
    for field in &head.fields {
        let mut name = field.name.iter();
        assert!(!field.name.is_empty(), "{response}");
        assert!(name.all(|byte| is_token_byte(*byte)), "{response}");
        let mut value = field.value.iter();
        let is_text = |byte: &u8| !byte.is_ascii_control() || *byte == b'\t';
        assert!(value.all(is_text), "{response}");
    }
}

#[test]
fn response_with_an_altered_byte_is_well_formed_or_rejected() {
    const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nX-Field: a b\r\nContent-Length: 5\r\n\r\n";
    for index in 0..RESPONSE.len() {
        for byte in 0..=u8::MAX {
            let mut replaced = RESPONSE.to_vec();
            replaced[index] = byte;
            assert_well_formed_or_rejected(&replaced);
            let mut inserted = RESPONSE.to_vec();
            inserted.insert(index, byte);
            assert_well_formed_or_rejected(&inserted);
        }
    }
}

#[test]
fn ambiguous_request_is_rejected() {
    let refused = [
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 3,3\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\nContent-Length: 3\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\n Content-Length: 3\r\n\r\n",
    ];
    for head in refused {
        assert!(request_framing(head).is_err(), "{head:?}");
    }
    let plain = request_framing("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(plain, Ok(BodyFraming::Length(0)));
}

#[test]
fn invalid_chunk_is_rejected() {
    let invalid: [&[u8]; 5] = [
        b"x\r\n",
        b"-1\r\n",
        b"3\nabc\r\n0\r\n\r\n",
        b"3\r\nabcd\r\n0\r\n\r\n",
        b"fffffffff\r\n",
    ];
    for bytes in invalid {
        let result = read(BodyFraming::Chunked, &[bytes]);
        assert_eq!(result, Err(FramingError::InvalidChunk), "{bytes:?}");
    }
}

#[test]
fn leading_zeros_of_a_chunk_size_are_ignored() {
    let body = b"0000000000003\r\nabc\r\n000000000\r\n\r\nrest";
    let expected = Ok((b"abc".to_vec(), b"rest".to_vec()));
    assert_eq!(read(BodyFraming::Chunked, &[body]), expected);
}

#[test]
fn a_trailer_field_may_be_as_long_as_all_trailers() {
    let field = "x".repeat(4_000);
    let body = format!("3\r\nabc\r\n0\r\nA: {field}\r\n\r\nrest");
    let expected = Ok((b"abc".to_vec(), b"rest".to_vec()));
    assert_eq!(read(BodyFraming::Chunked, &[body.as_bytes()]), expected);
    let field = "x".repeat(5_000);
    let body = format!("3\r\nabc\r\n0\r\nA: {field}\r\n\r\nrest");
    let read = read(BodyFraming::Chunked, &[body.as_bytes()]);
    assert_eq!(read, Err(FramingError::InvalidChunk));
}

#[test]
fn truncated_body_is_an_error() {
    let truncated = Err(FramingError::Truncated);
    assert_eq!(read(BodyFraming::Length(5), &[b"abc"]), truncated);
    assert_eq!(read(BodyFraming::Chunked, &[b"3\r\nabc\r\n"]), truncated);
    let (body, _) = read(BodyFraming::UntilClose, &[b"ab", b"c"]).expect("the close ends it");
    assert_eq!(body, b"abc");
}

#[test]
fn response_without_a_length_ends_with_its_connection() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\nServer: a\r\n\r\nbytes");
    let head = parse_response(&mut buffer, LIMIT)
        .expect("well-formed")
        .expect("complete");
    let framing = BodyFraming::of_response(&head, b"GET");
    assert_eq!(framing, Ok(BodyFraming::UntilClose));
    assert_eq!(
        BodyFraming::of_response(&head, b"HEAD"),
        Ok(BodyFraming::Length(0))
    );
}

#[test]
fn bytes_that_are_no_response_are_rejected_immediately() {
    for bytes in ["garbage", "HTTQ", "\r\n"] {
        let mut buffer = BytesMut::from(bytes);
        assert!(parse_response(&mut buffer, LIMIT).is_err(), "{bytes:?}");
    }
    let mut start = BytesMut::from("HTT");
    assert_eq!(parse_response(&mut start, LIMIT), Ok(None));
}

#[test]
fn response_with_a_status_outside_the_protocol_is_rejected() {
    for status in ["000", "001", "099", "600", "999"] {
        let text = format!("HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n");
        let parsed = parse_response(&mut BytesMut::from(&*text), LIMIT);
        let code = status.parse().expect("a number");
        assert_eq!(parsed, Err(HeadError::InvalidStatus(code)), "{status}");
    }
    for status in ["", "0", "20", "2000", "-20", "2x0", " 200"] {
        let text = format!("HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n");
        let parsed = parse_response(&mut BytesMut::from(&*text), LIMIT);
        assert!(parsed.is_err(), "{status:?}: {parsed:?}");
    }
    for status in [100, 101, 199, 200, 299, 404, 500, 599] {
        let text = format!("HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n");
        let parsed = parse_response(&mut BytesMut::from(&*text), LIMIT);
        let head = parsed.expect("well-formed").expect("complete");
        assert_eq!(head.status, status);
    }
}

#[test]
fn response_with_a_malformed_field_name_is_rejected() {
    for name in MALFORMED_NAMES {
        for text in [
            format!("HTTP/1.1 200 OK\r\n{name}: 1\r\nContent-Length: 0\r\n\r\n"),
            format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{name}: 1\r\n\r\n"),
            format!("HTTP/1.1 103 Early Hints\r\n{name}: 1\r\n\r\n"),
        ] {
            let parsed = parse_response(&mut BytesMut::from(&*text), LIMIT);
            assert!(parsed.is_err(), "{text:?}: {parsed:?}");
        }
    }
    // Bytes outside ASCII are no part of a name either.
    let parsed = parse_response(
        &mut BytesMut::from(&b"HTTP/1.1 200 OK\r\nX-\xff: 1\r\n\r\n"[..]),
        LIMIT,
    );
    assert!(parsed.is_err(), "{parsed:?}");
}

#[test]
fn response_with_a_control_byte_in_a_value_is_rejected() {
    for value in ["a\0b", "a\u{1}b", "a\rb", "a\u{7f}b", "a\nb"] {
        let text = format!("HTTP/1.1 200 OK\r\nX-Field: {value}\r\nContent-Length: 0\r\n\r\n");
        let parsed = parse_response(&mut BytesMut::from(&*text), LIMIT);
        assert!(parsed.is_err(), "{value:?}: {parsed:?}");
    }
}

#[test]
fn head_above_the_limit_is_rejected() {
    let mut buffer = BytesMut::from("GET /a HTTP/1.1\r\n");
    buffer.resize(LIMIT + 1, b'a');
    let parsed = parse_request(&mut buffer, LIMIT);
    assert_eq!(parsed, Err(HeadError::TooLarge));
}

#[test]
fn hop_by_hop_fields_are_not_forwarded() {
    let mut buffer = BytesMut::from(
        "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: x\r\nX-Kept: 2\r\n\r\n",
    );
    let head = parse_request(&mut buffer, LIMIT)
        .expect("well-formed")
        .expect("complete");
    let names = head.fields.end_to_end().map(|field| field.name.to_vec());
    assert_eq!(
        names.collect::<Vec<_>>(),
        [b"Host".to_vec(), b"X-Kept".to_vec()]
    );
    assert!(!head.is_persistent());
}

#[test]
fn interim_responses_are_skipped_up_to_a_bound() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    let end = "HTTP/1.1 200 OK\r\n\r\n";
    let parse = |text: &str| HeadParser::default().parse(&mut BytesMut::from(text), LIMIT);
    for count in [0, 1, 16] {
        let parsed = parse(&(interim.repeat(count) + end));
        let head = parsed.expect("well-formed").expect("complete");
        assert_eq!(head.status, 200, "{count}");
    }
    assert_eq!(parse(interim), Ok(None), "the final head is missing");
    let parsed = parse(&(interim.repeat(17) + end));
    assert_eq!(parsed, Err(HeadError::TooManyInterim));
    let switched = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n";
    assert_eq!(parse(switched), Err(HeadError::SwitchedProtocol));
    let unknown = "HTTP/1.1 000 Unknown\r\n\r\n";
    let parsed = parse(&(unknown.to_owned() + end));
    assert_eq!(parsed, Err(HeadError::InvalidStatus(0)));
}
