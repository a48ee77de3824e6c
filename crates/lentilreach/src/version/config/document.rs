//! The configuration file of one organisation and its validation.

mod parse;

use std::sync::Arc;

use crate::process::input::{Error, Errors, Place};
use crate::process::name::Name;
use crate::version::config::domains::Fault;
use crate::version::config::{Service, Snapshot};

/// The whole configuration of one organisation.
///
/// Addresses, service names and service identifiers are unique within the document, and all
/// limits are valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The organisation.
    pub organisation: Name,
    /// Its failure domains in the order of the file, without duplicates.
    pub domains: Vec<Name>,
    /// Its services, sorted by name, without duplicates.
    pub services: Vec<Service>,
    /// Positions in the file, for error messages.
    source: Source,
}

impl Document {
    /// Parses and validates an operator's file without access to the configuration in force.
    ///
    /// # Errors
    /// Returns all errors in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Errors> {
        parse::document(file, text)
    }

    /// Checks the document against the configuration in force.
    ///
    /// # Errors
    /// Returns all services whose address or identifier belongs to a service of another
    /// organisation, and an error if there are not enough identifiers for the failure domains.
    pub fn check(&self, current: &Snapshot) -> Result<(), Errors> {
        let others = || {
            let services = current.services().iter();
            services.filter(|other| other.organisation != self.organisation)
        };
        let mut addresses: Vec<_> =
            others().map(|other| (other.address, other)).collect();
        addresses.sort_by_key(|(address, _)| *address);
        let mut ids: Vec<_> = others().map(|other| (other.id(), other)).collect();
        ids.sort_by_key(|(id, _)| *id);
        let mut errors = Vec::new();
        for (service, places) in self.services.iter().zip(&self.source.services) {
            if let Some(other) = find(&addresses, service.address) {
                let message =
                    format!("{} already belongs to {}", service.address, other.path());
                let hint = "give the service an address of its own";
                errors.push(self.error(places.address, message, Some(hint.into())));
            }
            if let Some(other) = find(&ids, service.id()) {
                let (path, other) = (service.path(), other.path());
                let message = format!("{path} has the same id as {other}");
                errors.push(self.error(places.name, message, Some(SAME_ID_HINT.into())));
            }
        }
        if let Err(fault) = current.domains.with_names(&self.domains, None) {
            errors.push(self.error(self.source.domains, fault.to_string(), hint(&fault)));
        }
        Errors::new(errors).map_or(Ok(()), Err)
    }

    /// Its templates that no service uses, each with its position in the file.
    pub fn unused_templates(&self) -> &[(Name, Place)] {
        &self.source.unused_templates
    }

    /// The position of its failure domains in the file.
    pub fn domains_place(&self) -> Place {
        self.source.domains
    }

    /// Its services, each with its position in the file.
    pub fn placed_services(&self) -> impl Iterator<Item = (&Service, Place)> {
        let places = self.source.services.iter().map(|places| places.name);
        self.services.iter().zip(places)
    }

    /// Builds an error at a position in the file.
    fn error(&self, place: Place, message: String, hint: Option<String>) -> Error {
        Error { file: self.source.file.clone(), place, message, hint }
    }
}

/// The hint when two services have the same identifier.
const SAME_ID_HINT: &str =
    "ids are hashes of ORGANISATION/SERVICE; rename one of the services";

/// The positions in the file from which a document was read.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Source {
    /// The path of the file as the operator gave it.
    file: Name,
    /// The list of failure domains.
    domains: Place,
    /// The services, in the order of [`Document::services`].
    services: Vec<ServicePlaces>,
    /// Templates that no service uses, with their positions.
    unused_templates: Vec<(Name, Place)>,
}

/// The positions in the file from which a service was read.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct ServicePlaces {
    /// The name of the service.
    name: Place,
    /// The address of the service.
    address: Place,
}

/// Finds the service for a key in pairs that are sorted by key.
fn find<'s, K: Ord>(pairs: &[(K, &'s Arc<Service>)], key: K) -> Option<&'s Arc<Service>> {
    let found = pairs.binary_search_by(|(other, _)| other.cmp(&key));
    found.ok().map(|i| pairs[i].1)
}

/// The hint for an error of the failure domains.
fn hint(fault: &Fault) -> Option<String> {
    matches!(fault, Fault::Full).then(|| {
        "ids of former failure domains are never reused; keep the old names".into()
    })
}
