//! Operations on the key-value service, as values that the shell carries out.

use std::fmt;

use super::record::RecordName;

/// One operation of a claim ledger, numbered in the order of sending.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The revision at which a record was last written; zero if it does not exist.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordRevision(pub u64);

/// An operation on the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOperation {
    /// Read a record.
    Get {
        /// Names the operation in its reply.
        operation: OperationId,
        /// The record's key below the deployment's prefix.
        record: RecordName,
    },
    /// Write a record if its revision is the expected one.
    Swap {
        /// Names the operation in its reply.
        operation: OperationId,
        /// The record's key below the deployment's prefix.
        record: RecordName,
        /// The revision at which the record must still be.
        expected: RecordRevision,
        /// The record's new value.
        value: Vec<u8>,
    },
}

/// What the key-value service answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// The record as it stands, to a read, or to a write whose expectation failed.
    Value {
        /// The revision at which it was written; zero if it does not exist.
        revision: RecordRevision,
        /// The record's value; none if it does not exist.
        value: Option<Vec<u8>>,
    },
    /// The record was written, at this revision.
    Swapped(RecordRevision),
    /// No answer: a write may have taken effect, or may do so yet.
    Failed,
}
