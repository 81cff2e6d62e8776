//! Idempotency keys, which embed the time chosen by the caller.

use std::{fmt, sync::Arc};

use celerycrank_types::{AccountId, ServiceId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const MILLIS_PER_SECOND: u64 = 1_000;

/// Length of a UUID in text form.
const UUID_CHARS: usize = 36;

/// Positions of the hyphens in a UUID.
const UUID_HYPHENS: [usize; 4] = [8, 13, 18, 23];

/// Position of the version digit in a UUID.
const UUID_VERSION_INDEX: usize = 14;

/// Number of hexadecimal digits of the timestamp in a version 7 UUID.
const UUID_TIME_DIGITS: usize = 12;

/// Number of decimal digits of the Unix time at the start of a plain key.
const SECONDS_DIGITS: usize = 10;

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// An error from parsing an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum CallKeyError {
    /// idempotency key is {0} bytes long; the limit is 128 bytes
    TooLong(usize),
    /// idempotency key `{0}` is neither a version 7 UUID nor `<10-digit Unix time>-<name>`
    NoTime(Arc<str>),
}

impl std::error::Error for CallKeyError {}

/// The time embedded in a key, in seconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyTime(pub u64);

/// An idempotency key, scoped to one account and one service.
///
/// The key contains its time, so every process looks for it in the same record, however late
/// the call is sent again.
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
    /// Parses a key sent by a caller.
    ///
    /// # Errors
    ///
    /// Fails if the key is too long or contains no time.
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

    /// Returns the time embedded in the key.
    #[must_use]
    pub const fn time(&self) -> KeyTime {
        self.time
    }
}

impl RequestDigest {
    /// Computes the digest of a request's method, path and body.
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
