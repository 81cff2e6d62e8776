//! Counters of calls, since the key-value service limits their rate.

use std::cell::Cell;

/// The kinds of calls to the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyValueOperation {
    /// A read of one key or of a prefix.
    Range,
    /// A compare-and-swap.
    Txn,
    /// An unconditional delete.
    Delete,
    /// The start of a watch.
    Watch,
    /// The grant of a lease.
    LeaseGrant,
    /// The renewal of a lease.
    LeaseKeepalive,
    /// The revocation of a lease.
    LeaseRevoke,
}

impl KeyValueOperation {
    /// All kinds, in declaration order.
    pub const ALL: [Self; 7] = [
        Self::Range,
        Self::Txn,
        Self::Delete,
        Self::Watch,
        Self::LeaseGrant,
        Self::LeaseKeepalive,
        Self::LeaseRevoke,
    ];

    /// The metric label of this kind.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Txn => "txn",
            Self::Delete => "delete",
            Self::Watch => "watch",
            Self::LeaseGrant => "lease_grant",
            Self::LeaseKeepalive => "lease_keepalive",
            Self::LeaseRevoke => "lease_revoke",
        }
    }

    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Range => "/v3/kv/range",
            Self::Txn => "/v3/kv/txn",
            Self::Delete => "/v3/kv/deleterange",
            Self::Watch => "/v3/watch",
            Self::LeaseGrant => "/v3/lease/grant",
            Self::LeaseKeepalive => "/v3/lease/keepalive",
            Self::LeaseRevoke => "/v3/lease/revoke",
        }
    }
}

/// Counts of calls by kind and of open watches.
#[derive(Debug, Default)]
pub struct CallCounters {
    sent: [Cell<u64>; KeyValueOperation::ALL.len()],
    failed: [Cell<u64>; KeyValueOperation::ALL.len()],
    waiting: Cell<u64>,
}

impl CallCounters {
    /// The number of calls of a kind that were sent, one for each address tried.
    #[must_use]
    pub fn sent(&self, kind: KeyValueOperation) -> u64 {
        self.sent[kind as usize].get()
    }

    /// The number of calls of a kind that failed.
    #[must_use]
    pub fn failed(&self, kind: KeyValueOperation) -> u64 {
        self.failed[kind as usize].get()
    }

    /// The number of open watches; the service counts each as one call.
    #[must_use]
    pub fn waiting_watches(&self) -> u64 {
        self.waiting.get()
    }

    pub(crate) fn count_sent(&self, kind: KeyValueOperation) {
        increment(&self.sent[kind as usize]);
    }

    pub(crate) fn count_failed(&self, kind: KeyValueOperation) {
        increment(&self.failed[kind as usize]);
    }

    pub(crate) fn open_watch(&self) {
        increment(&self.waiting);
    }

    pub(crate) fn close_watch(&self) {
        self.waiting.set(self.waiting.get().saturating_sub(1));
    }
}

fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}
