//! Errors of store calls.

use std::fmt::{self, Display, Formatter};

use crate::process::name::Name;

/// The kind of a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Opening the connection.
    Connect,
    /// Reading keys.
    Range,
    /// Writing keys in a transaction.
    Write,
    /// Creating a lease.
    Grant,
    /// Extending a lease.
    Keep,
    /// Ending a lease.
    Revoke,
    /// Opening a watch or waiting for changes.
    Watch,
}

impl Step {
    /// The label of the step in metrics and messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Range => "range",
            Self::Write => "write",
            Self::Grant => "grant",
            Self::Keep => "keep",
            Self::Revoke => "revoke",
            Self::Watch => "watch",
        }
    }

    /// Whether the call is idempotent.
    ///
    /// A repeated grant leaves a lease that nobody holds, and a repeated write could undo a
    /// change that another process made in between. Identifiers of leases are never reused, so
    /// a repeated revoke cannot end another lease.
    pub fn is_repeatable(self) -> bool {
        !matches!(self, Self::Write | Self::Grant)
    }
}

/// The rate limit that refused a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// The call budget of this process.
    Budget,
    /// The store's own limit.
    Store,
}

/// Why a store call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The store cannot be reached. No key was written and no lease created.
    Unavailable {
        /// The kind of the call that failed.
        step: Step,
        /// The address of the store.
        peer: Name,
        /// The system's or the store's message.
        cause: String,
    },
    /// An idempotent call was not answered in time.
    Timeout {
        /// The kind of the call that failed.
        step: Step,
        /// The address of the store.
        peer: Name,
        /// The timeout, in milliseconds.
        after_ms: u64,
    },
    /// A change has no valid answer. It may have taken effect.
    Unknown {
        /// The kind of the call that failed.
        step: Step,
        /// The address of the store.
        peer: Name,
        /// The reason why there is no answer.
        cause: String,
    },
    /// A rate limit refused the call. It had no effect.
    Throttled {
        /// The kind of the call that failed.
        step: Step,
        /// The address of the store.
        peer: Name,
        /// The limit that refused the call.
        limit: Limit,
    },
    /// The revisions to watch were compacted. Read the range and watch from its revision plus
    /// one.
    Compacted {
        /// The kind of the call that failed.
        step: Step,
        /// The address of the store.
        peer: Name,
        /// Oldest revision that can be watched.
        revision: u64,
    },
    /// The lease has ended, and its keys are deleted.
    Lapsed {
        /// The kind of the call that failed.
        step: Step,
        /// The address of the store.
        peer: Name,
    },
    /// The store refused the request, or its answer is malformed.
    Protocol {
        /// The kind of the call that failed.
        step: Step,
        /// The address of the store.
        peer: Name,
        /// The store's message, or what is wrong with the answer.
        cause: String,
    },
}

impl Error {
    /// The kind of the call that failed.
    pub fn step(&self) -> Step {
        match self {
            Self::Unavailable { step, .. }
            | Self::Timeout { step, .. }
            | Self::Unknown { step, .. }
            | Self::Throttled { step, .. }
            | Self::Compacted { step, .. }
            | Self::Lapsed { step, .. }
            | Self::Protocol { step, .. } => *step,
        }
    }

    /// The label of the error in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Unavailable { .. } => "unavailable",
            Self::Timeout { .. } => "timeout",
            Self::Unknown { .. } => "unknown",
            Self::Throttled { .. } => "throttled",
            Self::Compacted { .. } => "compacted",
            Self::Lapsed { .. } => "lapsed",
            Self::Protocol { .. } => "protocol",
        }
    }

    /// Whether it is unknown if the requested change took effect.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }

    /// Whether the same call may succeed later.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Unavailable { .. } | Self::Timeout { .. } | Self::Throttled { .. }
        )
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "store {}", self.step().as_str())?;
        match self {
            Self::Unavailable { peer, cause, .. } => {
                write!(f, ": {peer} cannot be reached: {cause}")
            }
            Self::Timeout { peer, after_ms, .. } => {
                write!(f, ": no answer from {peer} for {after_ms} ms")
            }
            Self::Unknown { peer, cause, .. } => write!(
                f,
                ": answer from {peer} lost, the change may have taken effect; read back \
                 before another attempt: {cause}"
            ),
            Self::Throttled { peer, limit: Limit::Store, .. } => {
                write!(f, ": refused by the rate limit of {peer}; call less often")
            }
            Self::Throttled { peer, limit: Limit::Budget, .. } => write!(
                f,
                ": refused by the call budget of this process for {peer}; call less often \
                 or raise the budget"
            ),
            Self::Compacted { peer, revision, .. } => write!(
                f,
                ": {peer} keeps revisions from {revision} on; read the keys again and watch \
                 from there"
            ),
            Self::Lapsed { peer, .. } => {
                write!(f, ": the lease has ended at {peer}; create another one")
            }
            Self::Protocol { peer, cause, .. } => write!(f, ": {peer}: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
