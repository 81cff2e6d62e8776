//! Validation of the two lists, each on its own and against each other.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_types::{AccountId, ModelId, PlanId, ServiceId, TimeSpan, TokenRate};

use crate::{
    CustomerList, KeyHash, PlanList,
    check::{
        error::{ListErrors, ValidationErrorKind},
        node::JsonNode,
        schema::{ErrorCollector, Schema, check_text, optional, required, text, unexpected_value},
    },
    policy::CHAT_PATH,
};

const CUSTOMER_SCHEMA: Schema = Schema::Object(&[required("accounts", Schema::List(0, &ACCOUNT))]);

const ACCOUNT: Schema = Schema::Object(&[
    required("account", text::<AccountId>()),
    required("plan", text::<PlanId>()),
    required("keys", Schema::List(1, &Schema::Text(check_key))),
]);

const PLAN_SCHEMA: Schema = Schema::Object(&[required("plans", Schema::List(0, &PLAN))]);

const PLAN: Schema = Schema::Object(&[
    required("plan", text::<PlanId>()),
    required("share", Schema::Count),
    required("priority", Schema::Choice(&["high", "normal", "low"])),
    optional("rate", Schema::Text(check_rate)),
    required("deadline", Schema::Text(check_deadline)),
    required("uses", Schema::List(1, &USE)),
]);

const USE: Schema = Schema::OneOf(&[
    required(
        "model",
        Schema::Object(&[required("model", text::<ModelId>())]),
    ),
    required(
        "service",
        Schema::Object(&[
            required("service", text::<ServiceId>()),
            required("prefix", Schema::Text(check_prefix)),
            required("repeat", Schema::Choice(&["never", "keyed", "repeatable"])),
        ]),
    ),
]);

/// The JSON texts of both lists.
#[derive(Debug, Clone, Copy)]
pub struct ListTexts<'text> {
    /// The customer list.
    pub customers: &'text str,
    /// The plan list.
    pub plans: &'text str,
}

/// Parses and validates both lists.
///
/// # Errors
///
/// Returns all errors of both lists; neither list may be used then.
///
/// # Panics
///
/// Panics if a list that passed validation cannot be parsed, which is a bug in the validation.
pub fn check_lists(texts: ListTexts<'_>) -> Result<(CustomerList, PlanList), ListErrors> {
    let mut customer_collector = ErrorCollector::default();
    let mut plan_collector = ErrorCollector::default();
    let customer_node = check_text(texts.customers, &CUSTOMER_SCHEMA, &mut customer_collector);
    let plan_node = check_text(texts.plans, &PLAN_SCHEMA, &mut plan_collector);
    let accounts = customer_node
        .as_ref()
        .map(|node| node.field_items("accounts"));
    let plans = plan_node.as_ref().map(|node| node.field_items("plans"));
    check_accounts(accounts.unwrap_or(&[]), &mut customer_collector);
    check_plans(plans.unwrap_or(&[]), &mut plan_collector);
    if let (Some(accounts), Some(plans)) = (accounts, plans) {
        check_plan_references(accounts, plans, &mut customer_collector);
    }
    let errors = ListErrors {
        customers: customer_collector.errors,
        plans: plan_collector.errors,
    };
    if !errors.is_empty() {
        return Err(errors);
    }
    let customers = serde_json::from_str(texts.customers);
    let plans = serde_json::from_str(texts.plans);
    Ok((
        customers.expect("a validated customer list can be parsed"),
        plans.expect("a validated plan list can be parsed"),
    ))
}

/// Formats a value as indented JSON, as in the files that operators edit.
///
/// # Panics
///
/// Panics if the value cannot be serialized as JSON.
#[must_use]
pub fn format_json(value: &impl serde::Serialize) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("a list can be serialized as JSON");
    text.push('\n');
    text
}

fn check_accounts(accounts: &[JsonNode], collector: &mut ErrorCollector) {
    let mut names = UniquenessCheck::default();
    let mut keys = UniquenessCheck::default();
    for (index, account) in accounts.iter().enumerate() {
        let path = format!("accounts[{index}]");
        names.check(
            &format!("{path}.account"),
            account.field_text("account"),
            collector,
        );
        for (position, key) in account.field_items("keys").iter().enumerate() {
            keys.check(&format!("{path}.keys[{position}]"), key.text(), collector);
        }
    }
}

fn check_plans(plans: &[JsonNode], collector: &mut ErrorCollector) {
    let mut names = UniquenessCheck::default();
    let mut rules = RepeatRuleCheck::default();
    for (index, plan) in plans.iter().enumerate() {
        let path = format!("plans[{index}]");
        names.check(&format!("{path}.plan"), plan.field_text("plan"), collector);
        check_uses(&path, plan.field_items("uses"), &mut rules, collector);
    }
}

