//! Requests of the etcd v3 JSON protocol: keys and values in base64, 64-bit integers as strings.

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, de::Error};

use crate::key_value::store::KeyRange;

/// Bytes encoded in base64.
#[derive(Debug, Default, Clone)]
pub(crate) struct Base64Bytes(pub Bytes);

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// A 64-bit integer encoded as a string or a number.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct IntegerString(pub u64);

impl<'de> Deserialize<'de> for IntegerString {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = serde_json::Value::deserialize(deserializer)?;
        let number = match &value {
            serde_json::Value::String(text) => text.parse().ok(),
            other => other.as_u64(),
        };
        number
            .map(Self)
            .ok_or_else(|| D::Error::custom("not a whole number"))
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeRequest {
    pub key: Base64Bytes,
    pub range_end: Base64Bytes,
}

impl RangeRequest {
    pub(crate) fn range(&self) -> KeyRange {
        KeyRange::new(self.key.0.clone(), self.range_end.0.clone())
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PutRequest {
    pub key: Base64Bytes,
    pub value: Base64Bytes,
    pub lease: IntegerString,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnRequest {
    pub compare: Vec<TxnCompare>,
    pub success: Vec<TxnOperation>,
    pub failure: Vec<TxnOperation>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct TxnCompare {
    pub key: Base64Bytes,
    pub target: CompareTarget,
    #[serde(default)]
    pub result: CompareResult,
    #[serde(default)]
    pub mod_revision: IntegerString,
    #[serde(default)]
    pub create_revision: IntegerString,
    #[serde(default)]
    pub version: IntegerString,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum CompareTarget {
    Mod,
    Create,
    Version,
}

#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum CompareResult {
    #[default]
    Equal,
    NotEqual,
    Greater,
    Less,
}

#[derive(Debug, Deserialize)]
pub(crate) enum TxnOperation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range")]
    Delete(RangeRequest),
}

#[derive(Debug, Deserialize)]
pub(crate) struct WatchRequest {
    pub create_request: WatchCreate,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchCreate {
    pub key: Base64Bytes,
    pub range_end: Base64Bytes,
    pub start_revision: IntegerString,
}

impl WatchCreate {
    pub(crate) fn range(&self) -> KeyRange {
        KeyRange::new(self.key.0.clone(), self.range_end.0.clone())
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "TTL")]
    pub ttl: IntegerString,
    #[serde(rename = "ID")]
    pub id: IntegerString,
}
