//! Warnings on a configuration that the processes accept, before it is sent.
//!
//! They name routes, services, accounts and keys without effect, and limits that contradict each
//! other. What the processes do not accept is found by whoever reads the configuration.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use celerycrank_groups::MapShape;
use celerycrank_types::{ByteSize, ServiceId, TimeSpan};

use crate::{
    AccountRule, AdmissionPolicy, EngineProfile, GroupProfile, KeyRequirement, RouteMatch,
    RouteRule, RouteTable, ServiceRule, ServingConfiguration,
};

/// The least urgent priority.
const MAX_PRIORITY: u8 = 9;

/// By how much the parts of a whole may exceed it, because of rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The codes of all warnings.
pub const CONFIGURATION_WARNING_CODES: &[&str] = &[
    "routes_empty",
    "route_hidden",
    "route_unreachable",
    "route_name_duplicate",
    "service_unlisted",
    "service_unused",
    "service_duplicate",
    "split_above_whole",
    "accounts_unused",
    "anonymous_without_accounts",
    "keys_missing",
    "account_without_keys",
    "account_duplicate",
    "key_shared",
    "timeout_zero",
    "target_zero",
    "target_beyond_timeout",
    "gap_target_beyond_timeout",
    "gap_target_missing",
    "attempts_without_repeat",
    "priority_out_of_range",
    "priorities_of_accounts_only",
    "service_without_connections",
    "engine_without_slots",
    "engine_profile_zero",
    "group_without_room",
    "group_without_moves",
    "limit_zero",
    "body_smaller_than_head",
    "idle_shorter_than_head_timeout",
];

/// The part of a configuration to which a warning refers; indices are those of its lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationPlace {
    /// All routes.
    Routes,
    /// A field of a route.
    Route(usize, RouteField),
    /// A field of a service.
    Service(usize, ServiceField),
    /// All accounts.
    Accounts,
    /// An account.
    Account(usize),
    /// An API key of an account.
    Key(usize, usize),
    /// The priority of an account.
    AccountPriority(usize),
    /// A limit on callers.
    Limit(LimitField),
}

/// A field of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteField {
    /// The name.
    Name,
    /// The host.
    Host,
    /// The prefix.
    Prefix,
    /// The timeout.
    Timeout,
    /// The target.
    Target,
    /// The target for gaps.
    GapTarget,
    /// The priority.
    Priority,
    /// The number of attempts.
    MaxAttempts,
    /// Whether it is anonymous.
    Anonymous,
    /// One of the services among which the requests are split.
    Service(ServiceId),
    /// All of these services.
    Services,
}

/// A field of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceField {
    /// The name.
    Name,
    /// The number of connections.
    MaxConnections,
    /// The slots of its engines.
    Slots,
    /// The KV cache of its engines.
    KvCache,
    /// The duration of a step.
    Step,
    /// The steps per scheduling pass.
    StepsPerPass,
    /// The prompt tokens processed per second.
    PrefillRate,
    /// The experts of a layer set.
    Experts,
    /// The expert moves per map change.
    Moves,
}

/// A limit on callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitField {
    /// The size of a head.
    Head,
    /// The size of a body.
    Body,
    /// The timeout of a head.
    HeadTimeout,
    /// The timeout of an idle connection.
    IdleTimeout,
}

/// One warning on a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationWarning {
    /// Stable name of the kind of warning.
    pub code: &'static str,
    /// The part of the configuration to which it refers.
    pub place: ConfigurationPlace,
    /// What is wrong; contains no API key.
    pub message: Arc<str>,
}

/// Returns the warnings on a configuration, in the order of its parts.
#[must_use]
pub fn check_configuration(configuration: &ServingConfiguration) -> Vec<ConfigurationWarning> {
    let mut collector = WarningCollector(Vec::new());
    collector.check_routes(configuration);
    collector.check_services(configuration);
    collector.check_keys(configuration);
    collector.check_limits(configuration);
    collector.0
}

struct WarningCollector(Vec<ConfigurationWarning>);

impl WarningCollector {
    fn warn(
        &mut self,
        code: &'static str,
        place: ConfigurationPlace,
        message: impl Into<Arc<str>>,
    ) {
        self.0.push(ConfigurationWarning {
            code,
            place,
            message: message.into(),
        });
    }

