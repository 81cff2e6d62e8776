//! Checks of the operators' files: every fault with its path, all in one go.

mod fault;
mod list;
mod node;
mod setting;
mod shape;

pub use crate::check::{
    fault::{CheckFault, FaultKind, ListFaults},
    list::{ListTexts, check_lists, lists_text},
    setting::{check_agent, check_direct_entry, check_entry, check_platform, check_rank_agent},
};
