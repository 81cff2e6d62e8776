//! The celerycrank binary: both process roles and the operators' commands.

fn main() {}
