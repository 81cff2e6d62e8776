//! Opens a stream and reads it further, if need be at another backend server.
//!
//! A backend server that is silent may be down, or it may go on in a moment. The entry cannot tell,
//! so it asks another one as well and gives up the silent one only for a part from the other.

use std::{
    pin::{Pin, pin},
    time::Duration,
};

use actix_rt::time::sleep;
use celerycrank_types::{BackendId, UnknownReason};
use tokio::select;

use super::{
    attempt::bad_answer,
    dispatch::RequestDispatch,
    live::{LiveStream, StreamPart},
    progress::{AnswerProgress, RequestError, RetryObstacle},
};

/// Silence after which a stream that has not started is requested from another backend server too.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Silence after which a stream that has started is requested from another backend server too.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval at which it is checked again whether a silent stream can be taken over.
const TAKEOVER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A stream and the part of it that was read last.
pub(crate) struct StreamProgress<'run> {
    /// Boxed, since it is large and moves with each part.
    pub(crate) live: Box<LiveStream<'run>>,
    pub(crate) part: StreamPart,
}

type StreamResult<'run> = Result<StreamProgress<'run>, RequestError>;

/// The opening of a stream at a further backend server.
type StreamOpening<'run> = Pin<Box<dyn Future<Output = StreamResult<'run>> + 'run>>;

/// Where a stream is opened.
#[derive(Debug, Clone, Copy)]
struct StreamPosition {
    /// The event that it continues after.
    last_event: Option<u64>,
    /// Whether a part of the answer was passed on, so that nothing but events may follow.
    has_begun: bool,
}

/// Opens a stream that continues after the event `last_event`, if there is one.
pub(crate) async fn start_stream<'run>(
    dispatch: &'run RequestDispatch<'run>,
    last_event: Option<u64>,
) -> StreamResult<'run> {
    let position = StreamPosition {
        last_event,
        has_begun: false,
    };
    // Boxed, as everything that seldom runs, so that a stream needs little memory.
    let opening = Box::pin(open_stream(dispatch, position));
    if dispatch.request.route.semantics.may_repeat() {
        let takeover = StreamTakeover::new(dispatch, position, FIRST_EVENT_TIMEOUT);
        takeover.run(opening).await
    } else {
        opening.await
    }
}

/// Reads the next part of a stream; resumes it at another backend server if it breaks off.
pub(crate) async fn continue_stream<'run>(
    dispatch: &'run RequestDispatch<'run>,
    live: Box<LiveStream<'run>>,
) -> StreamResult<'run> {
    let last_event = live.last_event();
    let reading = read_next(dispatch, live);
    // A stream whose events are not numbered cannot be resumed.
    if dispatch.request.route.semantics.may_repeat() && last_event.is_some() {
        let position = StreamPosition {
            last_event,
            has_begun: true,
        };
        let takeover = StreamTakeover::new(dispatch, position, EVENT_TIMEOUT);
        takeover.run(reading).await
    } else {
        reading.await
    }
}

/// Opens a stream at one backend server after another.
async fn open_stream<'run>(
    dispatch: &'run RequestDispatch<'run>,
    position: StreamPosition,
) -> StreamResult<'run> {
    loop {
        let served = dispatch.open(position.last_event).await?;
        let mut live = Box::new(LiveStream::new(served, position.last_event));
        let first = if position.has_begun && !live.is_stream() {
            Err(bad_answer("a stream is resumed with a failure"))
        } else {
            live.first().await
        };
        let reason = match first {
            Ok(part) => {
                dispatch.note_begun(live.head.status);
                return Ok(StreamProgress { live, part });
            }
            Err(reason) => reason,
        };
        let backend = live.backend().clone();
        drop(live);
        let progress = AnswerProgress::at(position.last_event);
        dispatch.retry_broken(&backend, reason, progress).await?;
    }
}

async fn read_next<'run>(
    dispatch: &'run RequestDispatch<'run>,
    mut live: Box<LiveStream<'run>>,
) -> StreamResult<'run> {
    match live.next().await {
        Ok(part) => Ok(StreamProgress { live, part }),
        Err(reason) => Box::pin(resume(dispatch, live, reason)).await,
    }
}

/// Resumes a stream that has broken off at another backend server.
async fn resume<'run>(
    dispatch: &'run RequestDispatch<'run>,
    live: Box<LiveStream<'run>>,
    reason: UnknownReason,
) -> StreamResult<'run> {
    let (backend, last_event) = (live.backend().clone(), live.last_event());
    drop(live);
    let progress = AnswerProgress::Begun;
    if last_event.is_none() {
        dispatch.record_broken(&backend, reason, progress).await;
        return Err(RequestError::Unknown(reason));
    }
    dispatch.retry_broken(&backend, reason, progress).await?;
    let position = StreamPosition {
        last_event,
        has_begun: true,
    };
    open_stream(dispatch, position).await
}

/// Asks another backend server for a stream while the first one is silent.
struct StreamTakeover<'run> {
    dispatch: &'run RequestDispatch<'run>,
    /// Where the other backend server continues.
    position: StreamPosition,
    /// Silence after which another backend server is asked.
    silence_timeout: Duration,
    /// The backend server that was silent when another one was asked.
    silent: Option<BackendId>,
    /// Why no other backend server was asked at the last check.
    obstacle: Option<RetryObstacle>,
}

