//! What differs between two configurations, and for which routes, services and accounts it becomes
//! stricter or laxer.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt::Display,
    sync::Arc,
};

use celerycrank_config::{Difference, Tendency};

use crate::{
    AccountRule, CallerBounds, ColdStart, KeyRequirement, RequestSemantics, RouteMatch, RouteRule,
    RouteTable, ServiceRule, ServingConfiguration,
};

/// Returns what becomes stricter or laxer from one configuration to another, and for whom.
///
/// Messages contain no API key.
#[must_use]
pub fn compare_configurations(
    old: &ServingConfiguration,
    new: &ServingConfiguration,
) -> Vec<Difference> {
    let mut collector = DifferenceCollector(Vec::new());
    collector.compare_routes(old, new);
    collector.compare_services(&old.services, &new.services);
    collector.compare_keys(&old.keys, &new.keys);
    collector.compare_limits(&old.limits, &new.limits);
    collector.0
}

struct DifferenceCollector(Vec<Difference>);

/// Host, in lower case, and prefix of each route with the one to which its requests belong.
type RoutesByLocation = BTreeMap<(String, Arc<str>), RouteMatch>;

/// Each valid key with the account to which it belongs, the last one that has it.
type KeyOwners<'rule> = HashMap<&'rule Arc<str>, &'rule AccountRule>;

impl DifferenceCollector {
    fn add(&mut self, tendency: Tendency, subject: &str, message: impl Into<Arc<str>>) {
        self.0.push(Difference::new(tendency, subject, message));
    }

    /// Adds the difference of a limit of which a larger value allows more, if there is one.
    fn limit<T: PartialOrd + Display>(&mut self, subject: &str, field: &str, from: &T, to: &T) {
        if from != to {
            let message = format!("{field} {from} -> {to}");
            self.add(Tendency::of_limit(from, to), subject, message);
        }
    }

    /// Adds the difference of a limit that may be absent, which allows the most.
    fn optional_limit<T: PartialOrd + Display>(
        &mut self,
        subject: &str,
        field: &str,
        from: Option<&T>,
        to: Option<&T>,
    ) {
        let message = format!("{field} {} -> {}", or_none(from), or_none(to));
        match (from, to) {
            (Some(from), Some(to)) => self.limit(subject, field, from, to),
            (None, Some(_)) => self.add(Tendency::Stricter, subject, message),
            (Some(_), None) => self.add(Tendency::Laxer, subject, message),
            (None, None) => {}
        }
    }

    fn compare_routes(&mut self, old: &ServingConfiguration, new: &ServingConfiguration) {
        let (old_table, old_routes) = routes_by_location(old);
        let (new_table, new_routes) = routes_by_location(new);
        let needs_keys = new.keys != KeyRequirement::NotRequired;
        for (location, before) in &old_routes {
            match new_routes.get(location) {
                Some(after) => self.compare_route(location, before, after, needs_keys),
                None => self.remove_route(location, before, &new_table),
            }
        }
        for (location, after) in &new_routes {
            if !old_routes.contains_key(location) {
                self.add_route(location, after, &old_table);
            }
        }
    }

    fn remove_route(
        &mut self,
        (host, prefix): &(String, Arc<str>),
        route: &RouteMatch,
        new: &RouteTable,
    ) {
        let subject = route_subject(host, prefix, route);
        let (tendency, message) = match (route, new.find(host, prefix)) {
            (RouteMatch::Open(_), None) => {
                (Tendency::Stricter, "removed; its requests get 404".into())
            }
            (RouteMatch::Open(_), Some(RouteMatch::Closed)) => (
                Tendency::Stricter,
                "removed; its requests belong to a route that cannot be used".into(),
            ),
            (RouteMatch::Open(_), Some(RouteMatch::Open(other))) => (
                Tendency::Changed,
                format!("removed; its requests belong to the route `{}`", other.name),
            ),
            (RouteMatch::Closed, Some(RouteMatch::Open(other))) => (
                Tendency::Laxer,
                format!("removed; its requests belong to the route `{}`", other.name),
            ),
            (RouteMatch::Closed, _) => (Tendency::Changed, "removed".into()),
        };
        self.add(tendency, &subject, message);
    }

