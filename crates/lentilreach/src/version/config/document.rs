//! The configuration of one organisation as operators write it, and its complete check.

mod parse;

use std::sync::Arc;

use crate::process::input::{Error, Errors, Place};
use crate::process::name::Name;
use crate::version::config::domains::Fault;
use crate::version::config::{Service, Snapshot};

/// The whole configuration of one organisation.
///
/// Within the document addresses, service names and service identifiers are unique, and all
/// limits are valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The organisation.
    pub organisation: Name,
    /// Its failure domains in the order of the file, without duplicates.
    pub domains: Vec<Name>,
    /// Its services, sorted by name, without duplicates.
    pub services: Vec<Service>,
    /// Where the parts were read from.
    source: Source,
}

impl Document {
    /// Parses and checks an operators' file, as far as that goes without the configuration
    /// in force.
    ///
    /// # Errors
    /// Every mistake in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Errors> {
        parse::document(file, text)
    }

    /// Checks the document against the configuration in force.
    ///
    /// # Errors
    /// Every service whose address or identifier a service of another organisation has, and
    /// failure domains for which no identifier is left.
    pub fn check(&self, force: &Snapshot) -> Result<(), Errors> {
        let others = || {
            let services = force.services().iter();
            services.filter(|other| other.organisation != self.organisation)
        };
        let mut addresses: Vec<_> =
            others().map(|other| (other.address, other)).collect();
        addresses.sort_by_key(|(address, _)| *address);
        let mut ids: Vec<_> = others().map(|other| (other.id(), other)).collect();
        ids.sort_by_key(|(id, _)| *id);
        let mut errors = Vec::new();
        for (service, marks) in self.services.iter().zip(&self.source.services) {
            if let Some(other) = find(&addresses, service.address) {
                let message =
                    format!("{} already belongs to {}", service.address, other.path());
                let hint = "give the service an address of its own";
                errors.push(self.error(marks.address, message, Some(hint.into())));
            }
            if let Some(other) = find(&ids, service.id()) {
                let (path, other) = (service.path(), other.path());
                let message = format!("{path} has the same id as {other}");
                errors.push(self.error(marks.name, message, Some(RENAME.into())));
            }
        }
        if let Err(fault) = force.domains.with(&self.domains, None) {
            errors.push(self.error(self.source.domains, fault.to_string(), hint(&fault)));
        }
        Errors::new(errors).map_or(Ok(()), Err)
    }

    /// A mistake at a place of the file.
    fn error(&self, place: Place, message: String, hint: Option<String>) -> Error {
        Error { file: self.source.file.clone(), place, message, hint }
    }
}

/// The hint when two services have the same identifier.
const RENAME: &str = "ids are hashes of ORGANISATION/SERVICE; rename one of the services";

/// Where the parts of a document were read from.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Source {
    /// The file as the operator named it.
    file: Name,
    /// The list of failure domains.
    domains: Place,
    /// The services, in the order of [`Document::services`].
    services: Vec<Marks>,
}

/// Where the parts of a service were read from.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Marks {
    /// Its name.
    name: Place,
    /// Its address.
    address: Place,
}

/// Finds the service with a key among sorted pairs.
fn find<'s, K: Ord>(pairs: &[(K, &'s Arc<Service>)], key: K) -> Option<&'s Arc<Service>> {
    let found = pairs.binary_search_by(|(other, _)| other.cmp(&key));
    found.ok().map(|i| pairs[i].1)
}

/// How to correct a fault of the failure domains.
fn hint(fault: &Fault) -> Option<String> {
    matches!(fault, Fault::Full).then(|| {
        "ids of former failure domains are never reused; keep the old names".into()
    })
}
