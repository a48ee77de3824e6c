//! The operators' documents in the form that steering uses. Immutable once built.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::store::Revision;

use super::history::History;

/// Routes, services and out-of-service failure domains at one store revision.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Routing {
    /// Store revision at which the configuration was written; 0 if none was read yet. Doesn't
    /// tell which of two configurations is newer: the store may come back from a copy.
    pub revision: Revision,
    /// Version number that the operators assigned to the configuration. Of two configurations,
    /// that with the higher one is newer.
    pub version: u64,
    /// Sorted by address.
    pub routes: Vec<Route>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Failure domains that are out of service and receive no new flows. Sorted.
    pub domains_out: Vec<Name>,
    /// Idle time after which a flow may be removed, in milliseconds.
    pub idle_ms: u64,
    /// Where routes led before.
    pub history: History,
}

impl Routing {
    /// Whether a configuration has been read.
    pub fn is_loaded(&self) -> bool {
        self.revision.number > 0
    }

    /// The route of an address.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        let index = self.routes.binary_search_by_key(&address, |route| route.address);
        index.ok().map(|index| &self.routes[index])
    }

    /// Whether the route of an address includes a service.
    pub fn allows(&self, address: SocketAddrV4, service: &str) -> bool {
        let route = self.route(address);
        let mut split = route.iter().flat_map(|route| &route.split);
        split.any(|share| share.weight > 0 && *share.service == *service)
    }

    /// Whether routes that lead to a service differ in priority, so that their requests
    /// have to be scheduled.
    pub fn has_priorities(&self, service: &str) -> bool {
        let leads = |route: &&Route| {
            let mut split = route.split.iter();
            split.any(|share| share.weight > 0 && *share.service == *service)
        };
        let mut priorities = self.routes.iter().filter(leads).map(|route| route.priority);
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    /// The parameters of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.binary_search_by(|service| (*service.name).cmp(name));
        index.ok().map(|index| &self.services[index])
    }

    /// Whether a failure domain is out of service.
    pub fn is_out(&self, domain: &str) -> bool {
        self.domains_out.binary_search_by(|name| (**name).cmp(domain)).is_ok()
    }
}

/// The services that new flows to an address are distributed to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The address that callers connect to.
    pub address: SocketAddrV4,
    /// The services with their weights. Never empty.
    pub split: Vec<Share>,
    /// Time within which a request should be answered, in milliseconds.
    pub objective_ms: u64,
    /// Time after which callers give up a request, in milliseconds; `None` if the operators
    /// state none.
    pub deadline_ms: Option<u64>,
    /// Priority of its flows while backend servers are overloaded; 0 is the highest.
    pub priority: u8,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its weight relative to the other shares of the route.
    pub weight: u32,
}

/// The parameters of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Maximum number of flows on one backend server.
    pub connections: u32,
    /// Requests per second that a cold backend server can handle. Operators leave it at
    /// zero if they state no rate.
    pub cold_per_s: f64,
    /// Time for which a backend server is cold after its start, in milliseconds.
    pub cold_ms: u64,
}
