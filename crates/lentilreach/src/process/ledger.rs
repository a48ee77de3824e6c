//! Record of non-idempotent requests, by which each of them runs at most once.
//!
//! Only the agent named in an idempotency key may run its request. The agent records the key
//! before the request runs and keeps the record until the key expires. A repeated key
//! therefore finds either its record or an expired key, and the request never runs again.

use std::sync::Arc;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_128;

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::name::Name;

/// Maximum size of a stored response: body, header names and header values, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// Identifies a non-idempotent request of a caller.
///
/// Ordered by expiry first, so that the expired records of a ledger are a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// When the [binding](crate::process::binding) of the key expires, on the owner's clock.
    pub expiry: Millis,
    /// The agent that issued the binding; no other may run the request.
    pub owner: node::Id,
    /// Hash of the nonce chosen by the caller.
    pub nonce: [u8; 16],
}

impl Key {
    /// Creates the key for a binding and a caller's nonce.
    pub fn new(owner: node::Id, expiry: Millis, nonce: &[u8]) -> Self {
        Self { expiry, owner, nonce: xxh3_128(nonce).to_be_bytes() }
    }
}

/// A response that is sent again when the request is repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values in order.
    pub headers: Vec<(Name, Bytes)>,
    /// The complete body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Size compared with [`MAX_RESPONSE_BYTES`], in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }

    /// The response for a request that may or may not have run.
    pub fn unknown() -> Self {
        let outcome = (Name::from("lentilreach-outcome"), Bytes::from_static(b"unknown"));
        Self { status: 502, headers: vec![outcome], body: Bytes::new() }
    }
}

/// The decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Run it, then call [`Ledger::finish`].
    Run,
    /// It is running.
    Running,
    /// It ran; this is its response, or [`StoredResponse::unknown`].
    Done(Arc<StoredResponse>),
    /// The key is revoked: another agent told the caller that the request did not and will not
    /// run.
    Revoked,
    /// The key has expired or belongs to another agent, so it is unknown whether the request
    /// ran.
    Expired,
    /// The ledger is full; the request has not run.
    Full,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// With a complete response. A response over [`MAX_RESPONSE_BYTES`] is recorded as
    /// unknown.
    Answered(StoredResponse),
    /// Without a complete response after at least one byte was sent to the backend server.
    Unknown,
    /// Before any byte was sent to the backend server; the key may be retried at this agent.
    NotRun,
}

/// The owner's reply to an agent that asks it to revoke a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Revocation {
    /// The request has not run and will never run.
    Revoked,
    /// It is running.
    Running,
    /// It ran; this is its response.
    Done(Arc<StoredResponse>),
    /// It is unknown whether it ran, or the ledger is too full to record the revocation.
    Unknown,
    /// The key has expired or belongs to another agent, so it is unknown whether the request
    /// ran.
    Expired,
}

/// The ledger of one agent incarnation.
///
/// Its memory is bounded by `capacity` x ([`MAX_RESPONSE_BYTES`] + about 200 bytes); a
/// capacity of 1,024 takes at most 17 MiB.
#[derive(Debug)]
pub struct Ledger {
    /// The agent's process, which identifies its incarnation.
    node: node::Id,
    /// Maximum number of records.
    capacity: usize,
    /// Lifetime of a binding in milliseconds. A key that expires later was not issued by this
    /// agent.
    retention_ms: u64,
    /// Sorted by key, without duplicates; at most `capacity`.
    records: Vec<(Key, Record)>,
}

impl Ledger {
    /// Creates an empty ledger. `retention_ms` is the lifetime of a binding in milliseconds.
    pub fn new(node: node::Id, capacity: usize, retention_ms: u64) -> Self {
        Self { node, capacity, retention_ms, records: Vec::new() }
    }

    /// The expiry of a binding issued now.
    pub fn expiry(&self, now: Millis) -> Millis {
        now.after(self.retention_ms)
    }

    /// Decides whether a request may run and, if so, records it as running.
    pub fn begin(&mut self, now: Millis, key: &Key) -> Decision {
        self.expire(now);
        if !self.is_valid(now, key) {
            return Decision::Expired;
        }
        match self.find(key) {
            Ok(at) => match &self.records[at].1 {
                Record::Running => Decision::Running,
                Record::Done(response) => Decision::Done(response.clone()),
                Record::Unknown => Decision::Done(Arc::new(StoredResponse::unknown())),
                Record::Revoked => Decision::Revoked,
            },
            Err(_) if self.records.len() >= self.capacity => Decision::Full,
            Err(at) => {
                self.records.insert(at, (*key, Record::Running));
                Decision::Run
            }
        }
    }

    /// Records how a running request ended. Further calls for the same run have no effect.
    pub fn finish(&mut self, now: Millis, key: &Key, outcome: Outcome) {
        self.expire(now);
        let Ok(at) = self.find(key) else { return };
        if !matches!(self.records[at].1, Record::Running) {
            return;
        }
        match outcome {
            Outcome::Answered(response) if response.size() <= MAX_RESPONSE_BYTES => {
                self.records[at].1 = Record::Done(Arc::new(response));
            }
            Outcome::Answered(_) | Outcome::Unknown => {
                self.records[at].1 = Record::Unknown
            }
            Outcome::NotRun => {
                self.records.remove(at);
            }
        }
    }

    /// Revokes a key, so that its request never runs, or reports what became of the request.
    pub fn revoke(&mut self, now: Millis, key: &Key) -> Revocation {
        self.expire(now);
        if !self.is_valid(now, key) {
            return Revocation::Expired;
        }
        match self.find(key) {
            Ok(at) => match &self.records[at].1 {
                Record::Running => Revocation::Running,
                Record::Done(response) => Revocation::Done(response.clone()),
                Record::Unknown => Revocation::Unknown,
                Record::Revoked => Revocation::Revoked,
            },
            Err(_) if self.records.len() >= self.capacity => Revocation::Unknown,
            Err(at) => {
                self.records.insert(at, (*key, Record::Revoked));
                Revocation::Revoked
            }
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes the records of expired keys, which [`Self::begin`] never runs.
    fn expire(&mut self, now: Millis) {
        let end = self.records.partition_point(|(key, _)| key.expiry <= now);
        self.records.drain(..end);
    }

    /// Whether the key was issued by this agent incarnation and has not expired.
    fn is_valid(&self, now: Millis, key: &Key) -> bool {
        key.owner == self.node && key.expiry > now && key.expiry <= self.expiry(now)
    }

    /// The index of a record, or its insertion point.
    fn find(&self, key: &Key) -> Result<usize, usize> {
        self.records.binary_search_by_key(key, |(key, _)| *key)
    }
}

/// The recorded state of a request.
#[derive(Debug)]
enum Record {
    /// It is running.
    Running,
    /// It ran; this is its response.
    Done(Arc<StoredResponse>),
    /// It may have run.
    Unknown,
    /// It never runs.
    Revoked,
}
