//! Idempotency keys, each with the time that its caller wrote into it.

use std::{fmt, sync::Arc};

use celerycrank_types::{AccountId, ServiceId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const MILLIS_PER_SECOND: u64 = 1_000;

/// Length of a UUID as text.
const UUID_CHARS: usize = 36;

/// Where a UUID has its hyphens.
const UUID_HYPHENS: [usize; 4] = [8, 13, 18, 23];

/// Where a UUID tells its version.
const UUID_VERSION_INDEX: usize = 14;

/// Hexadecimal digits of the time in a version-7 UUID.
const UUID_TIME_DIGITS: usize = 12;

/// Decimal digits of the seconds since 1970 that begin a plain key.
const SECONDS_DIGITS: usize = 10;

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Why a text is not an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum CallKeyError {
    /// an idempotency key has at most 128 bytes, not {0}
    TooLong(usize),
    /// `{0}` is neither a version-7 UUID nor ten digits of seconds, a hyphen and a name
    NoTime(Arc<str>),
}

impl std::error::Error for CallKeyError {}

/// Seconds since 1970, as the caller wrote them into its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyTime(pub u64);

/// One idempotency key of one account at one service.
///
/// The key tells its own time, so that every process looks for it in the same record
/// whenever it is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey {
    pub(super) hash: KeyDigest,
    pub(super) time: KeyTime,
}

/// The first 128 bits of a SHA-256 digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(super) struct KeyDigest(pub(super) [u8; 16]);

/// The first 64 bits of the SHA-256 digest of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestDigest([u8; 8]);

impl CallKey {
    /// Reads the key that a caller sent.
    ///
    /// # Errors
    ///
    /// Fails if the key is too long or tells no time.
    pub fn parse(
        account: &AccountId,
        service: &ServiceId,
        text: &str,
    ) -> Result<Self, CallKeyError> {
        if text.len() > MAX_KEY_BYTES {
            return Err(CallKeyError::TooLong(text.len()));
        }
        let time = read_time(text).ok_or_else(|| CallKeyError::NoTime(text.into()))?;
        let mut hasher = Sha256::new();
        for part in [account.as_str(), service.as_str()] {
            hasher.update(part.as_bytes());
            hasher.update([0]);
        }
        hasher.update(text.to_ascii_lowercase().as_bytes());
        Ok(Self {
            hash: KeyDigest(first_bytes(&hasher.finalize())),
            time,
        })
    }

    /// The time that the key tells.
    #[must_use]
    pub const fn time(&self) -> KeyTime {
        self.time
    }
}

impl RequestDigest {
    /// Digests what a keyed request asks for.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method, path] {
            hasher.update(part.as_bytes());
            hasher.update([0]);
        }
        hasher.update(body);
        Self(first_bytes(&hasher.finalize()))
    }
}

impl fmt::Display for KeyTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

fn first_bytes<const N: usize>(digest: &[u8]) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&digest[..N]);
    bytes
}

fn read_time(text: &str) -> Option<KeyTime> {
    read_uuid_time(text).or_else(|| read_plain_time(text))
}

fn read_uuid_time(text: &str) -> Option<KeyTime> {
    let bytes = text.as_bytes();
    let is_uuid = bytes.len() == UUID_CHARS
        && bytes.iter().enumerate().all(|(index, byte)| {
            if UUID_HYPHENS.contains(&index) {
                *byte == b'-'
            } else {
                byte.is_ascii_hexdigit()
            }
        });
    if !is_uuid || bytes[UUID_VERSION_INDEX] != b'7' {
        return None;
    }
    let digits = text
        .chars()
        .filter(char::is_ascii_hexdigit)
        .take(UUID_TIME_DIGITS)
        .collect::<String>();
    let millis = u64::from_str_radix(&digits, 16).ok()?;
    Some(KeyTime(millis / MILLIS_PER_SECOND))
}

fn read_plain_time(text: &str) -> Option<KeyTime> {
    let (digits, name) = text.split_once('-')?;
    let is_time = digits.len() == SECONDS_DIGITS && digits.bytes().all(|b| b.is_ascii_digit());
    if !is_time || name.is_empty() {
        return None;
    }
    digits.parse().ok().map(KeyTime)
}
