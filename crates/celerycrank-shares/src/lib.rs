//! Decisions about each client account's share: grants and fair queues.
