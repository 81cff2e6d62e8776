//! Calls in the protocol of the hosting platform's key-value service.

use std::time::Duration;

use actix_rt::time::timeout;
use bytes::Bytes;
use celerycrank_platform::{
    LeaseAnswer, ReadConsistency, StoreCall, StoreError, StoreMethod, SwapAnswer, delete_call,
    get_call, lease_grant_call, lease_renewal_call, lease_revocation_call, range_call, read_lease,
    read_page, read_record, read_swap, swap_call,
};
use celerycrank_types::TimeSpan;

use crate::{
    AnswerError, Expected, KeyValueClient, KeyValueError, KeyValueOperation, KeyValueRecord,
    LeaseGrant, LeaseId, ModRevision, RangeSnapshot, SendError, SwapOutcome,
    body::read_body,
    client::{MAX_ANSWER_BYTES, send_error},
};

impl KeyValueClient {
    /// Sends one call and returns the status and body of the answer.
    ///
    /// The next address is tried only if it is certain that the call was not sent.
    pub(crate) async fn exchange(
        &self,
        kind: KeyValueOperation,
        call: &StoreCall,
        call_timeout: Duration,
    ) -> Result<(u16, Bytes), KeyValueError> {
        let mut last = KeyValueError::NotSent(SendError::NoAddress);
        for address in self.addresses() {
            self.counters().count_sent(kind);
            let answer = timeout(call_timeout, self.exchange_at(address, call, call_timeout)).await;
            match answer.unwrap_or(Err(KeyValueError::Unknown(AnswerError::Timeout))) {
                Ok(answer) => return Ok(answer),
                Err(error) => last = error,
            }
            self.counters().count_failed(kind);
            if !matches!(last, KeyValueError::NotSent(_)) {
                break;
            }
        }
        Err(last)
    }

    async fn exchange_at(
        &self,
        address: &str,
        call: &StoreCall,
        call_timeout: Duration,
    ) -> Result<(u16, Bytes), KeyValueError> {
        let url = format!("{address}{}", call.target);
        let request = match call.method {
            StoreMethod::Get => self.http().get(url),
            StoreMethod::Post => self.http().post(url),
            StoreMethod::Delete => self.http().delete(url),
        };
        let request = request.timeout(call_timeout);
        let sent = if call.body.is_empty() {
            request.send().await
        } else {
            let request = request.content_type("application/json");
            request.send_body(call.body.clone()).await
        };
        let mut response = sent.map_err(|e| send_error(&e))?;
        let status = response.status().as_u16();
        let body = read_body(&mut response, MAX_ANSWER_BYTES).await;
        let body = body.map_err(|e| KeyValueError::Unknown(AnswerError::Lost(e.into())))?;
        Ok((status, body))
    }

    pub(crate) async fn platform_get(
        &self,
        key: &str,
    ) -> Result<(Option<KeyValueRecord>, ModRevision), KeyValueError> {
        let call = get_call(key);
        let (status, body) = self
            .exchange(KeyValueOperation::Range, &call, self.timeout())
            .await?;
        read_record(status, &body).map_err(store_error)
    }

    pub(crate) async fn platform_range(
        &self,
        prefix: &str,
        consistency: ReadConsistency,
    ) -> Result<RangeSnapshot, KeyValueError> {
        let mut records = Vec::<KeyValueRecord>::new();
        let mut revision = None;
        loop {
            let after = records.last().map(|record| &*record.key);
            let call = range_call(prefix, after, consistency);
            let (status, body) = self
                .exchange(KeyValueOperation::Range, &call, self.timeout())
                .await?;
            let page = read_page(status, &body).map_err(store_error)?;
            // The pages are read one after the other. Changes made meanwhile have revisions
            // above that of the first page, so a watch from there does not miss them.
            let first = *revision.get_or_insert(page.revision);
            let is_last = !page.has_more || page.records.is_empty();
            records.extend(page.records);
            if is_last {
                return Ok(RangeSnapshot {
                    revision: first,
                    records,
                });
            }
        }
    }

    pub(crate) async fn platform_swap(
        &self,
        key: &str,
        expected: Expected,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, KeyValueError> {
        let call = swap_call(key, expected.revision(), value, lease);
        let (status, body) = self
            .exchange(KeyValueOperation::Txn, &call, self.timeout())
            .await?;
        match read_swap(status, &body).map_err(store_error)? {
            SwapAnswer::Applied(revision) => Ok(SwapOutcome::Written(revision)),
            SwapAnswer::Conflict(record) => Ok(SwapOutcome::Conflict(record)),
            SwapAnswer::LeaseEnded => Err(KeyValueError::Refused {
                status,
                message: "the lease has ended".into(),
            }),
        }
    }

    pub(crate) async fn platform_delete(&self, key: &str) -> Result<bool, KeyValueError> {
        loop {
            let (record, _) = self.platform_get(key).await?;
            let Some(record) = record else {
                return Ok(false);
            };
            let call = delete_call(key, record.revision);
            let (status, body) = self
                .exchange(KeyValueOperation::Delete, &call, self.timeout())
                .await?;
            if let SwapAnswer::Applied(_) = read_swap(status, &body).map_err(store_error)? {
                return Ok(true);
            }
        }
    }

    pub(crate) async fn platform_grant_lease(
        &self,
        ttl: TimeSpan,
    ) -> Result<LeaseGrant, KeyValueError> {
        let call = lease_grant_call(ttl);
        let answer = self
            .platform_lease_call(KeyValueOperation::LeaseGrant, &call)
            .await?;
        match answer {
            Some(LeaseAnswer { id: Some(id), ttl }) => Ok(LeaseGrant { id, ttl }),
            _ => Err(KeyValueError::Unknown(AnswerError::Malformed(
                "a new lease has no ID".into(),
            ))),
        }
    }

    pub(crate) async fn platform_renew_lease(
        &self,
        lease: LeaseId,
    ) -> Result<Option<LeaseGrant>, KeyValueError> {
        let call = lease_renewal_call(lease);
        let answer = self
            .platform_lease_call(KeyValueOperation::LeaseKeepalive, &call)
            .await?;
        Ok(answer.map(|answer| LeaseGrant {
            id: lease,
            ttl: answer.ttl,
        }))
    }

    pub(crate) async fn platform_revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        let call = lease_revocation_call(lease);
        let kind = KeyValueOperation::LeaseRevoke;
        let (status, _) = self.exchange(kind, &call, self.timeout()).await?;
        match status {
            // The lease has already ended, which is the requested outcome.
            200..=299 | 404 => Ok(()),
            status => Err(store_error(StoreError::Status(status))),
        }
    }

    async fn platform_lease_call(
        &self,
        kind: KeyValueOperation,
        call: &StoreCall,
    ) -> Result<Option<LeaseAnswer>, KeyValueError> {
        let (status, body) = self.exchange(kind, call, self.timeout()).await?;
        read_lease(status, &body).map_err(store_error)
    }
}

/// Converts the error of a call whose answer cannot be used.
pub(crate) fn store_error(error: StoreError) -> KeyValueError {
    match error {
        StoreError::Refused(status) => KeyValueError::Refused {
            status,
            message: "refused".into(),
        },
        StoreError::Status(status) => KeyValueError::Unknown(AnswerError::Status(status)),
        StoreError::Malformed(message) => KeyValueError::Unknown(AnswerError::Malformed(message)),
    }
}
