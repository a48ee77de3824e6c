//! Keys, leases and history of the stand-in store, without I/O.

use std::collections::VecDeque;

use lentilreach::process::clock::Millis;
use lentilreach::process::name::Name;
use lentilreach::process::store::{
    Batch, Change, Compare, Entry, Lease, Put, Range, Txn, Written,
};

/// Most operations in one branch of a transaction; the default of etcd.
pub const MAX_OPERATIONS: usize = 128;

/// The state of the store. Each change makes a new revision.
#[derive(Debug)]
pub struct Core {
    /// The last revision. Starts at 1, so that 0 can mean "absent".
    revision: u64,
    /// Oldest revision that can be watched.
    oldest: u64,
    /// Sorted by key.
    records: Vec<Record>,
    /// Sorted by lease, which rises with each grant.
    terms: Vec<Term>,
    /// Changes, one revision each, from `oldest` on.
    history: VecDeque<Batch>,
    /// Most revisions in `history`.
    history_limit: usize,
    /// Largest value in bytes.
    value_limit: usize,
    /// The last lease given out.
    last_lease: i64,
}

/// Why the store refuses a request. It had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The revision to watch from is gone.
    Compacted {
        /// Oldest revision that can be watched.
        oldest: u64,
    },
    /// There is no such lease.
    NoLease,
    /// The request breaks a rule.
    Invalid(&'static str),
}

impl Core {
    /// An empty store.
    pub fn new(value_limit: usize, history_limit: usize) -> Self {
        Self {
            revision: 1,
            oldest: 1,
            records: Vec::new(),
            terms: Vec::new(),
            history: VecDeque::new(),
            history_limit: history_limit.max(1),
            value_limit,
            last_lease: 0,
        }
    }

