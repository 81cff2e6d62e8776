//! The records that store claims, and their encoding.

use std::fmt;

use celerycrank_types::{BackendId, ByteSize, TimeSpan};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    answer::{CallStatus, ClaimAnswer},
    key::{CallKey, KeyDigest, RequestDigest},
};

/// Version of the encoding.
const RECORD_VERSION: u8 = 1;

/// Maximum encoded size of one claim, in bytes.
const MAX_CLAIM_BYTES: u64 = 36;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Identifies the attempt that claims a key: 64 random bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimantId([u8; 8]);

impl From<u64> for ClaimantId {
    fn from(number: u64) -> Self {
        Self(number.to_be_bytes())
    }
}

/// How claims are distributed over records; must be equal in all processes of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, bon::Builder)]
pub struct ClaimLayout {
    /// Number of records per bucket; the key's digest selects one of them.
    #[builder(default = 16)]
    pub shards: u16,
    /// Length of a bucket, a time span; keys of one shard and one bucket share a record.
    #[builder(default = TimeSpan::from_secs(5))]
    pub bucket: TimeSpan,
    /// Number of buckets after which a record is reused, which limits how long keys are known.
    #[builder(default = 1_440)]
    pub bucket_count: u32,
    /// Maximum size of a record.
    #[builder(default = ByteSize(900 << 10))]
    pub record_limit: ByteSize,
}

/// The name of one record in the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordName {
    shard: u16,
    slot: u32,
}

impl fmt::Display for RecordName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claims/{}/{}", self.shard, self.slot)
    }
}

/// The number of a bucket, counted from the Unix epoch.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct BucketNumber(u64);

impl ClaimLayout {
    /// Returns the backend server whose agent should claim a key; keys of one shard share it.
    ///
    /// Claims on one shard that reach the same agent can share a write. Claims that reach several
    /// agents are equally safe, but their writes conflict.
    pub fn owner<'backend>(
        &self,
        key: &CallKey,
        backends: impl IntoIterator<Item = &'backend BackendId>,
    ) -> Option<&'backend BackendId> {
        let seed = u64::from(self.shard(key));
        let score = |backend: &&BackendId| xxh3_64_with_seed(backend.as_str().as_bytes(), seed);
        backends.into_iter().max_by_key(score)
    }

    fn shard(&self, key: &CallKey) -> u16 {
        let [high, low, ..] = key.hash.0;
        u16::from_be_bytes([high, low]) % self.shards
    }

    /// Returns the record that stores a key, and the key's bucket.
    pub(super) fn place(&self, key: &CallKey) -> (RecordName, BucketNumber) {
        let seconds = (self.bucket.0 / MICROS_PER_SECOND).max(1);
        let bucket = key.time.0 / seconds;
        let name = RecordName {
            shard: self.shard(key),
            slot: u32::try_from(bucket % u64::from(self.bucket_count)).unwrap_or_default(),
        };
        (name, BucketNumber(bucket))
    }
}

/// The claims of one shard in one bucket.
///
/// Invariant: `bucket` never decreases, so a key of an earlier bucket is known to have expired
/// regardless of any process's clock.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimRecord {
    bucket: BucketNumber,
    /// Invariant: sorted by key, without duplicates.
    claims: Vec<KeyClaim>,
}

/// A claim on one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct KeyClaim {
    key: KeyDigest,
    request: RequestDigest,
    claimant: ClaimantId,
    /// Status of the call, once it was answered.
    status: Option<CallStatus>,
}

impl ClaimRecord {
    /// Decodes a record; returns `None` if its encoding is unknown or invalid.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        if *version != RECORD_VERSION {
            return None;
        }
        postcard::from_bytes(rest).ok()
    }

    /// Encodes the record.
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![RECORD_VERSION])
            .expect("a claim record can always be encoded")
    }

    /// Claims a key, or returns why it cannot be claimed.
    pub(super) fn claim(
        &mut self,
        bucket: BucketNumber,
        key: &CallKey,
        request: RequestDigest,
        claimant: ClaimantId,
        limit: ByteSize,
    ) -> ClaimAnswer {
        if self.bucket > bucket {
            return ClaimAnswer::KeyExpired;
        }
        if self.bucket < bucket {
            self.bucket = bucket;
            self.claims.clear();
        }
        match self.find(key) {
            Ok(index) => self.claims[index].answer(request, claimant),
            Err(_) if (self.claims.len() as u64 + 1) * MAX_CLAIM_BYTES > limit.0 => {
                ClaimAnswer::Unavailable
            }
            Err(index) => {
                let claim = KeyClaim {
                    key: key.hash,
                    request,
                    claimant,
                    status: None,
                };
                self.claims.insert(index, claim);
                ClaimAnswer::Won
            }
        }
    }

    /// Records the status of the claimant's call.
    pub(super) fn record_status(
        &mut self,
        bucket: BucketNumber,
        key: &CallKey,
        claimant: ClaimantId,
        status: CallStatus,
    ) {
        if let Some(index) = self.find_own(bucket, key, claimant) {
            self.claims[index].status = Some(status);
        }
    }

    /// Removes the claimant's claim on a call that was not started and never will be.
    pub(super) fn release(&mut self, bucket: BucketNumber, key: &CallKey, claimant: ClaimantId) {
        if let Some(index) = self.find_own(bucket, key, claimant) {
            self.claims.remove(index);
        }
    }

    fn find(&self, key: &CallKey) -> Result<usize, usize> {
        self.claims
            .binary_search_by_key(&key.hash, |claim| claim.key)
    }

    fn find_own(&self, bucket: BucketNumber, key: &CallKey, claimant: ClaimantId) -> Option<usize> {
        if self.bucket != bucket {
            return None;
        }
        let index = self.find(key).ok()?;
        let claim = &self.claims[index];
        (claim.claimant == claimant && claim.status.is_none()).then_some(index)
    }
}

/// Returns the claimants of an encoded record that have no recorded status.
#[cfg(feature = "test-util")]
pub(crate) fn open_claims(bytes: &[u8]) -> Vec<ClaimantId> {
    let claims = ClaimRecord::decode(bytes).map_or_else(Vec::new, |record| record.claims);
    let open = claims.into_iter().filter(|claim| claim.status.is_none());
    open.map(|claim| claim.claimant).collect()
}

impl KeyClaim {
    fn answer(&self, request: RequestDigest, claimant: ClaimantId) -> ClaimAnswer {
        if self.request != request {
            return ClaimAnswer::KeyReused;
        }
        match self.status {
            Some(status) => ClaimAnswer::Recorded(status),
            None if self.claimant == claimant => ClaimAnswer::Won,
            None => ClaimAnswer::ClaimedElsewhere,
        }
    }
}
