//! Asks another backend server for a stream while the first one is silent.
//!
//! A silent backend server may be down, or it may go on in a moment. The entry cannot tell, so it
//! gives up the silent one only for a part of the stream from the other one.

use std::{
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use actix_rt::time::sleep;
use tokio::select;

use super::{
    dispatch::RequestDispatch,
    live::LiveStream,
    progress::{AttemptTrack, RetryObstacle},
    resume::{StreamPosition, StreamReading, StreamResult, open_stream, read_next},
};

/// Silence before the first event after which another backend server is asked as well.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(1_400);

/// Silence between two events after which another backend server is asked as well.
const EVENT_DELAY: Duration = Duration::from_millis(1_200);

/// Interval at which it is checked again whether another backend server may be asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Opens a stream that continues after the event `last_event`, if there is one.
pub(crate) async fn start_stream<'run>(
    dispatch: &'run RequestDispatch<'run>,
    last_event: Option<u64>,
) -> StreamResult<'run> {
    let position = StreamPosition {
        last_event,
        has_begun: false,
    };
    let track = Rc::new(AttemptTrack::default());
    let opening = Box::pin(open_stream(dispatch, &track, position));
    if dispatch.request.route.semantics.may_repeat() {
        let takeover = StreamTakeover::new(dispatch, position, FIRST_EVENT_DELAY);
        takeover.run(opening, &track).await
    } else {
        opening.await
    }
}

/// Reads the next part of a stream, if need be from another backend server.
pub(crate) async fn continue_stream<'run>(
    dispatch: &'run RequestDispatch<'run>,
    live: Box<LiveStream<'run>>,
) -> StreamResult<'run> {
    let last_event = live.last_event();
    let track = Rc::new(AttemptTrack::of(live.backend()));
    let reading = read_next(dispatch, &track, live);
    // A stream whose events are not numbered cannot be resumed.
    if dispatch.request.route.semantics.may_repeat() && last_event.is_some() {
        let position = StreamPosition {
            last_event,
            has_begun: true,
        };
        let takeover = StreamTakeover::new(dispatch, position, EVENT_DELAY);
        takeover.run(reading, &track).await
    } else {
        reading.await
    }
}

/// Two attempts to get the next part of a stream, of which the second begins if the first is silent.
struct StreamTakeover<'run> {
    dispatch: &'run RequestDispatch<'run>,
    /// Where the second attempt continues.
    position: StreamPosition,
    /// Silence of the first attempt after which the second one begins.
    delay: Duration,
    /// Whether it was logged why the second attempt does not begin.
    is_obstacle_logged: bool,
    /// The failure that a backend server has reported, for want of a stream.
    failure: Option<StreamReading<'run>>,
}

/// The second attempt.
struct SecondAttempt<'run> {
    opening: Pin<Box<dyn Future<Output = StreamResult<'run>> + 'run>>,
    track: Rc<AttemptTrack>,
}

impl<'run> StreamTakeover<'run> {
    fn new(
        dispatch: &'run RequestDispatch<'run>,
        position: StreamPosition,
        delay: Duration,
    ) -> Self {
        Self {
            dispatch,
            position,
            delay,
            is_obstacle_logged: false,
            failure: None,
        }
    }

    /// Returns what one of both attempts yields first.
    ///
    /// A failure that a backend server reports, or an error of the entry, is returned only if
    /// neither attempt yields a stream.
    async fn run(
        mut self,
        first: impl Future<Output = StreamResult<'run>>,
        track: &AttemptTrack,
    ) -> StreamResult<'run> {
        let mut first = pin!(first);
        let mut second: Option<SecondAttempt<'run>> = None;
        let mut wait = self.delay;
        loop {
            select! {
                biased;
                // Polled first, so that its send is counted before a retry of the first attempt.
                opened = finish_second(&mut second) => {
                    second = None;
                    wait = CHECK_INTERVAL;
                    if let Some(reading) = self.check_second(opened) {
                        return Ok(reading);
                    }
                }
                read = &mut first => {
                    let read = match second {
                        Some(second) if has_failed(&read) => self.run_second(second, read).await,
                        _ => self.prefer_failure(read),
                    };
                    return read;
                }
                () = sleep(wait), if second.is_none() => {
                    wait = CHECK_INTERVAL;
                    match self.time_to_silence(track) {
                        Some(rest) => wait = rest,
                        None => second = self.begin_second(track),
                    }
                }
            }
        }
    }

    /// The time until the first attempt counts as silent, if it has asked another backend server
    /// meanwhile.
    fn time_to_silence(&self, track: &AttemptTrack) -> Option<Duration> {
        let age = self.dispatch.age_of(track)?.as_duration();
        let rest = self.delay.checked_sub(age)?;
        (!rest.is_zero()).then_some(rest)
    }

    /// Continues with the second attempt alone, since the first one has failed.
    ///
    /// How often this repeats is bounded by the attempts that the route allows.
    async fn run_second(
        mut self,
        second: SecondAttempt<'run>,
        failed: StreamResult<'run>,
    ) -> StreamResult<'run> {
        self.failure = failed.ok().or(self.failure);
        Box::pin(self.run(second.opening, &second.track)).await
    }

    /// Begins the second attempt if the route and the retries of the service allow it.
    fn begin_second(&mut self, silent: &AttemptTrack) -> Option<SecondAttempt<'run>> {
        let dispatch = self.dispatch;
        if let Err(obstacle) = dispatch.begin_takeover() {
            self.log_obstacle(obstacle);
            return None;
        }
        dispatch.note_silent(silent);
        let track = Rc::new(AttemptTrack::default());
        let (own_track, position) = (Rc::clone(&track), self.position);
        let opening = Box::pin(async move { open_stream(dispatch, &own_track, position).await });
        Some(SecondAttempt { opening, track })
    }

    /// Logs once why no other backend server is asked.
    fn log_obstacle(&mut self, obstacle: RetryObstacle) {
        if !self.is_obstacle_logged {
            self.is_obstacle_logged = true;
            tracing::info!(
                request = %self.dispatch.request.attempt,
                why = %obstacle,
                "backend server is silent; no other one is asked"
            );
        }
    }

    /// Returns what the second attempt has yielded if it is a stream.
    fn check_second(&mut self, opened: StreamResult<'run>) -> Option<StreamReading<'run>> {
        let request = &self.dispatch.request.attempt;
        match opened {
            Ok(reading) if reading.live.is_stream() => {
                self.dispatch.note_taken_over(reading.live.backend());
                return Some(reading);
            }
            Ok(reading) => {
                let (status, backend) = (reading.live.head.status, reading.live.backend());
                tracing::info!(%request, %backend, status, "stream not taken over");
                self.failure = Some(reading);
            }
            Err(error) => {
                tracing::info!(%request, fault = ?error, "stream not taken over");
            }
        }
        None
    }

    /// Replaces an error of the entry by the failure that a backend server has reported, if any.
    fn prefer_failure(self, read: StreamResult<'run>) -> StreamResult<'run> {
        read.or_else(|error| self.failure.ok_or(error))
    }
}

/// Waits for the end of the second attempt; forever if there is none.
async fn finish_second<'run>(second: &mut Option<SecondAttempt<'run>>) -> StreamResult<'run> {
    match second {
        Some(second) => second.opening.as_mut().await,
        None => std::future::pending().await,
    }
}

/// Whether an attempt has yielded nothing that is better than what another one may yield.
fn has_failed(read: &StreamResult<'_>) -> bool {
    read.as_ref()
        .map_or(true, |reading| reading.live.is_backend_failure())
}
