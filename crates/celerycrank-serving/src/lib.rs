//! Decisions of an entry that sends requests straight to backend servers.
//!
//! Nothing here does I/O; time and randomness are arguments.

mod account;
mod backend;
mod budget;
mod choice;
mod configuration;
mod event;
mod freshness;
mod load;
mod route;

pub use crate::{
    account::AccountTable,
    backend::{BackendEntry, BackendState, BackendTable, EntryChange, EntryState},
    budget::{RetryAllowance, RetryWindow},
    choice::{ChoiceQuery, choose_backend},
    configuration::{
        AccountRule, CallerBounds, EngineProfile, GroupProfile, RouteRule, RunRule, ServiceRule,
        ServingConfiguration, WeightedService,
    },
    event::{EventFault, EventReader},
    freshness::FreshnessGuard,
    load::{LoadEstimate, LoadReport},
    route::RouteTable,
};
