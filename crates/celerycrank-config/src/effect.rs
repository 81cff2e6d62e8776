//! What differs between two pairs of lists, and for which accounts it becomes stricter or laxer.

use std::{collections::BTreeSet, fmt::Display, sync::Arc};

use celerycrank_types::{ModelId, PlanId};

use crate::{
    ClientAccount, CustomerList, Difference, ListChange, PermittedUse, PlanDefinition, PlanList,
    RepeatRule, ServiceUse, Tendency, diff_lists, policy::find_service_use,
};

/// Returns what becomes stricter or laxer from one pair of lists to another, and for whom.
///
/// Accounts that change their plan are compared by the contents of both plans. Changes of a plan
/// name the accounts that hold it before and after.
#[must_use]
pub fn compare_lists(
    old: (&CustomerList, &PlanList),
    new: (&CustomerList, &PlanList),
) -> Vec<Difference> {
    let mut differences = Vec::new();
    for change in diff_lists(old, new) {
        match change {
            ListChange::AccountAdded { account, plan } => differences.push(Difference::new(
                Tendency::Laxer,
                format!("account {account}"),
                format!("added with plan {plan}"),
            )),
            ListChange::AccountRemoved { account } => differences.push(Difference::new(
                Tendency::Stricter,
                format!("account {account}"),
                "removed; its keys are no longer valid",
            )),
            ListChange::AccountPlan { account, from, to } => {
                let subject = format!("account {account}");
                let message = format!("plan {from} -> {to}");
                differences.push(Difference::new(Tendency::Changed, subject.clone(), message));
                if let (Some(before), Some(after)) =
                    (find_plan(old.1, &from), find_plan(new.1, &to))
                {
                    for (tendency, message) in compare_plans(before, after) {
                        differences.push(Difference::new(tendency, subject.clone(), message));
                    }
                }
            }
            ListChange::AccountKeys {
                account,
                added,
                removed,
            } => {
                let subject = format!("account {account}");
                differences.extend(compare_keys(&subject, added, removed));
            }
            ListChange::PlanAdded { plan } => {
                let subject = format!("plan {plan}");
                differences.push(Difference::new(Tendency::Changed, subject, "added"));
            }
            ListChange::PlanRemoved { plan } => {
                let subject = format!("plan {plan}");
                differences.push(Difference::new(Tendency::Changed, subject, "removed"));
            }
            // Changes of a plan are compared as a whole below.
            ListChange::PlanField { .. }
            | ListChange::UseAdded { .. }
            | ListChange::UseRemoved { .. } => {}
        }
    }
    for before in &old.1.plans {
        let Some(after) = find_plan(new.1, &before.plan) else {
            continue;
        };
        let accounts = holders_of_both(&before.plan, &old.0.accounts, &new.0.accounts);
        for (tendency, message) in compare_plans(before, after) {
            differences.push(Difference {
                tendency,
                subject: format!("plan {}", before.plan).into(),
                accounts: accounts.clone(),
                message: message.into(),
            });
        }
    }
    differences.extend(compare_total_shares(old, new));
    differences
}

fn find_plan<'list>(plans: &'list PlanList, name: &PlanId) -> Option<&'list PlanDefinition> {
    plans.plans.iter().find(|plan| plan.plan == *name)
}

/// Returns the accounts that hold a plan in both lists.
fn holders_of_both(plan: &PlanId, old: &[ClientAccount], new: &[ClientAccount]) -> Vec<Arc<str>> {
    let before = old.iter().filter(|account| account.plan == *plan);
    let both = before.filter(|before| {
        new.iter()
            .any(|after| after.account == before.account && after.plan == *plan)
    });
    both.map(|account| account.account.as_str().into())
        .collect()
}

/// Returns the differences that keys added to or removed from an account make.
fn compare_keys(subject: &str, added: usize, removed: usize) -> Vec<Difference> {
    let mut differences = Vec::new();
    if removed > 0 {
        let message = format!("{removed} of its keys no longer valid");
        differences.push(Difference::new(Tendency::Stricter, subject, message));
    }
    if added > 0 {
        let message = format!("{added} more keys valid");
        differences.push(Difference::new(Tendency::Laxer, subject, message));
    }
    differences
}

