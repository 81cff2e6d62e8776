//! Decisions about one request: outcomes, retries and at-most-once claims.
