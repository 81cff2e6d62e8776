//! State machine of one request on the entry.

mod classify;
mod event;
mod machine;
mod policy;

pub use self::{
    event::{RequestAction, RequestEvent, RequestState, RevokeAnswer},
    machine::{RequestActions, RequestContext, RequestMachine},
    policy::RequestPolicy,
};
