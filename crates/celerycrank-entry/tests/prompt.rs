//! The prompt prefix by which related chat requests are routed to the same backend servers.

use celerycrank_entry::prompt_prefix;
use serde_json::{Value, json};

fn instructions() -> Value {
    json!({ "role": "system", "content": "Describe marble lots. ".repeat(100) })
}

fn turn(role: &str, text: &str) -> Value {
    json!({ "role": role, "content": text.repeat(100) })
}

#[test]
fn session_is_stable_as_a_conversation_grows() {
    let first = [instructions(), turn("user", "Is the veining rose? ")];
    let later = [
        first.as_slice(),
        &[turn("assistant", "Yes. "), turn("user", "Why? ")],
    ]
    .concat();
    assert_eq!(
        prompt_prefix(&first).conversation(),
        prompt_prefix(&later).conversation()
    );
}

#[test]
fn conversations_with_the_same_instructions_share_a_prefix_group_but_no_session() {
    let one = prompt_prefix(&[instructions(), turn("user", "Is the veining rose? ")]);
    let other = prompt_prefix(&[instructions(), turn("user", "Where was it quarried? ")]);
    assert_eq!(one.prefix_group(), other.prefix_group());
    assert!(one.prefix_group().is_some());
    assert_ne!(one.conversation(), other.conversation());
}

#[test]
fn prefix_without_structured_messages_is_valid() {
    assert_eq!(prompt_prefix(&[]).prefix_group(), None);
    assert!(
        prompt_prefix(&[json!("a plain text")])
            .conversation()
            .is_some()
    );
}
