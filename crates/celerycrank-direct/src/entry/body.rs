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

/// Reads a complete body; returns `None` if the caller disconnects before its end.
pub(crate) async fn read_body(
    caller: &mut CallerConnection,
    head: &RequestHead,
    framing: BodyFraming,
    limits: &CallerBounds,
) -> Result<Option<Bytes>, RefusalReason> {
    let limit = usize::try_from(limits.body.0).unwrap_or(usize::MAX);
    if matches!(framing, BodyFraming::Length(length) if length > limits.body.0) {
        return Err(RefusalReason::BodyTooLarge);
    }
    if framing == BodyFraming::Length(0) {
        return Ok(Some(Bytes::new()));
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
) -> Result<Option<Bytes>, RefusalReason> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = BytesMut::new();
    loop {
        let step = decoder.decode(&mut caller.stream.buffer);
        match step.map_err(bad_request)? {
            BodyStep::Data(data) if body.len() + data.len() > limit => {
                return Err(RefusalReason::BodyTooLarge);
            }
            BodyStep::Data(data) => body.extend_from_slice(&data),
            BodyStep::Complete => return Ok(Some(body.freeze())),
            BodyStep::Incomplete => {
                if !matches!(caller.stream.fill().await, Ok(count) if count > 0) {
                    return Ok(None);
                }
            }
        }
    }
}
