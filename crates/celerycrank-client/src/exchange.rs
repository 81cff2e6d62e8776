//! Calls in the wire form of the users' platform.

use std::time::Duration;

use actix_rt::time::timeout;
use bytes::Bytes;
use celerycrank_platform::{
    LeaseAnswer, ReadAge, StoreCall, StoreFault, StoreMethod, SwapAnswer, lease_call,
    lease_end_call, lease_renewal_call, page_call, read_lease, read_page, read_record, read_swap,
    record_call, removal_call, swap_call,
};
use celerycrank_types::TimeSpan;

use crate::{
    AnswerFault, CallKind, Expected, KeyValueClient, KeyValueFault, KeyValueRecord, LeaseGrant,
    LeaseId, ModRevision, RangeSnapshot, SendFault, SwapOutcome,
    client::{MAX_ANSWER_BYTES, send_fault},
};

impl KeyValueClient {
    /// Sends one call and returns the status and body of the answer.
    ///
    /// Another address is tried only if the call is proved not to have been sent.
    pub(crate) async fn exchange(
        &self,
        kind: CallKind,
        call: &StoreCall,
        longest: Duration,
    ) -> Result<(u16, Bytes), KeyValueFault> {
        let mut last = KeyValueFault::NotSent(SendFault::NoAddress);
        for address in self.addresses() {
            self.counters().count_sent(kind);
            let answer = timeout(longest, self.exchange_at(address, call, longest)).await;
            match answer.unwrap_or(Err(KeyValueFault::Unknown(AnswerFault::Timeout))) {
                Ok(answer) => return Ok(answer),
                Err(fault) => last = fault,
            }
            self.counters().count_failed(kind);
            if !matches!(last, KeyValueFault::NotSent(_)) {
                break;
            }
        }
        Err(last)
    }

    async fn exchange_at(
        &self,
        address: &str,
        call: &StoreCall,
        longest: Duration,
    ) -> Result<(u16, Bytes), KeyValueFault> {
        let url = format!("{address}{}", call.target);
        let request = match call.method {
            StoreMethod::Get => self.http().get(url),
            StoreMethod::Post => self.http().post(url),
            StoreMethod::Delete => self.http().delete(url),
        };
        let request = request.timeout(longest);
        let sent = if call.body.is_empty() {
            request.send().await
        } else {
            let request = request.content_type("application/json");
            request.send_body(call.body.clone()).await
        };
        let mut response = sent.map_err(|e| send_fault(&e))?;
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body =
            body.map_err(|e| KeyValueFault::Unknown(AnswerFault::Lost(e.to_string().into())))?;
        Ok((status, body))
    }

    pub(crate) async fn get_exchanged(
        &self,
        key: &str,
    ) -> Result<(Option<KeyValueRecord>, ModRevision), KeyValueFault> {
        let call = record_call(key);
        let (status, body) = self
            .exchange(CallKind::Range, &call, self.timeout())
            .await?;
        read_record(status, &body).map_err(store_fault)
    }

    pub(crate) async fn range_exchanged(
        &self,
        prefix: &str,
        age: ReadAge,
    ) -> Result<RangeSnapshot, KeyValueFault> {
        let mut records = Vec::<KeyValueRecord>::new();
        let mut revision = None;
        loop {
            let behind = records.last().map(|record| &*record.key);
            let call = page_call(prefix, behind, age);
            let (status, body) = self
                .exchange(CallKind::Range, &call, self.timeout())
                .await?;
            let page = read_page(status, &body).map_err(store_fault)?;
            // Pages are read one after the other: what changes meanwhile comes behind the
            // revision of the first.
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

    pub(crate) async fn swap_exchanged(
        &self,
        key: &str,
        expected: Expected,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, KeyValueFault> {
        let call = swap_call(key, expected.revision(), value, lease);
        let (status, body) = self.exchange(CallKind::Txn, &call, self.timeout()).await?;
        match read_swap(status, &body).map_err(store_fault)? {
            SwapAnswer::Made(revision) => Ok(SwapOutcome::Written(revision)),
            SwapAnswer::Conflict(record) => Ok(SwapOutcome::Conflict(record)),
            SwapAnswer::LeaseEnded => Err(KeyValueFault::Refused {
                status,
                message: "the lease has ended".into(),
            }),
        }
    }

    pub(crate) async fn delete_exchanged(&self, key: &str) -> Result<bool, KeyValueFault> {
        loop {
            let (record, _) = self.get_exchanged(key).await?;
            let Some(record) = record else {
                return Ok(false);
            };
            let call = removal_call(key, record.revision);
            let (status, body) = self
                .exchange(CallKind::Delete, &call, self.timeout())
                .await?;
            if let SwapAnswer::Made(_) = read_swap(status, &body).map_err(store_fault)? {
                return Ok(true);
            }
        }
    }

    pub(crate) async fn grant_exchanged(&self, ttl: TimeSpan) -> Result<LeaseGrant, KeyValueFault> {
        let call = lease_call(ttl);
        let answer = self.lease_answer(CallKind::LeaseGrant, &call).await?;
        match answer {
            Some(LeaseAnswer { id: Some(id), ttl }) => Ok(LeaseGrant { id, ttl }),
            _ => Err(KeyValueFault::Unknown(AnswerFault::Malformed(
                "a new lease has no name".into(),
            ))),
        }
    }

    pub(crate) async fn renew_exchanged(
        &self,
        lease: LeaseId,
    ) -> Result<Option<LeaseGrant>, KeyValueFault> {
        let call = lease_renewal_call(lease);
        let answer = self.lease_answer(CallKind::LeaseKeepalive, &call).await?;
        Ok(answer.map(|answer| LeaseGrant {
            id: lease,
            ttl: answer.ttl,
        }))
    }

    pub(crate) async fn end_exchanged(&self, lease: LeaseId) -> Result<(), KeyValueFault> {
        let call = lease_end_call(lease);
        let kind = CallKind::LeaseRevoke;
        let (status, _) = self.exchange(kind, &call, self.timeout()).await?;
        match status {
            // A lease that has ended already is what was asked for.
            200..=299 | 404 => Ok(()),
            status => Err(store_fault(StoreFault::Status(status))),
        }
    }

    async fn lease_answer(
        &self,
        kind: CallKind,
        call: &StoreCall,
    ) -> Result<Option<LeaseAnswer>, KeyValueFault> {
        let (status, body) = self.exchange(kind, call, self.timeout()).await?;
        read_lease(status, &body).map_err(store_fault)
    }
}

/// The fault of a call whose answer cannot be used.
pub(crate) fn store_fault(fault: StoreFault) -> KeyValueFault {
    match fault {
        StoreFault::Refused(status) => KeyValueFault::Refused {
            status,
            message: "refused".into(),
        },
        StoreFault::Status(status) => KeyValueFault::Unknown(AnswerFault::Status(status)),
        StoreFault::Malformed(message) => KeyValueFault::Unknown(AnswerFault::Malformed(message)),
    }
}
