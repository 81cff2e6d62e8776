//! Finds the route of a request.

use std::{collections::HashMap, rc::Rc, sync::Arc};

use celerycrank_types::ServiceId;
use rand::Rng;

use crate::RouteRule;

/// The active routes, by host and path prefix.
#[derive(Debug, Default, Clone)]
pub struct RouteTable {
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Rc<RouteRule>>>,
}

impl RouteTable {
    /// Creates a table of the given routes.
    #[must_use]
    pub fn new(routes: &[RouteRule]) -> Self {
        let mut table = Self::default();
        for route in routes {
            let host = Arc::from(route.host.to_ascii_lowercase());
            let prefixes = table.hosts.entry(host).or_default();
            prefixes.insert(Arc::clone(&route.prefix), Rc::new(route.clone()));
        }
        table
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let prefixes = self.prefixes(host)?;
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.find_map(|end| prefixes.get(&path[..end]))
    }

    fn prefixes(&self, host: &str) -> Option<&HashMap<Arc<str>, Rc<RouteRule>>> {
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
