//! A simulated key-value service that stores one group's record.

use std::sync::Arc;

use crate::{GroupRecord, RecordAnswer, StoredRecord};

/// One versioned record with compare-and-swap.
#[derive(Debug, Default)]
pub(crate) struct SimulatedStore {
    revision: u64,
    record: Option<Arc<GroupRecord>>,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
}

impl SimulatedStore {
    /// Reads the record.
    pub(crate) fn read(&mut self) -> RecordAnswer {
        self.reads += 1;
        RecordAnswer::Found(StoredRecord {
            revision: self.revision,
            record: self.record.clone(),
        })
    }

    /// Writes the record if the stored revision equals `revision`.
    pub(crate) fn write(&mut self, revision: u64, record: &Arc<GroupRecord>) -> RecordAnswer {
        self.writes += 1;
        if revision != self.revision {
            return RecordAnswer::Conflict;
        }
        let last = self
            .record
            .as_ref()
            .map_or(0, |record| record.incarnation.0);
        assert_eq!(
            record.incarnation.0,
            last + 1,
            "the group incarnation increases by one with each record"
        );
        self.revision += 1;
        self.record = Some(Arc::clone(record));
        RecordAnswer::Written
    }
}
