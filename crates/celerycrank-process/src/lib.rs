//! What both process roles need around the decision logic.

mod admin;
mod caller;
mod clock;
mod counter;
mod listener;
mod log;
mod shutdown;
mod source;

pub use crate::{
    admin::{AdminPages, serve_admin},
    clock::ProcessClock,
    counter::{CounterFault, LabelledCounter, MetricSet},
    listener::{ConnectionEvent, HttpListener, ListenerLimits},
    log::LogBuffer,
    shutdown::{ShutdownFlag, on_reload_signal, wait_for_stop_signal},
    source::{DeploymentSource, SourceFault, StaticDeployment},
};
