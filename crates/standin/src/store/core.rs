//! State machine of the stand-in store: keys, leases and revision history, without I/O.

use std::collections::VecDeque;

use lentilreach::process::clock::Millis;
use lentilreach::process::name::Name;
use lentilreach::process::store::{
    Batch, Change, Compare, Entry, Lease, Put, Range, Revision, Txn, TxnResult,
};

/// Maximum number of operations in one branch of a transaction; etcd's default.
pub const MAX_OPERATIONS: usize = 128;

/// The state of the store. Each transaction that changes a key creates a new revision.
#[derive(Debug, Clone)]
pub struct Core {
    /// The latest revision. Starts at 1, so that 0 can mean "absent".
    revision: u64,
    /// How often the store has come back from an older copy.
    era: u64,
    /// Oldest revision that a watch can start from.
    oldest: u64,
    /// Sorted by key.
    records: Vec<Record>,
    /// Active leases, sorted by id; ids increase with each grant.
    leases: Vec<ActiveLease>,
    /// One batch of changes per revision, starting at `oldest`.
    history: VecDeque<Batch>,
    /// Maximum number of revisions in `history`.
    history_limit: usize,
    /// Maximum size of a value in bytes.
    value_limit: usize,
    /// The id of the most recently granted lease.
    last_lease: i64,
}

/// Why the store rejected a request. A rejected request has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// The start revision of the watch has been compacted.
    Compacted {
        /// Oldest revision that a watch can start from.
        oldest: u64,
    },
    /// The lease does not exist or has expired.
    NoLease,
    /// The request is malformed or exceeds a limit.
    Invalid(&'static str),
}

impl Core {
    /// Creates an empty store.
    pub fn new(value_limit: usize, history_limit: usize) -> Self {
        Self {
            revision: 1,
            era: 0,
            oldest: 1,
            records: Vec::new(),
            leases: Vec::new(),
            history: VecDeque::new(),
            history_limit: history_limit.max(1),
            value_limit,
            last_lease: 0,
        }
    }

    /// How often the store has come back from an older copy.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// A revision of the present era.
    fn at(&self, number: u64) -> Revision {
        Revision { era: self.era, number }
    }

