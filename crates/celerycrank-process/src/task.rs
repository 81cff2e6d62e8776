//! Supervision of the long-running tasks of a process.

use std::{
    any::Any,
    cell::RefCell,
    collections::VecDeque,
    panic::AssertUnwindSafe,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::{task::JoinHandle, time::sleep};
use futures_util::FutureExt;
use prometheus::IntCounter;
use tokio::sync::Notify;

use crate::{MetricError, MetricSet};

/// The delay before a failed task is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// The number of failures within [`FAILURE_WINDOW`] after which the process has to end.
const MAX_FAILURES: usize = 5;

/// The time over which failures are counted.
const FAILURE_WINDOW: Duration = Duration::from_mins(1);

/// tasks of the process failed {failures} times within a minute, last {task}: {reason}
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct TaskError {
    /// The name of the task.
    pub task: &'static str,
    /// The number of recent failures of all tasks.
    pub failures: usize,
    /// Why the task ended.
    pub reason: String,
}

impl std::error::Error for TaskError {}

/// Failures that all tasks of a process share.
#[derive(Debug)]
struct FailureRecord {
    counter: IntCounter,
    /// The times of recent failures, oldest first.
    recent: RefCell<VecDeque<Instant>>,
    /// The failure after which the process has to end.
    fatal: RefCell<Option<TaskError>>,
    failed: Notify,
}

impl FailureRecord {
    /// Logs and counts the failure of a short task, which ends nothing but itself.
    fn record_short(&self, task: &'static str, reason: &str) {
        self.counter.inc();
        tracing::error!(task, reason, "a task of the process failed");
    }

    fn record(&self, task: &'static str, reason: String) {
        self.counter.inc();
        let now = Instant::now();
        let mut recent = self.recent.borrow_mut();
        recent.push_back(now);
        let is_old = |at: &Instant| now.duration_since(*at) > FAILURE_WINDOW;
        while recent.front().is_some_and(is_old) {
            recent.pop_front();
        }
        let failures = recent.len();
        tracing::error!(task, reason, failures, "a task of the process failed");
        if failures >= MAX_FAILURES {
            *self.fatal.borrow_mut() = Some(TaskError {
                task,
                failures,
                reason,
            });
            self.failed.notify_one();
        }
    }
}

/// Starts tasks, and starts them again when they end or panic.
///
/// The first malformed message must not end the process, and a task that has ended must not go
/// unnoticed. Its failure is logged and counted, and it is started again; if tasks fail too often,
/// the process has to end with an error.
///
/// Dropping the supervisor ends all tasks that it has started by itself.
#[derive(Debug)]
pub struct TaskSupervisor {
    record: Rc<FailureRecord>,
    tasks: Vec<RunningTask>,
}

impl TaskSupervisor {
    /// Creates a supervisor that counts failures in this set of metrics.
    ///
    /// # Errors
    ///
    /// Fails if the metric's name is taken.
    pub fn new(metrics: &MetricSet) -> Result<Self, MetricError> {
        let counter = metrics.counter(
            "celerycrank_task_failures_total",
            "tasks of the process that ended or panicked",
        )?;
        Ok(Self {
            record: Rc::new(FailureRecord {
                counter,
                recent: RefCell::default(),
                fatal: RefCell::default(),
                failed: Notify::new(),
            }),
            tasks: Vec::new(),
        })
    }

    /// Starts a task that runs for as long as the process.
    ///
    /// `start` is called again each time the task has ended.
    pub fn spawn<F>(&mut self, task: &'static str, start: impl FnMut() -> F + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        self.tasks.push(self.handle().keep_running(task, start));
    }

    /// Creates a handle with which further tasks are started.
    #[must_use]
    pub fn handle(&self) -> TaskHandle {
        TaskHandle(Rc::clone(&self.record))
    }

    /// Waits until tasks have failed so often that the process has to end.
    pub async fn failed(&self) -> TaskError {
        loop {
            let fatal = self.record.fatal.borrow_mut().take();
            if let Some(error) = fatal {
                return error;
            }
            self.record.failed.notified().await;
        }
    }
}

/// Starts tasks whose failures count with those of a [`TaskSupervisor`].
#[derive(Debug, Clone)]
pub struct TaskHandle(Rc<FailureRecord>);

impl TaskHandle {
    /// Starts a task that runs until the returned guard is dropped.
    ///
    /// `start` is called again each time the task has ended.
    pub fn keep_running<F>(
        &self,
        task: &'static str,
        mut start: impl FnMut() -> F + 'static,
    ) -> RunningTask
    where
        F: Future<Output = ()> + 'static,
    {
        let record = Rc::clone(&self.0);
        let supervised = async move {
            loop {
                let result = AssertUnwindSafe(start()).catch_unwind().await;
                let reason =
                    result.map_or_else(|panic| describe_panic(&*panic), |()| "ended".into());
                record.record(task, reason);
                sleep(RESTART_DELAY).await;
            }
        };
        RunningTask(actix_rt::spawn(supervised))
    }

    /// Starts a task that ends by itself, such as the one that serves a connection; a panic is
    /// logged and counted, and `recover` is called after it.
    ///
    /// Its failures do not end the process, since callers may be able to provoke them.
    pub fn spawn(
        &self,
        task: &'static str,
        future: impl Future<Output = ()> + 'static,
        recover: impl FnOnce() + 'static,
    ) {
        let record = Rc::clone(&self.0);
        actix_rt::spawn(async move {
            if let Err(panic) = AssertUnwindSafe(future).catch_unwind().await {
                record.record_short(task, &describe_panic(&*panic));
                recover();
            }
        });
    }
}

/// A supervised task, which ends when this is dropped.
#[derive(Debug)]
#[must_use = "the task ends when this is dropped"]
pub struct RunningTask(JoinHandle<()>);

impl Drop for RunningTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn describe_panic(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
    format!("panic: {}", text.unwrap_or("no message"))
}
