//! Submits changes of the configuration to the store.
//!
//! A submit reads what is in force ([`Force`]), plans a transaction against it ([`Plan`]),
//! and writes it. Every key is compared with the revision that was read. Transactions that
//! add, move or remove a service also compare and write the domain document, so that two
//! operators cannot give one address to two services at the same time.

pub mod conflict;
pub mod force;
pub mod plan;

use std::fmt::{self, Display, Formatter};

pub use conflict::Conflict;
pub use force::Force;
pub use plan::{Fault, Plan, Target};

use crate::process::name::Name;
use crate::process::store::{Error, Store, Written};
use crate::process::submit::plan::Fate;
use crate::version::config::{Change, MAX_NAME, key};

/// Repeated writes while the outcome of the first is unknown. Each comes after a read-back
/// that found nothing written, and its conditions keep it from undoing another change.
const ATTEMPTS: usize = 3;

/// Plans for one submit. Another one is made if only the domain document changed meanwhile.
const ROUNDS: usize = 5;

/// How a submit ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// There was nothing to change.
    Unchanged,
    /// The operator declined. Nothing was written.
    Declined,
    /// The change took effect.
    Done {
        /// The revision of the store with which it took effect, or a later one.
        revision: u64,
        /// Whether the store's answer was lost and the outcome was read back.
        read_back: bool,
    },
    /// The change did not take effect: others changed the same documents. Never empty.
    Lost(Vec<Conflict>),
    /// The change did not take effect: the store did not take it.
    Failed(Error),
    /// Still unknown: the store's answer was lost and it cannot be read back.
    Unknown(Error),
    /// Still unknown: the store's answer was lost and others changed the same documents
    /// more than once since.
    Superseded(Vec<Conflict>),
}

/// Submits a change.
///
/// `confirm` sees each plan that differs from the one before and may decline.
///
/// # Errors
/// If the change is refused or what is in force cannot be read. Nothing was written then.
pub async fn submit<S: Store>(
    store: &S,
    target: &Target,
    change: &Change,
    mut confirm: impl FnMut(&Plan) -> bool,
) -> Result<Outcome, Fault> {
    let mut confirmed: Option<Plan> = None;
    let mut rounds = ROUNDS;
    loop {
        let force = Force::read(store).await.map_err(Fault::Read)?;
        let plan = Plan::new(target, &force, change)?;
        if plan.diff.is_empty() {
            return Ok(Outcome::Unchanged);
        }
        let same = confirmed.as_ref().is_some_and(|last| last.diff == plan.diff);
        if !same && !confirm(&plan) {
            return Ok(Outcome::Declined);
        }
        rounds -= 1;
        match commit(store, &plan).await {
            Outcome::Lost(conflicts) if rounds > 0 && !plan.concerns(&conflicts) => {}
            outcome => return Ok(outcome),
        }
        confirmed = Some(plan);
    }
}

/// Writes a plan and finds out whether it took effect.
pub async fn commit<S: Store>(store: &S, plan: &Plan) -> Outcome {
    match store.write(plan.txn().clone()).await {
        Ok(Written::Done { revision }) => Outcome::Done { revision, read_back: false },
        Ok(Written::Lost { current }) => {
            // The domain document may tell more than the keys that were compared.
            let entries =
                store.range(key::PREFIX).await.map_or(current, |range| range.entries);
            Outcome::Lost(plan.conflicts(&entries))
        }
        Err(error) if error.is_unknown() => resolve(store, plan, error).await,
        Err(error) => Outcome::Failed(error),
    }
}

/// Finds out what became of a write whose answer was lost, and writes it again while nothing
/// has been written.
async fn resolve<S: Store>(store: &S, plan: &Plan, lost: Error) -> Outcome {
    for _ in 0..ATTEMPTS {
        let range = match store.range(key::PREFIX).await {
            Ok(range) => range,
            Err(error) => return Outcome::Unknown(error),
        };
        match plan.fate(&range) {
            Fate::Took { revision } => {
                return Outcome::Done { revision, read_back: true };
            }
            Fate::Not => return Outcome::Lost(plan.conflicts(&range.entries)),
            Fate::Unclear => return Outcome::Superseded(plan.conflicts(&range.entries)),
            Fate::Pending => {}
        }
        // Any other result, also a failed condition, may come from an earlier attempt that
        // was late. The next read-back tells.
        if let Ok(Written::Done { revision }) = store.write(plan.txn().clone()).await {
            return Outcome::Done { revision, read_back: true };
        }
    }
    Outcome::Unknown(lost)
}

/// Names an operation: the operator, the time and a random number.
///
/// Characters that a name cannot hold are left out of the operator's name.
pub fn operation(operator: &str, wall_ms: u64, random: u32) -> Name {
    let suffix = format!("-{wall_ms:x}-{random:08x}");
    let kept = |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || *c == '-';
    let operator: String = operator
        .to_ascii_lowercase()
        .chars()
        .filter(kept)
        .take(MAX_NAME - suffix.len())
        .collect();
    let operator = if operator.is_empty() { "operator" } else { &operator };
    format!("{operator}{suffix}").into()
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unchanged => f.write_str("nothing to change"),
            Self::Declined => f.write_str("declined; nothing was written"),
            Self::Done { revision, read_back: false } => {
                write!(f, "took effect at revision {revision}")
            }
            Self::Done { revision, read_back: true } => write!(
                f,
                "took effect at revision {revision}; the store's answer was lost and the \
                 outcome read back"
            ),
            Self::Lost(conflicts) => {
                f.write_str("did not take effect: the configuration changed meanwhile")?;
                conflict::list(f, conflicts)?;
                f.write_str("\n  hint: check the change against that and submit again")
            }
            Self::Failed(error) => write!(f, "did not take effect: {error}"),
            Self::Unknown(error) => write!(
                f,
                "still unknown: the store cannot be reached to find out whether the change \
                 took effect: {error}\n  hint: run the same command again when the store \
                 answers; it writes only what is not in force"
            ),
            Self::Superseded(conflicts) => {
                f.write_str(
                    "still unknown: the store's answer was lost, and others have changed \
                     the configuration since",
                )?;
                conflict::list(f, conflicts)
            }
        }
    }
}
