//! Compares the sets of agents that nodes hear.
//!
//! Nodes tell each other a hash of the set of agents that they hear. It is the sum of the
//! hashes of its elements, so a node can recognise sets that differ from its own one in a
//! few agents that it knows. Successive processes at one address are different elements.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of agents of which a set may contain any. Limits the number of sets that
/// are compared to 256.
const MAX_OPTIONAL: usize = 8;

/// An agent's address and its incarnation.
pub type Element = (SocketAddrV4, u64);

/// The sets of agents that another node may hear, as far as this node knows all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Hash of the agents that this node hears.
    own: u32,
    /// Hash of the agents that every set contains.
    required: u32,
    /// Hashes of the agents that a set may contain; at most [`MAX_OPTIONAL`].
    optional: Vec<u32>,
}

impl View {
    /// Creates the view of a node from the agents that it hears. Other nodes may also hear
    /// those in `lost`, and may not hear those in `recent` yet, which this node hears.
    pub fn new(
        heard: impl Iterator<Item = Element>,
        lost: impl Iterator<Item = Element>,
        recent: impl Iterator<Item = Element>,
    ) -> Self {
        let own = hash(heard);
        let mut required = own;
        let mut optional: Vec<_> = lost.map(element_hash).take(MAX_OPTIONAL).collect();
        for hash in recent.map(element_hash).take(MAX_OPTIONAL - optional.len()) {
            required = required.wrapping_sub(hash);
            optional.push(hash);
        }
        Self { own, required, optional }
    }

    /// Whether a hash belongs to a set of agents that are all known to this node.
    pub fn contains(&self, hash: u32) -> bool {
        hash == self.own || is_sum(hash.wrapping_sub(self.required), &self.optional)
    }
}

/// The hash of a set of agents, which doesn't depend on their order.
pub fn hash(agents: impl Iterator<Item = Element>) -> u32 {
    agents.map(element_hash).fold(0, u32::wrapping_add)
}

/// The hash of one agent.
fn element_hash((agent, incarnation): Element) -> u32 {
    let mut bytes = [0; 14];
    bytes[..4].copy_from_slice(&agent.ip().octets());
    bytes[4..6].copy_from_slice(&agent.port().to_be_bytes());
    bytes[6..].copy_from_slice(&incarnation.to_be_bytes());
    xxh3_64(&bytes) as u32
}

/// Whether some of `hashes` add up to `sum`.
fn is_sum(sum: u32, hashes: &[u32]) -> bool {
    match hashes {
        [] => sum == 0,
        [first, rest @ ..] => is_sum(sum, rest) || is_sum(sum.wrapping_sub(*first), rest),
    }
}
