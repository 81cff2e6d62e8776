//! Validation of the operators' files. All errors are reported at once, each with its path.

mod error;
mod list;
mod node;
mod schema;
mod setting;
mod warning;

pub use crate::check::{
    error::{ListErrors, ValidationError, ValidationErrorKind},
    list::{ListTexts, check_lists, format_json},
    node::find_duplicate_fields,
    setting::{check_agent, check_direct_entry, check_entry, check_platform, check_rank_agent},
    warning::{LIST_FINDING_CODES, ListDocuments, error_finding},
};

pub(crate) use crate::check::schema::join;
