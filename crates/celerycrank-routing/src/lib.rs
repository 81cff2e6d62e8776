//! Selection of the backend server that receives a request.
//!
//! Each entry has one [`BackendRouter`] per model. It shares no state with the routers of other
//! entries. This crate performs no I/O and does not read the clock.

mod backend;
mod delay;
mod demand;
mod holder;
mod prefix;
mod prompt_index;
mod rendezvous;
mod router;

pub use crate::{
    backend::{BackendCondition, BackendSpec, LoadReport},
    delay::DelayEstimate,
    holder::CacheEvent,
    prefix::{BlockHash, PromptPrefix},
    prompt_index::{
        HolderKey, MAX_PROMPT_HOLDERS, PromptBeginnings, PromptHolders, PromptIndex,
        PromptRetention,
    },
    router::{BackendRouter, RouteChoice, RouteQuery, RouteReason, RouterSettings},
};
