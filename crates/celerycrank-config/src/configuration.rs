//! The configuration: both lists under one revision, accepted and applied as a unit.

use celerycrank_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{CustomerList, PlanList};

/// Both lists under the revision at which the key-value service stores them.
///
/// Invariant: the lists are validated, and the plan list contains every account's plan.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The revision under which both lists were accepted.
    pub revision: Revision,
    /// The plan of each client account.
    pub customers: CustomerList,
    /// The plans and what each may use.
    pub plans: PlanList,
}
