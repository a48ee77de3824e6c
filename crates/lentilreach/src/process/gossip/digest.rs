//! Digests for anti-entropy: bucketed sums of fingerprints, by which two nodes find the entries
//! that they do not share.

use crate::id::node;
use crate::process::name::Name;

/// Number of buckets of a digest at full resolution.
pub const BUCKETS: usize = 256;

/// The nodes that need an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Audience {
    /// All nodes.
    Common,
    /// Balancers, and agents of one organisation.
    Organisation(Name),
    /// Balancers only.
    Balancers,
}

/// The entries that a digest comparison covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// All entries; used between balancers.
    All,
    /// The entries that agents of the organisation need.
    Leaf(Name),
}

impl Scope {
    /// Whether entries for the audience belong to the scope.
    pub fn covers(&self, audience: &Audience) -> bool {
        match (self, audience) {
            (Self::All, _) | (_, Audience::Common) => true,
            (Self::Leaf(name), Audience::Organisation(organisation)) => {
                name == organisation
            }
            (Self::Leaf(_), Audience::Balancers) => false,
        }
    }
}

/// Sums of the fingerprints of all entries, by audience and bucket.
///
/// Sums can be updated entry by entry, and the digest of a scope is the sum over its audiences.
#[derive(Debug, Clone)]
pub struct Digest {
    /// Number of entries; decides how many buckets a digest is sent with.
    entries: usize,
    /// Entries of [`Audience::Common`].
    common: Sums,
    /// Entries of [`Audience::Balancers`].
    balancers: Sums,
    /// Entries of each organisation, sorted by name.
    organisations: Vec<(Name, Sums)>,
}

impl Digest {
    /// Creates the digest of no entries.
    pub fn new() -> Self {
        Self {
            entries: 0,
            common: Sums::new(),
            balancers: Sums::new(),
            organisations: Vec::new(),
        }
    }

    /// Adds an entry with the given fingerprint.
    pub fn add(&mut self, audience: &Audience, position: u64, fingerprint: u64) {
        self.entries += 1;
        self.audience_sums(audience).add_at(position, fingerprint);
    }

    /// Removes an entry that was added before.
    pub fn remove(&mut self, audience: &Audience, position: u64, fingerprint: u64) {
        self.entries = self.entries.saturating_sub(1);
        self.audience_sums(audience).add_at(position, fingerprint.wrapping_neg());
    }

    /// Root hash: one value for all entries of the scope.
    pub fn root(&self, scope: &Scope) -> u32 {
        let sum =
            self.scope_sums(scope).fold(0_u64, |sum, sums| sum.wrapping_add(sums.total));
        fold(sum)
    }

    /// The bucket hashes of the scope, with as many buckets as suit the number of entries.
    pub fn bucket_hashes(&self, scope: &Scope) -> Vec<u32> {
        let bucket_count = match (scope, self.entries) {
            (_, ..64) => 16,
            (Scope::Leaf(_), _) | (_, 64..1_024) => 64,
            _ => BUCKETS,
        };
        self.folded_hashes(scope, bucket_count)
    }

    /// The bucket hashes of the scope, folded to `bucket_count` buckets: a power of two up to
    /// [`BUCKETS`].
    pub fn folded_hashes(&self, scope: &Scope, bucket_count: usize) -> Vec<u32> {
        let mut totals = vec![0_u64; bucket_count];
        for sums in self.scope_sums(scope) {
            for (index, value) in sums.buckets.iter().enumerate() {
                let total = &mut totals[index % bucket_count];
                *total = total.wrapping_add(*value);
            }
        }
        totals.into_iter().map(fold).collect()
    }

    /// The sums of all audiences of the scope.
    fn scope_sums<'a>(&'a self, scope: &'a Scope) -> impl Iterator<Item = &'a Sums> {
        let organisations =
            self.organisations.iter().filter(move |(name, _)| match scope {
                Scope::All => true,
                Scope::Leaf(organisation) => name == organisation,
            });
        let balancers = (*scope == Scope::All).then_some(&self.balancers);
        std::iter::once(&self.common)
            .chain(balancers)
            .chain(organisations.map(|(_, sums)| sums))
    }

    /// The sums of one audience.
    fn audience_sums(&mut self, audience: &Audience) -> &mut Sums {
        match audience {
            Audience::Common => &mut self.common,
            Audience::Balancers => &mut self.balancers,
            Audience::Organisation(name) => {
                let found = self.organisations.binary_search_by(|(n, _)| n.cmp(name));
                let index = found.unwrap_or_else(|index| {
                    self.organisations.insert(index, (name.clone(), Sums::new()));
                    index
                });
                &mut self.organisations[index].1
            }
        }
    }
}

impl Default for Digest {
    fn default() -> Self {
        Self::new()
    }
}

/// Stride of the positions that hold documents: every fourth one does.
///
/// Documents have buckets of their own, so that they can be repaired first.
const DOCUMENT_STRIDE: u64 = 4;

/// The position of a document whose key has the given hash.
pub fn document_position(hash: u64) -> u64 {
    hash % (BUCKETS as u64 / DOCUMENT_STRIDE) * DOCUMENT_STRIDE
}

/// The position of the entries of a node. Identifiers are random, so they spread evenly.
pub fn node_position(id: node::Id) -> u64 {
    let others = DOCUMENT_STRIDE - 1;
    let position = id.0 % (BUCKETS as u64 / DOCUMENT_STRIDE * others);
    position / others * DOCUMENT_STRIDE + 1 + position % others
}

/// Whether a bucket holds documents.
pub fn holds_documents(bucket: u16) -> bool {
    u64::from(bucket).is_multiple_of(DOCUMENT_STRIDE)
}

/// Whether a position falls into one of the buckets of a digest with `bucket_count` buckets.
pub fn falls_in(position: u64, buckets: &[u16], bucket_count: u16) -> bool {
    let bucket = position as usize % BUCKETS % usize::from(bucket_count.max(1));
    buckets.contains(&(bucket as u16))
}

/// Shortens a sum or fingerprint to 32 bits for the wire.
pub fn fold(sum: u64) -> u32 {
    (sum ^ (sum >> 32)) as u32
}

/// Sums of the entries for one audience.
#[derive(Debug, Clone)]
struct Sums {
    /// The sum of each bucket.
    buckets: Box<[u64; BUCKETS]>,
    /// The sum over all buckets.
    total: u64,
}

impl Sums {
    /// Creates the sums of no entries.
    fn new() -> Self {
        Self { buckets: Box::new([0; BUCKETS]), total: 0 }
    }

    /// Adds a fingerprint to the bucket of a position.
    fn add_at(&mut self, position: u64, fingerprint: u64) {
        let bucket = &mut self.buckets[position as usize % BUCKETS];
        *bucket = bucket.wrapping_add(fingerprint);
        self.total = self.total.wrapping_add(fingerprint);
    }
}
