//! Settings of the processes, the two lists that operators edit, and their validation.
//!
//! The *customer list* holds the client accounts and assigns a plan to each; the *plan list*
//! defines what each plan may use. Together with a revision they form a [`Configuration`].

mod check;
mod configuration;
mod diff;
mod direct;
mod effect;
mod finding;
mod key;
mod list;
mod policy;
mod record;
mod setting;

pub use crate::{
    check::{
        LIST_FINDING_CODES, ListDocuments, ListErrors, ListTexts, ValidationError,
        ValidationErrorKind, check_agent, check_direct_entry, check_entry, check_lists,
        check_platform, check_rank_agent, error_finding, find_duplicate_fields, format_json,
    },
    configuration::Configuration,
    diff::{ListChange, diff_lists},
    direct::{
        ColdSettings, DirectEntrySettings, PromptCacheSettings, RankAgentSettings, RetrySettings,
        StoreSettings,
    },
    effect::compare_lists,
    finding::{CheckedDocument, Difference, Finding, Severity, Tendency, TextPosition},
    key::{KeyHash, KeyHashError},
    list::{
        ClientAccount, CustomerList, ModelUse, PermittedUse, PlanDefinition, PlanList,
        PriorityClass, RepeatRule, ServiceUse,
    },
    policy::{
        AccountIndex, CHAT_PATH, DEFAULT_ANSWER_TOKENS, PolicyTable, RequestTarget, ResolvedOffer,
        ResolvedPolicy, is_normalized_path,
    },
    record::{ChangeRecord, ConfigurationRecord, MAX_HISTORY},
    setting::{
        AgentSettings, BackendKind, BackendSettings, CallerLimits, EntrySettings, FencingRule,
        LinkSettings, PlatformSettings,
    },
};
