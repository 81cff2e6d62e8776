//! The lists compiled into a lookup table of what each request may use.

use std::collections::HashMap;

use celerycrank_types::{
    AccountId, ModelId, PlanId, RefusalReason, ServiceId, ShareWeight, TimeSpan, TokenRate,
};
use smallvec::SmallVec;

use crate::{
    Configuration, KeyHash, PermittedUse, PlanDefinition, PriorityClass, RepeatRule, ServiceUse,
};

/// Path of the chat-completions interface, whose requests name the model in the body.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Assumed number of answer tokens if a request to a model does not set `max_tokens`.
pub const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Length of the hash prefix that selects a bucket.
const BUCKET_BYTES: usize = 8;

/// Index of an account in a [`PolicyTable`]; valid only for the table that returned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountIndex(usize);

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestTarget<'request> {
    /// A model by its name.
    Model(&'request str),
    /// A plain HTTP service by method and path.
    Path {
        /// The method, in upper case.
        method: &'request str,
        /// The path, without the query.
        path: &'request str,
    },
}

/// What a backend server must offer to serve a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ResolvedOffer {
    /// A model.
    Model(ModelId),
    /// A plain HTTP service.
    Service(ServiceId),
}

/// What the plan of an account permits and requires for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedPolicy {
    /// What the backend server must offer.
    pub offer: ResolvedOffer,
    /// Whether the request may be started a second time.
    pub repeat: RepeatRule,
    /// Order in which the request is served when capacity is contended.
    pub priority: PriorityClass,
    /// Weight of the account in the division of contended capacity.
    pub share: ShareWeight,
    /// Maximum time until the first byte of the answer.
    pub deadline: TimeSpan,
    /// Rate cap of the account.
    pub rate_cap: Option<TokenRate>,
}

/// The compiled lists of one configuration.
#[derive(Debug, Default)]
pub struct PolicyTable {
    accounts: Vec<CompiledAccount>,
    plans: Vec<PlanDefinition>,
    /// Key hashes by their prefix. The timing of the bucket lookup reveals nothing about a key,
    /// since an attacker cannot choose the hash; within a bucket, hashes are compared in
    /// constant time.
    keys: HashMap<[u8; BUCKET_BYTES], SmallVec<[(KeyHash, AccountIndex); 1]>>,
}

#[derive(Debug)]
struct CompiledAccount {
    account: AccountId,
    /// Invariant: a valid index into [`PolicyTable::plans`].
    plan: usize,
}

impl PolicyTable {
    /// Compiles a validated configuration; accounts whose plan is not listed are left out.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let mut table = Self {
            plans: configuration.plans.plans.clone(),
            ..Self::default()
        };
        for client in &configuration.customers.accounts {
            let mut plans = table.plans.iter();
            let Some(plan) = plans.position(|plan| plan.plan == client.plan) else {
                continue;
            };
            let index = AccountIndex(table.accounts.len());
            for key in &client.keys {
                table
                    .keys
                    .entry(bucket(key))
                    .or_default()
                    .push((*key, index));
            }
            table.accounts.push(CompiledAccount {
                account: client.account.clone(),
                plan,
            });
        }
        table
    }

    /// Returns the account to which an API key belongs.
    #[must_use]
    pub fn authenticate(&self, key: &str) -> Option<AccountIndex> {
        let hash = KeyHash::of_key(key);
        let candidates = self.keys.get(&bucket(&hash))?;
        let found = candidates.iter().find(|(candidate, _)| *candidate == hash);
        found.map(|(_, index)| *index)
    }

    /// Returns the name of an account.
    #[must_use]
    pub fn account(&self, index: AccountIndex) -> &AccountId {
        &self.accounts[index.0].account
    }

    /// Returns the rate cap of an account by name; `None` if it has no cap or is unknown.
    #[must_use]
    pub fn rate_cap(&self, account: &AccountId) -> Option<TokenRate> {
        let found = self
            .accounts
            .iter()
            .find(|compiled| compiled.account == *account)?;
        self.plans[found.plan].rate
    }

    /// Returns the plan of an account.
    #[must_use]
    pub fn plan(&self, index: AccountIndex) -> &PlanId {
        &self.plan_definition(index).plan
    }

    /// Returns the rules under which a request is handled.
    ///
    /// # Errors
    ///
    /// Fails with [`RefusalReason::OutsidePlan`] if the plan does not include the target, and
    /// with [`RefusalReason::BadRequest`] for a path that a backend server might interpret as
    /// a different one.
    pub fn resolve(
        &self,
        index: AccountIndex,
        target: RequestTarget<'_>,
    ) -> Result<ResolvedPolicy, RefusalReason> {
        let plan = self.plan_definition(index);
        let (offer, repeat) = match target {
            RequestTarget::Model(model) => resolve_model(plan, model)?,
            RequestTarget::Path { method, path } => resolve_path(plan, method, path)?,
        };
        Ok(ResolvedPolicy {
            offer,
            repeat,
            priority: plan.priority,
            share: plan.share,
            deadline: plan.deadline,
            rate_cap: plan.rate,
        })
    }

    fn plan_definition(&self, index: AccountIndex) -> &PlanDefinition {
        &self.plans[self.accounts[index.0].plan]
    }
}

impl ServiceUse {
    /// Returns whether a path is at or below the prefix, compared by whole segments.
    #[must_use]
    pub fn covers(&self, path: &str) -> bool {
        let prefix = self.prefix.trim_end_matches('/');
        let rest = path.strip_prefix(prefix);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// Returns whether all HTTP implementations interpret this path in the same way: it has no
/// empty or dot segments, literal or percent-encoded, and no encoded separators.
#[must_use]
pub fn is_normalized_path(path: &str) -> bool {
    let lowercase = path.to_ascii_lowercase();
    let ambiguous = ["%2e", "%2f", "%5c", "%25", "%00", "\\", "//"];
    let dotted = |segment: &str| matches!(segment, "." | "..");
    path.starts_with('/')
        && !ambiguous.iter().any(|part| lowercase.contains(part))
        && !path.split('/').any(dotted)
}

fn resolve_model(
    plan: &PlanDefinition,
    model: &str,
) -> Result<(ResolvedOffer, RepeatRule), RefusalReason> {
    let models = plan.uses.iter().filter_map(|permitted| match permitted {
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
    let longest = find_service_use(plan, path);
    let found = longest.ok_or(RefusalReason::OutsidePlan)?;
    let repeat = effective_repeat_rule(method, found.repeat);
    Ok((ResolvedOffer::Service(found.service.clone()), repeat))
}

/// Returns the use of a service to which the requests of a path belong: the last one of the longest
/// prefix.
pub(crate) fn find_service_use<'plan>(
    plan: &'plan PlanDefinition,
    path: &str,
) -> Option<&'plan ServiceUse> {
    let services = plan.uses.iter().filter_map(|permitted| match permitted {
        PermittedUse::Service(service) => Some(service),
        PermittedUse::Model(_) => None,
    });
    let covering = services.filter(|service| service.covers(path));
    covering.max_by_key(|service| service.prefix.trim_end_matches('/').len())
}

/// Applies `Never` instead of `Keyed` to read-only methods: they need no idempotency key but
/// are still not started a second time.
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
