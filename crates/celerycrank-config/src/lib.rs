//! Settings of the processes, the operators' two lists, and their checks.
//!
//! The *customer list* says which plan each client account holds; the *plan list* says
//! what each plan may use. Together with a revision they form a [`Configuration`].

mod check;
mod configuration;
mod diff;
mod direct;
mod key;
mod list;
mod policy;
mod record;
mod setting;

pub use crate::{
    check::{
        CheckFault, FaultKind, ListFaults, ListTexts, check_agent, check_direct_entry, check_entry,
        check_lists, check_platform, check_rank_agent, lists_text,
    },
    configuration::Configuration,
    diff::{ListChange, list_changes},
    direct::{DirectEntrySettings, RankAgentSettings, RetrySettings, StoreSettings},
    key::{KeyFault, KeyHash},
    list::{
        AccountEntry, CustomerList, ModelUse, PlanEntry, PlanList, PriorityClass, RepeatRule,
        ServiceUse, UseEntry,
    },
    policy::{
        AccountIndex, CHAT_PATH, PolicyTable, RequestPolicy, RequestTarget, ResolvedOffer,
        is_plain_path,
    },
    record::{ChangeNote, ConfigurationRecord, MAX_HISTORY},
    setting::{
        AgentSettings, BackendKind, BackendSettings, CallerLimits, EntrySettings, FencingRule,
        LinkSettings, PlatformSettings,
    },
};
