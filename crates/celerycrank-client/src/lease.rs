//! Leases: records that go by themselves when their holder falls silent.

use celerycrank_types::TimeSpan;

use crate::{
    AnswerError, CallKind, KeyValueClient, KeyValueError, KeyValueProtocol, LeaseId,
    gateway::{IntegerString, LeaseRequest, LeaseResponse, StreamLine},
};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A lease and how long it lasts unless renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The lease.
    pub id: LeaseId,
    /// How long the service keeps it, counted from when the service answered.
    pub ttl: TimeSpan,
}

impl KeyValueClient {
    /// Asks for a new lease; etcd counts in whole seconds.
    ///
    /// # Errors
    ///
    /// Fails with [`KeyValueError::Unknown`] if a lease may have been granted; it then
    /// ends by itself.
    pub async fn grant_lease(&self, ttl: TimeSpan) -> Result<LeaseGrant, KeyValueError> {
        if self.form() == KeyValueProtocol::Platform {
            return self.platform_grant_lease(ttl).await;
        }
        let request = LeaseRequest {
            ttl: Some(IntegerString(ttl.0.div_ceil(MICROS_PER_SECOND))),
            id: IntegerString::default(),
        };
        let response = self.call::<LeaseResponse>(CallKind::LeaseGrant, &request);
        Ok(read_grant(&response.await?))
    }

    /// Renews a lease; `None` means that it has ended.
    ///
    /// # Errors
    ///
    /// Fails if no answer came; the lease may or may not have been renewed.
    pub async fn keep_lease_alive(
        &self,
        lease: LeaseId,
    ) -> Result<Option<LeaseGrant>, KeyValueError> {
        if self.form() == KeyValueProtocol::Platform {
            return self.platform_renew_lease(lease).await;
        }
        let request = id_request(lease);
        let response = self.call::<StreamLine<LeaseResponse>>(CallKind::LeaseKeepalive, &request);
        let grant = read_grant(&response.await?.result);
        if grant.id != lease {
            let message = format!("asked for lease {lease}, got {}", grant.id);
            return Err(KeyValueError::Unknown(AnswerError::Malformed(
                message.into(),
            )));
        }
        Ok((grant.ttl > TimeSpan::ZERO).then_some(grant))
    }

    /// Ends a lease and deletes every key that hangs on it.
    ///
    /// # Errors
    ///
    /// Fails if no answer came; the lease then ends by itself.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        if self.form() == KeyValueProtocol::Platform {
            return self.platform_revoke_lease(lease).await;
        }
        let request = id_request(lease);
        let response = self.call::<serde_json::Value>(CallKind::LeaseRevoke, &request);
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