    fn add_route(
        &mut self,
        (host, prefix): &(String, Arc<str>),
        route: &RouteMatch,
        old: &RouteTable,
    ) {
        let subject = route_subject(host, prefix, route);
        let (tendency, message) = match (route, old.find(host, prefix)) {
            (RouteMatch::Open(_), None) => (Tendency::Laxer, "added".into()),
            (RouteMatch::Open(_), Some(RouteMatch::Closed)) => (
                Tendency::Laxer,
                "added; its requests belonged to a route that could not be used".into(),
            ),
            (RouteMatch::Open(_), Some(RouteMatch::Open(other))) => (
                Tendency::Changed,
                format!("added; it takes requests of the route `{}`", other.name),
            ),
            (RouteMatch::Closed, Some(RouteMatch::Open(other))) => (
                Tendency::Stricter,
                format!(
                    "added, but cannot be used; requests of the route `{}` are refused",
                    other.name
                ),
            ),
            (RouteMatch::Closed, _) => (Tendency::Changed, "added, but cannot be used".into()),
        };
        self.add(tendency, &subject, message);
    }

    fn compare_route(
        &mut self,
        (host, prefix): &(String, Arc<str>),
        before: &RouteMatch,
        after: &RouteMatch,
        needs_keys: bool,
    ) {
        match (before, after) {
            (RouteMatch::Open(before), RouteMatch::Open(after)) => {
                self.compare_rules(before, after, needs_keys);
            }
            (RouteMatch::Open(_), RouteMatch::Closed) => {
                let subject = route_subject(host, prefix, before);
                let message = "can no longer be used; its requests are refused";
                self.add(Tendency::Stricter, &subject, message);
            }
            (RouteMatch::Closed, RouteMatch::Open(_)) => {
                let subject = route_subject(host, prefix, after);
                self.add(Tendency::Laxer, &subject, "can be used");
            }
            (RouteMatch::Closed, RouteMatch::Closed) => {}
        }
    }

    fn compare_rules(&mut self, before: &RouteRule, after: &RouteRule, needs_keys: bool) {
        let subject = &format!("route {}", after.name);
        if before.name != after.name {
            let message = format!("renamed from `{}`", before.name);
            self.add(Tendency::Changed, subject, message);
        }
        let (from, to) = (before.semantics, after.semantics);
        if from != to {
            let message = format!("requests {} -> {}", describe(from), describe(to));
            let tendency = match (from.is_stream() == to.is_stream(), to.may_repeat()) {
                (true, true) => Tendency::Laxer,
                (true, false) => Tendency::Stricter,
                (false, _) => Tendency::Changed,
            };
            self.add(tendency, subject, message);
        }
        self.limit(subject, "timeout", &before.timeout, &after.timeout);
        self.limit(subject, "target", &before.target, &after.target);
        let (from, to) = (before.gap_target.as_ref(), after.gap_target.as_ref());
        self.optional_limit(subject, "target for gaps", from, to);
        self.priority(subject, before.priority, after.priority);
        let (from, to) = (&before.max_attempts, &after.max_attempts);
        self.limit(subject, "attempts", from, to);
        match (before.is_anonymous, after.is_anonymous) {
            (true, false) if needs_keys => {
                self.add(Tendency::Stricter, subject, "its requests need a key");
            }
            (false, true) if needs_keys => {
                self.add(Tendency::Laxer, subject, "its requests need no key");
            }
            (true, false) => self.add(Tendency::Changed, subject, "no longer anonymous"),
            (false, true) => self.add(Tendency::Changed, subject, "anonymous"),
            _ => {}
        }
        self.compare_splits(subject, before, after);
    }

    /// Adds the difference of a priority; a larger number is less urgent.
    fn priority(&mut self, subject: &str, from: u8, to: u8) {
        if from != to {
            let message = format!("priority {from} -> {to}");
            self.add(Tendency::of_limit(&to, &from), subject, message);
        }
    }

