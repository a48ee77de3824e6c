//! One version of the whole configuration.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::process::name::Name;
use crate::version::config::key::Kind;
use crate::version::config::{Domains, Service, wire};

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

    /// The next version after changes in the store: keys with their new value, or `None` if
    /// the key was deleted. Keys that hold no configuration are ignored.
    ///
    /// A document that is refused leaves what was in force before it.
    pub fn apply<'a>(
        &self,
        revision: u64,
        changes: impl IntoIterator<Item = (&'a str, Option<&'a [u8]>)>,
    ) -> (Self, Vec<Refused>) {
        let mut services = self.services.to_vec();
        let mut domains = self.domains.clone();
        let mut refused = Vec::new();
        for (key, value) in changes {
            let result = match Kind::parse(key) {
                Some(Kind::Service { organisation, name }) => {
                    replace(&mut services, (organisation, name), value)
                }
                Some(Kind::Domains) => replace_domains(&mut domains, value),
                _ => Ok(()),
            };
            refused.extend(result.err().map(|why| Refused { key: key.into(), why }));
        }
        (Self { revision, services: services.into(), domains }, refused)
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

/// A document of the store that was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Its key.
    pub key: Name,
    /// The reason.
    pub why: Why,
}

/// Why a document of the store was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Why {
    /// It is not valid.
    Invalid(wire::Error),
    /// It names another service than its key.
    Key,
    /// It removes or renames a failure domain.
    Domains,
}

impl Display for Refused {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.key)?;
        match &self.why {
            Why::Invalid(error) => error.fmt(f),
            Why::Key => f.write_str("the document names another service than its key"),
            Why::Domains => {
                f.write_str("the document removes or renames a failure domain")
            }
        }
    }
}

impl std::error::Error for Refused {}

/// Puts a changed service into a sorted list; an equal one stays shared.
fn replace(
    services: &mut Vec<Arc<Service>>,
    path: (&str, &str),
    value: Option<&[u8]>,
) -> Result<(), Why> {
    let found = services.binary_search_by(|service| order(service).cmp(&path));
    let Some(value) = value else {
        if let Ok(index) = found {
            services.remove(index);
        }
        return Ok(());
    };
    let service = Service::decode(value).map_err(Why::Invalid)?;
    if order(&service) != path {
        return Err(Why::Key);
    }
    match found {
        Ok(index) if *services[index] == service => {}
        Ok(index) => services[index] = Arc::new(service),
        Err(index) => services.insert(index, Arc::new(service)),
    }
    Ok(())
}

/// Replaces the failure domains. The document cannot be deleted, since identifiers are never
/// reused.
fn replace_domains(domains: &mut Domains, value: Option<&[u8]>) -> Result<(), Why> {
    let next = Domains::decode(value.ok_or(Why::Domains)?).map_err(Why::Invalid)?;
    if !next.follows(domains) {
        return Err(Why::Domains);
    }
    *domains = next;
    Ok(())
}
