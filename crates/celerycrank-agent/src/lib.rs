//! The agent process: the only way to its backend server.
