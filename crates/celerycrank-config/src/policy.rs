//! The lists compiled for looking up what one request may use.

use std::collections::HashMap;

use celerycrank_types::{
    AccountId, ModelId, PlanId, RefusalReason, ServiceId, ShareWeight, TimeSpan, TokenRate,
};
use smallvec::SmallVec;

use crate::{
    Configuration, KeyHash, PermittedUse, PlanDefinition, PriorityClass, RepeatRule, ServiceUse,
};

/// Path of the chat-completions interface, which names its model in the body.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Bytes of a hash by which its bucket is found.
const BUCKET_BYTES: usize = 8;

/// An account as the table knows it; valid for the table that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountIndex(usize);

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestTarget<'request> {
    /// A model by its name.
    Model(&'request str),
    /// A plain service by method and path.
    Path {
        /// The method, in upper case.
        method: &'request str,
        /// The path, without the query.
        path: &'request str,
    },
}

/// What the backend server of a request must offer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ResolvedOffer {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// How a request is treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPolicy {
    /// What its backend server must offer.
    pub offer: ResolvedOffer,
    /// Whether it may be started again.
    pub repeat: RepeatRule,
    /// When it goes first.
    pub priority: PriorityClass,
    /// The share of its account.
    pub share: ShareWeight,
    /// Longest time until its first byte.
    pub deadline: TimeSpan,
    /// The cap of its account.
    pub rate: Option<TokenRate>,
}

/// The lists of one configuration, compiled.
#[derive(Debug, Default)]
pub struct PolicyTable {
    accounts: Vec<CompiledAccount>,
    plans: Vec<PlanDefinition>,
    /// Keys by the head of their hash. Finding a bucket tells one who times it nothing of
    /// a key, since a hash can't be chosen; within it, hashes are compared in constant time.
    keys: HashMap<[u8; BUCKET_BYTES], SmallVec<[(KeyHash, AccountIndex); 1]>>,
}

#[derive(Debug)]
struct CompiledAccount {
    account: AccountId,
    /// Invariant: the position of a plan of the table.
    plan: usize,
}

impl PolicyTable {
    /// Compiles a checked configuration; an account without a plan is left out.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let mut table = Self {
            plans: configuration.plans.plans.clone(),
            ..Self::default()
        };
        for entry in &configuration.customers.accounts {
            let mut plans = table.plans.iter();
            let Some(plan) = plans.position(|plan| plan.plan == entry.plan) else {
                continue;
            };
            let index = AccountIndex(table.accounts.len());
            for key in &entry.keys {
                table
                    .keys
                    .entry(bucket(key))
                    .or_default()
                    .push((*key, index));
            }
            table.accounts.push(CompiledAccount {
                account: entry.account.clone(),
                plan,
            });
        }
        table
    }

    /// Finds whose key a caller presents.
    #[must_use]
    pub fn authenticate(&self, key: &str) -> Option<AccountIndex> {
        let hash = KeyHash::of_key(key);
        let candidates = self.keys.get(&bucket(&hash))?;
        let found = candidates.iter().find(|(candidate, _)| *candidate == hash);
        found.map(|(_, index)| *index)
    }

    /// The name of an account.
    #[must_use]
    pub fn account(&self, index: AccountIndex) -> &AccountId {
        &self.accounts[index.0].account
    }

    /// The cap of an account by its name; `None` if it has no cap or is not known.
    #[must_use]
    pub fn rate_cap(&self, account: &AccountId) -> Option<TokenRate> {
        let found = self
            .accounts
            .iter()
            .find(|entry| entry.account == *account)?;
        self.plans[found.plan].rate
    }

    /// The plan of an account.
    #[must_use]
    pub fn plan(&self, index: AccountIndex) -> &PlanId {
        &self.plan_definition(index).plan
    }

    /// Finds how a request is treated.
    ///
    /// # Errors
    ///
    /// Fails with [`RefusalReason::OutsidePlan`] for what the plan does not include, and
    /// with [`RefusalReason::BadRequest`] for a path that a backend server might read
    /// as another one.
    pub fn resolve(
        &self,
        index: AccountIndex,
        target: RequestTarget<'_>,
    ) -> Result<RequestPolicy, RefusalReason> {
        let plan = self.plan_definition(index);
        let (offer, repeat) = match target {
            RequestTarget::Model(model) => resolve_model(plan, model)?,
            RequestTarget::Path { method, path } => resolve_path(plan, method, path)?,
        };
        Ok(RequestPolicy {
            offer,
            repeat,
            priority: plan.priority,
            share: plan.share,
            deadline: plan.deadline,
            rate: plan.rate,
        })
    }

    fn plan_definition(&self, index: AccountIndex) -> &PlanDefinition {
        &self.plans[self.accounts[index.0].plan]
    }
}

impl ServiceUse {
    /// Whether a path lies at or below the prefix, by whole segments.
    #[must_use]
    pub fn covers(&self, path: &str) -> bool {
        let prefix = self.prefix.trim_end_matches('/');
        let rest = path.strip_prefix(prefix);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// Whether every reader of this path takes it for the same one: it has no empty or dot
/// segments, written out or percent-encoded, and no encoded separators.
#[must_use]
pub fn is_normalized_path(path: &str) -> bool {
    let lowered = path.to_ascii_lowercase();
    let hidden = ["%2e", "%2f", "%5c", "%25", "%00", "\\", "//"];
    let dotted = |segment: &str| matches!(segment, "." | "..");
    path.starts_with('/')
        && !hidden.iter().any(|part| lowered.contains(part))
        && !path.split('/').any(dotted)
}

fn resolve_model(
    plan: &PlanDefinition,
    model: &str,
) -> Result<(ResolvedOffer, RepeatRule), RefusalReason> {
    let models = plan.uses.iter().filter_map(|entry| match entry {
        PermittedUse::Model(allowed) => Some(&allowed.model),
        PermittedUse::Service(_) => None,
    });
    let mut matching = models.filter(|allowed| allowed.as_str() == model);
    let found = matching.next().ok_or(RefusalReason::OutsidePlan)?;
    Ok((ResolvedOffer::Model(found.clone()), RepeatRule::Never))
}

fn resolve_path(
    plan: &PlanDefinition,
    method: &str,
    path: &str,
) -> Result<(ResolvedOffer, RepeatRule), RefusalReason> {
    if !is_normalized_path(path) {
        return Err(RefusalReason::BadRequest);
    }
    let services = plan.uses.iter().filter_map(|entry| match entry {
        PermittedUse::Service(service) => Some(service),
        PermittedUse::Model(_) => None,
    });
    let covering = services.filter(|service| service.covers(path));
    let longest = covering.max_by_key(|service| service.prefix.trim_end_matches('/').len());
    let found = longest.ok_or(RefusalReason::OutsidePlan)?;
    let repeat = effective_repeat_rule(method, found.repeat);
    Ok((ResolvedOffer::Service(found.service.clone()), repeat))
}

/// A call that only reads needs no key; it is still not repeated, as the rule demands.
fn effective_repeat_rule(method: &str, rule: RepeatRule) -> RepeatRule {
    match (method, rule) {
        ("GET" | "HEAD" | "OPTIONS", RepeatRule::Keyed) => RepeatRule::Never,
        _ => rule,
    }
}

fn bucket(hash: &KeyHash) -> [u8; BUCKET_BYTES] {
    let mut head = [0; BUCKET_BYTES];
    head.copy_from_slice(&hash.as_bytes()[..BUCKET_BYTES]);
    head
}
