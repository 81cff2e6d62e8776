//! Records that prompt parts were answered after the crashes at which they were present.

use celerycrank_types::{ModRevision, PromptPartId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::{CrashReportError, crash::decode_record};

/// Maximum number of clearances in a record.
pub(crate) const MAX_CLEARANCES: usize = 256;

/// That an answer to a prompt with a part has begun after all crashes up to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartClearance {
    /// The service that answered.
    pub service: ServiceId,
    /// The part.
    pub part: PromptPartId,
    /// The revision of the latest crash report that the answering entry had read.
    ///
    /// Revisions order crashes and answers at all entries, whose clocks differ.
    pub up_to: ModRevision,
}

/// The clearances that an entry records together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearanceRecord {
    /// The clearances.
    ///
    /// Invariant: bounded.
    clearances: Vec<PartClearance>,
}

impl ClearanceRecord {
    /// Creates a record of clearances taken from a quarantine, which bounds their number.
    #[must_use]
    pub const fn new(clearances: Vec<PartClearance>) -> Self {
        Self { clearances }
    }

    /// The clearances.
    #[must_use]
    pub fn clearances(&self) -> &[PartClearance] {
        &self.clearances
    }

    /// Returns the clearances.
    #[must_use]
    pub fn into_clearances(self) -> Vec<PartClearance> {
        self.clearances
    }

    /// Encodes the record for the key-value service.
    ///
    /// # Panics
    ///
    /// Never, since plain fields encode into memory.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain fields encode into memory")
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no record, or one of a size that no entry writes.
    pub fn decode(bytes: &[u8]) -> Result<Self, CrashReportError> {
        let record = decode_record::<Self>(bytes)?;
        if record.clearances.len() > MAX_CLEARANCES {
            return Err(CrashReportError::TooLarge);
        }
        Ok(record)
    }
}
