//! The services that routes led to before they were changed.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

/// Services that routes led to and don't lead to now, as far as is known. Open flows stay where
/// they were opened when their route changes.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct History {
    /// Sorted by address and service, without duplicates.
    earlier: Vec<Earlier>,
}

/// A service that a route led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Earlier {
    /// Address of the route.
    pub address: SocketAddrV4,
    /// The service.
    pub service: Name,
    /// Since when this process has known that the route doesn't lead to it any more.
    pub since: Millis,
}

impl History {
    /// A service that a route has led to.
    pub fn get(&self, address: SocketAddrV4, service: &str) -> Option<&Earlier> {
        Some(&self.earlier[self.find(address, service).ok()?])
    }

    /// Adds a service that a route doesn't lead to any more. One that is known stays as it is.
    pub fn insert(&mut self, now: Millis, address: SocketAddrV4, service: &Name) {
        if let Err(index) = self.find(address, service) {
            let service = service.clone();
            self.earlier.insert(index, Earlier { address, service, since: now });
        }
    }

    /// Keeps those for which a condition holds.
    pub fn retain(&mut self, condition: impl FnMut(&Earlier) -> bool) {
        self.earlier.retain(condition);
    }

    /// All of them, sorted by address and service.
    pub fn iter(&self) -> impl Iterator<Item = &Earlier> {
        self.earlier.iter()
    }

    /// The index of an entry, or its insertion point.
    fn find(&self, address: SocketAddrV4, service: &str) -> Result<usize, usize> {
        self.earlier.binary_search_by(|earlier| {
            (earlier.address, &*earlier.service).cmp(&(address, service))
        })
    }
}
