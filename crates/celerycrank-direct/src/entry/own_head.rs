//! Reads the head of the answer that belongs to a request.
//!
//! An answer belongs to a request if it names its attempt. One that names no attempt belongs to it
//! only if it is a refusal and the first answer on its connection, where no bytes of an earlier
//! exchange can arrive. All other answers decide nothing: on a reused connection they are skipped.

use celerycrank_http::{BodyDecoder, BodyFraming, BodyStep, HeadParser, ResponseHead};
use celerycrank_platform::{AnswerMetadata, read_answer};

use super::{
    attempt::{AttemptError, bad_answer, connection_lost},
    request::AdmittedRequest,
    sending::SendingStream,
    state::EntryState,
};

/// Maximum size of the head of an answer, in bytes.
const MAX_ANSWER_HEAD: usize = 32 << 10;

/// Maximum number of answers of no or another request that are skipped on a reused connection.
const MAX_SURPLUS_ANSWERS: u32 = 4;

/// Maximum size of the body of a skipped answer, in bytes.
const MAX_SURPLUS_BODY: usize = 1 << 20;

/// The head of the answer that belongs to a request.
pub(crate) struct OwnHead {
    pub(crate) head: ResponseHead,
    pub(crate) metadata: AnswerMetadata,
    /// Whether the connection can carry another request after this answer, as far as is known.
    pub(crate) is_reusable: bool,
}

/// Reads the head of the answer to this request.
///
/// A backend server may send a second copy of an earlier answer or other bytes late, when the
/// connection is in use again. They are skipped; the answer to this request follows them.
pub(crate) async fn read_own_head(
    state: &EntryState,
    stream: &mut SendingStream,
    request: &AdmittedRequest,
    is_reused: bool,
) -> Result<OwnHead, AttemptError> {
    let mut skips_left = if is_reused { MAX_SURPLUS_ANSWERS } else { 0 };
    let mut is_reusable = true;
    loop {
        let head = read_head(stream).await?;
        let metadata = read_answer(&head);
        if is_answer_to(&metadata, request, is_reused) {
            return Ok(OwnHead {
                head,
                metadata,
                is_reusable,
            });
        }
        if skips_left == 0 {
            let error = "the answer does not belong to the request";
            return Err(AttemptError::Broken(bad_answer(error)));
        }
        skips_left -= 1;
        state.metrics.answers_skipped.inc();
        let is_named = metadata.attempt.is_some();
        is_reusable &= is_named && head.is_persistent();
        tracing::info!(
            request = %request.attempt,
            status = head.status,
            is_named,
            "answer that does not belong to the request skipped"
        );
        skip_body(stream, &head, request).await?;
    }
}

/// Whether an answer belongs to this request.
fn is_answer_to(metadata: &AnswerMetadata, request: &AdmittedRequest, is_reused: bool) -> bool {
    match &metadata.attempt {
        Some(attempt) => *attempt == request.attempt.as_bytes(),
        None => metadata.proves_not_run && !is_reused,
    }
}

/// Reads the body of an answer that does not belong to the request.
async fn skip_body(
    stream: &mut SendingStream,
    head: &ResponseHead,
    request: &AdmittedRequest,
) -> Result<(), AttemptError> {
    let broken = |error| AttemptError::Broken(bad_answer(error));
    let framing = BodyFraming::of_response(head, &request.head.method).map_err(broken)?;
    let mut decoder = BodyDecoder::new(framing);
    let mut skipped = 0;
    loop {
        match decoder.decode(&mut stream.stream.buffer).map_err(broken)? {
            BodyStep::Complete => return Ok(()),
            BodyStep::Data(data) if skipped + data.len() > MAX_SURPLUS_BODY => {
                let error =
                    "an answer that does not belong to the request is too large to be skipped";
                return Err(AttemptError::Broken(bad_answer(error)));
            }
            BodyStep::Data(data) => skipped += data.len(),
            BodyStep::Incomplete => fill(stream).await?,
        }
    }
}

async fn fill(stream: &mut SendingStream) -> Result<(), AttemptError> {
    match stream.fill().await {
        Ok(0) => Err(AttemptError::Broken(connection_lost("closed"))),
        Ok(_) => Ok(()),
        Err(error) => Err(AttemptError::Broken(connection_lost(error))),
    }
}

/// Reads the head of the next final answer, skipping interim answers.
async fn read_head(stream: &mut SendingStream) -> Result<ResponseHead, AttemptError> {
    let mut parser = HeadParser::default();
    loop {
        let parsed = parser.parse(&mut stream.stream.buffer, MAX_ANSWER_HEAD);
        match parsed.map_err(|error| AttemptError::Broken(bad_answer(error)))? {
            Some(head) => return Ok(head),
            None => fill(stream).await?,
        }
    }
}
