//! A fake key-value service with compare-and-swap on revisions.

use std::collections::BTreeMap;

use crate::{
    ClaimOperation, ClaimReply, ClaimantId, OperationId, RecordName, RecordRevision, open_claims,
};

/// A fake key-value service that stores records and their revisions.
#[derive(Debug, Default)]
pub(super) struct FakeKeyValueService {
    revision: u64,
    records: BTreeMap<RecordName, (RecordRevision, Vec<u8>)>,
    /// Number of writes that took effect.
    pub(super) writes: u64,
    /// Number of operations of any kind.
    pub(super) operations: u64,
    /// Size of the largest record so far, in bytes.
    pub(super) largest: usize,
}

impl FakeKeyValueService {
    /// Carries out an operation.
    pub(super) fn perform(&mut self, operation: ClaimOperation) -> (OperationId, ClaimReply) {
        self.operations += 1;
        match operation {
            ClaimOperation::Get { operation, record } => (operation, self.read(record)),
            ClaimOperation::Swap {
                operation,
                record,
                expected,
                value,
            } => (operation, self.swap(record, expected, value)),
        }
    }

    /// Returns the claimants that have no recorded status.
    pub(super) fn open_claims(&self) -> Vec<ClaimantId> {
        self.records
            .values()
            .flat_map(|(_, value)| open_claims(value))
            .collect()
    }

    fn read(&self, record: RecordName) -> ClaimReply {
        match self.records.get(&record) {
            Some((revision, value)) => ClaimReply::Value {
                revision: *revision,
                value: Some(value.clone()),
            },
            None => ClaimReply::Value {
                revision: RecordRevision::default(),
                value: None,
            },
        }
    }

    fn swap(&mut self, record: RecordName, expected: RecordRevision, value: Vec<u8>) -> ClaimReply {
        let revision = self
            .records
            .get(&record)
            .map_or(RecordRevision::default(), |(revision, _)| *revision);
        if revision != expected {
            return self.read(record);
        }
        self.revision += 1;
        self.writes += 1;
        self.largest = self.largest.max(value.len());
        let revision = RecordRevision(self.revision);
        self.records.insert(record, (revision, value));
        ClaimReply::Swapped(revision)
    }
}
