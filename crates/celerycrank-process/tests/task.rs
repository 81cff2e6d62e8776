//! Supervision of tasks: a task that ends or panics is never missing without notice.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_rt::time::{sleep, timeout};
use celerycrank_process::{MetricSet, TaskSupervisor};

/// Far longer than a restart takes.
const LIMIT: Duration = Duration::from_secs(20);

/// Polls until the condition holds.
async fn wait_until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, waiting)
        .await
        .expect("the condition holds in time");
}

fn failures(metrics: &MetricSet) -> String {
    let text = String::from_utf8(metrics.render()).expect("metrics are text");
    let mut lines = text.lines();
    let line = lines.find(|line| line.starts_with("celerycrank_task_failures_total "));
    line.expect("the counter is exported").to_owned()
}

#[actix_rt::test]
async fn a_task_that_panics_or_ends_is_counted_and_started_again() {
    let metrics = MetricSet::default();
    let mut supervisor = TaskSupervisor::new(&metrics).unwrap();
    let starts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&starts);
    supervisor.spawn("test", move || {
        counted.set(counted.get() + 1);
        let start = counted.get();
        async move {
            match start {
                1 => panic!("a malformed message"),
                2 => {}
                _ => std::future::pending().await,
            }
        }
    });
    wait_until(|| starts.get() == 3).await;
    assert_eq!(failures(&metrics), "celerycrank_task_failures_total 2");
}

#[actix_rt::test]
async fn a_task_that_fails_again_and_again_ends_the_process_with_its_reason() {
    let metrics = MetricSet::default();
    let mut supervisor = TaskSupervisor::new(&metrics).unwrap();
    supervisor.spawn("test", || async { panic!("number {}", 7) });
    let error = timeout(LIMIT, supervisor.failed())
        .await
        .expect("it fails in time");
    assert_eq!(error.task, "test");
    assert_eq!(error.reason, "panic: number 7");
}

#[actix_rt::test]
async fn a_short_task_that_panics_is_counted_and_its_state_recovered() {
    let metrics = MetricSet::default();
    let supervisor = TaskSupervisor::new(&metrics).unwrap();
    let recovered = Rc::new(Cell::new(false));
    let seen = Rc::clone(&recovered);
    let handle = supervisor.handle();
    handle.spawn("order", async { panic!("no order") }, move || {
        seen.set(true);
    });
    wait_until(|| recovered.get()).await;
    assert_eq!(failures(&metrics), "celerycrank_task_failures_total 1");
}

#[actix_rt::test]
async fn a_task_of_its_own_is_started_again_until_its_guard_is_dropped() {
    let metrics = MetricSet::default();
    let supervisor = TaskSupervisor::new(&metrics).unwrap();
    let starts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&starts);
    let task = supervisor.handle().keep_running("accept", move || {
        counted.set(counted.get() + 1);
        let is_first = counted.get() == 1;
        async move {
            assert!(!is_first, "the first run fails");
            std::future::pending::<()>().await;
        }
    });
    wait_until(|| starts.get() == 2).await;
    assert_eq!(failures(&metrics), "celerycrank_task_failures_total 1");
    drop(task);
    wait_until(|| Rc::strong_count(&starts) == 1).await;
}

#[actix_rt::test]
async fn dropping_the_supervisor_ends_its_tasks() {
    let metrics = MetricSet::default();
    let mut supervisor = TaskSupervisor::new(&metrics).unwrap();
    let token = Rc::new(());
    let held = Rc::clone(&token);
    supervisor.spawn("test", move || {
        let held = Rc::clone(&held);
        async move {
            std::future::pending::<()>().await;
            drop(held);
        }
    });
    drop(supervisor);
    wait_until(|| Rc::strong_count(&token) == 1).await;
}
