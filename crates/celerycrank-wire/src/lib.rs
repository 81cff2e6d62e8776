//! Typed, versioned messages between the processes.
