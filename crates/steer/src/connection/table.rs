//! A hash table of flows with bounded size and eviction of idle entries.

use std::fmt::{self, Debug, Formatter};

use lentilreach::process::clock::Millis;

use super::flow::Key;

/// Number of buckets, a power of two. Keeps insertion into a bucket fast with 100,000
/// flows.
const BUCKETS: usize = 256;

/// Maps flows to values, in buckets that are sorted vectors.
#[derive(Clone)]
pub struct Table<V> {
    /// Each bucket is sorted by key.
    buckets: Vec<Vec<Entry<V>>>,
    /// Maximum number of entries per bucket: twice the mean of a table at its limit.
    bucket_limit: usize,
    /// When an entry was last evicted, because its bucket was full.
    evicted_at: Option<Millis>,
}

/// An entry of a table.
#[derive(Debug, Clone)]
struct Entry<V> {
    /// The key.
    key: Key,
    /// When the entry was last read or written.
    last_used: Millis,
    /// The value.
    value: V,
}

impl<V> Table<V> {
    /// Creates an empty table for approximately `limit` flows.
    pub fn new(limit: usize) -> Self {
        let buckets = (0..BUCKETS).map(|_| Vec::new()).collect();
        let bucket_limit = limit.div_ceil(BUCKETS).max(1) * 2;
        Self { buckets, bucket_limit, evicted_at: None }
    }

    /// When an entry was last evicted. Later, the absence of a flow proves nothing about
    /// the time before.
    pub fn evicted_at(&self) -> Option<Millis> {
        self.evicted_at
    }

    /// The value of a flow; marks the entry as used.
    pub fn get(&mut self, now: Millis, key: &Key) -> Option<&mut V> {
        let bucket = &mut self.buckets[bucket(key)];
        let index = bucket.binary_search_by(|entry| entry.key.cmp(key)).ok()?;
        let entry = &mut bucket[index];
        entry.last_used = now;
        Some(&mut entry.value)
    }

    /// Sets the value of a flow. If the bucket is full, evicts its least recently used
    /// entry.
    pub fn insert(&mut self, now: Millis, key: Key, value: V) {
        let limit = self.bucket_limit;
        let bucket = &mut self.buckets[bucket(&key)];
        match bucket.binary_search_by(|entry| entry.key.cmp(&key)) {
            Ok(index) => bucket[index] = Entry { key, last_used: now, value },
            Err(_) if bucket.len() >= limit => {
                let oldest =
                    (0..bucket.len()).min_by_key(|index| bucket[*index].last_used);
                bucket.remove(oldest.unwrap_or(0));
                self.evicted_at = Some(now);
                let index = bucket.partition_point(|entry| entry.key < key);
                bucket.insert(index, Entry { key, last_used: now, value });
            }
            Err(index) => bucket.insert(index, Entry { key, last_used: now, value }),
        }
    }

    /// Removes a flow.
    pub fn remove(&mut self, key: &Key) -> Option<V> {
        let bucket = &mut self.buckets[bucket(key)];
        let index = bucket.binary_search_by(|entry| entry.key.cmp(key)).ok()?;
        Some(bucket.remove(index).value)
    }

    /// Removes the flows for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&Key, &mut V) -> bool) {
        for bucket in &mut self.buckets {
            bucket.retain_mut(|entry| keep(&entry.key, &mut entry.value));
        }
    }

    /// Removes the flows that were last used more than `idle_ms` milliseconds ago.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        for bucket in &mut self.buckets {
            bucket.retain(|entry| now.since(entry.last_used) <= idle_ms);
        }
    }
}

impl<V: Debug> Debug for Table<V> {
    /// Lists the entries without the buckets.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.buckets.iter().flatten()).finish()
    }
}

/// The index of the bucket that a flow belongs to.
fn bucket(key: &Key) -> usize {
    key.hash() as usize % BUCKETS
}
