//! Decision logic of an entry that sends requests directly to backend servers.
//!
//! This crate performs no I/O; time and randomness are passed as arguments.

mod account;
mod backend;
mod budget;
mod caller_budget;
mod choice;
mod clearance;
mod configuration;
mod crash;
mod event;
mod evidence;
mod freshness;
mod limit;
mod load;
mod obstacle;
mod occasion;
mod quarantine;
mod registration;
mod route;
mod table;

pub use crate::{
    account::AccountTable,
    backend::BackendState,
    budget::{EntryCount, RetryAllowance, RetryWindow},
    caller_budget::{
        BudgetBounds, CallerBudget, ConnectionNumber, EndReason, EndedConnection, NoRoomError,
        SpaceDecision,
    },
    choice::{BackendChoice, ChoiceQuery, choose_backend},
    clearance::{ClearanceRecord, PartClearance},
    configuration::{
        AccountRule, CallerBounds, EngineProfile, GroupProfile, KeyRequirement, RequestSemantics,
        RouteLocation, RouteRule, ServiceRule, ServingConfiguration, WeightedService,
    },
    crash::{CrashCollector, CrashReport, CrashReportError, CrashedBackend},
    event::{EventError, EventReader},
    evidence::RefusedPart,
    freshness::FreshnessGuard,
    limit::{EntryPlace, LimitNotice},
    load::{LoadEstimate, LoadReport},
    obstacle::SendObstacle,
    quarantine::{PartQuarantine, PromptQuery, QuarantineChange, QuarantineStatus},
    registration::{BackendRegistration, RegistrationChange, RegistrationState},
    route::{RouteMatch, RouteTable},
    table::BackendTable,
};
