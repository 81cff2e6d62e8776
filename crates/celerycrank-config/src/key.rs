//! API keys of callers, stored only as hashes.

use std::{fmt, str::FromStr, sync::Arc};

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const HASH_BYTES: usize = 32;
const HASH_PREFIX: &str = "sha256:";

/// the key hash is not `sha256:` followed by 32 bytes in unpadded base64
// It does not contain the text, which may be the API key itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct KeyHashError;

impl std::error::Error for KeyHashError {}

/// The SHA-256 hash of a caller's API key, written `sha256:<base64>`.
///
/// API keys are long random strings, so a fast unsalted hash is enough to protect them.
#[derive(Debug, Clone, Copy, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes an API key in the form in which a caller sends it.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the raw hash, for use as an index. Comparing these bytes is not constant-time.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; HASH_BYTES] {
        &self.0
    }
}

impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyHash {}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{HASH_PREFIX}{}", STANDARD_NO_PAD.encode(self.0))
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let encoded = text.strip_prefix(HASH_PREFIX).ok_or(KeyHashError)?;
        let bytes = STANDARD_NO_PAD.decode(encoded);
        let bytes = bytes.ok().ok_or(KeyHashError)?;
        bytes.try_into().map(Self).ok().ok_or(KeyHashError)
    }
}

impl TryFrom<Arc<str>> for KeyHash {
    type Error = KeyHashError;

    fn try_from(text: Arc<str>) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyHash> for Arc<str> {
    fn from(hash: KeyHash) -> Self {
        hash.to_string().into()
    }
}