impl<'run> StreamTakeover<'run> {
    fn new(
        dispatch: &'run RequestDispatch<'run>,
        position: StreamPosition,
        silence_timeout: Duration,
    ) -> Self {
        Self {
            dispatch,
            position,
            silence_timeout,
            silent: None,
            obstacle: None,
        }
    }

    /// Returns what `first` or another backend server yields first.
    ///
    /// An error or a failure of one of them is returned only if the other one yields no stream
    /// either.
    async fn run(mut self, first: impl Future<Output = StreamResult<'run>>) -> StreamResult<'run> {
        let mut first = pin!(first);
        let mut second: Option<StreamOpening<'run>> = None;
        let mut wait = self.silence_timeout;
        loop {
            select! {
                biased;
                // Polled first, so that its send is counted before a retry of the first one.
                opened = poll_opening(&mut second) => {
                    second = None;
                    wait = TAKEOVER_CHECK_INTERVAL;
                    if let Some(progress) = self.check_opened(opened) {
                        return Ok(progress);
                    }
                }
                read = &mut first => {
                    self.note_first(&read);
                    return match second {
                        Some(second) if has_failed(&read) => self.run_second(second, read).await,
                        _ => read,
                    };
                }
                () = sleep(wait), if second.is_none() => {
                    let age = self.dispatch.attempt_age().as_duration();
                    // An attempt that has replaced a failed one has its own time.
                    wait = match self.silence_timeout.checked_sub(age) {
                        Some(rest) if !rest.is_zero() => rest,
                        _ => {
                            second = self.begin();
                            TAKEOVER_CHECK_INTERVAL
                        }
                    };
                }
            }
        }
    }

    /// Continues with the other backend server alone, since the first one has failed.
    async fn run_second(
        mut self,
        second: StreamOpening<'run>,
        failed: StreamResult<'run>,
    ) -> StreamResult<'run> {
        self.silent = None;
        let dispatch = self.dispatch;
        match (Box::pin(self.run(second)).await, failed) {
            (Ok(progress), failed) => {
                dispatch.note_answering(progress.live.backend());
                if let Ok(failed) = failed {
                    failed.live.release(dispatch.state);
                }
                Ok(progress)
            }
            // A failure that a backend server reports is preferred to an error of the entry itself.
            (Err(_), Ok(failed)) => Ok(failed),
            (Err(error), Err(_)) => Err(error),
        }
    }

    /// Asks another backend server if the route and the retries of the service allow it.
    fn begin(&mut self) -> Option<StreamOpening<'run>> {
        let dispatch = self.dispatch;
        let silent = self.silent.take().or_else(|| dispatch.answering());
        if let Err(obstacle) = dispatch.begin_takeover() {
            self.log_obstacle(obstacle);
            return None;
        }
        if let Some(backend) = &silent {
            dispatch.note_silent(backend);
        }
        self.silent = silent;
        Some(Box::pin(open_stream(dispatch, self.position)))
    }

    /// Logs why a silent stream is not taken over, once for each reason.
    fn log_obstacle(&mut self, obstacle: RetryObstacle) {
        if self.obstacle.replace(obstacle) != Some(obstacle) {
            tracing::info!(
                request = %self.dispatch.request.attempt,
                why = %obstacle,
                "backend server is silent; no other one is asked"
            );
        }
    }

    /// Returns the stream of the other backend server if it is one.
    fn check_opened(&self, opened: StreamResult<'run>) -> Option<StreamProgress<'run>> {
        let request = &self.dispatch.request.attempt;
        match opened {
            Ok(progress) if progress.live.is_stream() => {
                self.dispatch.note_taken_over(progress.live.backend());
                Some(progress)
            }
            Ok(progress) => {
                let (status, backend) = (progress.live.head.status, progress.live.backend());
                tracing::info!(%request, %backend, status, "stream not taken over");
                None
            }
            Err(error) => {
                tracing::info!(%request, fault = ?error, "stream not taken over");
                None
            }
        }
    }

    /// Records that the silent backend server has gone on or failed.
    fn note_first(&self, read: &StreamResult<'run>) {
        let (Some(_), Ok(progress)) = (&self.silent, read) else {
            return;
        };
        self.dispatch.note_answering(progress.live.backend());
        tracing::info!(
            request = %self.dispatch.request.attempt,
            backend = %progress.live.backend(),
            "silent backend server goes on"
        );
    }
}

/// Whether a backend server has yielded no stream that another one could not yield.
fn has_failed(read: &StreamResult<'_>) -> bool {
    read.as_ref()
        .map_or(true, |progress| progress.live.is_backend_failure())
}

/// Waits for the opening of a stream; forever if there is none.
async fn poll_opening<'run>(opening: &mut Option<StreamOpening<'run>>) -> StreamResult<'run> {
    match opening {
        Some(opening) => opening.await,
        None => std::future::pending().await,
    }
}

/// Why a stream is cut off that no backend server goes on with.
pub(crate) fn cut_off_reason(error: RequestError) -> UnknownReason {
    match error {
        RequestError::Unknown(reason) => reason,
        RequestError::Refused(_) => UnknownReason::BackendBroke,
    }
}
