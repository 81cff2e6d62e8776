//! Requests of the etcd v3 JSON protocol: keys and values in base64, 64-bit integers as strings.

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, de::Error};

use crate::key_value::store::KeyRange;

/// Bytes encoded in base64.
#[derive(Debug, Default, Clone)]
pub(crate) struct EncodedBytes(pub Bytes);

impl<'de> Deserialize<'de> for EncodedBytes {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// A 64-bit integer encoded as a string or a number.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct NumberText(pub u64);

impl<'de> Deserialize<'de> for NumberText {
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
    pub key: EncodedBytes,
    pub range_end: EncodedBytes,
}

impl RangeRequest {
    pub(crate) fn range(&self) -> KeyRange {
        KeyRange::new(self.key.0.clone(), self.range_end.0.clone())
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PutRequest {
    pub key: EncodedBytes,
    pub value: EncodedBytes,
    pub lease: NumberText,
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
    pub key: EncodedBytes,
    pub target: CompareTarget,
    #[serde(default)]
    pub result: CompareResult,
    #[serde(default)]
    pub mod_revision: NumberText,
    #[serde(default)]
    pub create_revision: NumberText,
    #[serde(default)]
    pub version: NumberText,
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
    pub key: EncodedBytes,
    pub range_end: EncodedBytes,
    pub start_revision: NumberText,
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
    pub ttl: NumberText,
    #[serde(rename = "ID")]
    pub id: NumberText,
}