fn check_uses<'node>(
    path: &str,
    uses: &'node [JsonNode],
    rules: &mut RepeatRuleCheck<'node>,
    collector: &mut ErrorCollector,
) {
    let mut models = UniquenessCheck::default();
    let mut prefixes = UniquenessCheck::default();
    for (index, entry) in uses.iter().enumerate() {
        let path = format!("{path}.uses[{index}]");
        if let Some(model) = entry.field("model") {
            models.check(
                &format!("{path}.model.model"),
                model.field_text("model"),
                collector,
            );
        }
        if let Some(service) = entry.field("service") {
            let prefix = service.field_text("prefix");
            prefixes.check(&format!("{path}.service.prefix"), prefix, collector);
            rules.check(&format!("{path}.service.repeat"), service, collector);
        }
    }
}

fn check_plan_references(
    accounts: &[JsonNode],
    plans: &[JsonNode],
    collector: &mut ErrorCollector,
) {
    let names = plans.iter().filter_map(|plan| plan.field_text("plan"));
    let known = names.collect::<Vec<_>>();
    for (index, account) in accounts.iter().enumerate() {
        if let Some(plan) = account.field_text("plan")
            && !known.contains(&plan)
        {
            let path = format!("accounts[{index}].plan");
            collector.add(&path, ValidationErrorKind::UnknownPlan(plan.into()));
        }
    }
}

/// Values that must be unique, each with the path of its first occurrence.
#[derive(Default)]
struct UniquenessCheck<'node>(BTreeMap<&'node str, Arc<str>>);

impl<'node> UniquenessCheck<'node> {
    fn check(&mut self, path: &str, text: Option<&'node str>, collector: &mut ErrorCollector) {
        let Some(text) = text else {
            return;
        };
        match self.0.get(text) {
            Some(first) => {
                collector.add(path, ValidationErrorKind::DuplicateValue(Arc::clone(first)));
            }
            None => {
                self.0.insert(text, path.into());
            }
        }
    }
}

/// Repeat rules by service and prefix. Whether a call may be retried is a property of the
/// service, so all plans must give the same rule.
#[derive(Default)]
struct RepeatRuleCheck<'node>(BTreeMap<(&'node str, &'node str), (&'node str, Arc<str>)>);

impl<'node> RepeatRuleCheck<'node> {
    fn check(&mut self, path: &str, service: &'node JsonNode, collector: &mut ErrorCollector) {
        let field = |name| service.field_text(name);
        let (Some(name), Some(prefix), Some(rule)) =
            (field("service"), field("prefix"), field("repeat"))
        else {
            return;
        };
        let entry = self.0.entry((name, prefix));
        let (first, first_path) = entry.or_insert_with(|| (rule, path.into()));
        if *first != rule {
            let kind = ValidationErrorKind::RepeatConflict(Arc::clone(first_path), (*first).into());
            collector.add(path, kind);
        }
    }
}

/// Leaves the text out of the error: a key pasted in place of its hash must not reach a log.
fn check_key(text: &str) -> Result<(), ValidationErrorKind> {
    match text.parse::<KeyHash>() {
        Ok(_) => Ok(()),
        Err(_) => Err(unexpected_value(
            "a hash as printed by `celerycrank key hash`",
        )),
    }
}

fn check_deadline(text: &str) -> Result<(), ValidationErrorKind> {
    match text.parse::<TimeSpan>() {
        Ok(TimeSpan::ZERO) => Err(ValidationErrorKind::NotPositive),
        Ok(_) => Ok(()),
        Err(error) => Err(ValidationErrorKind::ParseFailed(error.to_string().into())),
    }
}

fn check_rate(text: &str) -> Result<(), ValidationErrorKind> {
    match text.parse::<TokenRate>() {
        Ok(TokenRate(0)) => Err(ValidationErrorKind::NotPositive),
        Ok(_) => Ok(()),
        Err(error) => Err(ValidationErrorKind::ParseFailed(error.to_string().into())),
    }
}

fn check_prefix(prefix: &str) -> Result<(), ValidationErrorKind> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '/' | '-' | '_' | '.' | '~');
    if !prefix.starts_with('/') || !prefix.chars().all(plain) {
        return Err(unexpected_value(
            "a path that begins with `/`, of plain characters",
        ));
    }
    if prefix[1..]
        .trim_end_matches('/')
        .split('/')
        .any(is_ambiguous_segment)
        && prefix != "/"
    {
        return Err(unexpected_value(
            "a path without empty, `.` or `..` segments",
        ));
    }
    if prefix != "/" && is_at_or_below(CHAT_PATH, prefix) {
        return Err(ValidationErrorKind::ReservedPrefix);
    }
    Ok(())
}

fn is_at_or_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn is_ambiguous_segment(segment: &str) -> bool {
    matches!(segment, "" | "." | "..")
}
