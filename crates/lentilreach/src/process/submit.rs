//! Submits changes of the configuration to the store, with optimistic concurrency control.
//!
//! A submit reads the configuration in force ([`Current`]), plans a transaction against it
//! ([`Plan`]) and writes it. The transaction takes effect only if every key still has the
//! revision that was read. Transactions that add or remove a service or change its address
//! also compare and write the domain document, so that two operators cannot give the same
//! address to two services at the same time.

pub mod conflict;
pub mod current;
pub mod plan;

use std::fmt::{self, Display, Formatter};

pub use conflict::Conflict;
pub use current::Current;
pub use plan::{Fault, Plan, Target};

use crate::process::name::Name;
use crate::process::store::{Error, Store, TxnResult};
use crate::process::submit::plan::Status;
use crate::version::config::{Change, MAX_NAME, key};

/// Maximum number of repeated writes after a lost answer. Each one follows a read-back that
/// found nothing written, and its conditions prevent it from undoing another change.
const MAX_REWRITES: usize = 3;

/// Maximum number of plans that one submit commits. It plans again if only unrelated parts of
/// the domain document changed in the meantime.
const MAX_PLANS: usize = 5;

/// The result of a submit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// There was nothing to change.
    Unchanged,
    /// The operator declined the change. Nothing was written.
    Declined,
    /// The change took effect.
    Done {
        /// The revision of the store at which it took effect, or a later one.
        revision: u64,
        /// Whether the store's answer was lost and the outcome was read back.
        read_back: bool,
    },
    /// The change did not take effect, because others changed the same documents. Never empty.
    Lost(Vec<Conflict>),
    /// The change did not take effect, because the store did not accept it.
    Failed(Error),
    /// Unknown: the store's answer was lost and the outcome could not be read back.
    Unknown(Error),
    /// Unknown: the store's answer was lost, and later changes of the same documents hide
    /// whether the change took effect.
    Superseded(Vec<Conflict>),
}

/// Submits a change.
///
/// `confirm` is called for the first plan and for each plan whose changes differ from the
/// previous one. The submit ends if it returns `false`.
///
/// # Errors
/// If the change is refused or the configuration in force cannot be read. Nothing was written
/// in these cases.
pub async fn submit<S: Store>(
    store: &S,
    target: &Target,
    change: &Change,
    mut confirm: impl FnMut(&Plan) -> bool,
) -> Result<Outcome, Fault> {
    let mut confirmed: Option<Plan> = None;
    let mut plans_left = MAX_PLANS;
    loop {
        let current = Current::read(store).await.map_err(Fault::Read)?;
        let plan = Plan::new(target, &current, change)?;
        if plan.diff.is_empty() {
            return Ok(Outcome::Unchanged);
        }
        let same = confirmed.as_ref().is_some_and(|last| last.diff == plan.diff);
        if !same && !confirm(&plan) {
            return Ok(Outcome::Declined);
        }
        plans_left -= 1;
        match commit(store, &plan).await {
            Outcome::Lost(conflicts) if plans_left > 0 && !plan.overlaps(&conflicts) => {}
            outcome => return Ok(outcome),
        }
        confirmed = Some(plan);
    }
}

/// Writes a plan and determines whether it took effect.
pub async fn commit<S: Store>(store: &S, plan: &Plan) -> Outcome {
    match store.write(plan.txn().clone()).await {
        Ok(TxnResult::Committed { revision }) => {
            Outcome::Done { revision, read_back: false }
        }
        Ok(TxnResult::ConditionFailed { current }) => {
            // The domain document may identify the operation that removed a service, even if
            // it is not among the compared keys.
            let entries =
                store.range(key::PREFIX).await.map_or(current, |range| range.entries);
            Outcome::Lost(plan.conflicts(&entries))
        }
        Err(error) if error.is_unknown() => resolve(store, plan, error).await,
        Err(error) => Outcome::Failed(error),
    }
}

/// Determines by reading back whether a write without an answer took effect. Repeats the write
/// as long as none of its keys has changed.
async fn resolve<S: Store>(store: &S, plan: &Plan, write_error: Error) -> Outcome {
    for _ in 0..MAX_REWRITES {
        let range = match store.range(key::PREFIX).await {
            Ok(range) => range,
            Err(error) => return Outcome::Unknown(error),
        };
        match plan.write_status(&range) {
            Status::Applied { revision } => {
                return Outcome::Done { revision, read_back: true };
            }
            Status::NotApplied => return Outcome::Lost(plan.conflicts(&range.entries)),
            Status::Unknown => {
                return Outcome::Superseded(plan.conflicts(&range.entries));
            }
            Status::Pending => {}
        }
        // Any other result is inconclusive: even a failed condition may be due to an earlier
        // attempt that reached the store late. The next read-back decides.
        if let Ok(TxnResult::Committed { revision }) =
            store.write(plan.txn().clone()).await
        {
            return Outcome::Done { revision, read_back: true };
        }
    }
    Outcome::Unknown(write_error)
}

/// Builds the name of an operation from the operator, the time and a random number.
///
/// Characters of the operator that are not valid in a name are left out.
pub fn operation(operator: &str, wall_ms: u64, random: u32) -> Name {
    let suffix = format!("-{wall_ms:x}-{random:08x}");
    let is_valid = |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || *c == '-';
    let operator: String = operator
        .to_ascii_lowercase()
        .chars()
        .filter(is_valid)
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
                conflict::write_list(f, conflicts)?;
                f.write_str("\n  hint: review these changes and submit again")
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
                conflict::write_list(f, conflicts)
            }
        }
    }
}
