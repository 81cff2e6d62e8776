//! The customer list and the plan list, which operators edit.

use std::sync::Arc;

use celerycrank_types::{AccountId, ModelId, PlanId, ServiceId, ShareWeight, TimeSpan, TokenRate};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::KeyHash;

/// The customer list: the plan and the API keys of each client account.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerList {
    /// Invariant: account names and key hashes are unique.
    pub accounts: Vec<ClientAccount>,
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// The account's name.
    pub account: AccountId,
    /// The account's plan.
    pub plan: PlanId,
    /// Hashes of the API keys that identify the account; several during key rotation.
    pub keys: SmallVec<[KeyHash; 2]>,
}

/// The plan list: what each plan may use.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanList {
    /// Invariant: plan names are unique.
    pub plans: Vec<PlanDefinition>,
}

/// One plan: its limits and what it may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanDefinition {
    /// The plan's name.
    pub plan: PlanId,
    /// Weight of each of the plan's accounts in the division of contended capacity.
    pub share: ShareWeight,
    /// Order in which requests are served when capacity is contended.
    pub priority: PriorityClass,
    /// Maximum tokens per second for one account; without it, only the share limits the account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<TokenRate>,
    /// Maximum time from acceptance of a request to the first byte of its answer.
    pub deadline: TimeSpan,
    /// The models and services that the plan may use; requests for others are refused.
    pub uses: Vec<PermittedUse>,
}

/// A model or a service that a plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermittedUse {
    /// A model, reached through the chat-completions interface.
    Model(ModelUse),
    /// A plain HTTP service, reached by its path prefix.
    Service(ServiceUse),
}

/// A model that a plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelUse {
    /// The model's name, as callers send it.
    pub model: ModelId,
}

/// A plain HTTP service that a plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceUse {
    /// The service's name.
    pub service: ServiceId,
    /// Path prefix of requests to the service; the longest matching prefix wins.
    pub prefix: Arc<str>,
    /// Whether a call may be started a second time.
    pub repeat: RepeatRule,
}

/// Whether a call to a plain service may be repeated, that is, started a second time.
///
/// A retry is any further attempt, including one after an attempt that never started the call; it
/// is a repeat only if the call may have started before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// The system never starts the call a second time.
    Never,
    /// The call is never started a second time and must carry an `Idempotency-Key`, which is
    /// claimed before the call starts.
    Keyed,
    /// The call may be started again as long as no byte of an answer has reached the caller.
    Repeatable,
}

/// Order in which requests are served when capacity is contended.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Served before the other classes.
    High,
    /// The default class.
    #[default]
    Normal,
    /// Served after the other classes.
    Low,
}

impl RepeatRule {
    /// Returns the name of the rule in the plan list.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Never => "never",
            Self::Keyed => "keyed",
            Self::Repeatable => "repeatable",
        }
    }
}

impl PriorityClass {
    /// Returns the name of the class in the plan list.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        }
    }
}
