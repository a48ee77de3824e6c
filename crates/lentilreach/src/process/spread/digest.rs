//! Anti-entropy: sums of fingerprints by which two nodes find what they do not share.

use crate::id::node;
use crate::process::name::Name;

/// Sums that a digest is kept in.
pub const WIDTH: usize = 256;

/// The nodes that need an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Area {
    /// All nodes.
    Common,
    /// Balancers, and agents of one organisation.
    Organisation(Name),
    /// Balancers only.
    Balancers,
}

/// What a digest exchange covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// Everything; between balancers.
    All,
    /// What an agent of the organisation needs.
    Leaf(Name),
}

impl Scope {
    /// Whether entries of the area belong to the scope.
    pub fn covers(&self, area: &Area) -> bool {
        match (self, area) {
            (Self::All, _) | (_, Area::Common) => true,
            (Self::Leaf(name), Area::Organisation(organisation)) => name == organisation,
            (Self::Leaf(_), Area::Balancers) => false,
        }
    }
}

/// Sums of the fingerprints of all entries, by place and area.
///
/// Sums can be updated entry by entry, and the digest of a scope is the sum over its areas.
#[derive(Debug, Clone)]
pub struct Digest {
    /// Number of entries, which decides how fine a digest is sent.
    entries: usize,
    /// Entries of [`Area::Common`].
    common: Sums,
    /// Entries of [`Area::Balancers`].
    balancers: Sums,
    /// Entries of each organisation, sorted by name.
    organisations: Vec<(Name, Sums)>,
}

impl Digest {
    /// The digest of no entries.
    pub fn new() -> Self {
        Self {
            entries: 0,
            common: Sums::new(),
            balancers: Sums::new(),
            organisations: Vec::new(),
        }
    }

    /// Adds an entry with the given fingerprint.
    pub fn add(&mut self, area: &Area, place: u64, fingerprint: u64) {
        self.entries += 1;
        self.sums(area).shift(place, fingerprint);
    }

    /// Takes an entry out that was added before.
    pub fn remove(&mut self, area: &Area, place: u64, fingerprint: u64) {
        self.entries = self.entries.saturating_sub(1);
        self.sums(area).shift(place, fingerprint.wrapping_neg());
    }

    /// One value for all entries of the scope.
    pub fn root(&self, scope: &Scope) -> u32 {
        let sum = self.areas(scope).fold(0_u64, |sum, area| sum.wrapping_add(area.total));
        fold(sum)
    }

    /// The sums of the scope, as many as suit the number of entries.
    pub fn hashes(&self, scope: &Scope) -> Vec<u32> {
        let width = match (scope, self.entries) {
            (_, ..64) => 16,
            (Scope::Leaf(_), _) | (_, 64..1_024) => 64,
            _ => WIDTH,
        };
        self.narrow(scope, width)
    }

    /// The sums of the scope, `width` of them; a power of two up to [`WIDTH`].
    pub fn narrow(&self, scope: &Scope, width: usize) -> Vec<u32> {
        let mut sums = vec![0_u64; width];
        for area in self.areas(scope) {
            for (index, value) in area.parts.iter().enumerate() {
                let slot = &mut sums[index % width];
                *slot = slot.wrapping_add(*value);
            }
        }
        sums.into_iter().map(fold).collect()
    }

    /// The sums of all areas of the scope.
    fn areas<'a>(&'a self, scope: &'a Scope) -> impl Iterator<Item = &'a Sums> {
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

    /// The sums of one area.
    fn sums(&mut self, area: &Area) -> &mut Sums {
        match area {
            Area::Common => &mut self.common,
            Area::Balancers => &mut self.balancers,
            Area::Organisation(name) => {
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

/// Part of the places that hold documents: every fourth one.
///
/// Documents have parts of their own, so that they are repaired first.
const DOCUMENTS: u64 = 4;

/// The place of a document with the given hash.
pub fn document_place(hash: u64) -> u64 {
    hash % (WIDTH as u64 / DOCUMENTS) * DOCUMENTS
}

/// The place of the entries of a node. Identifiers are random.
pub fn node_place(id: node::Id) -> u64 {
    let others = DOCUMENTS - 1;
    let place = id.0 % (WIDTH as u64 / DOCUMENTS * others);
    place / others * DOCUMENTS + 1 + place % others
}

/// Whether a part of a digest holds documents.
pub fn holds_documents(part: u16) -> bool {
    u64::from(part).is_multiple_of(DOCUMENTS)
}

/// Whether a place falls into one of the parts of a digest of the given width.
pub fn falls(place: u64, parts: &[u16], width: u16) -> bool {
    let part = place as usize % WIDTH % usize::from(width.max(1));
    parts.contains(&(part as u16))
}

/// Shortens a sum for the wire.
pub fn fold(sum: u64) -> u32 {
    (sum ^ (sum >> 32)) as u32
}

/// Sums of one area.
#[derive(Debug, Clone)]
struct Sums {
    /// One sum for each part of the places.
    parts: Box<[u64; WIDTH]>,
    /// The sum of all parts.
    total: u64,
}

impl Sums {
    /// Sums of no entries.
    fn new() -> Self {
        Self { parts: Box::new([0; WIDTH]), total: 0 }
    }

    /// Adds to the sum at a place.
    fn shift(&mut self, place: u64, by: u64) {
        let part = &mut self.parts[place as usize % WIDTH];
        *part = part.wrapping_add(by);
        self.total = self.total.wrapping_add(by);
    }
}