    fn compare_splits(&mut self, subject: &str, before: &RouteRule, after: &RouteRule) {
        let parts = |route: &RouteRule| {
            let total = route.services.iter().map(|part| part.weight).sum::<f64>();
            let mut parts = BTreeMap::new();
            for part in &route.services {
                let percent = 100.0 * part.weight / total;
                *parts.entry(part.service.clone()).or_insert(0.0) += percent;
            }
            parts
        };
        let (from, to) = (parts(before), parts(after));
        for service in from.keys().chain(to.keys()).collect::<BTreeSet<_>>() {
            let part = |parts: &BTreeMap<_, f64>| parts.get(service).copied().unwrap_or(0.0);
            let (from, to) = (format!("{:.1}", part(&from)), format!("{:.1}", part(&to)));
            if from != to {
                let message = format!("service {service}: {from} % -> {to} % of its requests");
                self.add(Tendency::Changed, subject, message);
            }
        }
    }

    fn compare_services(&mut self, old: &[ServiceRule], new: &[ServiceRule]) {
        for before in old {
            let subject = &format!("service {}", before.service);
            let Some(after) = new.iter().find(|it| it.service == before.service) else {
                let message = "no longer listed; it has no limit of connections and no engines";
                self.add(Tendency::Changed, subject, message);
                continue;
            };
            let (from, to) = (before.max_connections, after.max_connections);
            let limit = |connections| (connections != u32::MAX).then_some(connections);
            let (from, to) = (limit(from), limit(to));
            self.optional_limit(subject, "connections", from.as_ref(), to.as_ref());
            match (before.engine, after.engine) {
                (Some(from), Some(to)) => {
                    self.limit(subject, "slots", &from.slots, &to.slots);
                    let mut others = from;
                    others.slots = to.slots;
                    if others != to {
                        let message = "performance of its engines differs";
                        self.add(Tendency::Changed, subject, message);
                    }
                }
                (Some(_), None) => self.add(Tendency::Changed, subject, "no longer has engines"),
                (None, Some(_)) => self.add(Tendency::Changed, subject, "has engines"),
                (None, None) => {}
            }
            self.compare_cold_starts(subject, before.cold_start, after.cold_start);
            let compared = ServiceRule {
                max_connections: after.max_connections,
                engine: after.engine,
                cold_start: after.cold_start,
                ..before.clone()
            };
            if compared != *after {
                // Fields that are not compared one by one.
                self.add(Tendency::Changed, subject, "other settings differ");
            }
        }
        for after in new {
            if !old.iter().any(|it| it.service == after.service) {
                let subject = format!("service {}", after.service);
                self.add(Tendency::Changed, &subject, "listed");
            }
        }
    }

    fn compare_cold_starts(
        &mut self,
        subject: &str,
        from: Option<ColdStart>,
        to: Option<ColdStart>,
    ) {
        if let (Some(from), Some(to)) = (from, to)
            && from.span != to.span
        {
            // A cold backend server takes fewer requests for longer.
            let message = format!("time for which it is cold {} -> {}", from.span, to.span);
            self.add(Tendency::of_limit(&to.span, &from.span), subject, message);
        }
        let (from, to) = (from.map(|it| it.rate), to.map(|it| it.rate));
        self.optional_limit(subject, "requests while cold", from.as_ref(), to.as_ref());
    }

    fn compare_keys(&mut self, old: &KeyRequirement, new: &KeyRequirement) {
        let callers = "callers without a key";
        match (old, new) {
            (KeyRequirement::NotRequired, KeyRequirement::Required(_)) => {
                let message = "refused except on anonymous routes";
                self.add(Tendency::Stricter, callers, message);
            }
            (KeyRequirement::Required(_), KeyRequirement::NotRequired) => {
                self.add(Tendency::Laxer, callers, "served on every route");
            }
            _ => {}
        }
        let (old, new) = (old.accounts(), new.accounts());
        let (old_owners, new_owners) = (owners(old), owners(new));
        for before in old {
            let subject = &format!("account {}", before.account);
            let Some(after) = new.iter().find(|it| it.account == before.account) else {
                self.add(Tendency::Stricter, subject, "removed");
                self.compare_lost_keys(before, &old_owners, &new_owners);
                continue;
            };
            self.compare_lost_keys(before, &old_owners, &new_owners);
            self.compare_account_priority(subject, before.priority, after.priority);
        }
        for after in new {
            let subject = &format!("account {}", after.account);
            if !old.iter().any(|it| it.account == after.account) {
                self.add(Tendency::Laxer, subject, "added");
            }
            let added = after
                .keys
                .iter()
                .filter(|key| !old_owners.contains_key(*key));
            let added = added.collect::<BTreeSet<_>>().len();
            if added > 0 {
                self.add(Tendency::Laxer, subject, format!("{added} more keys valid"));
            }
        }
    }

