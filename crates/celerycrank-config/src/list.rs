//! The operators' two lists.

use std::sync::Arc;

use celerycrank_types::{AccountId, ModelId, PlanId, ServiceId, ShareWeight, TimeSpan, TokenRate};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::KeyHash;

/// The first list: the plan that each client account holds.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerList {
    /// Invariant: no account twice, no key hash twice.
    pub accounts: Vec<ClientAccount>,
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// The account's name.
    pub account: AccountId,
    /// The plan that the account holds.
    pub plan: PlanId,
    /// Hashes of the API keys that identify the account; several while keys are replaced.
    pub keys: SmallVec<[KeyHash; 2]>,
}

/// The second list: what each plan may use.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanList {
    /// Invariant: no plan twice.
    pub plans: Vec<PlanDefinition>,
}

/// One plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanDefinition {
    /// The plan's name.
    pub plan: PlanId,
    /// Part of contended capacity that each account of the plan gets, relative to others.
    pub share: ShareWeight,
    /// Which requests go first where capacity is contended.
    pub priority: PriorityClass,
    /// Most tokens in a second for one account; absent means no cap besides the share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<TokenRate>,
    /// Longest time from acceptance to the first byte of an answer.
    pub deadline: TimeSpan,
    /// What the plan may use; anything else is refused.
    pub uses: Vec<PermittedUse>,
}

/// One thing that a plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermittedUse {
    /// A model, reached by the chat-completions interface.
    Model(ModelUse),
    /// A plain service, reached by its path prefix.
    Service(ServiceUse),
}

/// A model that a plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelUse {
    /// The model's name, as callers send it.
    pub model: ModelId,
}

/// A plain service that a plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceUse {
    /// The service's name.
    pub service: ServiceId,
    /// Requests whose path begins with this go to the service; the longest prefix wins.
    pub prefix: Arc<str>,
    /// Whether a call may be started again.
    pub repeat: RepeatRule,
}

/// Whether a call to a plain service may be started again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// Never started a second time by the system.
    Never,
    /// Never started a second time, and must carry an `Idempotency-Key` that is claimed.
    Keyed,
    /// May be started again while no byte has reached the caller.
    Repeatable,
}

/// Which requests go first where capacity is contended.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Goes first.
    High,
    /// The usual class.
    #[default]
    Normal,
    /// Goes last.
    Low,
}

impl RepeatRule {
    /// The rule as it is written in the list.
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
    /// The class as it is written in the list.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        }
    }
}
