//! Opens a stream at a backend server and reads it further; resumes it at another one if it breaks
//! off.

use std::rc::Rc;

use celerycrank_serving::AnswerProgress;
use celerycrank_types::UnknownReason;

use super::{
    attempt::bad_answer,
    dispatch::RequestDispatch,
    live::{LiveStream, StreamPart},
    progress::{AttemptTrack, RequestError},
};

/// A stream and the part of it that was read last.
pub(crate) struct StreamReading<'run> {
    /// Boxed, since it is large and moves with each part.
    pub(crate) live: Box<LiveStream<'run>>,
    pub(crate) part: StreamPart,
}

pub(crate) type StreamResult<'run> = Result<StreamReading<'run>, RequestError>;

/// Where a stream is opened.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamPosition {
    /// The event that it continues after.
    pub(crate) last_event: Option<u64>,
    /// Whether a part of the answer was passed on, so that nothing but events may follow.
    pub(crate) has_begun: bool,
}

/// Opens a stream at one backend server after another.
pub(crate) async fn open_stream<'run>(
    dispatch: &'run RequestDispatch<'run>,
    track: &AttemptTrack,
    position: StreamPosition,
) -> StreamResult<'run> {
    loop {
        let served = dispatch.open(position.last_event, track).await?;
        let mut live = Box::new(LiveStream::new(served, position.last_event));
        let reason = match read_first(&mut live, position).await {
            Ok(part) => {
                dispatch.note_begun(live.head.status, live.holder());
                return Ok(StreamReading { live, part });
            }
            Err(reason) => reason,
        };
        let sent_to = Rc::clone(live.sent_to());
        drop(live);
        dispatch.retry_broken(&sent_to, reason, AnswerProgress::NotBegun)?;
    }
}

async fn read_first(
    live: &mut LiveStream<'_>,
    position: StreamPosition,
) -> Result<StreamPart, UnknownReason> {
    if position.has_begun && !live.is_stream() {
        let (status, backend) = (live.head.status, live.backend());
        let error = format_args!("{backend} resumes a stream with status {status}");
        return Err(bad_answer(error));
    }
    live.first().await
}

/// Reads the next part of a stream, which is resumed at another backend server if it breaks off.
pub(crate) async fn read_next<'run>(
    dispatch: &'run RequestDispatch<'run>,
    track: &AttemptTrack,
    mut live: Box<LiveStream<'run>>,
) -> StreamResult<'run> {
    match live.next().await {
        Ok(part) => Ok(StreamReading { live, part }),
        // Boxed, so that reading alone needs little memory.
        Err(reason) => Box::pin(resume(dispatch, track, live, reason)).await,
    }
}

async fn resume<'run>(
    dispatch: &'run RequestDispatch<'run>,
    track: &AttemptTrack,
    live: Box<LiveStream<'run>>,
    reason: UnknownReason,
) -> StreamResult<'run> {
    let (sent_to, last_event) = (Rc::clone(live.sent_to()), live.last_event());
    drop(live);
    let progress = AnswerProgress::Begun;
    // A stream whose events are not numbered cannot be resumed.
    if last_event.is_none() {
        dispatch.record_broken(&sent_to, reason, progress);
        return Err(RequestError::Unknown(reason));
    }
    dispatch.retry_broken(&sent_to, reason, progress)?;
    let position = StreamPosition {
        last_event,
        has_begun: true,
    };
    open_stream(dispatch, track, position).await
}
