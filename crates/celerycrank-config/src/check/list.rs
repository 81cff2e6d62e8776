//! Checks of the two lists, each by itself and one against the other.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_types::{AccountId, ModelId, PlanId, ServiceId, TimeSpan, TokenRate};

use crate::{
    CustomerList, KeyHash, PlanList,
    check::{
        fault::{FaultKind, ListFaults},
        node::JsonNode,
        shape::{FaultLog, Shape, check_text, optional, required, text, wrong_form},
    },
    policy::CHAT_PATH,
};

const CUSTOMER_SHAPE: Shape = Shape::Object(&[required("accounts", Shape::List(0, &ACCOUNT))]);

const ACCOUNT: Shape = Shape::Object(&[
    required("account", text::<AccountId>()),
    required("plan", text::<PlanId>()),
    required("keys", Shape::List(1, &Shape::Text(check_key))),
]);

const PLAN_SHAPE: Shape = Shape::Object(&[required("plans", Shape::List(0, &PLAN))]);

const PLAN: Shape = Shape::Object(&[
    required("plan", text::<PlanId>()),
    required("share", Shape::Count),
    required("priority", Shape::Choice(&["high", "normal", "low"])),
    optional("rate", Shape::Text(check_rate)),
    required("deadline", Shape::Text(check_deadline)),
    required("uses", Shape::List(1, &USE)),
]);

const USE: Shape = Shape::OneOf(&[
    required(
        "model",
        Shape::Object(&[required("model", text::<ModelId>())]),
    ),
    required(
        "service",
        Shape::Object(&[
            required("service", text::<ServiceId>()),
            required("prefix", Shape::Text(check_prefix)),
            required("repeat", Shape::Choice(&["never", "keyed", "repeatable"])),
        ]),
    ),
]);

/// The texts of both lists.
#[derive(Debug, Clone, Copy)]
pub struct ListTexts<'text> {
    /// The customer list.
    pub customers: &'text str,
    /// The plan list.
    pub plans: &'text str,
}

/// Reads both lists, or names every fault of both.
///
/// # Errors
///
/// Fails with all faults at once; nothing of the lists is then to be used.
///
/// # Panics
///
/// Panics if a list without a fault cannot be read, which would be a fault of the checks.
pub fn check_lists(texts: ListTexts<'_>) -> Result<(CustomerList, PlanList), ListFaults> {
    let mut customer_log = FaultLog::default();
    let mut plan_log = FaultLog::default();
    let customer_node = check_text(texts.customers, &CUSTOMER_SHAPE, &mut customer_log);
    let plan_node = check_text(texts.plans, &PLAN_SHAPE, &mut plan_log);
    let accounts = customer_node
        .as_ref()
        .map(|node| node.field_items("accounts"));
    let plans = plan_node.as_ref().map(|node| node.field_items("plans"));
    check_accounts(accounts.unwrap_or(&[]), &mut customer_log);
    check_plans(plans.unwrap_or(&[]), &mut plan_log);
    if let (Some(accounts), Some(plans)) = (accounts, plans) {
        check_held_plans(accounts, plans, &mut customer_log);
    }
    let faults = ListFaults {
        customers: customer_log.faults,
        plans: plan_log.faults,
    };
    if !faults.is_empty() {
        return Err(faults);
    }
    let customers = serde_json::from_str(texts.customers);
    let plans = serde_json::from_str(texts.plans);
    Ok((
        customers.expect("a checked customer list can be read"),
        plans.expect("a checked plan list can be read"),
    ))
}

/// Writes a list as operators edit it.
///
/// # Panics
///
/// Panics if the list has no JSON form.
#[must_use]
pub fn lists_text(list: &impl serde::Serialize) -> String {
    let mut text = serde_json::to_string_pretty(list).expect("a list has a JSON form");
    text.push('\n');
    text
}

fn check_accounts(accounts: &[JsonNode], log: &mut FaultLog) {
    let mut names = UniqueTexts::default();
    let mut keys = UniqueTexts::default();
    for (index, account) in accounts.iter().enumerate() {
        let path = format!("accounts[{index}]");
        names.check(
            &format!("{path}.account"),
            account.field_text("account"),
            log,
        );
        for (place, key) in account.field_items("keys").iter().enumerate() {
            keys.check(&format!("{path}.keys[{place}]"), key.text(), log);
        }
    }
}

fn check_plans(plans: &[JsonNode], log: &mut FaultLog) {
    let mut names = UniqueTexts::default();
    let mut rules = RepeatRules::default();
    for (index, plan) in plans.iter().enumerate() {
        let path = format!("plans[{index}]");
        names.check(&format!("{path}.plan"), plan.field_text("plan"), log);
        check_uses(&path, plan.field_items("uses"), &mut rules, log);
    }
}

