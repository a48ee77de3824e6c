//! Lookup table from flow hashes to candidate members.
//!
//! It is built once for each version, so that a routing decision takes constant time.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::version::view::Member;

/// Maximum number of candidates in a row. In services with no more members than that, every
/// member is a candidate for every flow.
pub const MAX_CANDIDATES: usize = 8;

/// Rows per member, before rounding up to a power of two.
///
/// The relative deviation of a member's share is about the inverse square root of this number.
const ROWS_PER_MEMBER: usize = 16;

/// Minimum number of rows in a table.
const MIN_ROWS: usize = 64;

/// Maximum number of rows in a table. It bounds the build time for a service of 4,000 members.
const MAX_ROWS: usize = 4_096;

/// For each bucket of hashes, a row of the best members by rendezvous hash, best first.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// All rows, with `width` member indices each.
    rows: Vec<u16>,
    /// Candidates in each row: [`MAX_CANDIDATES`] or the number of members, if smaller.
    width: usize,
    /// Number of rows minus one. The number of rows is a power of two.
    mask: usize,
}

impl Table {
    /// Builds the table of a service's members.
    ///
    /// The table depends on the node identifiers alone. Balancers with the same members
    /// therefore agree, and a change of one member affects only the rows that list it.
    pub fn build(members: &[Member]) -> Self {
        let width = members.len().min(MAX_CANDIDATES);
        let row_count = (members.len() * ROWS_PER_MEMBER)
            .next_power_of_two()
            .clamp(MIN_ROWS, MAX_ROWS);
        let mut rows = Vec::with_capacity(row_count * width);
        let mut best = Vec::with_capacity(MAX_CANDIDATES + 1);
        for row in 0..row_count {
            best.clear();
            for (index, member) in members.iter().enumerate() {
                insert(&mut best, weight(row, member), index as u16);
            }
            rows.extend(best.iter().map(|(_, index)| *index));
        }
        Self { rows, width, mask: row_count - 1 }
    }

    /// The indices of the candidates for a flow's hash.
    pub fn candidates(&self, hash: u64) -> &[u16] {
        let start = (hash as usize & self.mask) * self.width;
        self.rows.get(start..start + self.width).unwrap_or_default()
    }
}

/// The rendezvous weight of a member in a row.
fn weight(row: usize, member: &Member) -> u64 {
    xxh3_64_with_seed(&member.node.0.to_le_bytes(), row as u64)
}

/// Inserts a member into a list of at most [`MAX_CANDIDATES`] members, sorted by descending weight.
fn insert(best: &mut Vec<(u64, u16)>, weight: u64, index: u16) {
    if best.len() == MAX_CANDIDATES && best[MAX_CANDIDATES - 1].0 >= weight {
        return;
    }
    let position = best.partition_point(|(other, _)| *other >= weight);
    best.insert(position, (weight, index));
    best.truncate(MAX_CANDIDATES);
}
