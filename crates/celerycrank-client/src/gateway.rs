//! JSON messages of etcd's v3 gateway: keys and values in base64, integers as strings.

use std::sync::Arc;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize, de::Error};

use crate::{KeyValueRecord, ModRevision};

/// Bytes that are encoded in base64.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Base64Bytes(pub Bytes);

impl From<&str> for Base64Bytes {
    fn from(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }
}

impl Serialize for Base64Bytes {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// A 64-bit integer, which the gateway writes as a string and reads as a string or number.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IntegerString(pub u64);

impl Serialize for IntegerString {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for IntegerString {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum NumberOrText {
            Number(u64),
            Text(String),
        }
        match NumberOrText::deserialize(deserializer)? {
            NumberOrText::Number(number) => Ok(Self(number)),
            NumberOrText::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct RangeRequest {
    pub key: Base64Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64Bytes>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub header: ResponseHeader,
    pub kvs: Vec<GatewayRecord>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ResponseHeader {
    pub revision: IntegerString,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct GatewayRecord {
    pub key: Base64Bytes,
    pub value: Base64Bytes,
    pub mod_revision: IntegerString,
}

impl GatewayRecord {
    pub(crate) fn into_record(self) -> KeyValueRecord {
        KeyValueRecord {
            key: String::from_utf8_lossy(&self.key.0).into(),
            value: self.value.0,
            revision: ModRevision(self.mod_revision.0),
        }
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    pub compare: [TxnCompare; 1],
    pub success: [TxnOperation; 1],
    pub failure: [TxnOperation; 1],
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnCompare {
    pub key: Base64Bytes,
    pub target: &'static str,
    pub result: &'static str,
    pub mod_revision: IntegerString,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum TxnOperation {
    RequestPut(PutRequest),
    RequestRange(RangeRequest),
}

#[derive(Debug, Serialize)]
pub(crate) struct PutRequest {
    pub key: Base64Bytes,
    pub value: Base64Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lease: Option<IntegerString>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub header: ResponseHeader,
    pub succeeded: bool,
    pub responses: Vec<TxnResult>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResult {
    pub response_range: Option<RangeResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct DeleteResponse {
    pub deleted: IntegerString,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchCreate {
    pub key: Base64Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64Bytes>,
    pub start_revision: IntegerString,
}

/// One line of a streamed response.
#[derive(Debug, Deserialize)]
pub(crate) struct StreamLine<T> {
    pub result: T,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub header: ResponseHeader,
    pub canceled: bool,
    pub cancel_reason: Option<Arc<str>>,
    pub events: Vec<GatewayEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct GatewayEvent {
    #[serde(rename = "type")]
    pub kind: EventKind,
    pub kv: GatewayRecord,
}

/// What happened to a key; the gateway omits the default, `PUT`.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventKind {
    #[default]
    Put,
    Delete,
}

#[derive(Debug, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "TTL", skip_serializing_if = "Option::is_none")]
    pub ttl: Option<IntegerString>,
    #[serde(rename = "ID")]
    pub id: IntegerString,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub id: IntegerString,
    #[serde(rename = "TTL")]
    pub ttl: IntegerString,
}

/// Returns the exclusive end of the range of all keys with this prefix.
pub(crate) fn prefix_end(prefix: &str) -> Base64Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Base64Bytes(end.into());
        }
    }
    // A single zero byte denotes the end of the key space.
    Base64Bytes(Bytes::from_static(&[0]))
}
