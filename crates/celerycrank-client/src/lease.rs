//! Leases: keys that expire unless their holder renews them.

use celerycrank_types::TimeSpan;

use crate::{
    AnswerError, KeyValueClient, KeyValueError, KeyValueOperation, KeyValueProtocol, LeaseId,
    gateway::{IntegerString, LeaseRequest, LeaseResponse, StreamLine},
};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A lease and its time to live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The ID of the lease.
    pub id: LeaseId,
    /// The time until it expires unless renewed, counted from when the service handled the call.
    ///
    /// The client does not know that moment, but it is not before the call was sent: a holder that
    /// counts from there never assumes that its lease lives longer than it does.
    pub ttl: TimeSpan,
}

impl KeyValueClient {
    /// Requests a new lease.
    ///
    /// With etcd's gateway, the time to live is rounded up to whole seconds.
    ///
    /// # Errors
    ///
    /// Fails with [`KeyValueError::Unknown`] if a lease may have been granted; it then expires.
    pub async fn grant_lease(&self, ttl: TimeSpan) -> Result<LeaseGrant, KeyValueError> {
        if self.protocol() == KeyValueProtocol::Platform {
            return self.platform_grant_lease(ttl).await;
        }
        let request = LeaseRequest {
            ttl: Some(IntegerString(ttl.0.div_ceil(MICROS_PER_SECOND))),
            id: IntegerString::default(),
        };
        let response = self.call::<LeaseResponse>(KeyValueOperation::LeaseGrant, &request);
        Ok(read_grant(&response.await?))
    }

    /// Renews a lease; returns `None` if it has ended.
    ///
    /// # Errors
    ///
    /// Fails if the call failed; the lease may or may not have been renewed.
    pub async fn keep_lease_alive(
        &self,
        lease: LeaseId,
    ) -> Result<Option<LeaseGrant>, KeyValueError> {
        if self.protocol() == KeyValueProtocol::Platform {
            return self.platform_renew_lease(lease).await;
        }
        let request = id_request(lease);
        let response =
            self.call::<StreamLine<LeaseResponse>>(KeyValueOperation::LeaseKeepalive, &request);
        let grant = read_grant(&response.await?.result);
        if grant.id != lease {
            let message = format!("asked for lease {lease}, got {}", grant.id);
            return Err(KeyValueError::Unknown(AnswerError::Malformed(
                message.into(),
            )));
        }
        Ok((grant.ttl > TimeSpan::ZERO).then_some(grant))
    }

    /// Revokes a lease and deletes every key attached to it.
    ///
    /// # Errors
    ///
    /// Fails if the call failed; the lease then expires.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        if self.protocol() == KeyValueProtocol::Platform {
            return self.platform_revoke_lease(lease).await;
        }
        let request = id_request(lease);
        let response = self.call::<serde_json::Value>(KeyValueOperation::LeaseRevoke, &request);
        response.await.map(drop)
    }
}

fn id_request(lease: LeaseId) -> LeaseRequest {
    LeaseRequest {
        ttl: None,
        id: IntegerString(lease.0),
    }
}

fn read_grant(response: &LeaseResponse) -> LeaseGrant {
    LeaseGrant {
        id: LeaseId(response.id.0),
        ttl: TimeSpan::from_secs(response.ttl.0),
    }
}