    fn check_routes(&mut self, configuration: &ServingConfiguration) {
        let routes = &configuration.routes;
        if routes.is_empty() && configuration.closed_routes.is_empty() {
            let message = "there is no route; every request is answered with 404";
            self.warn("routes_empty", ConfigurationPlace::Routes, message);
        }
        let table = RouteTable::new(routes, &configuration.closed_routes);
        for (index, route) in routes.iter().enumerate() {
            self.check_reach(&table, routes, index);
            let mut earlier = routes[..index].iter();
            if earlier.any(|other| other.name == route.name) {
                let message = "an earlier route has the same name; logs cannot tell them apart";
                let place = ConfigurationPlace::Route(index, RouteField::Name);
                self.warn("route_name_duplicate", place, message);
            }
            self.check_times(index, route);
            self.check_stream(index, route);
            self.check_attempts(index, route);
            self.check_split(index, route, &configuration.services);
        }
    }

    /// Reports a route to which no request belongs.
    fn check_reach(&mut self, table: &RouteTable, routes: &[RouteRule], index: usize) {
        let route = &routes[index];
        let is_same = |other: &RouteRule| {
            other.host.eq_ignore_ascii_case(&route.host) && other.prefix == route.prefix
        };
        let later = routes[index + 1..].iter().rfind(|other| is_same(other));
        let place = |field| ConfigurationPlace::Route(index, field);
        match table.find(&route.host, &route.prefix) {
            Some(RouteMatch::Closed) => {
                let message = "a route that cannot be used has the same host and prefix; all \
                               requests of this one are refused";
                self.warn("route_hidden", place(RouteField::Prefix), message);
            }
            _ if later.is_some() => {
                let name = later.map_or("", |other| &other.name);
                let message = format!(
                    "the route `{name}` has the same host and prefix and comes later; all requests \
                     belong to it"
                );
                self.warn("route_hidden", place(RouteField::Prefix), message);
            }
            Some(RouteMatch::Open(_)) if is_host(&route.host) => {
                if let Some(character) = route.prefix.chars().find(|it| !is_in_paths(*it)) {
                    let message = format!("no path of a request contains {character:?}");
                    self.warn("route_unreachable", place(RouteField::Prefix), message);
                }
            }
            _ => {
                let message = format!(
                    "no request has the host `{}`: it must be a name or an address without a port",
                    route.host
                );
                self.warn("route_unreachable", place(RouteField::Host), message);
            }
        }
    }

    fn check_times(&mut self, index: usize, route: &RouteRule) {
        let RouteRule {
            timeout, target, ..
        } = *route;
        let place = |field| ConfigurationPlace::Route(index, field);
        if timeout == TimeSpan::ZERO {
            let message = "the timeout is 0; no request can be answered in time";
            self.warn("timeout_zero", place(RouteField::Timeout), message);
        } else if target > timeout {
            let message = format!("the target of {target} is longer than the timeout of {timeout}");
            self.warn("target_beyond_timeout", place(RouteField::Target), message);
        }
        if target == TimeSpan::ZERO {
            let message = "the target is 0; no answer can be in time";
            self.warn("target_zero", place(RouteField::Target), message);
        }
        let Some(gap) = route.gap_target else {
            return;
        };
        if gap == TimeSpan::ZERO {
            let message = "the target for gaps is 0; no stream can be in time";
            self.warn("target_zero", place(RouteField::GapTarget), message);
        } else if gap > timeout && timeout > TimeSpan::ZERO {
            let message =
                format!("the target for gaps of {gap} is longer than the timeout of {timeout}");
            let place = place(RouteField::GapTarget);
            self.warn("gap_target_beyond_timeout", place, message);
        }
    }

    fn check_stream(&mut self, index: usize, route: &RouteRule) {
        if route.semantics.is_stream() && route.gap_target.is_none() {
            let message = "the answers are streams, but there is no target for their gaps";
            let place = ConfigurationPlace::Route(index, RouteField::GapTarget);
            self.warn("gap_target_missing", place, message);
        }
    }

    fn check_attempts(&mut self, index: usize, route: &RouteRule) {
        if route.max_attempts > 1 && !route.semantics.may_repeat() {
            let message = format!(
                "{} attempts are allowed, but a request that may have run is not sent again; \
                 further attempts follow only those that did not run",
                route.max_attempts
            );
            let place = ConfigurationPlace::Route(index, RouteField::MaxAttempts);
            self.warn("attempts_without_repeat", place, message);
        }
        if route.priority > MAX_PRIORITY {
            let place = ConfigurationPlace::Route(index, RouteField::Priority);
            self.warn_priority(place, route.priority);
        }
    }

