//! Both lists under one revision, the unit that is accepted and put in force.

use celerycrank_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{CustomerList, PlanList};

/// Both lists under the revision that the key-value service gave them.
///
/// Invariant: checked; every account's plan is in the plan list.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The revision under which both lists were accepted.
    pub revision: Revision,
    /// Which plan each client account holds.
    pub customers: CustomerList,
    /// What each plan may use.
    pub plans: PlanList,
}
