//! Operations on the key-value service, described as values and carried out by the agent.

use std::fmt;

use super::record::RecordName;

/// Identifies an operation of a claim ledger; increases in send order.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The revision at which a record was last written, or zero if it does not exist.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordRevision(pub u64);

/// An operation on the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOperation {
    /// Read a record.
    Get {
        /// Repeated in the reply.
        operation: OperationId,
        /// The record's name in the key-value service.
        record: RecordName,
    },
    /// Write a record if it is at the expected revision (compare-and-swap).
    Swap {
        /// Repeated in the reply.
        operation: OperationId,
        /// The record's name in the key-value service.
        record: RecordName,
        /// The expected revision.
        expected: RecordRevision,
        /// The record's new value.
        value: Vec<u8>,
    },
}

/// The result of an operation on the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// The current record: the result of a read, or of a write that found another revision.
    Value {
        /// The revision at which it was written, or zero if it does not exist.
        revision: RecordRevision,
        /// The record's value, or `None` if it does not exist.
        value: Option<Vec<u8>>,
    },
    /// The write took effect at this revision.
    Swapped(RecordRevision),
    /// No answer: a write may have taken effect, or may still do so.
    Failed,
}
