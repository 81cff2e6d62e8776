//! Resolves the target of a request under its account's plan.

use celerycrank_config::{
    AccountIndex, CHAT_PATH, DEFAULT_ANSWER_TOKENS, PolicyTable, RequestTarget, ResolvedOffer,
    ResolvedPolicy,
};
use celerycrank_routing::PromptPrefix;
use celerycrank_types::{RefusalReason, TokenCount};
use celerycrank_wire::{OfferKind, RequestHead};
use serde::Deserialize;
use serde_json::Value;

use crate::prompt::prompt_prefix;

/// Approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;

/// The resolved target of a request, and how its account's plan treats it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ResolvedRequest {
    /// The model or service that the backend server must offer.
    pub(crate) kind: OfferKind,
    /// How the plan treats the request.
    pub(crate) policy: ResolvedPolicy,
    /// Estimated cost of the request in tokens.
    pub(crate) cost: TokenCount,
    /// The prompt's prefix blocks; empty for a service.
    pub(crate) prefix: PromptPrefix,
}

/// The fields of a chat completions request that routing needs.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: Vec<Value>,
}

/// Resolves the target of a request.
pub(crate) fn resolve_request(
    table: &PolicyTable,
    account: AccountIndex,
    head: &RequestHead,
    body: &[u8],
) -> Result<ResolvedRequest, RefusalReason> {
    let path = head.path.split('?').next().unwrap_or_default();
    if path == CHAT_PATH {
        return resolve_chat(table, account, body);
    }
    let target = RequestTarget::Path {
        method: &head.method,
        path,
    };
    let policy = table.resolve(account, target)?;
    Ok(ResolvedRequest {
        kind: offer_kind(&policy),
        policy,
        cost: TokenCount(1),
        prefix: PromptPrefix::default(),
    })
}

fn resolve_chat(
    table: &PolicyTable,
    account: AccountIndex,
    body: &[u8],
) -> Result<ResolvedRequest, RefusalReason> {
    let chat = serde_json::from_slice::<ChatRequest>(body).ok();
    let chat = chat.ok_or(RefusalReason::BadRequest)?;
    let policy = table.resolve(account, RequestTarget::Model(&chat.model))?;
    let prompt = body.len() as u64 / BYTES_PER_TOKEN;
    let answer = chat.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
    let cost = TokenCount(prompt.saturating_add(answer));
    Ok(ResolvedRequest {
        kind: offer_kind(&policy),
        policy,
        cost,
        prefix: prompt_prefix(&chat.messages),
    })
}

fn offer_kind(policy: &ResolvedPolicy) -> OfferKind {
    match &policy.offer {
        ResolvedOffer::Model(model) => OfferKind::Model(model.clone()),
        ResolvedOffer::Service(service) => OfferKind::Service(service.clone()),
    }
}
