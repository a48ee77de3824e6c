//! The rotation of the fleet's secrets.

use std::fmt::{self, Display, Formatter};

use crate::process::key::Secret;

/// Time in milliseconds before a new secret is used. Configuration is in force everywhere
/// within 7 s; the rest allows for clocks that differ.
pub const SPREAD_MS: u64 = 60_000;

/// Time in milliseconds that a secret stays valid after its successor came into use: the
/// duration of the longest flow.
pub const KEEP_MS: u64 = 24 * 3_600_000;

/// The secrets of the fleet, besides the one in the settings.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Book {
    /// In the order in which they were added; identifiers are unique and never
    /// [`Secret::FLEET`].
    secrets: Vec<Dated>,
}

/// A secret and when it was added.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dated {
    /// The secret.
    pub secret: Secret,
    /// The operator's wall clock, in milliseconds since the Unix epoch.
    pub added_ms: u64,
}

impl Dated {
    /// When it comes into use.
    fn active_ms(&self) -> u64 {
        self.added_ms.saturating_add(SPREAD_MS)
    }
}

impl Book {
    /// Checks a list of secrets in the order in which they were added.
    ///
    /// # Errors
    /// If an identifier is that of the fleet secret or is used twice.
    pub fn new(secrets: Vec<Dated>) -> Result<Self, Fault> {
        for (at, dated) in secrets.iter().enumerate() {
            let id = dated.secret.id;
            let twice = secrets[..at].iter().any(|other| other.secret.id == id);
            if twice || id == Secret::FLEET {
                return Err(Fault::Identifier(id));
            }
        }
        Ok(Self { secrets })
    }

    /// All secrets, in the order in which they were added.
    pub fn secrets(&self) -> &[Dated] {
        &self.secrets
    }

    /// The identifier of the secret for new uses at this wall-clock time: the latest that had
    /// time to spread, or else the fleet secret.
    pub fn current(&self, wall_ms: u64) -> u8 {
        let mut spread = self.secrets.iter().filter(|dated| dated.active_ms() <= wall_ms);
        spread.next_back().map_or(Secret::FLEET, |dated| dated.secret.id)
    }

    /// The secrets that are valid at this wall-clock time.
    ///
    /// Those that are not in use yet are among them: another process may use them first.
    pub fn valid(&self, wall_ms: u64) -> impl Iterator<Item = &Secret> {
        let over = move |at: usize| {
            let next = self.secrets.get(at + 1);
            next.is_some_and(|next| next.active_ms().saturating_add(KEEP_MS) <= wall_ms)
        };
        let all = self.secrets.iter().enumerate();
        all.filter(move |(at, _)| !over(*at)).map(|(_, dated)| &dated.secret)
    }
}

/// Adds a secret and drops those that are no longer valid.
///
/// The new one comes into use after [`SPREAD_MS`] by itself; no second write is needed.
///
/// # Errors
/// If the last rotation has not come into use yet, or all identifiers are in use.
pub fn rotate(book: &Book, wall_ms: u64, bytes: [u8; 32]) -> Result<Book, Fault> {
    let last = book.secrets.last();
    if let Some(last) = last.filter(|last| last.active_ms() > wall_ms) {
        return Err(Fault::Early { wait_ms: last.active_ms() - wall_ms });
    }
    let valid: Vec<u8> = book.valid(wall_ms).map(|secret| secret.id).collect();
    let mut secrets = book.secrets.clone();
    secrets.retain(|dated| valid.contains(&dated.secret.id));
    let before = last.map_or(Secret::FLEET, |dated| dated.secret.id);
    let id = (1..=u8::MAX)
        .map(|step| before.wrapping_add(step))
        .find(|id| *id != Secret::FLEET && !valid.contains(id))
        .ok_or(Fault::Full)?;
    secrets.push(Dated { secret: Secret { id, bytes }, added_ms: wall_ms });
    Book::new(secrets)
}

/// Why secrets are refused. Holds no secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An identifier is reserved or used twice.
    Identifier(u8),
    /// The last rotation is too recent.
    Early {
        /// When to try again, in milliseconds.
        wait_ms: u64,
    },
    /// There are 255 valid secrets.
    Full,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Identifier(id) => write!(f, "key identifier {id} is not allowed here"),
            Self::Early { wait_ms } => write!(
                f,
                "the last rotation is not in use yet; try again in {} s",
                wait_ms.div_ceil(1_000)
            ),
            Self::Full => {
                f.write_str("all key identifiers are in use; rotate less often")
            }
        }
    }
}

impl std::error::Error for Fault {}
