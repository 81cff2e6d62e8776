//! Decisions about which backend server takes a request.
//!
//! A [`BackendRouter`] stands in each entry, one for each model. It shares no state with the
//! routers of other entries. Nothing here performs I/O or reads a clock.

mod backend;
mod demand;
mod hint;
mod prefix;
mod rendezvous;
mod router;

pub use crate::{
    backend::{BackendCondition, BackendSpec, LoadReport},
    hint::CacheEvent,
    prefix::{BlockHash, PromptPrefix},
    router::{BackendRouter, RouteChoice, RouteQuery, RouteReason, RouterSettings},
};
