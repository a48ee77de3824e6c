//! What changed under an operator between reading and writing.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use crate::process::name::Name;
use crate::process::store::Entry;
use crate::version::config::key::{self, Kind};
use crate::version::config::wire::Marks;
use crate::version::config::{Domains, Service, Snapshot};
use crate::version::diff::{self, Changed, Diff, DomainChange};

/// A document that another operation changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The key of the document.
    pub key: Name,
    /// The operation that last wrote or deleted it, if that can be told.
    pub operation: Option<Name>,
    /// What changed.
    pub what: What,
}

/// What another operation changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
    /// It added the service.
    Added(Arc<Service>),
    /// It changed parameters; none if it wrote the same ones again.
    Changed(Vec<diff::Change>),
    /// It removed the service.
    Removed,
    /// It changed failure domains; none if it only changed other services.
    Domains(Vec<DomainChange>),
    /// It wrote a document that is not valid.
    Invalid(String),
}

impl Conflict {
    /// Compares a document as it was read with what is there now.
    ///
    /// `remover` is the operation that removed it if it is gone.
    pub(super) fn between(
        base: &Snapshot,
        key: &Name,
        now: Option<&Entry>,
        remover: Option<&Name>,
    ) -> Self {
        let operation = match now {
            Some(entry) => Marks::read(&entry.value).operation,
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
            None => f.write_str("an operation that is not recorded")?,
        }
        match &self.what {
            What::Added(service) => {
                write!(f, "\n    address {}\n    set {}", service.address, service.set)
            }
            What::Changed(changes) => lines(f, changes),
            What::Domains(changes) => lines(f, changes),
            What::Invalid(message) => write!(f, "\n    {message}"),
            What::Removed => Ok(()),
        }
    }
}

/// Prints conflicts, each on lines of its own.
pub(super) fn list(f: &mut Formatter<'_>, conflicts: &[Conflict]) -> fmt::Result {
    conflicts.iter().try_for_each(|conflict| write!(f, "\n  {conflict}"))
}

/// What changed about a service.
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

/// What changed about the failure domains.
fn domains(old: &Domains, now: &Entry) -> What {
    match Domains::decode(&now.value) {
        Ok(new) => What::Domains(Diff::of_domains(old, &new)),
        Err(error) => What::Invalid(error.to_string()),
    }
}

/// Prints changes, one a line.
fn lines<T: Display>(f: &mut Formatter<'_>, changes: &[T]) -> fmt::Result {
    changes.iter().try_for_each(|change| write!(f, "\n    {change}"))
}
