//! Mutually authenticated QUIC connections between the processes.
