//! The frame reader decodes messages from any chunking of their bytes and rejects other input.

use arbtest::arbtest;
use bytes::Bytes;
use celerycrank_types::{ByteSize, Revision};
use celerycrank_wire::{
    FRAME_HEADER_BYTES, FrameReader, PROTOCOL_VERSION, PeerOrder, PeerReply, PullOrder, WireError,
    encode_frame,
};

const LIMIT: ByteSize = ByteSize(1 << 10);

/// The low half of a seed is the size of the run's input, in bytes.
const SEEDS: [u64; 4] = [0x1_0000_0400, 0x2_0000_0400, 0x3_0000_1000, 0x4_0000_4000];

fn pull(revision: u64) -> PeerOrder<'static> {
    PeerOrder::Pull(PullOrder {
        revision: Revision(revision),
        stops: Revision(0),
    })
}

fn read(bytes: Vec<u8>) -> Result<Option<PeerOrder<'static>>, WireError> {
    let mut reader = FrameReader::new(LIMIT);
    reader.extend(Bytes::from(bytes));
    reader.next_message()
}

#[test]
fn messages_decode_from_any_chunking() {
    for seed in SEEDS {
        arbtest(|u| {
            let revisions = u.arbitrary::<Vec<u64>>()?;
            let frames = revisions
                .iter()
                .map(|revision| encode_frame(&pull(*revision)));
            let mut remaining = Bytes::from(frames.collect::<Vec<_>>().concat());
            let mut reader = FrameReader::new(LIMIT);
            let mut received = Vec::new();
            while !remaining.is_empty() {
                let chunk = remaining.split_to(u.int_in_range(1..=remaining.len())?);
                reader.extend(chunk);
                while let Some(message) = reader.next_message::<PeerOrder<'_>>().expect("valid") {
                    received.push(message);
                }
            }
            let sent = revisions.into_iter().map(pull).collect::<Vec<_>>();
            assert_eq!(received, sent);
            assert_eq!(reader.check_end(), Ok(()));
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn arbitrary_bytes_never_panic() {
    for seed in SEEDS {
        arbtest(|u| {
            let mut reader = FrameReader::new(LIMIT);
            let mut bytes = u.arbitrary::<Vec<u8>>()?;
            if let Some(first) = bytes.first_mut() {
                *first = PROTOCOL_VERSION;
            }
            reader.extend(Bytes::from(bytes));
            while let Ok(Some(_)) = reader.next_message::<PeerReply>() {}
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn another_version_is_refused() {
    let mut frame = encode_frame(&pull(1));
    frame[0] = PROTOCOL_VERSION + 1;
    let error = WireError::UnknownVersion(PROTOCOL_VERSION + 1);
    assert_eq!(read(frame), Err(error));
}

#[test]
fn oversized_payload_is_refused_before_it_arrives() {
    let header = vec![PROTOCOL_VERSION, 0, 0, 4, 1];
    assert_eq!(read(header), Err(WireError::Oversized(LIMIT.0 + 1)));
}

#[test]
fn malformed_payload_is_refused() {
    let mut unknown = encode_frame(&pull(1));
    unknown[FRAME_HEADER_BYTES] = u8::MAX;
    assert_eq!(read(unknown), Err(WireError::Malformed));
    let mut longer = encode_frame(&pull(1));
    longer.push(0);
    longer[FRAME_HEADER_BYTES - 1] += 1;
    assert_eq!(read(longer), Err(WireError::Malformed));
}

#[test]
fn truncated_stream_is_detected() {
    let mut frame = encode_frame(&pull(1));
    frame.pop();
    let mut reader = FrameReader::new(LIMIT);
    reader.extend(Bytes::from(frame));
    assert_eq!(reader.next_message::<PeerOrder<'_>>(), Ok(None));
    assert_eq!(reader.check_end(), Err(WireError::Truncated));
}
