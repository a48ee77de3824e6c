//! Computes the difference between two versions of the configuration.

use std::cmp::Ordering;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::process::name::Name;
use crate::version::config::limits::Parameter;
use crate::version::config::{Domain, Domains, Service, Snapshot};

/// The difference between an older and a newer version. All lists are sorted.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Diff {
    /// Services that are only in the newer version.
    pub added: Vec<Arc<Service>>,
    /// Services whose parameters differ.
    pub changed: Vec<Changed>,
    /// Services that are only in the older version.
    pub removed: Vec<Arc<Service>>,
    /// Failure domains that differ.
    pub domains: Vec<DomainChange>,
}

impl Diff {
    /// Compares two versions. Services that are shared between them are skipped by pointer
    /// comparison.
    pub fn between(old: &Snapshot, new: &Snapshot) -> Self {
        let mut diff = Self::of_services(old.services(), new.services());
        diff.domains = Self::of_domains(&old.domains, &new.domains);
        diff
    }

    /// Compares two lists of services that are sorted by organisation and name.
    pub fn of_services(old: &[Arc<Service>], new: &[Arc<Service>]) -> Self {
        let mut diff = Self::default();
        let (mut i, mut j) = (0, 0);
        while i < old.len() || j < new.len() {
            match compare_heads(old.get(i), new.get(j)) {
                Ordering::Less => {
                    diff.removed.push(old[i].clone());
                    i += 1;
                }
                Ordering::Greater => {
                    diff.added.push(new[j].clone());
                    j += 1;
                }
                Ordering::Equal => {
                    diff.changed.extend(Changed::between(&old[i], &new[j]));
                    i += 1;
                    j += 1;
                }
            }
        }
        diff
    }

    /// The failure domains in which two versions differ.
    pub fn of_domains(old: &Domains, new: &Domains) -> Vec<DomainChange> {
        let change = |domain: &Domain| match old.find(&domain.name) {
            None => Some(DomainChange::Added(domain.clone())),
            Some(old) if old.out == domain.out => None,
            Some(_) if domain.out => Some(DomainChange::Out(domain.clone())),
            Some(_) => Some(DomainChange::Back(domain.clone())),
        };
        new.as_slice().iter().filter_map(change).collect()
    }

    /// Whether the change must be serialised with changes of other organisations, by a write
    /// of the domain document.
    ///
    /// Changes of addresses need it, because addresses are unique across organisations.
    /// Removals need it, because the removed document cannot record the operation.
    pub fn needs_global_order(&self) -> bool {
        let changes_address = |changed: &Changed| {
            changed.changes.iter().any(|change| matches!(change, Change::Address { .. }))
        };
        !self.added.is_empty()
            || !self.removed.is_empty()
            || !self.domains.is_empty()
            || self.changed.iter().any(changes_address)
    }

    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
            && self.changed.is_empty()
            && self.removed.is_empty()
            && self.domains.is_empty()
    }
}

/// A service whose parameters differ.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changed {
    /// The service in the older version.
    pub old: Arc<Service>,
    /// The service in the newer version.
    pub new: Arc<Service>,
    /// The parameters that differ, in the order in which documents list them. Never empty.
    pub changes: Vec<Change>,
}

impl Changed {
    /// Compares two versions of one service; `None` if their parameters are the same.
    pub fn between(old: &Arc<Service>, new: &Arc<Service>) -> Option<Self> {
        if Arc::ptr_eq(old, new) {
            return None;
        }
        let changes = changes(old, new);
        (!changes.is_empty()).then(|| Self {
            old: old.clone(),
            new: new.clone(),
            changes,
        })
    }
}

/// A changed parameter of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The address; established flows to the old one end.
    Address {
        /// The old address.
        old: SocketAddr,
        /// The new address.
        new: SocketAddr,
    },
    /// The set of backend servers.
    Set {
        /// The old set.
        old: Name,
        /// The new set.
        new: Name,
    },
    /// A limit.
    Limit {
        /// The changed parameter.
        parameter: Parameter,
        /// The old value.
        old: u64,
        /// The new value.
        new: u64,
    },
}

/// A change of a failure domain, with its new state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DomainChange {
    /// The failure domain was added.
    Added(Domain),
    /// The failure domain was taken out of service.
    Out(Domain),
    /// The failure domain was brought back into service.
    Back(Domain),
}

impl DomainChange {
    /// The name of the failure domain.
    pub fn name(&self) -> &Name {
        match self {
            Self::Added(domain) | Self::Out(domain) | Self::Back(domain) => &domain.name,
        }
    }
}

impl Display for Diff {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return f.write_str("no change");
        }
        let mut lines = Vec::new();
        lines.extend(self.domains.iter().map(ToString::to_string));
        lines.extend(self.added.iter().map(|service| format!("+ {}", describe(service))));
        lines.extend(self.changed.iter().map(ToString::to_string));
        lines.extend(
            self.removed.iter().map(|service| format!("- {}", describe(service))),
        );
        f.write_str(&lines.join("\n"))
    }
}

impl Display for Changed {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "~ {}", self.new.path())?;
        self.changes.iter().try_for_each(|change| write!(f, "\n    {change}"))
    }
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address { old, new } => write!(f, "address {old} -> {new}"),
            Self::Set { old, new } => write!(f, "set {old} -> {new}"),
            Self::Limit { parameter, old, new } => {
                write!(f, "{parameter} {old} -> {new}")
            }
        }
    }
}

impl Display for DomainChange {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(domain) => {
                write!(f, "+ failure domain {} (id {})", domain.name, domain.id.0)
            }
            Self::Out(domain) => {
                write!(f, "~ failure domain {}: out of service", domain.name)
            }
            Self::Back(domain) => {
                write!(f, "~ failure domain {}: in service", domain.name)
            }
        }
    }
}

/// Compares the next services of two sorted lists; the end of a list is greater than any
/// service.
fn compare_heads(old: Option<&Arc<Service>>, new: Option<&Arc<Service>>) -> Ordering {
    match (old, new) {
        (Some(old), Some(new)) => {
            (&old.organisation, &old.name).cmp(&(&new.organisation, &new.name))
        }
        (old, new) => new.is_some().cmp(&old.is_some()),
    }
}

/// The parameters in which two versions of a service differ.
fn changes(old: &Service, new: &Service) -> Vec<Change> {
    let mut changes = Vec::new();
    if old.address != new.address {
        changes.push(Change::Address { old: old.address, new: new.address });
    }
    if old.set != new.set {
        changes.push(Change::Set { old: old.set.clone(), new: new.set.clone() });
    }
    for parameter in Parameter::ALL {
        let (old, new) = (old.limits.get(parameter), new.limits.get(parameter));
        if old != new {
            changes.push(Change::Limit { parameter, old, new });
        }
    }
    changes
}

/// Formats a service and all its parameters as one line.
fn describe(service: &Service) -> String {
    let limits: Vec<_> = Parameter::ALL
        .into_iter()
        .map(|parameter| format!("{parameter} {}", service.limits.get(parameter)))
        .collect();
    let Service { address, set, .. } = service;
    format!("{} {address} set {set}, {}", service.path(), limits.join(", "))
}
