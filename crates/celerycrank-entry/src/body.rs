//! Reads request bodies within the size and time limits.

use actix_http::{Payload, error::PayloadError};
use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use celerycrank_config::CallerLimits;
use celerycrank_types::{ByteSize, RefusalReason};
use futures_util::StreamExt;
use tokio::select;

use crate::space::BodySpace;

/// Reads the complete body of a request.
pub(crate) async fn read_body(
    payload: Payload,
    limits: &CallerLimits,
    space: &BodySpace,
) -> Result<Bytes, RefusalReason> {
    if matches!(payload, Payload::None) {
        return Ok(Bytes::new());
    }
    let reading = read_chunks(payload, limits.body, space);
    let reading = timeout(limits.body_timeout.as_duration(), reading);
    let body = select! {
        read = reading => read.unwrap_or(Err(RefusalReason::CallerTooSlow))?,
        () = space.ended() => return Err(RefusalReason::Overloaded),
    };
    space.complete()?;
    Ok(body)
}

async fn read_chunks(
    mut payload: Payload,
    limit: ByteSize,
    space: &BodySpace,
) -> Result<Bytes, RefusalReason> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| match error {
            PayloadError::Overflow => RefusalReason::BodyTooLarge,
            _ => RefusalReason::BadRequest,
        })?;
        if (body.len() + chunk.len()) as u64 > limit.0 {
            return Err(RefusalReason::BodyTooLarge);
        }
        body.extend_from_slice(&chunk);
        // The message to the agent is a second copy.
        space.hold(body.capacity() + body.len(), chunk.len())?;
    }
    Ok(body.freeze())
}
