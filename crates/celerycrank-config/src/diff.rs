//! Semantic differences between two configurations, independent of the order of the lists.

use std::{fmt::Display, sync::Arc};

use celerycrank_types::{AccountId, PlanId};
use serde::{Deserialize, Serialize};

use crate::{ClientAccount, CustomerList, PermittedUse, PlanDefinition, PlanList};

/// One difference that affects an account or a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum ListChange {
    /// account {account}: added with plan {plan}
    AccountAdded {
        /// The account.
        account: AccountId,
        /// Its plan.
        plan: PlanId,
    },
    /// account {account}: removed
    AccountRemoved {
        /// The account.
        account: AccountId,
    },
    /// account {account}: plan {from} -> {to}
    AccountPlan {
        /// The account.
        account: AccountId,
        /// Its old plan.
        from: PlanId,
        /// Its new plan.
        to: PlanId,
    },
    /// account {account}: keys added {added}, removed {removed}
    AccountKeys {
        /// The account.
        account: AccountId,
        /// Number of keys added.
        added: usize,
        /// Number of keys removed.
        removed: usize,
    },
    /// plan {plan}: added
    PlanAdded {
        /// The plan.
        plan: PlanId,
    },
    /// plan {plan}: removed
    PlanRemoved {
        /// The plan.
        plan: PlanId,
    },
    /// plan {plan}: {field} {from} -> {to}
    PlanField {
        /// The plan.
        plan: PlanId,
        /// Name of the changed field.
        field: Arc<str>,
        /// Its old value.
        from: Arc<str>,
        /// Its new value.
        to: Arc<str>,
    },
    /// plan {plan}: may now use {used}
    UseAdded {
        /// The plan.
        plan: PlanId,
        /// The model or service added.
        used: Arc<str>,
    },
    /// plan {plan}: may no longer use {used}
    UseRemoved {
        /// The plan.
        plan: PlanId,
        /// The model or service removed.
        used: Arc<str>,
    },
}

/// Returns the differences between two pairs of lists, accounts first.
#[must_use]
pub fn diff_lists(
    old: (&CustomerList, &PlanList),
    new: (&CustomerList, &PlanList),
) -> Vec<ListChange> {
    let mut changes = Vec::new();
    compare_accounts(&old.0.accounts, &new.0.accounts, &mut changes);
    compare_plans(&old.1.plans, &new.1.plans, &mut changes);
    changes
}

fn compare_accounts(old: &[ClientAccount], new: &[ClientAccount], changes: &mut Vec<ListChange>) {
    for before in old {
        match new.iter().find(|after| after.account == before.account) {
            Some(after) => compare_account(before, after, changes),
            None => changes.push(ListChange::AccountRemoved {
                account: before.account.clone(),
            }),
        }
    }
    for after in new {
        if !old.iter().any(|before| before.account == after.account) {
            changes.push(ListChange::AccountAdded {
                account: after.account.clone(),
                plan: after.plan.clone(),
            });
        }
    }
}

fn compare_account(before: &ClientAccount, after: &ClientAccount, changes: &mut Vec<ListChange>) {
    if before.plan != after.plan {
        changes.push(ListChange::AccountPlan {
            account: before.account.clone(),
            from: before.plan.clone(),
            to: after.plan.clone(),
        });
    }
    let missing = |from: &ClientAccount, to: &ClientAccount| {
        from.keys
            .iter()
            .filter(|key| !to.keys.contains(key))
            .count()
    };
    let (added, removed) = (missing(after, before), missing(before, after));
    if added + removed > 0 {
        changes.push(ListChange::AccountKeys {
            account: before.account.clone(),
            added,
            removed,
        });
    }
}

fn compare_plans(old: &[PlanDefinition], new: &[PlanDefinition], changes: &mut Vec<ListChange>) {
    for before in old {
        match new.iter().find(|after| after.plan == before.plan) {
            Some(after) => compare_plan(before, after, changes),
            None => changes.push(ListChange::PlanRemoved {
                plan: before.plan.clone(),
            }),
        }
    }
    for after in new {
        if !old.iter().any(|before| before.plan == after.plan) {
            changes.push(ListChange::PlanAdded {
                plan: after.plan.clone(),
            });
        }
    }
}

fn compare_plan(before: &PlanDefinition, after: &PlanDefinition, changes: &mut Vec<ListChange>) {
    let rate = |plan: &PlanDefinition| {
        plan.rate
            .map_or_else(|| "none".into(), |rate| rate.to_string())
    };
    let fields = [
        ("share", before.share.to_string(), after.share.to_string()),
        (
            "priority",
            before.priority.label().into(),
            after.priority.label().into(),
        ),
        ("rate", rate(before), rate(after)),
        (
            "deadline",
            before.deadline.to_string(),
            after.deadline.to_string(),
        ),
    ];
    for (field, from, to) in fields {
        if from != to {
            changes.push(ListChange::PlanField {
                plan: before.plan.clone(),
                field: field.into(),
                from: from.into(),
                to: to.into(),
            });
        }
    }
    compare_uses(before, after, changes);
}

fn compare_uses(before: &PlanDefinition, after: &PlanDefinition, changes: &mut Vec<ListChange>) {
    for used in before.uses.iter().filter(|used| !after.uses.contains(used)) {
        changes.push(ListChange::UseRemoved {
            plan: before.plan.clone(),
            used: describe(used),
        });
    }
    for used in after.uses.iter().filter(|used| !before.uses.contains(used)) {
        changes.push(ListChange::UseAdded {
            plan: before.plan.clone(),
            used: describe(used),
        });
    }
}

fn describe(used: &PermittedUse) -> Arc<str> {
    let text: &dyn Display = match used {
        PermittedUse::Model(model) => &format_args!("model {}", model.model),
        PermittedUse::Service(service) => &format_args!(
            "service {} at {} ({})",
            service.service,
            service.prefix,
            service.repeat.label()
        ),
    };
    text.to_string().into()
}
