//! Decision logic of an entry that sends requests directly to backend servers.
//!
//! This crate performs no I/O; time and randomness are passed as arguments.

mod account;
mod admission;
mod admission_queue;
mod answer_history;
mod answer_pace;
mod backend;
mod budget;
mod caller_budget;
mod check;
mod choice;
mod clearance;
mod cold;
mod compare;
mod configuration;
mod crash;
mod crash_check;
mod crash_collector;
mod departure;
mod entry_list;
mod evacuation;
mod event;
mod evidence;
mod fate;
mod finished_answer;
mod freshness;
mod group_load;
mod limit;
mod load;
mod load_ceiling;
mod obstacle;
mod occasion;
mod part_evidence;
mod pause;
mod prompt;
mod quarantine;
mod registration;
mod route;
mod stability;
mod table;

pub use crate::{
    account::AccountTable,
    admission::{
        AdmissionPolicy, ArrivalMeter, FirstEventEstimate, RequestPriority, UrgencyLevel,
        WaitBounds,
    },
    admission_queue::{AccountLoads, AccountShare, AdmissionQueue, WaitBand, WaitRank, WaitTicket},
    backend::BackendState,
    budget::{EntryCount, RetryAllowance, RetryWindow},
    caller_budget::{
        BudgetBounds, CallerBudget, ConnectionNumber, EndReason, EndedConnection, NoRoomError,
        STOPPED_TIMEOUT, SpaceDecision,
    },
    check::{
        CONFIGURATION_WARNING_CODES, ConfigurationPlace, ConfigurationWarning, LimitField,
        RouteField, ServiceField, check_configuration,
    },
    choice::{BackendChoice, ChoiceQuery, LoadLimit, choose_backend, estimate_cost, is_full},
    clearance::{ClearanceRecord, PartClearance},
    cold::{ColdBounds, ColdStart},
    compare::compare_configurations,
    configuration::{
        AccountRule, CallerBounds, EngineProfile, GroupProfile, KeyRequirement, RequestSemantics,
        RouteLocation, RouteRule, ServiceRule, ServingConfiguration, WeightedService,
    },
    crash::{AnswerProgress, BackendIncarnation, CrashReport, CrashReportError, PresentPrompt},
    crash_check::{CheckStep, CheckVerdict, ConnectionSign, CrashCheck},
    crash_collector::CrashCollector,
    entry_list::EntryList,
    evacuation::EvacuationChange,
    event::{EventError, EventReader},
    evidence::RefusedPart,
    fate::IncarnationFate,
    finished_answer::{AnswerCollector, FinishedAnswer},
    freshness::FreshnessGuard,
    group_load::GroupLoads,
    limit::{EntryPlace, LimitNotice},
    load::{LoadEstimate, LoadReport, RequestFlow},
    load_ceiling::LoadCeiling,
    obstacle::{SendObstacle, ServiceObstacle},
    pause::MAX_PAUSE,
    prompt::{PromptOutcome, PromptWeighing},
    quarantine::{PartQuarantine, PromptQuery, QuarantineChange, QuarantineStatus},
    registration::{BackendRegistration, RegistrationChange, RegistrationState},
    route::{RouteMatch, RouteTable},
    stability::StabilityChange,
    table::BackendTable,
};
