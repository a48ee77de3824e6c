//! The transaction of one change, planned against what is in force.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use crate::process::input::Errors;
use crate::process::name::Name;
use crate::process::store::{Entry, Error, Range, Txn};
use crate::process::submit::conflict::{Conflict, What};
use crate::process::submit::force::{self, Force};
use crate::version::config::snapshot::Refused;
use crate::version::config::wire::Marks;
use crate::version::config::{
    Change, Document, Domains, Service, Snapshot, domains, key,
};
use crate::version::diff::{self, Diff, DomainChange};

/// Most services that one submit adds, changes or removes.
///
/// etcd takes 128 operations in a transaction by default; the rest is for the domain
/// document.
pub const MAX_SERVICES: usize = 120;

/// What an operator wants to be in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// The whole configuration of an organisation. Its services that are not in the document
    /// are removed; failure domains are only added.
    Document(Box<Document>),
    /// A failure domain out of service or back in it.
    Domain {
        /// The failure domain.
        name: Name,
        /// Whether it is to be out.
        out: bool,
    },
}

/// A change that can be written if nothing changes meanwhile.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// What the change does. Nothing is written if it is empty.
    pub diff: Diff,
    /// The operation that writes it.
    operation: Name,
    /// What was in force when it was planned.
    base: Snapshot,
    /// The operation that wrote the domain document when it was planned, if recorded.
    order: Option<Name>,
    /// The comparisons and writes.
    txn: Txn,
    /// The operation that wrote the compared version of each key of `txn.compares`.
    replaced: Vec<Option<Name>>,
}

impl Plan {
    /// Plans a change.
    ///
    /// # Errors
    /// If the change clashes with what is in force or the store holds an invalid document.
    pub fn new(target: &Target, force: &Force, change: &Change) -> Result<Self, Fault> {
        // An invalid domain document must not be replaced: identifiers would be reused.
        if let Some(refused) = force.refused.iter().find(|r| *r.key == *key::DOMAINS) {
            return Err(Fault::Store(refused.clone()));
        }
        let goal = goal(target, &force.snapshot, change)?;
        let diff = Diff::between(&force.snapshot, &goal);
        let count = diff.added.len() + diff.changed.len() + diff.removed.len();
        if count > MAX_SERVICES {
            return Err(Fault::Large { count });
        }
        let mut plan = Self {
            diff,
            operation: change.operation.clone(),
            base: force.snapshot.clone(),
            order: force.operation(key::DOMAINS),
            txn: Txn::new(),
            replaced: Vec::new(),
        };
        plan.fill(force, &goal.domains);
        Ok(plan)
    }

    /// The transaction.
    pub fn txn(&self) -> &Txn {
        &self.txn
    }

    /// What the change breaks or cannot undo, for the operator to confirm.
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

    /// What others changed, from the present entries of the store (sorted).
    pub fn conflicts(&self, current: &[Entry]) -> Vec<Conflict> {
        let remover = self.remover(current);
        let changed = self.txn.compares.iter().filter_map(|compare| {
            let now = force::find(current, &compare.key);
            let same = now.map_or(0, |entry| entry.modified) == compare.modified;
            (!same).then(|| {
                Conflict::between(&self.base, &compare.key, now, remover.as_ref())
            })
        });
        changed.collect()
    }

    /// Whether conflicts concern what this plan changes, so that an operator must look.
    ///
    /// The domain document is also written to order transactions, so a change of it often
    /// concerns nobody else.
    pub fn concerns(&self, conflicts: &[Conflict]) -> bool {
        let names: Vec<_> = self.diff.domains.iter().map(DomainChange::name).collect();
        conflicts.iter().any(|conflict| match &conflict.what {
            What::Domains(changes) => changes.iter().any(|c| names.contains(&c.name())),
            _ => true,
        })
    }