    /// The last revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The entry of a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.find(key).ok().map(|place| &self.records[place].entry)
    }

    /// The lease that a key is attached to.
    pub fn lease(&self, key: &str) -> Option<Lease> {
        self.find(key).ok().and_then(|place| self.records[place].lease)
    }

    /// The keys within a span.
    pub fn range(&self, span: &Span) -> Range {
        let entries = self.records.iter().map(|record| &record.entry);
        let entries = entries.filter(|entry| span.contains(&entry.key)).cloned();
        Range { revision: self.revision, entries: entries.collect() }
    }

    /// Compares and writes.
    ///
    /// # Errors
    /// If the request breaks a rule or names a lease that has ended.
    pub fn write(&mut self, txn: &Txn) -> Result<Written, Refusal> {
        self.check(txn)?;
        if !txn.compares.iter().all(|compare| self.holds(compare)) {
            return Ok(Written::Lost { current: self.current(&txn.compares) });
        }
        let is_gone =
            |put: &Put| put.lease.is_some_and(|lease| self.term(lease).is_err());
        if txn.puts.iter().any(is_gone) {
            return Err(Refusal::NoLease);
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
        Ok(Written::Done { revision: self.revision })
    }

    /// Creates a lease with a time to live in seconds.
    ///
    /// # Errors
    /// If the time is not positive.
    pub fn grant(&mut self, now: Millis, seconds: i64) -> Result<Lease, Refusal> {
        let seconds = u64::try_from(seconds).unwrap_or(0);
        if seconds == 0 {
            return Err(Refusal::Invalid("time to live is not positive"));
        }
        self.last_lease += 1;
        let lease = Lease(self.last_lease);
        let ttl_ms = seconds.saturating_mul(1_000);
        self.terms.push(Term { lease, ttl_ms, ends: now.after(ttl_ms) });
        Ok(lease)
    }

    /// Extends a lease; returns its time to live in seconds.
    ///
    /// # Errors
    /// If the lease has ended.
    pub fn keep(&mut self, now: Millis, lease: Lease) -> Result<i64, Refusal> {
        let place = self.term(lease)?;
        let term = &mut self.terms[place];
        term.ends = now.after(term.ttl_ms);
        Ok(i64::try_from(term.ttl_ms / 1_000).unwrap_or(i64::MAX))
    }

    /// Ends a lease and deletes its keys in one revision.
    ///
    /// # Errors
    /// If the lease has ended.
    pub fn revoke(&mut self, lease: Lease) -> Result<(), Refusal> {
        let place = self.term(lease)?;
        self.terms.remove(place);
        let attached = self.records.iter().filter(|record| record.lease == Some(lease));
        let keys: Vec<_> = attached.map(|record| record.entry.key.clone()).collect();
        let revision = self.revision + 1;
        let changes = keys.iter().filter_map(|key| self.delete(key, revision)).collect();
        self.commit(changes);
        Ok(())
    }

    /// Ends the leases whose time is over, each with a revision of its own.
    pub fn expire(&mut self, now: Millis) {
        let over = self.terms.iter().filter(|term| term.ends <= now);
        let over: Vec<_> = over.map(|term| term.lease).collect();
        for lease in &over {
            // Each was found just now.
            let _ = self.revoke(*lease);
        }
    }

    /// When the next lease ends.
    pub fn next_end(&self) -> Option<Millis> {
        self.terms.iter().map(|term| term.ends).min()
    }

    /// All changes within a span from a revision on; none if there are none yet.
    ///
    /// # Errors
    /// If the revision is gone.
    pub fn since(&self, span: &Span, from: u64) -> Result<Option<Batch>, Refusal> {
        if from < self.oldest {
            return Err(Refusal::Compacted { oldest: self.oldest });
        }
        let start = self.history.partition_point(|batch| batch.revision < from);
        let recent = self.history.iter().skip(start).flat_map(|batch| &batch.changes);
        let changes = recent.filter(|change| span.contains(change.key())).cloned();
        let changes: Vec<_> = changes.collect();
        let last = changes.last().map(Change::revision);
        Ok(last.map(|revision| Batch { revision, changes }))
    }

    /// Forgets all changes before the last revision.
    pub fn compact(&mut self) {
        self.oldest = self.revision;
        self.trim();
    }

    /// Checks the rules that hold for every transaction.
    fn check(&self, txn: &Txn) -> Result<(), Refusal> {
        let changes = txn.puts.len() + txn.deletes.len();
        if changes.max(txn.compares.len()) > MAX_OPERATIONS {
            return Err(Refusal::Invalid("too many operations in txn request"));
        }
        let mut keys: Vec<_> =
            txn.puts.iter().map(|put| &put.key).chain(&txn.deletes).collect();
        keys.sort();
        if keys.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(Refusal::Invalid("duplicate key given in txn request"));
        }
        if keys.first().is_some_and(|key| key.is_empty()) {
            return Err(Refusal::Invalid("key is not provided"));
        }
        if txn.puts.iter().any(|put| put.value.len() > self.value_limit) {
            return Err(Refusal::Invalid("request is too large"));
        }
        Ok(())
    }

    /// Whether a condition holds.
    fn holds(&self, compare: &Compare) -> bool {
        self.get(&compare.key).map_or(0, |entry| entry.modified) == compare.modified
    }

    /// The keys of the conditions, sorted.
    fn current(&self, compares: &[Compare]) -> Vec<Entry> {
        let entries = compares.iter().filter_map(|compare| self.get(&compare.key));
        let mut entries: Vec<_> = entries.cloned().collect();
        entries.sort_by(|a, b| a.key.cmp(&b.key));
        entries.dedup_by(|a, b| a.key == b.key);
        entries
    }

    /// Writes a key.
    fn put(&mut self, put: &Put, revision: u64) -> Change {
        let place = self.find(&put.key);
        let created = place.map_or(revision, |place| self.records[place].entry.created);
        let entry = Entry {
            key: put.key.clone(),
            value: put.value.clone(),
            created,
            modified: revision,
        };
        let record = Record { entry: entry.clone(), lease: put.lease };
        match place {
            Ok(place) => self.records[place] = record,
            Err(place) => self.records.insert(place, record),
        }
        Change::Put(entry)
    }

    /// Deletes a key.
    fn delete(&mut self, key: &Name, revision: u64) -> Option<Change> {
        let place = self.find(key).ok()?;
        self.records.remove(place);
        Some(Change::Delete { key: key.clone(), revision })
    }

    /// Makes a revision of changes; no changes make none.
    fn commit(&mut self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        self.revision += 1;
        self.history.push_back(Batch { revision: self.revision, changes });
        if self.history.len() > self.history_limit {
            self.oldest = self.history[1].revision;
        }
        self.trim();
    }

    /// Drops history before the oldest revision.
    fn trim(&mut self) {
        while self.history.front().is_some_and(|batch| batch.revision < self.oldest) {
            self.history.pop_front();
        }
    }

    /// The place of a key, or where it would be.
    fn find(&self, key: &str) -> Result<usize, usize> {
        self.records.binary_search_by(|record| (*record.entry.key).cmp(key))
    }

    /// The place of a lease.
    fn term(&self, lease: Lease) -> Result<usize, Refusal> {
        let place = self.terms.binary_search_by_key(&lease, |term| term.lease);
        place.map_err(|_| Refusal::NoLease)
    }
}

/// A key with its lease.
#[derive(Debug)]
struct Record {
    /// What callers see.
    entry: Entry,
    /// The key is deleted when this lease ends.
    lease: Option<Lease>,
}

/// The time of a lease.
#[derive(Debug)]
struct Term {
    /// Identifies the lease.
    lease: Lease,
    /// Time to live after each keep-alive.
    ttl_ms: u64,
    /// When it ends.
    ends: Millis,
}

/// The keys that a read or watch is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Span {
    /// Keys that start with a text.
    Prefix(Name),
    /// Keys from `start` on and before `end`, compared as bytes.
    Between {
        /// First key.
        start: Vec<u8>,
        /// First key after the span.
        end: Vec<u8>,
    },
    /// Keys from `start` on, compared as bytes.
    From {
        /// First key.
        start: Vec<u8>,
    },
}

impl Span {
    /// Whether a key is in the span.
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
