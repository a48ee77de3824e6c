//! In-process client of the stand-in store.

use std::time::Duration;

use lentilreach::process::name::Name;
use lentilreach::process::store::{
    Batch, Error, Lease, Limit, Range, Revision, Step, Store, Txn, TxnResult, Watch,
    convert,
};

use super::core::{KeyRange, RequestError};
use super::handle::{CallError, Handle};
use super::watcher::Watcher;

/// A client that calls the store directly, without sockets. Clones share the store.
#[derive(Debug, Clone)]
pub struct Memory {
    /// The store.
    handle: Handle,
}

impl Memory {
    /// Creates a client for the handle's store.
    pub fn new(handle: Handle) -> Self {
        Self { handle }
    }

    /// Access to counters and fault injection.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}

impl Store for Memory {
    type Watch = MemoryWatch;

    fn peer(&self) -> Name {
        "memory".into()
    }

    fn era(&self) -> u64 {
        self.handle.era()
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        let key_range = KeyRange::Prefix(prefix.into());
        let result = self.handle.call(Step::Range, |core, _| Ok(core.range(&key_range)));
        result.await.map_err(|call_error| client_error(Step::Range, call_error))
    }

    async fn write(&self, txn: Txn) -> Result<TxnResult, Error> {
        let result = self.handle.call(Step::Write, |core, _| core.write(&txn));
        result.await.map_err(|call_error| client_error(Step::Write, call_error))
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let seconds = convert::ttl_seconds(ttl);
        let result = self.handle.call(Step::Grant, |core, now| core.grant(now, seconds));
        result.await.map_err(|call_error| client_error(Step::Grant, call_error))
    }

    async fn keep(&self, lease: Lease) -> Result<Duration, Error> {
        let result =
            self.handle.call(Step::Keep, |core, now| core.keep_alive(now, lease));
        let seconds =
            result.await.map_err(|call_error| client_error(Step::Keep, call_error))?;
        Ok(Duration::from_secs(seconds.unsigned_abs()))
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let result = self.handle.call(Step::Revoke, |core, _| core.revoke(lease));
        match result.await {
            Ok(()) | Err(CallError::Rejected(RequestError::NoLease)) => Ok(()),
            Err(call_error) => Err(client_error(Step::Revoke, call_error)),
        }
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<MemoryWatch, Error> {
        if from.era != self.handle.era() {
            let peer = self.peer();
            return Err(Error::Compacted { step: Step::Watch, peer, revision: 0 });
        }
        let watcher = self.handle.watch(KeyRange::Prefix(prefix.into()), from.number);
        let watcher =
            watcher.await.map_err(|call_error| client_error(Step::Watch, call_error))?;
        Ok(MemoryWatch { watcher })
    }
}

/// An in-process watch. It ends with the first error.
#[derive(Debug)]
pub struct MemoryWatch {
    /// The server side of the watch.
    watcher: Watcher,
}

impl Watch for MemoryWatch {
    async fn next(&mut self) -> Result<Batch, Error> {
        self.watcher
            .next()
            .await
            .map_err(|call_error| client_error(Step::Watch, call_error))
    }
}

/// Maps a failed call to the client's error type.
fn client_error(step: Step, call_error: CallError) -> Error {
    let peer: Name = "memory".into();
    match call_error {
        CallError::Unavailable => Error::Unavailable {
            step,
            peer,
            cause: "the store is unavailable".to_owned(),
        },
        CallError::ResponseLost if step.is_repeatable() => {
            Error::Unavailable { step, peer, cause: "the response was lost".to_owned() }
        }
        CallError::ResponseLost => {
            Error::Unknown { step, peer, cause: "the response was lost".to_owned() }
        }
        CallError::Throttled => Error::Throttled { step, peer, limit: Limit::Store },
        CallError::Rejected(RequestError::Compacted { oldest }) => {
            Error::Compacted { step, peer, revision: oldest }
        }
        CallError::Rejected(RequestError::NoLease) => Error::Lapsed { step, peer },
        CallError::Rejected(RequestError::Invalid(cause)) => {
            Error::Protocol { step, peer, cause: cause.to_owned() }
        }
    }
}
