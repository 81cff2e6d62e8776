//! The life of one request at the entry.

mod classify;
mod event;
mod machine;
mod policy;

pub use self::{
    event::{RequestAction, RequestEvent, RequestState, RevokeAnswer},
    machine::{RequestActions, RequestContext, RequestMachine},
    policy::RequestPolicy,
};
