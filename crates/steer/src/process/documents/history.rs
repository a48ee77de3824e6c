//! The services that routes led to before they were changed.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::version::routing::Routing;

/// Services that routes led to, as far as this process knows. Open flows stay where they were
/// opened when their route changes.
#[derive(Debug, Default, Clone)]
pub struct History {
    /// Sorted by address and service, without duplicates.
    earlier: Vec<Earlier>,
}

/// A service that a route led to.
#[derive(Debug, Clone)]
struct Earlier {
    /// Address of the route.
    address: SocketAddrV4,
    /// The service.
    service: Name,
    /// When the route was last changed from it.
    until: Millis,
}

impl History {
    /// Records the services of all routes before a change.
    pub fn record(&mut self, now: Millis, before: &Routing) {
        for route in &before.routes {
            for share in route.split.iter().filter(|share| share.weight > 0) {
                self.insert(now, route.address, &share.service);
            }
        }
    }

    /// Whether a route leads to a service, or has led to it as far as is known.
    pub fn allows(
        &self,
        routing: &Routing,
        address: SocketAddrV4,
        service: &str,
    ) -> bool {
        routing.allows(address, service) || self.find(address, service).is_ok()
    }

    /// Removes services that routes have not led to for `ms` milliseconds.
    pub fn expire(&mut self, now: Millis, ms: u64) {
        self.earlier.retain(|earlier| now.since(earlier.until) <= ms);
    }

    /// Adds a service, or updates its time.
    fn insert(&mut self, now: Millis, address: SocketAddrV4, service: &Name) {
        match self.find(address, service) {
            Ok(index) => self.earlier[index].until = now,
            Err(index) => {
                let service = service.clone();
                self.earlier.insert(index, Earlier { address, service, until: now });
            }
        }
    }

    /// The index of an entry, or its insertion point.
    fn find(&self, address: SocketAddrV4, service: &str) -> Result<usize, usize> {
        self.earlier.binary_search_by(|earlier| {
            (earlier.address, &*earlier.service).cmp(&(address, service))
        })
    }
}
