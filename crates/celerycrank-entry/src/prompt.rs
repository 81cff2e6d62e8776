//! What of a chat request keeps it together with others.

use celerycrank_routing::PromptPrefix;
use serde_json::Value;

/// Roles of messages that give instructions, before a conversation begins.
const INSTRUCTION_ROLES: [&str; 2] = ["system", "developer"];

/// The prefix of a chat request with these messages.
///
/// Prompts of one kind begin with the same text. A conversation is named by its messages
/// up to the first that gives no instructions, which stay the same as it grows.
#[must_use]
pub fn prompt_prefix(messages: &[Value]) -> PromptPrefix {
    let texts = messages.iter().map(Value::to_string).collect::<Vec<_>>();
    let opening = messages.iter().position(|message| !is_instruction(message));
    let opening = opening.map_or(texts.len(), |first| first + 1);
    PromptPrefix::of_text(texts.concat().as_bytes())
        .with_session(texts[..opening].concat().as_bytes())
}

fn is_instruction(message: &Value) -> bool {
    message["role"]
        .as_str()
        .is_some_and(|role| INSTRUCTION_ROLES.contains(&role))
}
