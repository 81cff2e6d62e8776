//! Collects what one entry sees of crashes that happen at the same time.

use std::collections::HashMap;

use celerycrank_types::{PromptPartId, TimePoint, TimeSpan};

use crate::{BackendIncarnation, CrashReport, PresentPrompt};

/// Time over which an entry collects what it sees of crashes, since all connections of a backend
/// server break at the same time.
const COLLECTION_SPAN: TimeSpan = TimeSpan::from_millis(50);

/// The largest number of backend servers that crash at the same time by chance. More of them have a
/// cause in common: a part that is present at most of them, or another one, such as a power failure.
pub(crate) const MAX_SIMULTANEOUS_CRASHES: u32 = 2;

/// Collects what one entry sees of crashes that happen at the same time.
#[derive(Debug, Default)]
pub struct CrashCollector {
    reports: Vec<CrashReport>,
    first_at: TimePoint,
}

impl CrashCollector {
    /// Records that a backend server crashed while it held this prompt; returns whether it is the
    /// first crash to be collected.
    pub fn note(
        &mut self,
        crashed: &BackendIncarnation,
        prompt: &PresentPrompt<'_>,
        now: TimePoint,
    ) -> bool {
        let is_first = self.reports.is_empty();
        if is_first {
            self.first_at = now;
        }
        let mut known = self.reports.iter_mut();
        if let Some(report) = known.find(|report| report.crashed == *crashed) {
            report.add(prompt);
        } else {
            let mut report = CrashReport::new(crashed.clone());
            report.add(prompt);
            self.reports.push(report);
        }
        is_first
    }

    /// When the collected reports are complete; `None` if there are none.
    #[must_use]
    pub fn due_at(&self) -> Option<TimePoint> {
        (!self.reports.is_empty()).then(|| self.first_at + COLLECTION_SPAN)
    }

    /// Takes the collected reports, without what cannot be the cause of the crashes.
    pub fn take(&mut self) -> Vec<CrashReport> {
        let mut reports = std::mem::take(&mut self.reports);
        if reports.len() > MAX_SIMULTANEOUS_CRASHES as usize {
            keep_common_parts(&mut reports);
        }
        reports
    }
}

/// Drops the parts that are not present at more than half of the crashes.
fn keep_common_parts(reports: &mut Vec<CrashReport>) {
    let mut presence = HashMap::<PromptPartId, usize>::new();
    for part in reports.iter().flat_map(|report| report.parts().keys()) {
        *presence.entry(*part).or_default() += 1;
    }
    let crashes = reports.len();
    for report in reports.iter_mut() {
        report.retain_common(|part| presence[&part] * 2 > crashes);
    }
    reports.retain(|report| !report.parts().is_empty());
}
