//! Answers a request with a stream of events.

use celerycrank_http::{BodyFraming, MessageWriter};
use celerycrank_platform::write_answer_head;
use celerycrank_types::UnknownReason;

use super::{
    answer::{WorkOutcome, deadline_error, error_answer, next_step, run_interruptible, stop_error},
    caller::{CallerConnection, ConnectionStep},
    dispatch::RequestDispatch,
    live::{LiveStream, StreamPart},
    outcome::RequestEnd,
    progress::RequestError,
    resume::StreamReading,
    takeover::{continue_stream, start_stream},
};

/// Answers a request with a stream.
pub(crate) async fn stream_answer<'run>(
    caller: &mut CallerConnection,
    dispatch: &'run RequestDispatch<'run>,
    is_persistent: bool,
) -> (RequestEnd, ConnectionStep) {
    let state = dispatch.state;
    let request = dispatch.request;
    let is_last = !is_persistent || state.is_stopping.get();
    let starting = start_stream(dispatch, request.last_event);
    let started = match run_interruptible(state, caller, request.deadline, starting).await {
        WorkOutcome::Done(started) => started,
        WorkOutcome::Expired => Err(deadline_error(dispatch)),
        WorkOutcome::Stopped => Err(stop_error(dispatch)),
        WorkOutcome::CallerLeft => return (RequestEnd::CallerLeft, ConnectionStep::Close),
    };
    let StreamReading { live, part } = match started {
        Ok(started) => started,
        Err(error) => {
            let (end, message) = error_answer(state, request, error, is_last);
            let is_sent = caller.send(&message).await;
            return (end, next_step(is_sent && !is_last));
        }
    };
    dispatch.note_answering(live.backend());
    let first_event = state.clock.now().since(request.arrival);
    state.metrics.first_event.observe(first_event.as_secs_f64());
    let mut writer = write_answer_head(&live.head, BodyFraming::Chunked, is_last);
    let status = live.head.status;
    let is_complete = matches!(part, StreamPart::End);
    write_part(&mut writer, &part);
    if !caller.send(&writer.into_bytes()).await {
        return (RequestEnd::CallerLeft, ConnectionStep::Close);
    }
    if is_complete {
        dispatch.note_stream_end(&live);
        live.release(state);
        return (RequestEnd::Answered(status), next_step(!is_last));
    }
    match relay(caller, dispatch, live).await {
        RelayOutcome::Complete => (RequestEnd::Answered(status), next_step(!is_last)),
        RelayOutcome::CallerLeft => (RequestEnd::CallerLeft, ConnectionStep::Close),
        RelayOutcome::Broken(reason) => (RequestEnd::CutOff(reason), ConnectionStep::Close),
    }
}

/// How relaying the rest of a stream ended.
enum RelayOutcome {
    Complete,
    CallerLeft,
    Broken(UnknownReason),
}

/// Relays the rest of a stream, from one backend server after another.
async fn relay<'run>(
    caller: &mut CallerConnection,
    dispatch: &'run RequestDispatch<'run>,
    mut live: Box<LiveStream<'run>>,
) -> RelayOutcome {
    let state = dispatch.state;
    let deadline = dispatch.request.deadline;
    let mut last_part_at = state.clock.now();
    loop {
        let backend = live.backend().clone();
        let reading = continue_stream(dispatch, live);
        let reading = match run_interruptible(state, caller, deadline, reading).await {
            WorkOutcome::Done(Ok(reading)) => reading,
            WorkOutcome::Done(Err(error)) => {
                tracing::info!(request = %dispatch.request.attempt, fault = ?error, "stream not resumed");
                return RelayOutcome::Broken(cut_off_reason(error));
            }
            WorkOutcome::CallerLeft => return RelayOutcome::CallerLeft,
            WorkOutcome::Expired => return RelayOutcome::Broken(UnknownReason::BackendTimeout),
            WorkOutcome::Stopped => return RelayOutcome::Broken(UnknownReason::EntryStopped),
        };
        let now = state.clock.now();
        if *reading.live.backend() == backend {
            dispatch.note_gap(now.since(last_part_at));
        }
        last_part_at = now;
        let mut writer = MessageWriter::default();
        write_part(&mut writer, &reading.part);
        let is_sent = caller.send(&writer.into_bytes()).await;
        live = reading.live;
        dispatch.note_answering(live.backend());
        if matches!(reading.part, StreamPart::End) {
            dispatch.note_stream_end(&live);
            live.release(state);
            return if is_sent {
                RelayOutcome::Complete
            } else {
                RelayOutcome::CallerLeft
            };
        }
        if !is_sent {
            return RelayOutcome::CallerLeft;
        }
    }
}

fn write_part(writer: &mut MessageWriter, part: &StreamPart) {
    match part {
        StreamPart::Events(events) => writer.chunk(events),
        StreamPart::End => writer.end_chunks(),
    }
}

/// Why a stream is cut off that no backend server goes on with.
const fn cut_off_reason(error: RequestError) -> UnknownReason {
    match error {
        RequestError::Unknown(reason) => reason,
        RequestError::Refused(_) => UnknownReason::BackendBroke,
    }
}
