//! The client of the key-value service: reads, compare-and-swap and deletions.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_rt::time::timeout;
use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
};
use bytes::Bytes;
use celerycrank_platform::ReadConsistency;
use celerycrank_types::{ByteSize, TimeSpan};
use serde::{Serialize, de::DeserializeOwned};
use smallvec::SmallVec;

use crate::{
    AnswerError, CallCounters, KeyValueError, KeyValueOperation, KeyValueRecord, LeaseId,
    ModRevision, SendError,
    body::read_body,
    gateway::{
        Base64Bytes, DeleteResponse, GatewayRecord, IntegerString, PutRequest, RangeRequest,
        RangeResponse, TxnCompare, TxnOperation, TxnRequest, TxnResponse, prefix_end,
    },
};

/// Maximum size of a value that the key-value service accepts.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum size of an answer; a range may contain many values.
pub(crate) const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Maximum size of the message of a refused call.
const MAX_MESSAGE_BYTES: usize = 4 << 10;

/// The protocol of the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyValueProtocol {
    /// The JSON gateway of etcd's v3 protocol.
    Gateway,
    /// The protocol of the hosting platform's own key-value service.
    Platform,
}

/// The records under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeSnapshot {
    /// The service's revision at the read, or at its first page if there are several.
    ///
    /// Invariant: `records` reflects every change up to this revision; later ones may be missing.
    pub revision: ModRevision,
    /// The records, ordered by key.
    pub records: Vec<KeyValueRecord>,
}

/// The expected state of a key in a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// The key does not exist.
    Absent,
    /// The key was last modified at this revision.
    At(ModRevision),
}

impl Expected {
    /// The expected revision; zero means that the key does not exist.
    pub(crate) const fn revision(self) -> ModRevision {
        match self {
            Self::Absent => ModRevision(0),
            Self::At(revision) => revision,
        }
    }
}

/// The outcome of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written at this revision.
    Written(ModRevision),
    /// Nothing was written, since the key holds this record instead.
    Conflict(Option<KeyValueRecord>),
}

/// A client of the key-value service.
///
/// Addresses are tried in turn. A write is sent to the next address only if it is certain that
/// the previous one did not receive it.
#[derive(Debug, Clone)]
pub struct KeyValueClient {
    shared: Rc<ClientState>,
}

#[derive(Debug)]
struct ClientState {
    protocol: KeyValueProtocol,
    addresses: SmallVec<[Arc<str>; 1]>,
    timeout: Duration,
    counters: CallCounters,
    http: HttpClient,
}

/// Wraps the HTTP client, which does not implement `Debug`.
struct HttpClient(Client);

impl std::fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("HttpClient")
    }
}

impl KeyValueClient {
    /// Creates a client of the service at these base addresses, such as `http://10.0.0.2:2379`.
    ///
    /// `timeout` applies to each call to each address.
    #[must_use]
    pub fn new(addresses: &[Arc<str>], timeout: TimeSpan) -> Self {
        Self::with_protocol(KeyValueProtocol::Gateway, addresses, timeout)
    }

    /// Creates a client of a service that uses this protocol.
    #[must_use]
    pub fn with_protocol(
        protocol: KeyValueProtocol,
        addresses: &[Arc<str>],
        timeout: TimeSpan,
    ) -> Self {
        let duration = timeout.as_duration();
        let connector = Connector::new().timeout(duration);
        let http = Client::builder()
            .connector(connector)
            .timeout(duration)
            .disable_redirects()
            .finish();
        let state = ClientState {
            protocol,
            addresses: addresses.iter().cloned().collect(),
            timeout: duration,
            counters: CallCounters::default(),
            http: HttpClient(http),
        };
        Self {
            shared: Rc::new(state),
        }
    }

