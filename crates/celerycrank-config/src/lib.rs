//! Settings of the processes, the operators' two lists, and their checks.
//!
//! The *customer list* says which plan each client account holds; the *plan list* says
//! what each plan may use. Together with a revision they form a [`Configuration`].

mod configuration;
mod key;
mod list;
mod setting;

pub use crate::{
    configuration::Configuration,
    key::{KeyFault, KeyHash},
    list::{
        AccountEntry, CustomerList, ModelUse, PlanEntry, PlanList, PriorityClass, RepeatRule,
        ServiceUse, UseEntry,
    },
    setting::{
        AgentSettings, BackendKind, BackendSettings, CallerLimits, EntrySettings, FencingRule,
        LinkSettings, PlatformSettings,
    },
};
