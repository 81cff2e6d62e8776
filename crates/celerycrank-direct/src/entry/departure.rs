//! Records what the answers of backend servers say about further requests.

use celerycrank_platform::AnswerMetadata;
use celerycrank_serving::BackendRegistration;

use super::{admission::wake_waiting, state::EntryState};

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
