//! Revisions of a store that may come back from an older copy of itself.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// A revision of a store in one of its eras, ordered by era first.
///
/// A store that comes back from an older copy gives its numbers out again. A number therefore
/// only tells which of two states is newer if both are of one era.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Revision {
    /// How often the store had come back from an older copy, see
    /// [`Store::era`](super::Store::era).
    pub era: u64,
    /// The store's number; increases with each change. 0 stands for no revision.
    pub number: u64,
}

impl Revision {
    /// The revision after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self { number: self.number.saturating_add(1), ..self }
    }
}

impl From<u64> for Revision {
    /// A revision of a store that never comes back from a copy.
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

impl Display for Revision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
