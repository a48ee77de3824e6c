//! The failure domains of all organisations.

use std::fmt::{self, Display, Formatter};

use crate::id::domain::Id;
use crate::process::name::Name;
use crate::version::config::is_name;

/// Maximum number of failure domains over time: an identifier is one byte and is never reused.
pub const MAX: usize = 256;

/// All failure domains that were ever configured, in the order of their identifiers.
///
/// The identifier of a failure domain is its position in the list. Tokens carry it, so entries
/// are only appended and never removed or reordered. Names are unique.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Domains(Vec<Domain>);

impl Domains {
    /// Validates a list of failure domains.
    ///
    /// # Errors
    /// If an identifier is not the position of its entry, or a name is invalid or used twice.
    pub fn new(list: Vec<Domain>) -> Result<Self, Fault> {
        if list.len() > MAX {
            return Err(Fault::Full);
        }
        for (position, domain) in list.iter().enumerate() {
            if !is_name(&domain.name) {
                return Err(Fault::Name(domain.name.clone()));
            }
            if usize::from(domain.id.0) != position {
                return Err(Fault::Position { name: domain.name.clone(), id: domain.id });
            }
            if list[..position].iter().any(|other| other.name == domain.name) {
                return Err(Fault::Twice(domain.name.clone()));
            }
        }
        Ok(Self(list))
    }

    /// All failure domains, sorted by identifier.
    pub fn as_slice(&self) -> &[Domain] {
        &self.0
    }

    /// Finds a failure domain by name.
    pub fn find(&self, name: &str) -> Option<&Domain> {
        self.0.iter().find(|domain| &*domain.name == name)
    }

    /// Finds a failure domain by identifier.
    pub fn get(&self, id: Id) -> Option<&Domain> {
        self.0.get(usize::from(id.0))
    }

    /// Returns the list with missing names appended as domains in service.
    ///
    /// # Errors
    /// If no identifier is left or a name is invalid.
    pub fn with_names(
        &self,
        names: &[Name],
        change: Option<&Change>,
    ) -> Result<Self, Fault> {
        let mut list = self.0.clone();
        for name in names {
            if list.iter().any(|domain| domain.name == *name) {
                continue;
            }
            let id = u8::try_from(list.len()).map_err(|_| Fault::Full)?;
            let changed = change.cloned();
            list.push(Domain { name: name.clone(), id: Id(id), out: false, changed });
        }
        Self::new(list)
    }

    /// Returns the list with a failure domain taken out of service or brought back.
    ///
    /// If the domain already has that state, the list stays the same and `change` is not
    /// recorded.
    ///
    /// # Errors
    /// If there is no such failure domain.
    pub fn set(&self, name: &str, out: bool, change: &Change) -> Result<Self, Fault> {
        let mut list = self.0.clone();
        let found = list.iter_mut().find(|domain| &*domain.name == name);
        let domain = found.ok_or_else(|| Fault::Unknown(name.into()))?;
        if domain.out != out {
            domain.out = out;
            domain.changed = Some(change.clone());
        }
        Ok(Self(list))
    }

    /// Whether this list may replace `older`: every identifier of `older` still refers to the
    /// same domain.
    pub fn extends(&self, older: &Self) -> bool {
        older.0.len() <= self.0.len()
            && older.0.iter().zip(&self.0).all(|(old, new)| old.name == new.name)
    }
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Domain {
    /// Its name, unique over all organisations.
    pub name: Name,
    /// Its identifier in tokens, which is its position in [`Domains`].
    pub id: Id,
    /// Whether operators have taken it out of service.
    pub out: bool,
    /// Its last change, if recorded.
    pub changed: Option<Change>,
}

/// The operation that changed something, and its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The operation.
    pub operation: Name,
    /// The operator's wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// Why a list of failure domains is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The identifier of a failure domain is not its position.
    Position {
        /// The failure domain.
        name: Name,
        /// Its identifier.
        id: Id,
    },
    /// An invalid name.
    Name(Name),
    /// A name is used twice.
    Twice(Name),
    /// There is no failure domain with this name.
    Unknown(Name),
    /// All [`MAX`] identifiers are in use.
    Full,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Position { name, id } => {
                write!(f, "the id {} of failure domain {name} is not its position", id.0)
            }
            Self::Name(name) => write!(f, "invalid failure domain name {name:?}"),
            Self::Twice(name) => write!(f, "failure domain {name} is listed twice"),
            Self::Unknown(name) => write!(f, "there is no failure domain {name}"),
            Self::Full => write!(f, "all {MAX} failure domain ids are in use"),
        }
    }
}

impl std::error::Error for Fault {}
