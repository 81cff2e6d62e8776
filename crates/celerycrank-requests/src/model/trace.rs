//! Lines of a run's trace.

use super::message::{Message, OrderBody};
use crate::{ClaimOperation, ClaimReply, RequestEvent};

/// Describes a sent message in one line.
pub(super) fn describe(message: &Message) -> String {
    match message {
        Message::ToAgent(agent, order) => {
            let body = match &order.body {
                OrderBody::Connect(link) => format!("connect, link {link}"),
                OrderBody::Send { link, attempt, .. } => format!("send {attempt}, link {link}"),
                OrderBody::Revoke { attempt, .. } => format!("revoke {attempt}"),
                OrderBody::Resume {
                    link,
                    attempt,
                    offset,
                    ..
                } => format!("resume {attempt} from {offset}, link {link}"),
                OrderBody::Cancel(attempt) => format!("cancel {attempt}"),
            };
            format!("e{} -> a{}  {body}", order.entry.0, agent.0)
        }
        Message::ToEntry(frame) => format!(
            "a  -> e{}  link {}: {}",
            frame.entry.0,
            frame.link,
            describe_event(&frame.event)
        ),
        Message::ToKeyValue(agent, _, operation) => match operation {
            ClaimOperation::Get { record, .. } => format!("a{} -> kv  get {record}", agent.0),
            ClaimOperation::Swap {
                record,
                expected,
                value,
                ..
            } => format!(
                "a{} -> kv  swap {record} at {}, {} bytes",
                agent.0,
                expected.0,
                value.len()
            ),
        },
        Message::FromKeyValue(agent, _, _, reply) => match reply {
            ClaimReply::Value { revision, value } => format!(
                "kv -> a{}  value at {}, {} bytes",
                agent.0,
                revision.0,
                value.as_ref().map_or(0, Vec::len)
            ),
            ClaimReply::Swapped(revision) => {
                format!("kv -> a{}  swapped at {}", agent.0, revision.0)
            }
            ClaimReply::Failed => format!("kv -> a{}  failed", agent.0),
        },
        Message::FromBackend(..) => String::new(),
    }
}

fn describe_event(event: &RequestEvent) -> String {
    match event {
        RequestEvent::Connected { incarnation, .. } => {
            format!("connected, incarnation {incarnation}")
        }
        RequestEvent::Refused(attempt, reason) => format!("{attempt} refused: {reason}"),
        RequestEvent::Unproved(attempt, reason) => format!("{attempt} unproved: {reason}"),
        RequestEvent::Head(attempt) => format!("{attempt} head"),
        RequestEvent::Chunk {
            attempt,
            offset,
            length,
        } => format!("{attempt} bytes {offset}..{}", offset + length),
        RequestEvent::End { attempt, length } => format!("{attempt} end at {length}"),
        RequestEvent::RevokeAnswered(attempt, answer) => {
            format!("{attempt} revocation: {answer:?}")
        }
        other => format!("{other:?}"),
    }
}