    fn warn_priority(&mut self, place: ConfigurationPlace, priority: u8) {
        let message = format!("{priority} is above {MAX_PRIORITY}, the least urgent priority");
        self.warn("priority_out_of_range", place, message);
    }

    fn check_split(&mut self, index: usize, route: &RouteRule, services: &[ServiceRule]) {
        for part in &route.services {
            if !services.iter().any(|rule| rule.service == part.service) {
                let message = format!(
                    "the service `{}` is not listed; it has no limit of connections and no engines",
                    part.service
                );
                let field = RouteField::Service(part.service.clone());
                let place = ConfigurationPlace::Route(index, field);
                self.warn("service_unlisted", place, message);
            }
        }
        let total = route.services.iter().map(|part| part.weight).sum::<f64>();
        let are_fractions = route.services.iter().all(|part| part.weight < 1.0);
        if are_fractions && total > 1.0 + ROUNDING_TOLERANCE {
            let message = format!(
                "the weights are fractions, but add up to {total:.3}; each service receives its \
                 weight divided by this sum"
            );
            let place = ConfigurationPlace::Route(index, RouteField::Services);
            self.warn("split_above_whole", place, message);
        }
    }

    fn check_services(&mut self, configuration: &ServingConfiguration) {
        let services = &configuration.services;
        for (index, rule) in services.iter().enumerate() {
            let place = |field| ConfigurationPlace::Service(index, field);
            let mut earlier = services[..index].iter();
            if earlier.any(|other| other.service == rule.service) {
                let message = format!("the service `{}` is listed earlier", rule.service);
                self.warn("service_duplicate", place(ServiceField::Name), message);
            }
            let mut parts = configuration.routes.iter().flat_map(|it| &it.services);
            if !parts.any(|part| part.service == rule.service) {
                let message = format!("no route sends requests to the service `{}`", rule.service);
                self.warn("service_unused", place(ServiceField::Name), message);
            }
            if rule.max_connections == 0 {
                let message = "its backend servers accept no connection";
                let place = place(ServiceField::MaxConnections);
                self.warn("service_without_connections", place, message);
            }
            if let Some(engine) = &rule.engine {
                self.check_engine(index, engine);
                self.check_priorities(index, configuration);
            }
        }
    }

    /// Reports engines whose requests have different priorities by their accounts alone.
    fn check_priorities(&mut self, index: usize, configuration: &ServingConfiguration) {
        let service = &configuration.services[index];
        let routes = &configuration.routes;
        let accounts = configuration.keys.accounts();
        let mut used = routes.iter().flat_map(|route| &route.services);
        let is_used = used.any(|part| part.service == service.service);
        let priorities = accounts.iter().filter_map(|account| account.priority);
        let priorities = priorities.collect::<BTreeSet<_>>();
        // `AdmissionPolicy` decides whether priorities count at a service.
        if is_used
            && priorities.len() > 1
            && AdmissionPolicy::of_service(service, routes, accounts).is_none()
        {
            let message = "the priorities of accounts differ, but those of its routes do not; \
                           requests are admitted without regard to priorities";
            let place = ConfigurationPlace::Service(index, ServiceField::Name);
            self.warn("priorities_of_accounts_only", place, message);
        }
    }

    fn check_engine(&mut self, index: usize, engine: &EngineProfile) {
        let place = |field| ConfigurationPlace::Service(index, field);
        if engine.slots == 0 {
            let message = "its engines have no slots and can process no request";
            self.warn("engine_without_slots", place(ServiceField::Slots), message);
        }
        let values = [
            (ServiceField::KvCache, engine.kv_cache_tokens == 0),
            (ServiceField::Step, engine.step == TimeSpan::ZERO),
            (ServiceField::StepsPerPass, engine.steps_per_pass == 0),
            (ServiceField::PrefillRate, engine.prefill_rate <= 0.0),
        ];
        for (field, _) in values.into_iter().filter(|(_, is_zero)| *is_zero) {
            let message = "it is 0, so that the time of an answer cannot be predicted";
            self.warn("engine_profile_zero", place(field), message);
        }
        if let Some(group) = engine.group {
            self.check_group(index, group);
        }
    }

    /// Reports a group whose maps can have no shape, with however many ranks.
    fn check_group(&mut self, index: usize, group: GroupProfile) {
        let place = |field| ConfigurationPlace::Service(index, field);
        let shape = MapShape {
            layers: group.layer_sets,
            experts: group.experts,
            ranks: group.experts.div_ceil(group.slots.max(1)),
            slots: group.slots,
        };
        if let Err(error) = shape.check() {
            let message = format!("no number of ranks can hold the experts: {error}");
            self.warn("group_without_room", place(ServiceField::Experts), message);
        }
        if group.max_moves_per_change == 0 {
            let message = "no change of the expert map may move an expert to a rank";
            self.warn("group_without_moves", place(ServiceField::Moves), message);
        }
    }

