//! One version of the whole configuration.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::process::name::Name;
use crate::version::config::key::Kind;
use crate::version::config::{Domains, Service, wire};

/// The services and failure domains in force at one revision of the store.
///
/// Services that are the same in two versions are shared between them.
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
    /// Builds a version. Services may come in any order; among services with the same
    /// organisation and name, the first is kept.
    pub fn new(revision: u64, mut services: Vec<Arc<Service>>, domains: Domains) -> Self {
        services.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        services.dedup_by(|b, a| sort_key(a) == sort_key(b));
        Self { revision, services: services.into(), domains }
    }

    /// Returns the next version after changes in the store, and the documents that were
    /// refused. A change is a key with its new value, or `None` if the key was deleted. Keys
    /// that hold no configuration are ignored.
    ///
    /// If a document is refused, its previous version stays in force.
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
            self.services.binary_search_by(|s| sort_key(s).cmp(&(organisation, name)));
        found.ok().map(|i| &self.services[i])
    }

    /// Finds the service with an address.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&Arc<Service>> {
        self.services.iter().find(|service| service.address == address)
    }

    /// The services of an organisation.
    pub fn of_organisation<'a>(
        &'a self,
        organisation: &'a str,
    ) -> impl Iterator<Item = &'a Arc<Service>> + 'a {
        self.services.iter().filter(move |s| &*s.organisation == organisation)
    }
}

/// The sort key of a service.
fn sort_key(service: &Service) -> (&str, &str) {
    (&service.organisation, &service.name)
}

/// A refused document of the store.
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
    /// The document is invalid.
    Invalid(wire::Error),
    /// The service in the document differs from the service in its key.
    Key,
    /// The document removes or renames a failure domain.
    Domains,
}

impl Display for Refused {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.key)?;
        match &self.why {
            Why::Invalid(error) => error.fmt(f),
            Why::Key => f.write_str("the document is for another service than its key"),
            Why::Domains => {
                f.write_str("the document removes or renames a failure domain")
            }
        }
    }
}

impl std::error::Error for Refused {}

/// Applies a change of one service to the sorted list. An equal service is not replaced, so it
/// stays shared with the previous version.
fn replace(
    services: &mut Vec<Arc<Service>>,
    path: (&str, &str),
    value: Option<&[u8]>,
) -> Result<(), Why> {
    let found = services.binary_search_by(|service| sort_key(service).cmp(&path));
    let Some(value) = value else {
        if let Ok(index) = found {
            services.remove(index);
        }
        return Ok(());
    };
    let service = Service::decode(value).map_err(Why::Invalid)?;
    if sort_key(&service) != path {
        return Err(Why::Key);
    }
    match found {
        Ok(index) if *services[index] == service => {}
        Ok(index) => services[index] = Arc::new(service),
        Err(index) => services.insert(index, Arc::new(service)),
    }
    Ok(())
}

/// Replaces the failure domains. A deletion of the document is refused, because identifiers
/// must never be reused.
fn replace_domains(domains: &mut Domains, value: Option<&[u8]>) -> Result<(), Why> {
    let next = Domains::decode(value.ok_or(Why::Domains)?).map_err(Why::Invalid)?;
    if !next.extends(domains) {
        return Err(Why::Domains);
    }
    *domains = next;
    Ok(())
}
