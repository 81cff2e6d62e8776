//! A completion: the tokens generated so far and the number of its readers.

use std::cell::{Cell, RefCell};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Notify;

const DEFAULT_TOKENS: usize = 16;

/// The fields of a chat-completions request that the stand-in uses.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionRequest {
    pub model: String,
    pub messages: Vec<CompletionMessage>,
    #[serde(default)]
    pub stream: bool,
    pub max_tokens: Option<usize>,
    #[serde(default)]
    pub priority: i64,
}

#[derive(Debug, Deserialize)]
pub(crate) struct CompletionMessage {
    #[serde(default)]
    pub content: String,
}

impl CompletionRequest {
    /// The tokens of the prompt; each word counts as a token.
    pub(crate) fn prompt(&self) -> Vec<&str> {
        let contents = self.messages.iter().map(|message| message.content.as_str());
        contents.flat_map(str::split_whitespace).collect()
    }

    pub(crate) fn token_count(&self) -> usize {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }
}

/// A running or finished completion.
#[derive(Debug)]
pub(crate) struct Completion {
    pub id: String,
    pub model: String,
    /// Identifies the prompt in each token, so that chunks of another answer are detected.
    pub tag: String,
    tokens: RefCell<Vec<String>>,
    pub finished: Cell<bool>,
    pub readers: Cell<usize>,
    pub changed: Notify,
}

impl Completion {
    pub(crate) fn new(id: String, model: String, tag: String) -> Self {
        Self {
            id,
            model,
            tag,
            tokens: RefCell::default(),
            finished: Cell::new(false),
            readers: Cell::new(0),
            changed: Notify::new(),
        }
    }

    pub(crate) fn push_token(&self) {
        let mut tokens = self.tokens.borrow_mut();
        let token = format!("{}-{} ", self.tag, tokens.len());
        tokens.push(token);
        self.changed.notify_waiters();
    }

    pub(crate) fn finish(&self) {
        self.finished.set(true);
        self.changed.notify_waiters();
    }

    pub(crate) fn len(&self) -> usize {
        self.tokens.borrow().len()
    }

    /// The event that carries a token; its id is the position after which a stream resumes.
    pub(crate) fn token_event(&self, index: usize) -> Bytes {
        let chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": { "content": self.tokens.borrow()[index] } }],
        });
        format!("id: {}:{index}\ndata: {chunk}\n\n", self.id).into()
    }

    /// The complete answer to a request that is not streamed.
    pub(crate) fn full_answer(&self, prompt_tokens: usize) -> serde_json::Value {
        let count = self.len();
        json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.tokens.borrow().concat() },
                "finish_reason": "stop",
            }],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": count,
                "total_tokens": prompt_tokens + count,
            },
        })
    }
}
