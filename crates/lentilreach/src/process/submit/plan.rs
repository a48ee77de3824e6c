//! Plans the transaction for a change of the configuration in force.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use crate::process::input::Errors;
use crate::process::name::Name;
use crate::process::store::{Entry, Error, Range, Txn};
use crate::process::submit::conflict::{Conflict, What};
use crate::process::submit::current::{self, Current};
use crate::version::config::snapshot::Refused;
use crate::version::config::wire::Operations;
use crate::version::config::{
    Change, Document, Domains, Service, Snapshot, domains, key,
};
use crate::version::diff::{self, Diff, DomainChange};

/// Maximum number of services that one submit adds, changes or removes.
///
/// By default, etcd accepts 128 operations in a transaction. The limit leaves room for the
/// domain document.
pub const MAX_SERVICES: usize = 120;

/// The configuration that an operator wants to be in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// The whole configuration of an organisation. Services of the organisation that are not
    /// in the document are removed. Failure domains are only added.
    Document(Box<Document>),
    /// The state of a failure domain.
    Domain {
        /// The name of the failure domain.
        name: Name,
        /// Whether it is out of service.
        out: bool,
    },
}

/// A planned change. Its transaction takes effect only if none of its keys has changed since.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The difference to the configuration in force. Nothing is written if it is empty.
    pub diff: Diff,
    /// The operation that makes the change.
    operation: Name,
    /// The configuration in force when the change was planned.
    base: Snapshot,
    /// The operation that had written the domain document when the change was planned, if
    /// recorded.
    domains_operation: Option<Name>,
    /// The conditions and writes.
    txn: Txn,
    /// For each key of `txn.compares`, the operation that wrote the compared version, if
    /// recorded.
    replaced: Vec<Option<Name>>,
}

impl Plan {
    /// Plans a change.
    ///
    /// # Errors
    /// If the change conflicts with the configuration in force, changes too many services, or
    /// the domain document in the store is invalid.
    pub fn new(
        target: &Target,
        current: &Current,
        change: &Change,
    ) -> Result<Self, Fault> {
        // Replacing an invalid domain document would reuse identifiers.
        if let Some(refused) = current.refused.iter().find(|r| *r.key == *key::DOMAINS) {
            return Err(Fault::Store(refused.clone()));
        }
        let next = next_snapshot(target, &current.snapshot, change)?;
        let diff = Diff::between(&current.snapshot, &next);
        let count = diff.added.len() + diff.changed.len() + diff.removed.len();
        if count > MAX_SERVICES {
            return Err(Fault::Large { count });
        }
        let mut plan = Self {
            diff,
            operation: change.operation.clone(),
            base: current.snapshot.clone(),
            domains_operation: current.operation(key::DOMAINS),
            txn: Txn::new(),
            replaced: Vec::new(),
        };
        plan.build_txn(current, &next.domains);
        Ok(plan)
    }

    /// The transaction.
    pub fn txn(&self) -> &Txn {
        &self.txn
    }

    /// Effects of the change that break flows or cannot be undone, for the operator to confirm.
    pub fn risks(&self) -> Vec<String> {
        let mut risks = Vec::new();
        for service in &self.diff.removed {
            risks.push(format!("{}: removal breaks its open flows", service.path()));
        }
        for changed in &self.diff.changed {
            let path = changed.new.path();
            risks.extend(changed.changes.iter().filter_map(|change| match change {
                diff::Change::Address { .. } => {
                    Some(format!("{path}: a new address breaks its open flows"))
                }
                diff::Change::Set { .. } => {
                    Some(format!("{path}: a new set breaks its open flows"))
                }
                diff::Change::Limit { .. } => None,
            }));
        }
        risks.extend(self.diff.domains.iter().filter_map(|change| match change {
            DomainChange::Added(domain) => {
                Some(format!("failure domain {} cannot be removed later", domain.name))
            }
            DomainChange::Out(domain) => {
                Some(format!("failure domain {}: its open flows end", domain.name))
            }
            DomainChange::Back(_) => None,
        }));
        risks
    }

    /// The changes that others made to the compared keys since the plan was made. `entries` are
    /// the current entries of the store, sorted by key.
    pub fn conflicts(&self, entries: &[Entry]) -> Vec<Conflict> {
        let remover = self.remover(entries);
        let changed = self.txn.compares.iter().filter_map(|compare| {
            let now = current::find(entries, &compare.key);
            let same = now.map_or(0, |entry| entry.modified) == compare.modified;
            (!same).then(|| {
                Conflict::between(&self.base, &compare.key, now, remover.as_ref())
            })
        });
        changed.collect()
    }

    /// Whether conflicts affect the services or failure domains that this plan changes, so that
    /// the operator must decide.
    ///
    /// The domain document is also written to serialise transactions. A change of it alone
    /// often does not affect this plan.
    pub fn overlaps(&self, conflicts: &[Conflict]) -> bool {
        let names: Vec<_> = self.diff.domains.iter().map(DomainChange::name).collect();
        conflicts.iter().any(|conflict| match &conflict.what {
            What::Domains(changes) => changes.iter().any(|c| names.contains(&c.name())),
            _ => true,
        })
    }

