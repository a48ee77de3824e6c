//! Changes that other operations made between the read and the write of a submit.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use crate::process::name::Name;
use crate::process::store::Entry;
use crate::version::config::key::{self, Kind};
use crate::version::config::wire::Operations;
use crate::version::config::{Domains, Service, Snapshot};
use crate::version::diff::{self, Changed, Diff, DomainChange};

/// A document that another operation changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The key of the document.
    pub key: Name,
    /// The operation that last wrote or deleted it, if known.
    pub operation: Option<Name>,
    /// The change of the document.
    pub what: What,
}

/// The change of a document by another operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
    /// The service was added.
    Added(Arc<Service>),
    /// Parameters of the service were changed; empty if it was written with the same ones.
    Changed(Vec<diff::Change>),
    /// The document was removed.
    Removed,
    /// Failure domains were changed; empty if the operation only changed services.
    Domains(Vec<DomainChange>),
    /// An invalid document was written.
    Invalid(String),
}

impl Conflict {
    /// Compares a document as it was read with its current entry in the store.
    ///
    /// `remover` is the operation that removed the document, if it no longer exists.
    pub(super) fn between(
        base: &Snapshot,
        key: &Name,
        now: Option<&Entry>,
        remover: Option<&Name>,
    ) -> Self {
        let operation = match now {
            Some(entry) => Operations::read(&entry.value).operation,
            None => remover.cloned(),
        };
        let what = match Kind::parse(key) {
            Some(Kind::Service { organisation, name }) => {
                let old = base.find(organisation, name);
                now.map_or(What::Removed, |entry| service(old, entry))
            }
            _ => now.map_or(What::Removed, |entry| domains(&base.domains, entry)),
        };
        Self { key: key.clone(), operation, what }
    }
}

impl Display for Conflict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let key = self.key.strip_prefix(key::SERVICES).unwrap_or("failure domains");
        let verb = match &self.what {
            What::Added(_) => "added",
            What::Changed(_) | What::Domains(_) | What::Invalid(_) => "changed",
            What::Removed => "removed",
        };
        write!(f, "{key}: {verb} by ")?;
        match &self.operation {
            Some(operation) => write!(f, "operation {operation}")?,
            None => f.write_str("an unknown operation")?,
        }
        match &self.what {
            What::Added(service) => {
                write!(f, "\n    address {}\n    set {}", service.address, service.set)
            }
            What::Changed(changes) => write_lines(f, changes),
            What::Domains(changes) => write_lines(f, changes),
            What::Invalid(message) => write!(f, "\n    {message}"),
            What::Removed => Ok(()),
        }
    }
}

/// Writes a list of conflicts, each on its own lines.
pub(super) fn write_list(f: &mut Formatter<'_>, conflicts: &[Conflict]) -> fmt::Result {
    conflicts.iter().try_for_each(|conflict| write!(f, "\n  {conflict}"))
}

/// Compares a service with its current entry in the store.
fn service(old: Option<&Arc<Service>>, now: &Entry) -> What {
    let new = match Service::decode(&now.value) {
        Ok(new) => Arc::new(new),
        Err(error) => return What::Invalid(error.to_string()),
    };
    match old {
        None => What::Added(new),
        Some(old) => {
            What::Changed(Changed::between(old, &new).map_or(Vec::new(), |c| c.changes))
        }
    }
}

/// Compares the failure domains with their current entry in the store.
fn domains(old: &Domains, now: &Entry) -> What {
    match Domains::decode(&now.value) {
        Ok(new) => What::Domains(Diff::of_domains(old, &new)),
        Err(error) => What::Invalid(error.to_string()),
    }
}

/// Writes changes, one per line.
fn write_lines<T: Display>(f: &mut Formatter<'_>, changes: &[T]) -> fmt::Result {
    changes.iter().try_for_each(|change| write!(f, "\n    {change}"))
}
