//! The operators' documents as steering reads them. Immutable once built.

use std::net::SocketAddrV4;

use lentilreach::Name;

/// Routes, services and failure domains out of service, at one revision.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Routing {
    /// Store revision in which the configuration was written; 0 if there is none yet.
    pub revision: u64,
    /// The operators' version of it.
    pub version: u64,
    /// Sorted by address.
    pub routes: Vec<Route>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Failure domains whose backend servers get nothing. Sorted.
    pub out: Vec<Name>,
    /// Flows that are idle for longer may be dropped, in milliseconds.
    pub idle_ms: u64,
}

impl Routing {
    /// Whether a configuration has been read.
    pub fn is_in_force(&self) -> bool {
        self.revision > 0
    }

    /// The route of an address.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        let index = self.routes.binary_search_by_key(&address, |route| route.address);
        index.ok().map(|index| &self.routes[index])
    }

    /// Whether flows to an address may end at a service.
    pub fn allows(&self, address: SocketAddrV4, service: &str) -> bool {
        let route = self.route(address);
        let mut split = route.iter().flat_map(|route| &route.split);
        split.any(|share| share.weight > 0 && *share.service == *service)
    }

    /// The parameters of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.binary_search_by(|service| (*service.name).cmp(name));
        index.ok().map(|index| &self.services[index])
    }

    /// Whether a failure domain is out of service.
    pub fn is_out(&self, domain: &str) -> bool {
        self.out.binary_search_by(|name| (**name).cmp(domain)).is_ok()
    }
}

/// Where new flows to an address go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The address that callers use.
    pub address: SocketAddrV4,
    /// The services with their weights. Not empty.
    pub split: Vec<Share>,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its weight among the shares.
    pub weight: u32,
}

/// The parameters of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Flows that a backend server holds at most.
    pub connections: u32,
    /// Requests a second that a cold backend server bears.
    pub cold_per_s: f64,
    /// How long a backend server is cold after its start, in milliseconds.
    pub cold_ms: u64,
}
