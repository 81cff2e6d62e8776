//! Warnings on lists that are valid but have parts without effect, or limits that contradict each
//! other.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    CheckedDocument, CustomerList, DEFAULT_ANSWER_TOKENS, Finding, ListErrors, PermittedUse,
    PlanDefinition, PlanList, RepeatRule, ServiceUse, Severity, ValidationError,
};

/// The codes of all findings about lists, errors first.
pub const LIST_FINDING_CODES: &[&str] = &[
    "json_syntax",
    "field_missing",
    "field_unknown",
    "field_duplicate",
    "value_invalid",
    "value_not_positive",
    "value_empty",
    "value_duplicate",
    "plan_unknown",
    "repeat_conflict",
    "prefix_reserved",
    "accounts_empty",
    "plans_empty",
    "plan_unused",
    "use_hidden",
    "repeat_conflict_slash",
    "rate_below_request",
    "rate_below_deadline",
    "shares_overflow",
];

/// The documents of both lists.
#[derive(Debug, Clone)]
pub struct ListDocuments<'text> {
    /// The customer list.
    pub customers: CheckedDocument<'text>,
    /// The plan list.
    pub plans: CheckedDocument<'text>,
}

impl ListDocuments<'_> {
    /// Returns the errors of both lists as findings.
    #[must_use]
    pub fn error_findings(&self, errors: &ListErrors) -> Vec<Finding> {
        let customers = errors.customers.iter();
        let customers = customers.map(|error| error_finding(&self.customers, error));
        let plans = errors.plans.iter();
        let plans = plans.map(|error| error_finding(&self.plans, error));
        customers.chain(plans).collect()
    }

    /// Returns the warnings on two lists that passed validation.
    #[must_use]
    pub fn warnings(&self, customers: &CustomerList, plans: &PlanList) -> Vec<Finding> {
        let mut collector = WarningCollector {
            documents: self,
            findings: Vec::new(),
        };
        collector.check_accounts(customers, plans);
        for (index, plan) in plans.plans.iter().enumerate() {
            collector.check_hidden_uses(index, plan);
            collector.check_rate(index, plan);
        }
        collector.check_repeat_rules(plans);
        collector.findings
    }
}

/// Returns an error of a settings file or a list as a finding.
#[must_use]
pub fn error_finding(document: &CheckedDocument<'_>, error: &ValidationError) -> Finding {
    let message = error.kind.to_string();
    document.finding(Severity::Error, error.kind.code(), &error.path, message)
}

struct WarningCollector<'text> {
    documents: &'text ListDocuments<'text>,
    findings: Vec<Finding>,
}

impl WarningCollector<'_> {
    fn warn_customers(&mut self, code: &'static str, path: &str, message: String) {
        let document = &self.documents.customers;
        let finding = document.finding(Severity::Warning, code, path, message);
        self.findings.push(finding);
    }

    fn warn_plans(&mut self, code: &'static str, path: &str, message: String) {
        let document = &self.documents.plans;
        let finding = document.finding(Severity::Warning, code, path, message);
        self.findings.push(finding);
    }

    fn check_accounts(&mut self, customers: &CustomerList, plans: &PlanList) {
        if customers.accounts.is_empty() {
            let message = "the list has no account; every request is refused".into();
            self.warn_customers("accounts_empty", "accounts", message);
        }
        if plans.plans.is_empty() {
            let message = "the list has no plan, so that there can be no account".into();
            self.warn_plans("plans_empty", "plans", message);
        }
        let shares = plans.plans.iter().map(|plan| (&plan.plan, plan.share));
        let shares = shares.collect::<BTreeMap<_, _>>();
        let accounts = customers.accounts.iter();
        let held = accounts.map(|account| &account.plan);
        let total = held.clone().filter_map(|plan| shares.get(plan));
        let total = total.map(|share| u64::from(share.get())).sum::<u64>();
        if total > u64::from(u32::MAX) {
            let message = format!(
                "the shares of all accounts add up to {total}, more than the largest share there \
                 is; the part of an account with a small share is close to nothing"
            );
            self.warn_plans("shares_overflow", "plans", message);
        }
        let held = held.collect::<BTreeSet<_>>();
        for (index, plan) in plans.plans.iter().enumerate() {
            if !held.contains(&plan.plan) {
                let message = format!("no account holds the plan `{}`", plan.plan);
                self.warn_plans("plan_unused", &format!("plans[{index}].plan"), message);
            }
        }
    }

    /// Reports services of a plan whose requests all go to a later entry with the same prefix.
    fn check_hidden_uses(&mut self, plan_index: usize, plan: &PlanDefinition) {
        let uses = plan.uses.iter().enumerate();
        let services = uses.filter_map(|(index, used)| Some((index, service_use(used)?)));
        let mut last_by_prefix = BTreeMap::new();
        for (index, service) in services {
            // `PolicyTable::resolve` takes the last of the longest prefixes, without their slash.
            let prefix = service.prefix.trim_end_matches('/');
            let earlier = last_by_prefix.insert(prefix, index);
            if let Some(earlier) = earlier {
                let path = format!("plans[{plan_index}].uses[{earlier}].service.prefix");
                let message = format!(
                    "all requests below this prefix go to the service `{}` of uses[{index}]",
                    service.service
                );
                self.warn_plans("use_hidden", &path, message);
            }
        }
    }

    /// Reports rules that differ between `/bids` and `/bids/`, which cover the same requests.
    fn check_repeat_rules(&mut self, plans: &PlanList) {
        let mut rules = BTreeMap::<_, (RepeatRule, &str, String)>::new();
        for (plan_index, plan) in plans.plans.iter().enumerate() {
            for (index, used) in plan.uses.iter().enumerate() {
                let Some(service) = service_use(used) else {
                    continue;
                };
                let path = format!("plans[{plan_index}].uses[{index}].service.repeat");
                let key = (&service.service, service.prefix.trim_end_matches('/'));
                let first = (service.repeat, &*service.prefix, path.clone());
                let (rule, prefix, first_path) = rules.entry(key).or_insert(first);
                if *rule != service.repeat && *prefix != &*service.prefix {
                    let message = format!(
                        "differs from {first_path}, which says `{}` for the same service and \
                         prefix, but for the slash at its end",
                        rule.label()
                    );
                    self.warn_plans("repeat_conflict_slash", &path, message);
                }
            }
        }
    }

    fn check_rate(&mut self, index: usize, plan: &PlanDefinition) {
        let Some(rate) = plan.rate else {
            return;
        };
        let path = format!("plans[{index}].rate");
        let has_models = plan
            .uses
            .iter()
            .any(|used| matches!(used, PermittedUse::Model(_)));
        if has_models && rate.0 < DEFAULT_ANSWER_TOKENS {
            let message = format!(
                "{rate} is less than one request to a model a second: one without `max_tokens` is \
                 charged {DEFAULT_ANSWER_TOKENS} tokens and its prompt"
            );
            self.warn_plans("rate_below_request", &path, message);
        }
        if (rate.0 as f64) * plan.deadline.as_secs_f64() < 1.0 {
            let message = format!(
                "{rate} allows less than one token within the deadline of {}",
                plan.deadline
            );
            self.warn_plans("rate_below_deadline", &path, message);
        }
    }
}

const fn service_use(used: &PermittedUse) -> Option<&ServiceUse> {
    match used {
        PermittedUse::Service(service) => Some(service),
        PermittedUse::Model(_) => None,
    }
}