    /// The latest revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The entry of a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.find(key).ok().map(|index| &self.records[index].entry)
    }

    /// The lease that a key is attached to.
    pub fn lease(&self, key: &str) -> Option<Lease> {
        self.find(key).ok().and_then(|index| self.records[index].lease)
    }

    /// Returns the entries in a key range.
    pub fn range(&self, key_range: &KeyRange) -> Range {
        let entries = self.records.iter().map(|record| &record.entry);
        let entries = entries.filter(|entry| key_range.contains(&entry.key)).cloned();
        Range { revision: self.at(self.revision), entries: entries.collect() }
    }

    /// Runs a transaction: applies its puts and deletes if all comparisons hold.
    ///
    /// # Errors
    /// Returns an error if the request is invalid or names a lease that has expired.
    pub fn write(&mut self, txn: &Txn) -> Result<TxnResult, RequestError> {
        self.check(txn)?;
        if !txn.compares.iter().all(|compare| self.is_satisfied(compare)) {
            return Ok(TxnResult::ConditionFailed {
                current: self.current(&txn.compares),
            });
        }
        let is_gone =
            |put: &Put| put.lease.is_some_and(|lease| self.lease_index(lease).is_err());
        if txn.puts.iter().any(is_gone) {
            return Err(RequestError::NoLease);
        }
        let revision = self.revision + 1;
        let mut changes = Vec::new();
        for put in &txn.puts {
            changes.push(self.put(put, revision));
        }
        for key in &txn.deletes {
            changes.extend(self.delete(key, revision));
        }
        self.commit(changes);
        Ok(TxnResult::Committed { revision: self.revision })
    }

    /// Creates a lease with a time to live in seconds.
    ///
    /// # Errors
    /// Returns an error if the time to live is not positive.
    pub fn grant(&mut self, now: Millis, seconds: i64) -> Result<Lease, RequestError> {
        let seconds = u64::try_from(seconds).unwrap_or(0);
        if seconds == 0 {
            return Err(RequestError::Invalid("time to live is not positive"));
        }
        self.last_lease += 1;
        let lease = Lease(self.last_lease);
        let ttl_ms = seconds.saturating_mul(1_000);
        self.leases.push(ActiveLease { lease, ttl_ms, expires_at: now.after(ttl_ms) });
        Ok(lease)
    }

    /// Renews a lease and returns its time to live in seconds.
    ///
    /// # Errors
    /// Returns an error if the lease has expired.
    pub fn keep_alive(&mut self, now: Millis, lease: Lease) -> Result<i64, RequestError> {
        let index = self.lease_index(lease)?;
        let active = &mut self.leases[index];
        active.expires_at = now.after(active.ttl_ms);
        Ok(i64::try_from(active.ttl_ms / 1_000).unwrap_or(i64::MAX))
    }

    /// Revokes a lease and deletes its keys in one revision.
    ///
    /// # Errors
    /// Returns an error if the lease has expired.
    pub fn revoke(&mut self, lease: Lease) -> Result<(), RequestError> {
        let index = self.lease_index(lease)?;
        self.leases.remove(index);
        let attached = self.records.iter().filter(|record| record.lease == Some(lease));
        let keys: Vec<_> = attached.map(|record| record.entry.key.clone()).collect();
        let revision = self.revision + 1;
        let changes = keys.iter().filter_map(|key| self.delete(key, revision)).collect();
        self.commit(changes);
        Ok(())
    }

    /// Expires the leases whose time to live has passed, each in its own revision.
    pub fn expire(&mut self, now: Millis) {
        let expired = self.leases.iter().filter(|active| active.expires_at <= now);
        let expired: Vec<_> = expired.map(|active| active.lease).collect();
        for lease in &expired {
            // Cannot fail: the lease was just found in the list.
            let _ = self.revoke(*lease);
        }
    }

    /// When the next lease expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.leases.iter().map(|active| active.expires_at).min()
    }

    /// Returns all changes in a key range starting at a revision, or `None` if there are none
    /// yet.
    ///
    /// # Errors
    /// Returns an error if the revision has been compacted.
    pub fn changes_since(
        &self,
        key_range: &KeyRange,
        from: u64,
    ) -> Result<Option<Batch>, RequestError> {
        // After a return from an older copy, a later one belongs to an earlier era.
        let is_unknown = self.era > 0 && from > self.revision + 1;
        if from < self.oldest || is_unknown {
            return Err(RequestError::Compacted { oldest: self.oldest });
        }
        let start = self.history.partition_point(|batch| batch.revision.number < from);
        let recent = self.history.iter().skip(start).flat_map(|batch| &batch.changes);
        let changes = recent.filter(|change| key_range.contains(change.key())).cloned();
        let changes: Vec<_> = changes.collect();
        let last = changes.last().map(Change::revision);
        Ok(last.map(|number| Batch { revision: self.at(number), changes }))
    }

    /// Replaces the state by an older copy of it. Revisions are given out again; identifiers of
    /// leases are not.
    pub fn restore(&mut self, copy: &Self) {
        let (last_lease, era) = (self.last_lease, self.era + 1);
        *self = Self { last_lease, era, ..copy.clone() };
    }

    /// Compacts the history before the latest revision.
    pub fn compact(&mut self) {
        self.oldest = self.revision;
        self.trim();
    }

    /// Validates a transaction.
    fn check(&self, txn: &Txn) -> Result<(), RequestError> {
        let changes = txn.puts.len() + txn.deletes.len();
        if changes.max(txn.compares.len()) > MAX_OPERATIONS {
            return Err(RequestError::Invalid("too many operations in txn request"));
        }
        let mut keys: Vec<_> =
            txn.puts.iter().map(|put| &put.key).chain(&txn.deletes).collect();
        keys.sort();
        if keys.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(RequestError::Invalid("duplicate key given in txn request"));
        }
        if keys.first().is_some_and(|key| key.is_empty()) {
            return Err(RequestError::Invalid("key is not provided"));
        }
        if txn.puts.iter().any(|put| put.value.len() > self.value_limit) {
            return Err(RequestError::Invalid("request is too large"));
        }
        Ok(())
    }

    /// Whether a comparison holds.
    fn is_satisfied(&self, compare: &Compare) -> bool {
        self.get(&compare.key).map_or(0, |entry| entry.modified) == compare.modified
    }

    /// The current entries of the compared keys, sorted.
    fn current(&self, compares: &[Compare]) -> Vec<Entry> {
        let entries = compares.iter().filter_map(|compare| self.get(&compare.key));
        let mut entries: Vec<_> = entries.cloned().collect();
        entries.sort_by(|a, b| a.key.cmp(&b.key));
        entries.dedup_by(|a, b| a.key == b.key);
        entries
    }

    /// Writes a key.
    fn put(&mut self, put: &Put, revision: u64) -> Change {
        let index = self.find(&put.key);
        let created = index.map_or(revision, |index| self.records[index].entry.created);
        let entry = Entry {
            key: put.key.clone(),
            value: put.value.clone(),
            created,
            modified: revision,
        };
        let record = Record { entry: entry.clone(), lease: put.lease };
        match index {
            Ok(index) => self.records[index] = record,
            Err(index) => self.records.insert(index, record),
        }
        Change::Put(entry)
    }

    /// Deletes a key.
    fn delete(&mut self, key: &Name, revision: u64) -> Option<Change> {
        let index = self.find(key).ok()?;
        self.records.remove(index);
        Some(Change::Delete { key: key.clone(), revision })
    }

    /// Commits the changes as one revision. Without changes, no revision is created.
    fn commit(&mut self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        self.revision += 1;
        self.history.push_back(Batch { revision: self.at(self.revision), changes });
        if self.history.len() > self.history_limit {
            self.oldest = self.history[1].revision.number;
        }
        self.trim();
    }

    /// Removes history before the oldest revision.
    fn trim(&mut self) {
        while self
            .history
            .front()
            .is_some_and(|batch| batch.revision.number < self.oldest)
        {
            self.history.pop_front();
        }
    }

    /// The index of a key, or the index at which to insert it.
    fn find(&self, key: &str) -> Result<usize, usize> {
        self.records.binary_search_by(|record| (*record.entry.key).cmp(key))
    }

    /// The index of a lease.
    fn lease_index(&self, lease: Lease) -> Result<usize, RequestError> {
        let index = self.leases.binary_search_by_key(&lease, |active| active.lease);
        index.map_err(|_| RequestError::NoLease)
    }
}

