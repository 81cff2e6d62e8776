//! Decisions about which backend server takes a request.
