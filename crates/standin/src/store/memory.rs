//! The stand-in store without sockets.

use std::time::Duration;

use lentilreach::process::name::Name;
use lentilreach::process::store::{
    Batch, Error, Lease, Limit, Range, Step, Store, Txn, Watch, Written, convert,
};

use super::core::{Refusal, Span};
use super::cursor::Cursor;
use super::handle::{Fault, Handle};

/// A client of a store in the same process. Clones share the store.
#[derive(Debug, Clone)]
pub struct Memory {
    /// The store.
    handle: Handle,
}

impl Memory {
    /// A client of the handle's store.
    pub fn new(handle: Handle) -> Self {
        Self { handle }
    }

    /// Counts and faults.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}

impl Store for Memory {
    type Watch = Tail;

    fn peer(&self) -> Name {
        "memory".into()
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        let span = Span::Prefix(prefix.into());
        let answer = self.handle.call(Step::Range, |core, _| Ok(core.range(&span)));
        answer.await.map_err(|fault| error(Step::Range, fault))
    }

    async fn write(&self, txn: Txn) -> Result<Written, Error> {
        let answer = self.handle.call(Step::Write, |core, _| core.write(&txn));
        answer.await.map_err(|fault| error(Step::Write, fault))
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let seconds = convert::seconds(ttl);
        let answer = self.handle.call(Step::Grant, |core, now| core.grant(now, seconds));
        answer.await.map_err(|fault| error(Step::Grant, fault))
    }

    async fn keep(&self, lease: Lease) -> Result<Duration, Error> {
        let answer = self.handle.call(Step::Keep, |core, now| core.keep(now, lease));
        let seconds = answer.await.map_err(|fault| error(Step::Keep, fault))?;
        Ok(Duration::from_secs(seconds.unsigned_abs()))
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let answer = self.handle.call(Step::Revoke, |core, _| core.revoke(lease));
        match answer.await {
            Ok(()) | Err(Fault::Refused(Refusal::NoLease)) => Ok(()),
            Err(fault) => Err(error(Step::Revoke, fault)),
        }
    }

    async fn watch(&self, prefix: &str, from: u64) -> Result<Tail, Error> {
        let cursor = self.handle.watch(Span::Prefix(prefix.into()), from);
        let cursor = cursor.await.map_err(|fault| error(Step::Watch, fault))?;
        Ok(Tail { cursor })
    }
}

/// A watch of a store in the same process. It ends with the first error.
#[derive(Debug)]
pub struct Tail {
    /// The store's side.
    cursor: Cursor,
}

impl Watch for Tail {
    async fn next(&mut self) -> Result<Batch, Error> {
        self.cursor.next().await.map_err(|fault| error(Step::Watch, fault))
    }
}

/// The error of a call.
fn error(step: Step, fault: Fault) -> Error {
    let peer: Name = "memory".into();
    match fault {
        Fault::Away => {
            Error::Unavailable { step, peer, cause: "the store is away".to_owned() }
        }
        Fault::Lost if step.is_repeatable() => {
            Error::Unavailable { step, peer, cause: "the answer is lost".to_owned() }
        }
        Fault::Lost => {
            Error::Unknown { step, peer, cause: "the answer is lost".to_owned() }
        }
        Fault::Throttled => Error::Throttled { step, peer, limit: Limit::Store },
        Fault::Refused(Refusal::Compacted { oldest }) => {
            Error::Compacted { step, peer, revision: oldest }
        }
        Fault::Refused(Refusal::NoLease) => Error::Lapsed { step, peer },
        Fault::Refused(Refusal::Invalid(cause)) => {
            Error::Protocol { step, peer, cause: cause.to_owned() }
        }
    }
}
