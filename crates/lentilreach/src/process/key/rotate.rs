//! Rotation of the secrets of the fleet.

use std::fmt::{self, Display, Formatter};

use crate::process::key::Secret;

/// Time from the addition of a secret to its first use, in milliseconds. The document reaches
/// every process within 7 s; the rest allows for clock differences.
pub const ACTIVATION_DELAY_MS: u64 = 60_000;

/// Time for which a secret stays valid after the activation of its successor, in milliseconds.
/// It is the duration of the longest flow.
pub const RETENTION_MS: u64 = 24 * 3_600_000;

/// The secrets of the fleet, without the fleet secret.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Secrets {
    /// In the order in which they were added; identifiers are unique and never
    /// [`Secret::FLEET`].
    secrets: Vec<DatedSecret>,
}

/// A secret with the time at which it was added.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatedSecret {
    /// The secret.
    pub secret: Secret,
    /// Time at which it was added, by the operator's wall clock, in milliseconds since the Unix
    /// epoch.
    pub added_ms: u64,
}

impl DatedSecret {
    /// Time of its activation, in milliseconds since the Unix epoch.
    fn active_ms(&self) -> u64 {
        self.added_ms.saturating_add(ACTIVATION_DELAY_MS)
    }
}

impl Secrets {
    /// Validates a list of secrets in the order in which they were added.
    ///
    /// # Errors
    /// If an identifier is that of the fleet secret or is used twice.
    pub fn new(secrets: Vec<DatedSecret>) -> Result<Self, Fault> {
        for (index, dated) in secrets.iter().enumerate() {
            let id = dated.secret.id;
            let is_duplicate = secrets[..index].iter().any(|other| other.secret.id == id);
            if is_duplicate || id == Secret::FLEET {
                return Err(Fault::Identifier(id));
            }
        }
        Ok(Self { secrets })
    }

    /// All secrets, in the order in which they were added.
    pub fn secrets(&self) -> &[DatedSecret] {
        &self.secrets
    }

    /// The identifier of the secret for new tokens, envelopes and bindings at a wall-clock time:
    /// the latest active one, or else the fleet secret.
    pub fn current(&self, wall_ms: u64) -> u8 {
        let mut active = self.secrets.iter().filter(|dated| dated.active_ms() <= wall_ms);
        active.next_back().map_or(Secret::FLEET, |dated| dated.secret.id)
    }

    /// The secrets that are valid at a wall-clock time.
    ///
    /// They include secrets that are not active yet, because another process may activate them
    /// earlier.
    pub fn valid(&self, wall_ms: u64) -> impl Iterator<Item = &Secret> {
        let is_expired = move |index: usize| {
            let next = self.secrets.get(index + 1);
            next.is_some_and(|next| {
                next.active_ms().saturating_add(RETENTION_MS) <= wall_ms
            })
        };
        let all = self.secrets.iter().enumerate();
        all.filter(move |(index, _)| !is_expired(*index)).map(|(_, dated)| &dated.secret)
    }
}

/// Adds a secret and drops those that are no longer valid.
///
/// The new secret becomes active after [`ACTIVATION_DELAY_MS`] without a second write.
///
/// # Errors
/// If the last added secret is not active yet, or all identifiers are in use.
pub fn rotate(
    secrets: &Secrets,
    wall_ms: u64,
    bytes: [u8; 32],
) -> Result<Secrets, Fault> {
    let last = secrets.secrets.last();
    if let Some(last) = last.filter(|last| last.active_ms() > wall_ms) {
        return Err(Fault::Early { wait_ms: last.active_ms() - wall_ms });
    }
    let valid: Vec<u8> = secrets.valid(wall_ms).map(|secret| secret.id).collect();
    let mut list = secrets.secrets.clone();
    list.retain(|dated| valid.contains(&dated.secret.id));
    let last_id = last.map_or(Secret::FLEET, |dated| dated.secret.id);
    let id = (1..=u8::MAX)
        .map(|step| last_id.wrapping_add(step))
        .find(|id| *id != Secret::FLEET && !valid.contains(id))
        .ok_or(Fault::Full)?;
    list.push(DatedSecret { secret: Secret { id, bytes }, added_ms: wall_ms });
    Secrets::new(list)
}

/// Why a list of secrets or a rotation is refused. Contains no secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An identifier is reserved or used twice.
    Identifier(u8),
    /// The last added secret is not active yet.
    Early {
        /// Time until its activation, in milliseconds.
        wait_ms: u64,
    },
    /// All 255 identifiers are in use.
    Full,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Identifier(id) => {
                write!(f, "key identifier {id} is reserved or used twice")
            }
            Self::Early { wait_ms } => write!(
                f,
                "the key of the last rotation is not active yet; try again in {} s",
                wait_ms.div_ceil(1_000)
            ),
            Self::Full => {
                f.write_str("all key identifiers are in use; rotate less often")
            }
        }
    }
}

impl std::error::Error for Fault {}