    /// Counters of the calls made by this client and its clones.
    #[must_use]
    pub fn counters(&self) -> &CallCounters {
        &self.shared.counters
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails if no address returns a usable answer.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValueRecord>, KeyValueError> {
        self.get_at(key).await.map(|(record, _)| record)
    }

    /// Reads one key and the service's revision at the time of the read.
    ///
    /// # Errors
    ///
    /// Fails if no address returns a usable answer.
    pub async fn get_at(
        &self,
        key: &str,
    ) -> Result<(Option<KeyValueRecord>, ModRevision), KeyValueError> {
        if self.shared.protocol == KeyValueProtocol::Platform {
            return self.platform_get(key).await;
        }
        let request = RangeRequest {
            key: key.into(),
            range_end: None,
        };
        let response = self.read::<RangeResponse>(&request).await?;
        let revision = ModRevision(response.header.revision.0);
        Ok((first_record(response), revision))
    }

    /// Reads all keys with this prefix.
    ///
    /// # Errors
    ///
    /// Fails if no address returns a usable answer.
    pub async fn range(&self, prefix: &str) -> Result<RangeSnapshot, KeyValueError> {
        if self.shared.protocol == KeyValueProtocol::Platform {
            return self
                .platform_range(prefix, ReadConsistency::Linearizable)
                .await;
        }
        let request = RangeRequest {
            key: prefix.into(),
            range_end: Some(prefix_end(prefix)),
        };
        let response = self.read::<RangeResponse>(&request).await?;
        let records = response.kvs.into_iter().map(GatewayRecord::into_record);
        Ok(RangeSnapshot {
            revision: ModRevision(response.header.revision.0),
            records: records.collect(),
        })
    }

    /// Reads all keys with this prefix; the result may be stale by some seconds.
    ///
    /// Costs less than [`Self::range`] if the service supports such reads.
    ///
    /// # Errors
    ///
    /// Fails if no address returns a usable answer.
    pub async fn range_serializable(&self, prefix: &str) -> Result<RangeSnapshot, KeyValueError> {
        match self.shared.protocol {
            KeyValueProtocol::Gateway => self.range(prefix).await,
            KeyValueProtocol::Platform => {
                self.platform_range(prefix, ReadConsistency::Serializable)
                    .await
            }
        }
    }

    /// Writes a value if the key is in the expected state.
    ///
    /// # Errors
    ///
    /// Fails with [`KeyValueError::Unknown`] if the write may have been carried out.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
    ) -> Result<SwapOutcome, KeyValueError> {
        self.swap(key, expected, value, None).await
    }

    /// Like [`Self::compare_and_swap`], for a key that is deleted when the lease ends.
    ///
    /// # Errors
    ///
    /// Fails with [`KeyValueError::Unknown`] if the write may have been carried out.
    pub async fn compare_and_swap_leased(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
        lease: LeaseId,
    ) -> Result<SwapOutcome, KeyValueError> {
        self.swap(key, expected, value, Some(lease)).await
    }