    /// What became of a write without an answer, from a later state of the store.
    pub(super) fn fate(&self, range: &Range) -> Fate {
        let (mut changed, mut not) = (false, false);
        for (compare, replaced) in self.txn.compares.iter().zip(&self.replaced) {
            let entry = force::find(&range.entries, &compare.key);
            if entry.map_or(0, |entry| entry.modified) == compare.modified {
                // The transaction is atomic, so one key unwritten means that none is. Only a
                // key that is absent as before may have been written and deleted again.
                not |= compare.modified != 0;
                continue;
            }
            changed = true;
            let Some(entry) = entry else { continue };
            let marks = Marks::read(&entry.value);
            if marks.operation.as_ref() == Some(&self.operation) {
                return Fate::Took { revision: entry.modified };
            }
            if marks.replaced.as_ref() == Some(&self.operation) {
                return Fate::Took { revision: range.revision };
            }
            // The other operation replaced the very version that this one compares with.
            not |= replaced.is_some() && marks.replaced == *replaced;
        }
        match (changed, not) {
            (false, _) => Fate::Pending,
            (true, true) => Fate::Not,
            (true, false) => Fate::Unclear,
        }
    }

    /// The operation that removed documents since the plan was made.
    ///
    /// A removal writes the domain document. If only one operation has written that since,
    /// it made every removal.
    fn remover(&self, current: &[Entry]) -> Option<Name> {
        let entry = force::find(current, key::DOMAINS)?;
        let marks = Marks::read(&entry.value);
        (self.order.is_some() && marks.replaced == self.order)
            .then_some(marks.operation)?
    }

    /// Fills in the transaction.
    fn fill(&mut self, force: &Force, domains: &Domains) {
        let diff = self.diff.clone();
        for service in diff.added.iter().chain(diff.changed.iter().map(|c| &c.new)) {
            let key = service.key();
            let replaced = self.compare(force, &key);
            let mut service = Service::clone(service);
            service.operation = Some(self.operation.clone());
            self.put(key, service.encode_after(replaced));
        }
        for service in &diff.removed {
            let key = service.key();
            self.compare(force, &key);
            self.txn.deletes.push(key);
        }
        if diff.needs_global_order() {
            let replaced = self.compare(force, &key::domains());
            let marks = Marks { operation: Some(self.operation.clone()), replaced };
            self.put(key::domains(), domains.encode_with(marks));
        }
    }

    /// Adds a comparison of a key; returns the operation that wrote the compared version.
    fn compare(&mut self, force: &Force, key: &Name) -> Option<Name> {
        let replaced = force.operation(key);
        let txn = std::mem::take(&mut self.txn);
        self.txn = txn.compare(key.clone(), force.modified(key));
        self.replaced.push(replaced.clone());
        replaced
    }

    /// Adds a write.
    fn put(&mut self, key: Name, value: bytes::Bytes) {
        let txn = std::mem::take(&mut self.txn);
        self.txn = txn.put(key, value);
    }
}

/// What became of a write without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    /// It took effect.
    Took {
        /// Its revision, or a later one.
        revision: u64,
    },
    /// It did not take effect and no longer can.
    Not,
    /// It has not taken effect but still can.
    Pending,
    /// Others have written since, so that it cannot be told.
    Unclear,
}

/// Why a change is refused. Nothing was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// What is in force cannot be read.
    Read(Error),
    /// The document clashes with what is in force.
    Document(Errors),
    /// The failure domain cannot be changed.
    Domain {
        /// Why.
        fault: domains::Fault,
        /// The nearest failure domain.
        near: Option<Name>,
    },
    /// The store holds a document that is not valid and must not be replaced.
    Store(Refused),
    /// More than [`MAX_SERVICES`] services differ.
    Large {
        /// How many.
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
                write!(f, "the store holds a document that is not valid: {refused}")
            }
            Self::Large { count } => write!(
                f,
                "{count} services differ, at most {MAX_SERVICES} can change at once\n  \
                 hint: add or change them in several submits"
            ),
        }
    }
}

impl std::error::Error for Fault {}

/// The configuration that an operator wants, as the successor of what is in force.
fn goal(target: &Target, base: &Snapshot, change: &Change) -> Result<Snapshot, Fault> {
    let refuse = |fault: domains::Fault| {
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
            let domains = domains.map_err(refuse)?;
            Ok(Snapshot::new(base.revision, services(document, base), domains))
        }
        Target::Domain { name, out } => {
            let domains = base.domains.set(name, *out, change).map_err(refuse)?;
            Ok(Snapshot::new(base.revision, base.services().to_vec(), domains))
        }
    }
}

/// The services of all organisations with those of the document in place.
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