    /// Adds how many keys of an account are no longer valid, or belong to another account.
    fn compare_lost_keys(&mut self, before: &AccountRule, old: &KeyOwners, new: &KeyOwners) {
        let subject = &format!("account {}", before.account);
        let keys = before.keys.iter().filter(|key| {
            let owner = old.get(*key);
            owner.is_some_and(|owner| owner.account == before.account)
        });
        let keys = keys.collect::<BTreeSet<_>>();
        let invalid = keys.iter().filter(|key| !new.contains_key(**key));
        let invalid = invalid.count();
        if invalid > 0 {
            let message = format!("{invalid} of its keys no longer valid");
            self.add(Tendency::Stricter, subject, message);
        }
        let mut moved = BTreeMap::<_, usize>::new();
        for owner in keys.iter().filter_map(|key| new.get(*key)) {
            if owner.account != before.account {
                *moved.entry(&owner.account).or_default() += 1;
            }
        }
        for (owner, count) in moved {
            let message = format!("{count} of its keys belong to the account `{owner}`");
            self.add(Tendency::Changed, subject, message);
        }
    }

    fn compare_account_priority(&mut self, subject: &str, from: Option<u8>, to: Option<u8>) {
        match (from, to) {
            (Some(from), Some(to)) => self.priority(subject, from, to),
            (from, to) if from != to => {
                let text = |it: Option<u8>| it.map_or("of the route".into(), |it| it.to_string());
                let message = format!("priority {} -> {}", text(from), text(to));
                self.add(Tendency::Changed, subject, message);
            }
            _ => {}
        }
    }

    fn compare_limits(&mut self, old: &CallerBounds, new: &CallerBounds) {
        let callers = "all callers";
        self.limit(callers, "size of a head", &old.head, &new.head);
        self.limit(callers, "size of a body", &old.body, &new.body);
        let (from, to) = (&old.head_timeout, &new.head_timeout);
        self.limit(callers, "timeout of a head", from, to);
        let (from, to) = (&old.idle_timeout, &new.idle_timeout);
        self.limit(callers, "timeout of an idle connection", from, to);
    }
}

fn routes_by_location(configuration: &ServingConfiguration) -> (RouteTable, RoutesByLocation) {
    let table = RouteTable::new(&configuration.routes, &configuration.closed_routes);
    let open = configuration.routes.iter();
    let open = open.map(|route| (&route.host, &route.prefix));
    let closed = configuration.closed_routes.iter();
    let closed = closed.map(|route| (&route.host, &route.prefix));
    let mut routes = RoutesByLocation::new();
    for (host, prefix) in open.chain(closed) {
        if let Some(found) = table.find(host, prefix) {
            let location = (host.to_ascii_lowercase(), Arc::clone(prefix));
            routes.insert(location, found.clone());
        }
    }
    (table, routes)
}

fn route_subject(host: &str, prefix: &str, route: &RouteMatch) -> String {
    match route {
        RouteMatch::Open(rule) => format!("route {}", rule.name),
        RouteMatch::Closed => format!("route at {host}{prefix}"),
    }
}

fn owners(accounts: &[AccountRule]) -> KeyOwners<'_> {
    let keys = accounts.iter();
    keys.flat_map(|rule| rule.keys.iter().map(move |key| (key, rule)))
        .collect()
}

fn or_none<T: Display>(value: Option<&T>) -> String {
    value.map_or("none".into(), ToString::to_string)
}

const fn describe(semantics: RequestSemantics) -> &'static str {
    match semantics {
        RequestSemantics::Idempotent => "idempotent",
        RequestSemantics::NonIdempotent => "not idempotent",
        RequestSemantics::ResumableStream => "resumable streams",
        RequestSemantics::Stream => "streams",
    }
}
