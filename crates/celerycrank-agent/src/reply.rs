//! The first and the last message of an answer.

use bytes::Bytes;
use celerycrank_requests::CallStatus;
use celerycrank_types::TimeSpan;
use celerycrank_wire::{
    AnswerEnd, AnswerHead, BrokenReply, HttpField, PeerReply, RefusedReply, RunOrder,
};

use crate::{backend::BackendAnswer, run::AttemptOutcome, state::AgentState};

/// Header of an answer that was replayed from the record of its idempotency key.
const REPLAYED_HEADER: &str = "x-celerycrank-replayed";

/// Builds the head of the backend server's answer.
pub(crate) fn answer_head(
    state: &AgentState,
    order: &RunOrder,
    answer: &mut BackendAnswer,
    waited: TimeSpan,
) -> AnswerHead {
    let fields = std::mem::take(&mut answer.fields);
    head(state, order, answer.status, fields, waited)
}

/// Builds the head of an answer from the record of a key; the body is empty, since it was not
/// recorded.
pub(crate) fn replay_head(state: &AgentState, order: &RunOrder, status: CallStatus) -> AnswerHead {
    let fields = vec![
        HttpField {
            name: REPLAYED_HEADER.into(),
            value: Bytes::from_static(b"1"),
        },
        HttpField {
            name: "content-length".into(),
            value: Bytes::from_static(b"0"),
        },
    ];
    head(state, order, status.0, fields, TimeSpan::ZERO)
}

fn head(
    state: &AgentState,
    order: &RunOrder,
    status: u16,
    fields: Vec<HttpField>,
    waited: TimeSpan,
) -> AnswerHead {
    AnswerHead {
        id: order.id,
        incarnation: state.incarnation,
        revision: state.revision(),
        status,
        fields,
        waited,
        load: state.load(),
    }
}

/// Counts the outcome of a request and builds the message that ends its answer.
pub(crate) fn final_message(
    state: &AgentState,
    order: &RunOrder,
    outcome: AttemptOutcome,
) -> Option<PeerReply> {
    let id = order.id;
    let load = state.load();
    match outcome {
        AttemptOutcome::Answered => {
            state.metrics.answered.inc();
            Some(PeerReply::End(AnswerEnd { id, load }))
        }
        AttemptOutcome::Cancelled => {
            state.metrics.cancelled.inc();
            None
        }
        AttemptOutcome::Refused(reason, retry_after) => {
            state.metrics.refusals.count(reason);
            let reply = RefusedReply::builder()
                .id(id)
                .incarnation(state.incarnation)
                .revision(state.revision())
                .reason(reason)
                .maybe_retry_after(retry_after)
                .maybe_configuration(state.sync.update_for(order.revision))
                .load(load)
                .build();
            Some(PeerReply::Refused(Box::new(reply)))
        }
        AttemptOutcome::Unknown(reason) => {
            state.metrics.unknowns.count(reason);
            Some(PeerReply::Broken(BrokenReply {
                id,
                incarnation: state.incarnation,
                reason,
                load,
            }))
        }
    }
}
