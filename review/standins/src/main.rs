//! Drivers of the review's cases: each starts the project's processes and stand-ins, sends
//! requests, writes a record and exits with 1 if the rule was broken, 0 if it held and 2 if the
//! case could not run.

mod client;
mod deployment;
mod engine;
mod late_bytes;
mod recovery;
mod revocation;
mod worker;

use std::{process::exit, time::Duration};

use tokio::{
    select,
    signal::unix::{SignalKind, signal},
};

use crate::recovery::Besides;

/// A case that lasts longer could not run.
const MAX_LENGTH: Duration = Duration::from_secs(115);

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
    // Dropping a case ends the processes that it has started.
    let code = actix_rt::System::new().block_on(async {
        let mut stop = signal(SignalKind::terminate()).expect("a signal handler");
        select! {
            code = run(&case, has_trouble, &record) => code,
            () = actix_rt::time::sleep(MAX_LENGTH) => 2,
            _ = stop.recv() => 2,
        }
    });
    exit(code);
}

async fn run(case: &str, has_trouble: bool, record: &str) -> i32 {
    match case {
        "late-bytes" => late_bytes::run(has_trouble, record).await,
        "revocation" => revocation::run(has_trouble, record).await,
        "recovery" => recovery::run(Besides::Crashes, has_trouble, record).await,
        "new-weights" => recovery::run(Besides::NewWeights, has_trouble, record).await,
        _ => 2,
    }
}
