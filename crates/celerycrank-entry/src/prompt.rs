//! The prompt prefix by which chat requests that start with the same text or continue the same
//! conversation are routed to the same backend servers.

use celerycrank_routing::PromptPrefix;
use serde_json::Value;

/// Roles of the instruction messages that precede a conversation.
const INSTRUCTION_ROLES: [&str; 2] = ["system", "developer"];

/// Returns the prompt prefix of a chat request with these messages.
///
/// Prompts of the same application start with the same text. A conversation is identified by
/// its messages up to and including the first that is not an instruction, since these stay the
/// same as it grows.
#[must_use]
pub fn prompt_prefix(messages: &[Value]) -> PromptPrefix {
    let texts = messages.iter().map(Value::to_string).collect::<Vec<_>>();
    let opening = messages.iter().position(|message| !is_instruction(message));
    let opening = opening.map_or(texts.len(), |first| first + 1);
    PromptPrefix::of_text(texts.concat().as_bytes())
        .with_conversation(texts[..opening].concat().as_bytes())
}

fn is_instruction(message: &Value) -> bool {
    message["role"]
        .as_str()
        .is_some_and(|role| INSTRUCTION_ROLES.contains(&role))
}
