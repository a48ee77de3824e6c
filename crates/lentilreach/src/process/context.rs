//! State shared by the requests at one agent: the limiter, the ledger and the backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};

use crate::id::node;
use crate::process::binding::{Binding, Fault, Key, LIFETIME_MS};
use crate::process::clock::{Clock, Millis};
use crate::process::drain::Drain;
use crate::process::ledger::{self, Decision, Ledger, Revocation, StoredResponse};
use crate::process::link::Link;
use crate::process::lock::Ranked;
use crate::process::revoke::{Revoker, Status};
use crate::process::slot::Slots;
use crate::process::tables::{LEDGER, Tables};
use crate::request::rule::{self, Outcome};
use crate::request::serve::{Completion, Upstream};

/// Maximum number of records in the ledger.
///
/// A record is kept for [`LIFETIME_MS`], so this allows an average of 18 non-idempotent
/// requests per second; above that, new ones are refused as not run.
const MAX_RECORDS: usize = 65_536;

/// State shared by the request tasks of one agent.
#[derive(Debug)]
pub struct Context<U, L> {
    /// Settings that do not change.
    settings: Settings,
    /// Maximum duration of a request, in milliseconds.
    deadline_ms: AtomicU64,
    /// Maximum duration of the drain of a connection, in milliseconds.
    leave_ms: AtomicU64,
    /// The view and the keys.
    tables: Arc<Tables>,
    /// The concurrency limiter of the backend server.
    slots: Slots,
    /// The record of non-idempotent requests.
    ledger: Ranked<Ledger>,
    /// Connections to the backend server.
    upstream: U,
    /// Asks other agents to revoke keys that they own.
    revoker: Arc<Revoker<L>>,
    /// The drain signal of the process.
    drain: Drain,
}

/// Settings of a [`Context`].
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The agent's process.
    pub node: node::Id,
    /// The envelope address of the agent.
    pub agent: std::net::SocketAddrV4,
    /// The agent's clock.
    pub clock: Clock,
    /// Initial maximum duration of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Initial maximum duration of the drain of a connection, in milliseconds.
    pub leave_ms: u64,
}

/// The decision on a non-idempotent request.
#[derive(Debug)]
pub enum Claim {
    /// Run it; it is recorded under this key.
    Run(ledger::Key),
    /// It has run; send this response.
    Replay(StoredResponse),
    /// Do not run it; send this status and outcome.
    Respond(StatusCode, Outcome),
}

impl<U: Upstream, L: Link> Context<U, L> {
    /// Creates a context for one backend server.
    pub fn new(
        settings: Settings,
        tables: Arc<Tables>,
        slots: Slots,
        upstream: U,
        revoker: Arc<Revoker<L>>,
        drain: Drain,
    ) -> Self {
        let ledger = Ledger::new(settings.node, MAX_RECORDS, LIFETIME_MS);
        let ledger = Ranked::new(LEDGER, ledger);
        let deadline_ms = AtomicU64::new(settings.deadline_ms);
        let leave_ms = AtomicU64::new(settings.leave_ms);
        Self {
            settings,
            deadline_ms,
            leave_ms,
            tables,
            slots,
            ledger,
            upstream,
            revoker,
            drain,
        }
    }

    /// The agent's current time.
    pub fn now(&self) -> Millis {
        self.settings.clock.now()
    }

    /// Maximum duration of a request, in milliseconds.
    pub fn deadline_ms(&self) -> u64 {
        self.deadline_ms.load(Ordering::Relaxed)
    }

    /// Maximum duration of the drain of a connection.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.leave_ms.load(Ordering::Relaxed))
    }

    /// Replaces the maximum durations of requests and of the drain of a connection. Applies to
    /// those that start from now on.
    pub fn set_time_limits(&self, deadline_ms: u64, leave_ms: u64) {
        self.deadline_ms.store(deadline_ms, Ordering::Relaxed);
        self.leave_ms.store(leave_ms, Ordering::Relaxed);
    }

    /// The concurrency limiter of the backend server.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Connections to the backend server.
    pub fn upstream(&self) -> &U {
        &self.upstream
    }

    /// The drain signal of the process.
    pub fn drain(&self) -> &Drain {
        &self.drain
    }

    /// Adds a new binding to the headers of a response.
    pub fn insert_binding(&self, headers: &mut HeaderMap) {
        let binding = Binding {
            node: self.settings.node,
            agent: self.settings.agent,
            expiry: self.ledger.read().expiry(self.now()),
            serial: fastrand::u64(..),
        };
        let text = binding.encode(&self.tables.keys());
        if let Some(text) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert(rule::BINDING, text);
        }
    }

    /// Decides on a non-idempotent request by its idempotency key.
    pub async fn claim(&self, headers: &HeaderMap) -> Claim {
        let required = Claim::Respond(StatusCode::PRECONDITION_REQUIRED, Outcome::NotRun);
        let Some(text) = headers.get(rule::IDEMPOTENCY_KEY) else { return required };
        let Ok(text) = text.to_str() else { return required };
        let keys = self.tables.keys();
        let key = match Key::decode(text, &keys) {
            Ok(key) => key,
            Err(Fault::Form) => return required,
            // The agent that issued it may have run the request under this key.
            Err(Fault::Signature | Fault::Body) => {
                return Claim::Respond(StatusCode::BAD_GATEWAY, Outcome::Unknown);
            }
        };
        let record = ledger::Key::from(&key);
        if key.binding.node != self.settings.node {
            let owner = SocketAddr::V4(key.binding.agent);
            return Self::remote_claim(self.revoker.revoke(owner, record).await);
        }
        let decision = self.ledger.write().begin(self.now(), &record);
        match decision {
            Decision::Run => Claim::Run(record),
            Decision::Running => Claim::Respond(StatusCode::CONFLICT, Outcome::Running),
            Decision::Done(response) => Claim::Replay(response.as_ref().clone()),
            Decision::Revoked => Claim::Respond(StatusCode::CONFLICT, Outcome::NotRun),
            Decision::Expired => {
                Claim::Respond(StatusCode::BAD_GATEWAY, Outcome::Unknown)
            }
            Decision::Full => {
                Claim::Respond(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun)
            }
        }
    }

    /// Records the result of a request that [`Self::claim`] allowed to run.
    pub fn record_outcome(&self, key: &ledger::Key, completion: &Completion) {
        let outcome = match completion {
            Completion::Answered(response) => ledger::Outcome::Answered(response.clone()),
            Completion::NotRun(_) => ledger::Outcome::NotRun,
            Completion::Unknown => ledger::Outcome::Unknown,
        };
        self.ledger.write().finish(self.now(), key, outcome);
    }

    /// Revokes a key on behalf of another agent.
    pub fn revoke(&self, key: &ledger::Key) -> Revocation {
        self.ledger.write().revoke(self.now(), key)
    }

    /// The decision on a request whose key is owned by another agent.
    fn remote_claim(status: Status) -> Claim {
        match status {
            Status::Revoked => Claim::Respond(StatusCode::CONFLICT, Outcome::NotRun),
            Status::Running => Claim::Respond(StatusCode::CONFLICT, Outcome::Running),
            Status::Done(response) => Claim::Replay(response),
            Status::TooLarge => Claim::Respond(StatusCode::CONFLICT, Outcome::Done),
            Status::Unknown => Claim::Respond(StatusCode::BAD_GATEWAY, Outcome::Unknown),
        }
    }
}
