//! One version of the whole configuration.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::version::config::{Domains, Service};

/// The services and failure domains in force at one revision of the store.
///
/// Versions share the services that did not change between them.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The revision of the store.
    pub revision: u64,
    /// Sorted by organisation and name, without duplicates.
    services: Arc<[Arc<Service>]>,
    /// All failure domains.
    pub domains: Domains,
}

impl Snapshot {
    /// Builds a version. Services may come in any order; of two with the same organisation
    /// and name the first counts.
    pub fn new(revision: u64, mut services: Vec<Arc<Service>>, domains: Domains) -> Self {
        services.sort_by(|a, b| order(a).cmp(&order(b)));
        services.dedup_by(|b, a| order(a) == order(b));
        Self { revision, services: services.into(), domains }
    }

    /// The next version, which shares the services that are equal in this one.
    pub fn next(
        &self,
        revision: u64,
        services: impl IntoIterator<Item = Service>,
        domains: Domains,
    ) -> Self {
        let share =
            |service: Service| match self.find(&service.organisation, &service.name) {
                Some(old) if **old == service => old.clone(),
                _ => Arc::new(service),
            };
        Self::new(revision, services.into_iter().map(share).collect(), domains)
    }

    /// All services, sorted by organisation and name.
    pub fn services(&self) -> &[Arc<Service>] {
        &self.services
    }

    /// Finds a service.
    pub fn find(&self, organisation: &str, name: &str) -> Option<&Arc<Service>> {
        let found =
            self.services.binary_search_by(|s| order(s).cmp(&(organisation, name)));
        found.ok().map(|i| &self.services[i])
    }

    /// Finds the service behind an address.
    pub fn at(&self, address: SocketAddr) -> Option<&Arc<Service>> {
        self.services.iter().find(|service| service.address == address)
    }

    /// The services of an organisation.
    pub fn of<'a>(
        &'a self,
        organisation: &'a str,
    ) -> impl Iterator<Item = &'a Arc<Service>> + 'a {
        self.services.iter().filter(move |s| &*s.organisation == organisation)
    }
}

/// The sort key of a service.
fn order(service: &Service) -> (&str, &str) {
    (&service.organisation, &service.name)
}