    /// Deletes a key and returns whether it existed.
    ///
    /// # Errors
    ///
    /// Fails with [`KeyValueError::Unknown`] if the key may have been deleted.
    pub async fn delete(&self, key: &str) -> Result<bool, KeyValueError> {
        if self.shared.protocol == KeyValueProtocol::Platform {
            return self.platform_delete(key).await;
        }
        let request = RangeRequest {
            key: key.into(),
            range_end: None,
        };
        let response = self.call::<DeleteResponse>(KeyValueOperation::Delete, &request);
        Ok(response.await?.deleted.0 > 0)
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, KeyValueError> {
        if value.len() > MAX_VALUE_BYTES {
            let size = ByteSize(value.len() as u64);
            return Err(KeyValueError::NotSent(SendError::ValueTooLarge(size)));
        }
        if self.shared.protocol == KeyValueProtocol::Platform {
            return self.platform_swap(key, expected, &value, lease).await;
        }
        let lease = lease.map(|lease| IntegerString(lease.0));
        let request = swap_request(key, expected, value, lease);
        let response = self
            .call::<TxnResponse>(KeyValueOperation::Txn, &request)
            .await?;
        if response.succeeded {
            return Ok(SwapOutcome::Written(ModRevision(
                response.header.revision.0,
            )));
        }
        let found = response.responses.into_iter().next();
        let range = found.and_then(|result| result.response_range);
        Ok(SwapOutcome::Conflict(range.and_then(first_record)))
    }

    /// Sends a read, which may be retried at the next address after any error.
    async fn read<T: DeserializeOwned>(&self, request: &RangeRequest) -> Result<T, KeyValueError> {
        let mut last = KeyValueError::NotSent(SendError::NoAddress);
        for address in &self.shared.addresses {
            match self
                .call_at(address, KeyValueOperation::Range, request)
                .await
            {
                Ok(answer) => return Ok(answer),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Sends a call to the first reachable address.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        kind: KeyValueOperation,
        request: &impl Serialize,
    ) -> Result<T, KeyValueError> {
        let mut last = KeyValueError::NotSent(SendError::NoAddress);
        for address in &self.shared.addresses {
            match self.call_at(address, kind, request).await {
                Err(error @ KeyValueError::NotSent(_)) => last = error,
                result => return result,
            }
        }
        Err(last)
    }

    async fn call_at<T: DeserializeOwned>(
        &self,
        address: &str,
        kind: KeyValueOperation,
        request: &impl Serialize,
    ) -> Result<T, KeyValueError> {
        let exchange = async {
            let mut response = self.send(address, kind, request).await?;
            read_answer(&mut response).await
        };
        let result = match timeout(self.shared.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(KeyValueError::Unknown(AnswerError::Timeout)),
        };
        if result.is_err() {
            self.shared.counters.count_failed(kind);
        }
        result
    }

    /// Sends one request and returns the response once its head has been received.
    pub(crate) async fn send(
        &self,
        address: &str,
        kind: KeyValueOperation,
        request: &impl Serialize,
    ) -> Result<ClientResponse, KeyValueError> {
        self.shared.counters.count_sent(kind);
        let url = format!("{address}{}", kind.path());
        let sent = self.shared.http.0.post(url).send_json(request).await;
        let mut response = sent.map_err(|e| send_error(&e))?;
        let status = response.status().as_u16();
        match status {
            200 => Ok(response),
            400..=499 => Err(KeyValueError::Refused {
                status,
                message: read_message(&mut response).await,
            }),
            _ => Err(KeyValueError::Unknown(AnswerError::Status(status))),
        }
    }

    pub(crate) fn addresses(&self) -> &[Arc<str>] {
        &self.shared.addresses
    }

    pub(crate) fn protocol(&self) -> KeyValueProtocol {
        self.shared.protocol
    }

    pub(crate) fn timeout(&self) -> Duration {
        self.shared.timeout
    }

    pub(crate) fn http(&self) -> &Client {
        &self.shared.http.0
    }
}

fn swap_request(
    key: &str,
    expected: Expected,
    value: Bytes,
    lease: Option<IntegerString>,
) -> TxnRequest {
    TxnRequest {
        compare: [TxnCompare {
            key: key.into(),
            target: "MOD",
            result: "EQUAL",
            mod_revision: IntegerString(expected.revision().0),
        }],
        success: [TxnOperation::RequestPut(PutRequest {
            key: key.into(),
            value: Base64Bytes(value),
            lease,
        })],
        failure: [TxnOperation::RequestRange(RangeRequest {
            key: key.into(),
            range_end: None,
        })],
    }
}

fn first_record(response: RangeResponse) -> Option<KeyValueRecord> {
    let kv = response.kvs.into_iter().next()?;
    Some(kv.into_record())
}

async fn read_answer<T: DeserializeOwned>(
    response: &mut ClientResponse,
) -> Result<T, KeyValueError> {
    let body = read_body(response, MAX_ANSWER_BYTES).await;
    let bytes = body.map_err(|e| KeyValueError::Unknown(AnswerError::Lost(e.into())))?;
    serde_json::from_slice(&bytes)
        .map_err(|e| KeyValueError::Unknown(AnswerError::Malformed(e.to_string().into())))
}

async fn read_message(response: &mut ClientResponse) -> Arc<str> {
    let bytes = response.body().limit(MAX_MESSAGE_BYTES).await;
    let text = bytes.unwrap_or_default();
    String::from_utf8_lossy(&text).trim().into()
}

/// Distinguishes calls that were not sent from those that may have been carried out.
///
/// The HTTP client also reports a connection lost after sending as the connect error
/// `Disconnected`, which therefore does not prove that the call was not sent.
pub(crate) fn send_error(error: &SendRequestError) -> KeyValueError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            KeyValueError::Unknown(AnswerError::Lost("it was closed before the answer".into()))
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            KeyValueError::NotSent(SendError::Connect(error.to_string().into()))
        }
        SendRequestError::Timeout => KeyValueError::Unknown(AnswerError::Timeout),
        _ => KeyValueError::Unknown(AnswerError::Lost(error.to_string().into())),
    }
}
