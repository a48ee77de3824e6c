//! At-most-once record of non-idempotent requests.
//!
//! Only the agent named in a key may run its request. The agent records the key before the
//! request runs and keeps the record until the key expires, so a repeated key finds either
//! its record or an expired key and never runs again.

use std::sync::Arc;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_128;

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::name::Name;

/// Largest answer that is kept: body, header names and header values, in bytes.
pub const MAX_ANSWER: usize = 16 << 10;

/// Identifies one non-idempotent request of a caller.
///
/// Ordered by expiry first, so that the expired records of a ledger are a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// End of the binding, in the owner's time.
    pub expiry: Millis,
    /// The agent that issued the binding, the only one that may run the request.
    pub owner: node::Id,
    /// Hash of the nonce that the caller chose.
    pub nonce: [u8; 16],
}

impl Key {
    /// The key of a binding and a caller's nonce.
    pub fn new(owner: node::Id, expiry: Millis, nonce: &[u8]) -> Self {
        Self { expiry, owner, nonce: xxh3_128(nonce).to_be_bytes() }
    }
}

/// An answer that a repeated request gets again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values in order.
    pub headers: Vec<(Name, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Size that counts against [`MAX_ANSWER`], in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }

    /// The answer for a request of which it is not known whether it ran.
    pub fn unknown() -> Self {
        let outcome = (Name::from("lentilreach-outcome"), Bytes::from_static(b"unknown"));
        Self { status: 502, headers: vec![outcome], body: Bytes::new() }
    }
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// Run it, then call [`Ledger::finish`].
    Run,
    /// It is running.
    Running,
    /// It ran; this is its answer, or [`Answer::unknown`].
    Done(Arc<Answer>),
    /// Another agent has told the caller that it did not and will not run.
    Sealed,
    /// The key has expired or belongs to another agent: whether it ran is not known.
    Expired,
    /// There is no room to record it: it has not run.
    Full,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// With a complete answer. One over [`MAX_ANSWER`] is recorded as unknown.
    Answered(Answer),
    /// After a byte was sent to the backend server, without a complete answer.
    Unknown,
    /// Before any byte was sent to the backend server; the key may be tried again here.
    NotRun,
}

/// What the owner tells an agent that asks to seal a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sealing {
    /// The request has not run and will never run.
    Sealed,
    /// It is running.
    Running,
    /// It ran; this is its answer.
    Done(Arc<Answer>),
    /// It is not known whether it ran, or there is no room to record the seal.
    Unknown,
    /// The key has expired or belongs to another agent: whether it ran is not known.
    Expired,
}

/// The record of one agent incarnation.
///
/// Memory is bounded by `capacity` x ([`MAX_ANSWER`] + about 200 bytes); a capacity of 1,024
/// takes at most 17 MiB.
#[derive(Debug)]
pub struct Ledger {
    /// The agent, and so its incarnation.
    node: node::Id,
    /// Most records.
    capacity: usize,
    /// Life of a binding in milliseconds. A key that expires later was not issued here.
    keep_ms: u64,
    /// Sorted by key, without duplicates; at most `capacity`.
    records: Vec<(Key, Record)>,
}

impl Ledger {
    /// An empty ledger. `keep_ms` is the life of a binding in milliseconds.
    pub fn new(node: node::Id, capacity: usize, keep_ms: u64) -> Self {
        Self { node, capacity, keep_ms, records: Vec::new() }
    }

    /// The expiry of a binding that is issued now.
    pub fn expiry(&self, now: Millis) -> Millis {
        now.after(self.keep_ms)
    }

    /// Decides whether a request may run and, if so, records that it runs.
    pub fn begin(&mut self, now: Millis, key: &Key) -> Entry {
        self.expire(now);
        if !self.is_valid(now, key) {
            return Entry::Expired;
        }
        match self.find(key) {
            Ok(at) => match &self.records[at].1 {
                Record::Running => Entry::Running,
                Record::Done(answer) => Entry::Done(answer.clone()),
                Record::Unknown => Entry::Done(Arc::new(Answer::unknown())),
                Record::Sealed => Entry::Sealed,
            },
            Err(_) if self.records.len() >= self.capacity => Entry::Full,
            Err(at) => {
                self.records.insert(at, (*key, Record::Running));
                Entry::Run
            }
        }
    }

    /// Records how a running request ended. Another call for the same run has no effect.
    pub fn finish(&mut self, now: Millis, key: &Key, outcome: Outcome) {
        self.expire(now);
        let Ok(at) = self.find(key) else { return };
        if !matches!(self.records[at].1, Record::Running) {
            return;
        }
        match outcome {
            Outcome::Answered(answer) if answer.size() <= MAX_ANSWER => {
                self.records[at].1 = Record::Done(Arc::new(answer));
            }
            Outcome::Answered(_) | Outcome::Unknown => {
                self.records[at].1 = Record::Unknown
            }
            Outcome::NotRun => {
                self.records.remove(at);
            }
        }
    }

    /// Reports what became of a request, or makes sure that it never runs here.
    pub fn seal(&mut self, now: Millis, key: &Key) -> Sealing {
        self.expire(now);
        if !self.is_valid(now, key) {
            return Sealing::Expired;
        }
        match self.find(key) {
            Ok(at) => match &self.records[at].1 {
                Record::Running => Sealing::Running,
                Record::Done(answer) => Sealing::Done(answer.clone()),
                Record::Unknown => Sealing::Unknown,
                Record::Sealed => Sealing::Sealed,
            },
            Err(_) if self.records.len() >= self.capacity => Sealing::Unknown,
            Err(at) => {
                self.records.insert(at, (*key, Record::Sealed));
                Sealing::Sealed
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

    /// Drops the records of expired keys, which [`Self::begin`] never runs again.
    fn expire(&mut self, now: Millis) {
        let end = self.records.partition_point(|(key, _)| key.expiry <= now);
        self.records.drain(..end);
    }

    /// Whether this ledger has issued the key's binding and it has not expired.
    fn is_valid(&self, now: Millis, key: &Key) -> bool {
        key.owner == self.node && key.expiry > now && key.expiry <= self.expiry(now)
    }

    /// The index of a record, or where it belongs.
    fn find(&self, key: &Key) -> Result<usize, usize> {
        self.records.binary_search_by_key(key, |(key, _)| *key)
    }
}

/// What is known of a request.
#[derive(Debug)]
enum Record {
    /// It runs.
    Running,
    /// It ran and was answered.
    Done(Arc<Answer>),
    /// It may have run.
    Unknown,
    /// It never runs.
    Sealed,
}
