//! Infrastructure of both process roles: HTTP listeners, admin endpoints, metrics, logs, signals
//! and the clock.

mod admin;
mod caller;
mod clock;
mod descriptor;
mod listener;
mod log;
mod metrics;
mod shutdown;
mod source;
mod task;

pub use crate::{
    admin::{AdminHandler, serve_admin},
    clock::ProcessClock,
    descriptor::descriptor_limit,
    listener::{ConnectionEvent, HttpListener, ListenerLimits, limit_receive_buffer},
    log::LogBuffer,
    metrics::{LabelledCounter, MetricError, MetricSet},
    shutdown::{ShutdownFlag, on_reload_signal, wait_for_stop_signal},
    source::{DeploymentError, DeploymentSource, StaticDeployment},
    task::{RunningTask, TaskError, TaskHandle, TaskSupervisor},
};
