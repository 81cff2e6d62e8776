//! Finds the route of a request.

use std::{collections::HashMap, rc::Rc, sync::Arc};

use celerycrank_types::ServiceId;
use rand::Rng;

use crate::{RouteLocation, RouteRule};

/// The active routes, by host and path prefix.
#[derive(Debug, Default, Clone)]
pub struct RouteTable {
    /// The routes by their prefixes, by host.
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, RouteMatch>>,
}

/// The route to which a request belongs.
#[derive(Debug, Clone)]
pub enum RouteMatch {
    /// The request is handled by this rule.
    Open(Rc<RouteRule>),
    /// The route cannot be used, and no other one may serve its requests.
    Closed,
}

impl RouteTable {
    /// Creates a table of routes and of the locations of those that cannot be used.
    #[must_use]
    pub fn new(routes: &[RouteRule], closed: &[RouteLocation]) -> Self {
        let mut table = Self::default();
        for route in routes {
            let rule = Rc::new(route.clone());
            table.insert(&route.host, &route.prefix, RouteMatch::Open(rule));
        }
        for RouteLocation { host, prefix } in closed {
            table.insert(host, prefix, RouteMatch::Closed);
        }
        table
    }

    fn insert(&mut self, host: &str, prefix: &Arc<str>, route: RouteMatch) {
        let host = Arc::from(host.to_ascii_lowercase());
        let prefixes = self.hosts.entry(host).or_default();
        prefixes.insert(Arc::clone(prefix), route);
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteMatch> {
        let prefixes = self.prefixes(host)?;
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.find_map(|end| prefixes.get(&path[..end]))
    }

    fn prefixes(&self, host: &str) -> Option<&HashMap<Arc<str>, RouteMatch>> {
        let name = host.split(':').next().unwrap_or(host);
        self.hosts
            .get(name)
            .or_else(|| self.hosts.get(name.to_ascii_lowercase().as_str()))
    }
}

impl RouteRule {
    /// Selects the service of a request at random, by the weights of the services.
    pub fn draw_service<R: Rng>(&self, random: &mut R) -> Option<&ServiceId> {
        if let [only] = self.services.as_slice() {
            return Some(&only.service);
        }
        let total = self.services.iter().map(|it| it.weight).sum::<f64>();
        let mut drawn = random.random_range(0.0..1.0) * total;
        for candidate in &self.services {
            if drawn < candidate.weight {
                return Some(&candidate.service);
            }
            drawn -= candidate.weight;
        }
        // Reached if all weights are zero, or because of rounding errors.
        self.services.last().map(|it| &it.service)
    }
}
