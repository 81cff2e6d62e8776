//! Identifiers, each with its own type.

use std::{fmt, str::FromStr, sync::Arc};

use xxhash_rust::xxh3::xxh3_128;

use crate::conversion::impl_text_conversions;

/// Maximum length of a textual identifier, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Why a string is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum IdError {
    /// an identifier must not be empty
    Empty,
    /// an identifier has at most 64 bytes, not {0}
    TooLong(usize),
    /// an identifier consists of a-z, 0-9, `-`, `_` and `.`, not `{0}`
    BadCharacter(char),
    /// `{0}` is not a number of the expected form
    BadNumber(Arc<str>),
}

impl std::error::Error for IdError {}

fn check_text(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong(text.len()));
    }
    match text
        .chars()
        .find(|c| !matches!(c, 'a'..='z' | '0'..='9' | '-' | '_' | '.'))
    {
        Some(character) => Err(IdError::BadCharacter(character)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_text(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = IdError;

            fn try_from(text: Arc<str>) -> Result<Self, Self::Error> {
                check_text(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for Arc<str> {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

text_id! {
    /// A client account.
    AccountId
}
text_id! {
    /// A plan, to which client accounts are assigned.
    PlanId
}
text_id! {
    /// A model served by model engines.
    ModelId
}
text_id! {
    /// A service that backend servers offer.
    ServiceId
}
text_id! {
    /// A backend server.
    BackendId
}
text_id! {
    /// One instance of a VM; a replacement at the same address has a different id.
    VmId
}
text_id! {
    /// A failure domain.
    DomainId
}
text_id! {
    /// An entry process.
    EntryId
}
text_id! {
    /// A group of ranks that run in lock step.
    GroupId
}

/// Declares newtypes of `u64` for numeric identifiers, versions and counters.
///
/// A crate that uses this macro must depend on `serde`.
#[macro_export]
macro_rules! number_type {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text.parse() {
                    Ok(number) => Ok(Self(number)),
                    Err(_) => Err($crate::IdError::BadNumber(text.into())),
                }
            }
        }
    )+};
}

number_type! {
    /// The revision of a configuration; a larger one is newer.
    Revision;
    /// One run of a process or a lock-step group between a start and its end; a larger number is
    /// newer.
    Incarnation;
}

/// A part of a prompt, which the prompts of several requests may have in common.
///
/// Callers identify it by a hexadecimal number of any length. One of more than 128 bits is represented
/// by its digest, which is also what is displayed.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct PromptPartId(pub u128);

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Ok(number) = u128::from_str_radix(text, 16) {
            return Ok(Self(number));
        }
        let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_number {
            return Err(IdError::BadNumber(text.into()));
        }
        // The same number may be written in several ways.
        let digits = text.trim_start_matches('0').to_ascii_lowercase();
        Ok(Self(xxh3_128(digits.as_bytes())))
    }
}

impl_text_conversions! {
    PromptPartId, IdError;
}

/// The id of a request, assigned by the entry that accepted it.
///
/// Invariant: 128 random bits, so that no two requests share an id.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match u128::from_str_radix(text, 16) {
            Ok(number) => Ok(Self(number)),
            Err(_) => Err(IdError::BadNumber(text.into())),
        }
    }
}