fn compare_plans(before: &PlanDefinition, after: &PlanDefinition) -> Vec<(Tendency, String)> {
    let mut found = Vec::new();
    let mut add = |tendency, field: &str, from: &dyn Display, to: &dyn Display| {
        found.push((tendency, format!("{field} {from} -> {to}")));
    };
    if before.share != after.share {
        let (from, to) = (before.share.get(), after.share.get());
        add(Tendency::of_limit(&from, &to), "share", &from, &to);
    }
    if before.priority != after.priority {
        // The class that is served first is the smallest.
        let tendency = Tendency::of_limit(&after.priority, &before.priority);
        let (from, to) = (before.priority.label(), after.priority.label());
        add(tendency, "priority", &from, &to);
    }
    if before.rate != after.rate {
        let limit = |plan: &PlanDefinition| plan.rate.map_or(u64::MAX, |rate| rate.0);
        let text = |plan: &PlanDefinition| plan.rate.map_or("none".into(), |rate| rate.to_string());
        let tendency = Tendency::of_limit(&limit(before), &limit(after));
        add(tendency, "rate", &text(before), &text(after));
    }
    if before.deadline != after.deadline {
        let tendency = Tendency::of_limit(&before.deadline, &after.deadline);
        add(tendency, "deadline", &before.deadline, &after.deadline);
    }
    compare_uses(before, after, &mut found);
    found
}

fn compare_uses(
    before: &PlanDefinition,
    after: &PlanDefinition,
    found: &mut Vec<(Tendency, String)>,
) {
    for model in models(before).difference(&models(after)) {
        let message = format!("may no longer use model {model}");
        found.push((Tendency::Stricter, message));
    }
    for model in models(after).difference(&models(before)) {
        found.push((Tendency::Laxer, format!("may now use model {model}")));
    }
    for prefix in &prefixes(before) | &prefixes(after) {
        let uses = [before, after].map(|plan| find_service_use(plan, prefix));
        found.extend(compare_service(prefix, uses));
    }
}

fn models(plan: &PlanDefinition) -> BTreeSet<&ModelId> {
    let models = plan.uses.iter().filter_map(|used| match used {
        PermittedUse::Model(model) => Some(&model.model),
        PermittedUse::Service(_) => None,
    });
    models.collect()
}

/// The prefixes of a plan's services, without the slash at their end, except for `/` itself.
fn prefixes(plan: &PlanDefinition) -> BTreeSet<&str> {
    let prefixes = plan.uses.iter().filter_map(|used| match used {
        PermittedUse::Service(service) => Some(&*service.prefix),
        PermittedUse::Model(_) => None,
    });
    let prefixes = prefixes.map(|prefix| match prefix.trim_end_matches('/') {
        "" => "/",
        trimmed => trimmed,
    });
    prefixes.collect()
}

/// Compares what serves the requests at a prefix before and after.
fn compare_service(
    prefix: &str,
    [before, after]: [Option<&ServiceUse>; 2],
) -> Option<(Tendency, String)> {
    let (before, after) = match (before, after) {
        (Some(before), Some(after)) => (before, after),
        (Some(before), None) => {
            let message = format!("may no longer use service {} at {prefix}", before.service);
            return Some((Tendency::Stricter, message));
        }
        (None, Some(after)) => {
            let message = format!("may now use service {} at {prefix}", after.service);
            return Some((Tendency::Laxer, message));
        }
        (None, None) => return None,
    };
    if before.service != after.service {
        let (from, to) = (&before.service, &after.service);
        let message = format!("requests at {prefix}: service {from} -> {to}");
        return Some((Tendency::Changed, message));
    }
    // Keyed calls without a key are refused; those that may be repeated are retried.
    let freedom = |rule| match rule {
        RepeatRule::Keyed => 0,
        RepeatRule::Never => 1,
        RepeatRule::Repeatable => 2,
    };
    let (from, to) = (before.repeat, after.repeat);
    let message = format!(
        "requests at {prefix}: repeat {} -> {}",
        from.label(),
        to.label()
    );
    (from != to).then(|| (Tendency::of_limit(&freedom(from), &freedom(to)), message))
}

/// Compares the sum of all shares, which determines the part that one share is of the capacity.
fn compare_total_shares(
    old: (&CustomerList, &PlanList),
    new: (&CustomerList, &PlanList),
) -> Option<Difference> {
    let total = |(customers, plans): (&CustomerList, &PlanList)| {
        let accounts = customers.accounts.iter();
        let held = accounts.filter_map(|account| find_plan(plans, &account.plan));
        held.map(|plan| u64::from(plan.share.get())).sum::<u64>()
    };
    let (from, to) = (total(old), total(new));
    let message = format!(
        "sum of all shares {from} -> {to}; one share is a {} part of contended capacity",
        if to > from { "smaller" } else { "larger" }
    );
    (from != to && from > 0 && to > 0).then(|| {
        Difference::new(
            Tendency::of_limit(&to, &from),
            "accounts with an unchanged share",
            message,
        )
    })
}