    fn check_keys(&mut self, configuration: &ServingConfiguration) {
        let routes = &configuration.routes;
        let accounts = match &configuration.keys {
            KeyRequirement::NotRequired => {
                if let Some(index) = routes.iter().position(|route| route.is_anonymous) {
                    let message = "there is no list of accounts, so that no route needs a key";
                    let place = ConfigurationPlace::Route(index, RouteField::Anonymous);
                    self.warn("anonymous_without_accounts", place, message);
                }
                return;
            }
            KeyRequirement::Required(accounts) => accounts,
        };
        let has_keys = accounts.iter().any(|account| !account.keys.is_empty());
        if !has_keys && routes.iter().any(|route| !route.is_anonymous) {
            let message = "no key is valid; requests are served on anonymous routes only";
            self.warn("keys_missing", ConfigurationPlace::Accounts, message);
        }
        if has_keys && !routes.is_empty() && routes.iter().all(|route| route.is_anonymous) {
            let message = "every route is anonymous; no key is checked";
            self.warn("accounts_unused", ConfigurationPlace::Accounts, message);
        }
        self.check_accounts(accounts);
    }

    fn check_accounts(&mut self, accounts: &[AccountRule]) {
        // `AccountTable` lets the last account of a key have it.
        let mut owners = HashMap::<&str, (usize, usize)>::new();
        for (index, rule) in accounts.iter().enumerate() {
            let place = ConfigurationPlace::Account(index);
            let mut earlier = accounts[..index].iter();
            if earlier.any(|other| other.account == rule.account) {
                let message = format!("the account `{}` is listed earlier", rule.account);
                self.warn("account_duplicate", place.clone(), message);
            }
            if rule.keys.is_empty() {
                let message = format!("the account `{}` has no keys", rule.account);
                self.warn("account_without_keys", place, message);
            }
            for (position, key) in rule.keys.iter().enumerate() {
                if let Some((owner, earlier)) = owners.insert(key, (index, position)) {
                    let message = format!(
                        "the account `{}` also has this key; its requests count as those of `{}`",
                        rule.account, rule.account
                    );
                    let place = ConfigurationPlace::Key(owner, earlier);
                    self.warn("key_shared", place, message);
                }
            }
            if let Some(priority) = rule.priority.filter(|it| *it > MAX_PRIORITY) {
                self.warn_priority(ConfigurationPlace::AccountPriority(index), priority);
            }
        }
    }

    fn check_limits(&mut self, configuration: &ServingConfiguration) {
        let limits = &configuration.limits;
        let place = ConfigurationPlace::Limit;
        let values = [
            (LimitField::Body, limits.body == ByteSize(0)),
            (
                LimitField::HeadTimeout,
                limits.head_timeout == TimeSpan::ZERO,
            ),
            (
                LimitField::IdleTimeout,
                limits.idle_timeout == TimeSpan::ZERO,
            ),
        ];
        for (field, _) in values.into_iter().filter(|(_, is_zero)| *is_zero) {
            let message = "it is 0, so that requests are refused that need more";
            self.warn("limit_zero", place(field), message);
        }
        if limits.body < limits.head && limits.body > ByteSize(0) {
            let message = format!(
                "the limit of bodies of {} is below that of heads of {}",
                limits.body, limits.head
            );
            self.warn("body_smaller_than_head", place(LimitField::Body), message);
        }
        if limits.idle_timeout < limits.head_timeout {
            let message = format!(
                "connections that are idle for {} are closed before the timeout of heads of {}",
                limits.idle_timeout, limits.head_timeout
            );
            let place = place(LimitField::IdleTimeout);
            self.warn("idle_shorter_than_head_timeout", place, message);
        }
    }
}

/// Whether the host of a request can be this name or address, without a port.
fn is_host(host: &str) -> bool {
    let is_host_character = |it: char| it.is_ascii_alphanumeric() || matches!(it, '.' | '-' | '_');
    host.chars().all(is_host_character)
}

/// Whether a path can contain this character as it is; a query begins at a question mark.
const fn is_in_paths(character: char) -> bool {
    character.is_ascii_graphic() && !matches!(character, '?' | '#')
}