fn check_uses<'node>(
    path: &str,
    uses: &'node [JsonNode],
    rules: &mut RepeatRules<'node>,
    log: &mut FaultLog,
) {
    let mut models = UniqueTexts::default();
    let mut prefixes = UniqueTexts::default();
    for (index, entry) in uses.iter().enumerate() {
        let path = format!("{path}.uses[{index}]");
        if let Some(model) = entry.field("model") {
            models.check(
                &format!("{path}.model.model"),
                model.field_text("model"),
                log,
            );
        }
        if let Some(service) = entry.field("service") {
            let prefix = service.field_text("prefix");
            prefixes.check(&format!("{path}.service.prefix"), prefix, log);
            rules.check(&format!("{path}.service.repeat"), service, log);
        }
    }
}

fn check_held_plans(accounts: &[JsonNode], plans: &[JsonNode], log: &mut FaultLog) {
    let names = plans.iter().filter_map(|plan| plan.field_text("plan"));
    let known = names.collect::<Vec<_>>();
    for (index, account) in accounts.iter().enumerate() {
        if let Some(plan) = account.field_text("plan")
            && !known.contains(&plan)
        {
            let path = format!("accounts[{index}].plan");
            log.add(&path, FaultKind::UnknownPlan(plan.into()));
        }
    }
}

/// Texts that must not occur twice, with the path of the first.
#[derive(Default)]
struct UniqueTexts<'node>(BTreeMap<&'node str, Arc<str>>);

impl<'node> UniqueTexts<'node> {
    fn check(&mut self, path: &str, text: Option<&'node str>, log: &mut FaultLog) {
        let Some(text) = text else {
            return;
        };
        match self.0.get(text) {
            Some(first) => log.add(path, FaultKind::AlreadyUsed(Arc::clone(first))),
            None => {
                self.0.insert(text, path.into());
            }
        }
    }
}

/// Repeat rules by service and prefix: whether a call may be started again is a property
/// of the service, so that no two plans may differ in it.
#[derive(Default)]
struct RepeatRules<'node>(BTreeMap<(&'node str, &'node str), (&'node str, Arc<str>)>);

impl<'node> RepeatRules<'node> {
    fn check(&mut self, path: &str, service: &'node JsonNode, log: &mut FaultLog) {
        let field = |name| service.field_text(name);
        let (Some(name), Some(prefix), Some(rule)) =
            (field("service"), field("prefix"), field("repeat"))
        else {
            return;
        };
        let entry = self.0.entry((name, prefix));
        let (first, first_path) = entry.or_insert_with(|| (rule, path.into()));
        if *first != rule {
            let kind = FaultKind::RepeatConflict(Arc::clone(first_path), (*first).into());
            log.add(path, kind);
        }
    }
}

/// Names no key in the fault: whoever pastes a key itself must not find it in a log.
fn check_key(text: &str) -> Result<(), FaultKind> {
    match text.parse::<KeyHash>() {
        Ok(_) => Ok(()),
        Err(_) => Err(wrong_form("a hash as printed by `celerycrank key hash`")),
    }
}

fn check_deadline(text: &str) -> Result<(), FaultKind> {
    match text.parse::<TimeSpan>() {
        Ok(TimeSpan::ZERO) => Err(FaultKind::NotAboveZero),
        Ok(_) => Ok(()),
        Err(e) => Err(FaultKind::Unreadable(e.to_string().into())),
    }
}

fn check_rate(text: &str) -> Result<(), FaultKind> {
    match text.parse::<TokenRate>() {
        Ok(TokenRate(0)) => Err(FaultKind::NotAboveZero),
        Ok(_) => Ok(()),
        Err(e) => Err(FaultKind::Unreadable(e.to_string().into())),
    }
}

fn check_prefix(prefix: &str) -> Result<(), FaultKind> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '/' | '-' | '_' | '.' | '~');
    if !prefix.starts_with('/') || !prefix.chars().all(plain) {
        return Err(wrong_form(
            "a path that begins with `/`, of plain characters",
        ));
    }
    if prefix[1..]
        .trim_end_matches('/')
        .split('/')
        .any(is_odd_segment)
        && prefix != "/"
    {
        return Err(wrong_form("a path without empty, `.` or `..` segments"));
    }
    if prefix != "/" && lies_below(CHAT_PATH, prefix) {
        return Err(FaultKind::ReservedPrefix);
    }
    Ok(())
}

fn lies_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn is_odd_segment(segment: &str) -> bool {
    matches!(segment, "" | "." | "..")
}