    /// Determines from a later state of the store whether a write without an answer took effect.
    pub(super) fn write_status(&self, range: &Range) -> Status {
        let (mut changed, mut not_applied) = (false, false);
        for (compare, replaced) in self.txn.compares.iter().zip(&self.replaced) {
            let entry = current::find(&range.entries, &compare.key);
            if entry.map_or(0, |entry| entry.modified) == compare.modified {
                // The transaction is atomic: if one key was not written, none was. A key that
                // was absent and still is proves nothing, as it may have been written and
                // deleted again.
                not_applied |= compare.modified != 0;
                continue;
            }
            changed = true;
            let Some(entry) = entry else { continue };
            let operations = Operations::read(&entry.value);
            if operations.operation.as_ref() == Some(&self.operation) {
                return Status::Applied { revision: entry.modified };
            }
            if operations.replaced.as_ref() == Some(&self.operation) {
                return Status::Applied { revision: range.revision.number };
            }
            // Another operation replaced the version that this plan compares with, so the
            // conditions of this plan cannot have held.
            not_applied |= replaced.is_some() && operations.replaced == *replaced;
        }
        match (changed, not_applied) {
            (false, _) => Status::Pending,
            (true, true) => Status::NotApplied,
            (true, false) => Status::Unknown,
        }
    }

    /// The operation that removed documents since the plan was made, if known.
    ///
    /// Every removal also writes the domain document. If only one operation has written that
    /// document since, all removals are its own.
    fn remover(&self, entries: &[Entry]) -> Option<Name> {
        let entry = current::find(entries, key::DOMAINS)?;
        let operations = Operations::read(&entry.value);
        (self.domains_operation.is_some()
            && operations.replaced == self.domains_operation)
            .then_some(operations.operation)?
    }

    /// Adds the conditions and writes of the difference to the transaction.
    fn build_txn(&mut self, current: &Current, domains: &Domains) {
        let diff = self.diff.clone();
        for service in diff.added.iter().chain(diff.changed.iter().map(|c| &c.new)) {
            let key = service.key();
            let replaced = self.compare(current, &key);
            let mut service = Service::clone(service);
            service.operation = Some(self.operation.clone());
            self.put(key, service.encode_after(replaced));
        }
        for service in &diff.removed {
            let key = service.key();
            self.compare(current, &key);
            self.txn.deletes.push(key);
        }
        if diff.needs_global_order() {
            let replaced = self.compare(current, &key::domains());
            let operations =
                Operations { operation: Some(self.operation.clone()), replaced };
            self.put(key::domains(), domains.encode_with(operations));
        }
    }

    /// Adds the condition that a key has not changed; returns the operation that wrote the
    /// compared version.
    fn compare(&mut self, current: &Current, key: &Name) -> Option<Name> {
        let replaced = current.operation(key);
        let txn = std::mem::take(&mut self.txn);
        self.txn = txn.compare(key.clone(), current.modified(key));
        self.replaced.push(replaced.clone());
        replaced
    }

    /// Adds a write of a key.
    fn put(&mut self, key: Name, value: bytes::Bytes) {
        let txn = std::mem::take(&mut self.txn);
        self.txn = txn.put(key, value);
    }
}

/// The status of a write without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Status {
    /// It took effect.
    Applied {
        /// Its revision, or a later one.
        revision: u64,
    },
    /// It did not take effect and no longer can.
    NotApplied,
    /// It has not taken effect but still can.
    Pending,
    /// Later changes by others hide whether it took effect.
    Unknown,
}

/// Why a change is refused. Nothing was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The configuration in force cannot be read.
    Read(Error),
    /// The document conflicts with the configuration in force.
    Document(Errors),
    /// The failure domain cannot be changed.
    Domain {
        /// The reason.
        fault: domains::Fault,
        /// The failure domain with the most similar name, for a hint.
        near: Option<Name>,
    },
    /// The store holds an invalid document that must not be replaced.
    Store(Refused),
    /// More than [`MAX_SERVICES`] services differ.
    Large {
        /// The number of services that differ.
        count: usize,
    },
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "the configuration cannot be read: {error}"),
            Self::Document(errors) => errors.fmt(f),
            Self::Domain { fault, near: Some(near) } => {
                write!(f, "{fault}\n  hint: did you mean {near}?")
            }
            Self::Domain { fault, near: None } => fault.fmt(f),
            Self::Store(refused) => {
                write!(f, "the store holds an invalid document: {refused}")
            }
            Self::Large { count } => write!(
                f,
                "{count} services differ, but one submit can change at most \
                 {MAX_SERVICES}\n  hint: add or change services in several submits"
            ),
        }
    }
}

impl std::error::Error for Fault {}

/// The configuration after the change.
fn next_snapshot(
    target: &Target,
    base: &Snapshot,
    change: &Change,
) -> Result<Snapshot, Fault> {
    let to_fault = |fault: domains::Fault| {
        let names = base.domains.as_slice().iter().map(|domain| &*domain.name);
        let near = match &fault {
            domains::Fault::Unknown(name) => crate::process::input::nearest(name, names),
            _ => None,
        };
        Fault::Domain { near: near.map(Name::from), fault }
    };
    match target {
        Target::Document(document) => {
            document.check(base).map_err(Fault::Document)?;
            let domains = base.domains.with_names(&document.domains, Some(change));
            let domains = domains.map_err(to_fault)?;
            Ok(Snapshot::new(base.revision, services(document, base), domains))
        }
        Target::Domain { name, out } => {
            let domains = base.domains.set(name, *out, change).map_err(to_fault)?;
            Ok(Snapshot::new(base.revision, base.services().to_vec(), domains))
        }
    }
}

/// The services of all organisations, with those of the document's organisation replaced.
/// Unchanged services keep their version in force.
fn services(document: &Document, base: &Snapshot) -> Vec<Arc<Service>> {
    let others =
        base.services().iter().filter(|s| s.organisation != document.organisation);
    let own = document.services.iter().map(|service| {
        match base.find(&service.organisation, &service.name) {
            Some(old) if old.matches(service) => old.clone(),
            _ => Arc::new(service.clone()),
        }
    });
    others.cloned().chain(own).collect()
}
