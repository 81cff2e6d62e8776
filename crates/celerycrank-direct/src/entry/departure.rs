//! Records what the answers of backend servers say about further requests.

use celerycrank_platform::AnswerMetadata;
use celerycrank_serving::{BackendRegistration, MAX_PAUSE};

use super::{
    admission::{wake_all_waiting, wake_waiting},
    state::EntryState,
};

/// Records that a backend server is shutting down, if it states that in an answer.
///
/// Its idle connections are closed; those in use are closed after their answers.
pub(super) fn read_leaving(
    state: &EntryState,
    registration: &BackendRegistration,
    metadata: &AnswerMetadata,
) {
    let backend = &registration.backend;
    match &metadata.is_leaving {
        Ok(true) if metadata.is_made_by(backend) => {
            let is_new = state.backends.borrow_mut().note_leaving(registration);
            if is_new {
                state.metrics.departures.leaving.inc();
                let incarnation = registration.incarnation;
                tracing::info!(%backend, incarnation, "backend server is leaving");
                state.pool.close_backend(backend);
                wake_waiting(state, &registration.service);
            }
        }
        Ok(_) => {}
        Err(error) => {
            state.metrics.departures.leaving_errors.inc();
            tracing::info!(%backend, fault = %error, "leaving of a backend server is ignored");
        }
    }
}

/// Records for how long a backend server wants no requests, if it rejects one so.
pub(super) fn read_pause(
    state: &EntryState,
    registration: &BackendRegistration,
    metadata: &AnswerMetadata,
) {
    let backend = &registration.backend;
    match &metadata.pause {
        Ok(Some(span)) if metadata.is_made_by(backend) => {
            if *span > MAX_PAUSE {
                state.metrics.departures.pause_errors.inc();
                tracing::info!(%backend, %span, "pause of a backend server is shortened");
            }
            let now = state.clock.now();
            let has_begun = state.backends.borrow_mut().note_pause(backend, *span, now);
            if has_begun {
                state.metrics.departures.pauses.inc();
                let span = (*span).min(MAX_PAUSE);
                tracing::info!(%backend, %span, "backend server asks for a pause");
                wake_waiting(state, &registration.service);
            }
        }
        Ok(_) => {}
        Err(error) => {
            state.metrics.departures.pause_errors.inc();
            tracing::info!(%backend, fault = %error, "pause of a backend server is ignored");
        }
    }
}

/// Logs the backend servers whose pauses have ended and wakes the requests that wait for a place.
pub(super) fn note_ended_pauses(state: &EntryState) {
    let now = state.clock.now();
    let ended = state.backends.borrow_mut().take_ended_pauses(now);
    for backend in &ended {
        tracing::info!(%backend, "pause of a backend server has ended");
    }
    if !ended.is_empty() {
        wake_all_waiting(state);
    }
}
