//! Claims: the record that makes one attempt the only one to start a keyed call.

mod answer;

pub use self::answer::{CallStatus, ClaimAnswer};
