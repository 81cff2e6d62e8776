//! What of a chat request keeps it together with others.

use celerycrank_entry::prompt_prefix;
use serde_json::{Value, json};

fn instructions() -> Value {
    json!({ "role": "system", "content": "Describe marble lots. ".repeat(100) })
}

fn turn(role: &str, text: &str) -> Value {
    json!({ "role": role, "content": text.repeat(100) })
}

#[test]
fn a_conversation_keeps_its_name_as_it_grows() {
    let first = [instructions(), turn("user", "Is the veining rose? ")];
    let later = [
        first.as_slice(),
        &[turn("assistant", "Yes. "), turn("user", "Why? ")],
    ]
    .concat();
    assert_eq!(
        prompt_prefix(&first).session(),
        prompt_prefix(&later).session()
    );
}

#[test]
fn conversations_of_one_kind_share_their_beginning_and_nothing_else() {
    let one = prompt_prefix(&[instructions(), turn("user", "Is the veining rose? ")]);
    let other = prompt_prefix(&[instructions(), turn("user", "Where was it quarried? ")]);
    assert_eq!(one.prefix_group(), other.prefix_group());
    assert!(one.prefix_group().is_some());
    assert_ne!(one.session(), other.session());
}

#[test]
fn requests_without_messages_have_a_prefix_all_the_same() {
    assert_eq!(prompt_prefix(&[]).prefix_group(), None);
    assert!(prompt_prefix(&[json!("a plain text")]).session().is_some());
}
