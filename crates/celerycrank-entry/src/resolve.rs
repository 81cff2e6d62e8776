//! Finds what a request asks for within its account's plan.

use celerycrank_config::{PlanEntry, RepeatRule, UseEntry};
use celerycrank_types::{ModelId, RefusalReason, TokenCount};
use celerycrank_wire::OfferKind;
use serde::Deserialize;

/// The path of the chat-completions interface.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Bytes of a prompt that make about one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Tokens that an answer is taken to have if the request does not say.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// What a request asks for, as its plan allows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedUse {
    /// What the backend server must offer.
    pub kind: OfferKind,
    /// Whether the call may be started again.
    pub repeat: RepeatRule,
    /// Work that the request is estimated to need.
    pub cost: TokenCount,
}

/// The parts of a chat-completions request that routing needs.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    max_tokens: Option<u64>,
}

/// Finds what a request asks for.
///
/// # Errors
///
/// Fails if the request is malformed, or asks for what the plan does not include.
pub fn resolve_use(
    plan: &PlanEntry,
    path: &str,
    body: &[u8],
) -> Result<ResolvedUse, RefusalReason> {
    if path == CHAT_PATH {
        return resolve_model(plan, body);
    }
    let services = plan.uses.iter().filter_map(|use_entry| match use_entry {
        UseEntry::Service(service) => Some(service),
        UseEntry::Model(_) => None,
    });
    let found = services
        .filter(|service| path.starts_with(&*service.prefix))
        .max_by_key(|service| service.prefix.len())
        .ok_or(RefusalReason::OutsidePlan)?;
    Ok(ResolvedUse {
        kind: OfferKind::Service(found.service.clone()),
        repeat: found.repeat,
        cost: TokenCount(1),
    })
}

fn resolve_model(plan: &PlanEntry, body: &[u8]) -> Result<ResolvedUse, RefusalReason> {
    let chat = serde_json::from_slice::<ChatRequest>(body)
        .ok()
        .ok_or(RefusalReason::BadRequest)?;
    let model = chat
        .model
        .parse::<ModelId>()
        .ok()
        .ok_or(RefusalReason::BadRequest)?;
    let mut models = plan.uses.iter().filter_map(|use_entry| match use_entry {
        UseEntry::Model(allowed) => Some(&allowed.model),
        UseEntry::Service(_) => None,
    });
    if !models.any(|allowed| *allowed == model) {
        return Err(RefusalReason::OutsidePlan);
    }
    let prompt = body.len() as u64 / BYTES_PER_TOKEN;
    let answer = chat.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
    Ok(ResolvedUse {
        kind: OfferKind::Model(model),
        repeat: RepeatRule::Never,
        cost: TokenCount(prompt.saturating_add(answer)),
    })
}
