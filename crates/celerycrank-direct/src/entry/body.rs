//! Reads the body of a request.

use std::time::Duration;

use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use celerycrank_http::{BodyDecoder, BodyFraming, BodyStep, RequestHead};
use celerycrank_serving::CallerBounds;
use celerycrank_types::RefusalReason;

use super::{caller::CallerConnection, refusal::bad_request};

/// Timeout for the arrival of a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Size of the first block of a body, in bytes.
const MIN_BLOCK_BYTES: usize = 4 << 10;

/// Size of the largest block of a body, in bytes.
const MAX_BLOCK_BYTES: usize = 64 << 10;

/// A complete body, in blocks that are neither moved nor copied while it grows and is sent.
#[derive(Debug, Default)]
pub(crate) struct RequestBody {
    pub(crate) blocks: Vec<Bytes>,
    pub(crate) length: usize,
}

/// Collects a body.
#[derive(Debug, Default)]
struct BodyCollector {
    body: RequestBody,
    /// The block that is being filled.
    block: BytesMut,
    /// The size of all blocks in bytes.
    capacity: usize,
}

impl BodyCollector {
    fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.block.len() == self.block.capacity() {
                let size = self.body.length.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
                self.end_block();
                self.block = BytesMut::with_capacity(size);
                self.capacity += self.block.capacity();
            }
            let size = data.len().min(self.block.capacity() - self.block.len());
            let (part, rest) = data.split_at(size);
            self.block.extend_from_slice(part);
            self.body.length += size;
            data = rest;
        }
    }

    fn end_block(&mut self) {
        if !self.block.is_empty() {
            self.body.blocks.push(self.block.split().freeze());
        }
    }

    fn finish(mut self) -> RequestBody {
        self.end_block();
        self.body
    }
}

/// Reads a complete body; returns `None` if the caller disconnects before its end.
pub(crate) async fn read_body(
    caller: &mut CallerConnection,
    head: &RequestHead,
    framing: BodyFraming,
    limits: &CallerBounds,
) -> Result<Option<RequestBody>, RefusalReason> {
    let limit = usize::try_from(limits.body.0).unwrap_or(usize::MAX);
    if matches!(framing, BodyFraming::Length(length) if length > limits.body.0) {
        return Err(RefusalReason::BodyTooLarge);
    }
    if framing == BodyFraming::Length(0) {
        return Ok(Some(RequestBody::default()));
    }
    if head.fields.has_token("expect", "100-continue") && !caller.send(CONTINUE_RESPONSE).await {
        return Ok(None);
    }
    match timeout(BODY_TIMEOUT, collect(caller, framing, limit)).await {
        Ok(read) => read,
        Err(_) => Err(RefusalReason::CallerTooSlow),
    }
}

async fn collect(
    caller: &mut CallerConnection,
    framing: BodyFraming,
    limit: usize,
) -> Result<Option<RequestBody>, RefusalReason> {
    let mut decoder = BodyDecoder::new(framing);
    let mut collector = BodyCollector::default();
    let mut arrived = 0;
    loop {
        let step = decoder.decode(&mut caller.stream.buffer);
        match step.map_err(bad_request)? {
            BodyStep::Data(data) if collector.body.length + data.len() > limit => {
                return Err(RefusalReason::BodyTooLarge);
            }
            BodyStep::Data(data) => collector.push(&data),
            BodyStep::Complete => {
                caller.hold_body(collector.capacity, arrived)?;
                caller.request_bytes += collector.capacity;
                return Ok(Some(collector.finish()));
            }
            BodyStep::Incomplete => {
                caller.hold_body(collector.capacity, arrived)?;
                match caller.stream.fill().await {
                    Ok(count) if count > 0 => arrived = count,
                    _ => return Ok(None),
                }
            }
        }
    }
}