/// A key with its lease.
#[derive(Debug, Clone)]
struct Record {
    /// The entry as clients see it.
    entry: Entry,
    /// The lease whose end deletes the key.
    lease: Option<Lease>,
}

/// An active lease.
#[derive(Debug, Clone)]
struct ActiveLease {
    /// The lease id.
    lease: Lease,
    /// Time to live after a grant or keep-alive, in milliseconds.
    ttl_ms: u64,
    /// When it expires.
    expires_at: Millis,
}

/// The keys that a read or watch selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyRange {
    /// Keys that start with a prefix.
    Prefix(Name),
    /// Keys from `start` (inclusive) to `end` (exclusive), compared as bytes.
    Between {
        /// First key.
        start: Vec<u8>,
        /// First key after the range.
        end: Vec<u8>,
    },
    /// Keys greater than or equal to `start`, compared as bytes.
    From {
        /// First key.
        start: Vec<u8>,
    },
}

impl KeyRange {
    /// Whether the range contains a key.
    pub fn contains(&self, key: &str) -> bool {
        match self {
            Self::Prefix(prefix) => key.starts_with(&**prefix),
            Self::Between { start, end } => {
                key.as_bytes() >= start.as_slice() && key.as_bytes() < end.as_slice()
            }
            Self::From { start } => key.as_bytes() >= start.as_slice(),
        }
    }
}
