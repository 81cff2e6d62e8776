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
    backend::{
        BackendRegistration, BackendState, BackendTable, RegistrationChange, RegistrationState,
    },
    budget::{RetryAllowance, RetryWindow},
    choice::{ChoiceQuery, choose_backend},
    configuration::{
        AccountRule, CallerBounds, EngineProfile, GroupProfile, RequestSemantics, RouteRule,
        ServiceRule, ServingConfiguration, WeightedService,
    },
    event::{EventError, EventReader},
    freshness::FreshnessGuard,
    load::{LoadEstimate, LoadReport},
    route::RouteTable,
};
