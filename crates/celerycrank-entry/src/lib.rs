//! The entry process: accepts callers and hands requests to agents.
