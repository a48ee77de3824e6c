//! Candidate lists by hash, computed once a version so that a decision is constant time.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::version::view::Member;

/// Candidates in a list. Services of up to this size are always listed whole.
pub const WIDTH: usize = 8;

/// Buckets for each member, before rounding up to a power of two.
///
/// The share of a member varies by about the inverse square root of its buckets.
const BUCKETS_PER_MEMBER: usize = 16;

/// Fewest buckets of a table.
const MIN_BUCKETS: usize = 64;

/// Most buckets of a table; bounds the time to build one at 4,000 members.
const MAX_BUCKETS: usize = 4_096;

/// For each hash bucket, the best members by rendezvous hash, best first.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Row by row, `width` member indices each.
    lists: Vec<u16>,
    /// Candidates in each row: [`WIDTH`] or the number of members, if smaller.
    width: usize,
    /// Number of rows less one; the number is a power of two.
    mask: usize,
}

impl Table {
    /// Builds the table of a service's members.
    ///
    /// Only node identifiers count, so balancers with the same members agree, and a change
    /// of one member changes only the rows in which it is listed.
    pub fn build(members: &[Member]) -> Self {
        let width = members.len().min(WIDTH);
        let rows = (members.len() * BUCKETS_PER_MEMBER)
            .next_power_of_two()
            .clamp(MIN_BUCKETS, MAX_BUCKETS);
        let mut lists = Vec::with_capacity(rows * width);
        let mut best = Vec::with_capacity(WIDTH + 1);
        for row in 0..rows {
            best.clear();
            for (index, member) in members.iter().enumerate() {
                insert(&mut best, weight(row, member), index as u16);
            }
            lists.extend(best.iter().map(|(_, index)| *index));
        }
        Self { lists, width, mask: rows - 1 }
    }

    /// The indices of the members for a flow's hash.
    pub fn candidates(&self, hash: u64) -> &[u16] {
        let start = (hash as usize & self.mask) * self.width;
        self.lists.get(start..start + self.width).unwrap_or_default()
    }
}

/// The rendezvous weight of a member in a row.
fn weight(row: usize, member: &Member) -> u64 {
    xxh3_64_with_seed(&member.node.0.to_le_bytes(), row as u64)
}

/// Keeps the [`WIDTH`] heaviest, heaviest first.
fn insert(best: &mut Vec<(u64, u16)>, weight: u64, index: u16) {
    if best.len() == WIDTH && best[WIDTH - 1].0 >= weight {
        return;
    }
    let at = best.partition_point(|(other, _)| *other >= weight);
    best.insert(at, (weight, index));
    best.truncate(WIDTH);
}
