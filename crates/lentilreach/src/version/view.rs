//! What routing reads: services by address, their members, failure domains.

use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{domain, node, service};
use crate::process::name::Name;
pub use crate::version::load::Load;
use crate::version::load::{self, Choice, Trend};
use crate::version::table::Table;

/// One version of everything that a routing decision needs.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration revision that the view was built from.
    pub revision: u64,
    /// Sorted by address, without duplicates.
    services: Vec<Service>,
    /// Finds a service by its address.
    index: Index,
    /// Sorted by identifier, without duplicates.
    domains: Vec<Domain>,
    /// One bit for each failure domain that operators have taken out.
    out: [u64; 4],
}

impl View {
    /// Builds a view. Services and domains may come in any order.
    pub fn new(
        revision: u64,
        mut services: Vec<Service>,
        mut domains: Vec<Domain>,
    ) -> Self {
        services.sort_by_key(|service| service.address);
        services.dedup_by_key(|service| service.address);
        let index = Index::build(&services);
        domains.sort_by_key(|domain| domain.id);
        domains.dedup_by_key(|domain| domain.id);
        let mut out = [0; 4];
        for domain in domains.iter().filter(|domain| domain.out) {
            out[usize::from(domain.id.0 >> 6)] |= 1 << (domain.id.0 & 63);
        }
        Self { revision, services, index, domains, out }
    }

    /// Finds the service behind an address.
    pub fn service(&self, address: SocketAddr) -> Option<&Service> {
        let found = self.index.find(address).iter();
        found
            .map(|(_, at)| &self.services[*at])
            .find(|service| service.address == address)
    }

    /// All services, sorted by address.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// All failure domains, sorted by identifier.
    pub fn domains(&self) -> &[Domain] {
        &self.domains
    }

    /// Finds a failure domain.
    pub fn domain(&self, id: domain::Id) -> Option<&Domain> {
        let found = self.domains.binary_search_by_key(&id, |domain| domain.id);
        found.ok().map(|i| &self.domains[i])
    }

    /// Whether operators have taken the failure domain out.
    ///
    /// An unknown failure domain is in: a view older than the domain must not drop its flows.
    pub fn is_out(&self, id: domain::Id) -> bool {
        self.out[usize::from(id.0 >> 6)] & (1 << (id.0 & 63)) != 0
    }
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Domain {
    /// Identifies it in tokens.
    pub id: domain::Id,
    /// Its name in the configuration.
    pub name: Name,
    /// Whether operators have taken it out.
    pub out: bool,
}

/// A service and the backend servers that may serve it.
#[derive(Debug, Clone)]
pub struct Service {
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Identifies it in tokens.
    pub id: service::Id,
    /// `ORGANISATION/SERVICE`.
    pub name: Name,
    /// Sorted by node identifier, without duplicates.
    members: Arc<[Member]>,
    /// Candidate lists over the indices of `members`.
    table: Arc<Table>,
    /// What routing reads of each of `members`, in the same order.
    choices: Arc<[Choice]>,
    /// See [`load::mean_serving`].
    mean: Option<u32>,
    /// How the mean of open flows changes.
    trend: Trend,
}

impl Service {
    /// Builds a service. Members may come in any order.
    pub fn new(
        address: SocketAddr,
        id: service::Id,
        name: Name,
        mut members: Vec<Member>,
    ) -> Self {
        members.sort_by_key(|member| member.node);
        members.dedup_by_key(|member| member.node);
        let table = Arc::new(Table::build(&members));
        let trend = Trend::new(&members);
        let mean = load::mean_serving(&members);
        let choices = load::choices(&members, &trend).into();
        Self { address, id, name, members: members.into(), table, choices, mean, trend }
    }

    /// The same service with new load and stage of members, if the set is unchanged.
    ///
    /// Spares the table, which depends on the set alone.
    pub fn refresh(&self, mut members: Vec<Member>) -> Option<Self> {
        members.sort_by_key(|member| member.node);
        let same = members.len() == self.members.len()
            && members.iter().zip(self.members.iter()).all(|(a, b)| a.node == b.node);
        if !same {
            return None;
        }
        let trend = self.trend.next(&members);
        let mean = load::mean_serving(&members);
        let choices = load::choices(&members, &trend).into();
        Some(Self { members: members.into(), choices, mean, trend, ..self.clone() })
    }

    /// The mean of the reported open flows of its members, in tenths of a flow.
    pub fn mean(&self) -> Option<u32> {
        self.mean
    }

    /// The members, sorted by node identifier.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The members that a flow with this hash may go to, best first by rendezvous hash.
    pub fn candidates(&self, hash: u64) -> impl Iterator<Item = &Member> {
        self.table.candidates(hash).iter().map(|i| &self.members[usize::from(*i)])
    }

    /// What routing reads of [`Self::candidates`], in the same order.
    pub fn choices(&self, hash: u64) -> impl Iterator<Item = &Choice> {
        self.table.candidates(hash).iter().map(|i| &self.choices[usize::from(*i)])
    }
}

/// A backend server as announced by its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The agent's process, and so its incarnation.
    pub node: node::Id,
    /// Where the agent receives envelopes.
    pub agent: SocketAddrV4,
    /// The failure domain that it runs in.
    pub domain: domain::Id,
    /// What it may be given.
    pub stage: Stage,
    /// What it last said of its load.
    pub load: Load,
}

/// What a member may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// New flows and work.
    Active,
    /// New flows and work within its cold limits.
    Cold,
    /// Only packets of flows that it has.
    Leaving,
    /// The same, since it has not been heard from.
    Silent,
}

/// Positions of services by a hash of their address.
///
/// A binary search over 1,100 addresses took longer than the rest of the decision for an
/// established packet (`benches/route.rs`), so a first level leads to about one entry.
#[derive(Debug, Clone, Default)]
struct Index {
    /// Hash and position of each service, sorted.
    entries: Vec<(u64, usize)>,
    /// For each value of the high bits of a hash, its first entry; then the number of entries.
    /// Empty only in an index that was not built.
    starts: Vec<u32>,
    /// Low bits of a hash that are not an index into `starts`; below 64.
    shift: u32,
}

impl Index {
    /// Indexes services by their position.
    fn build(services: &[Service]) -> Self {
        let bits = services.len().next_power_of_two().ilog2().max(1);
        let shift = u64::BITS - bits;
        let entry = |(at, service): (usize, &Service)| (hash(service.address), at);
        let mut entries: Vec<_> = services.iter().enumerate().map(entry).collect();
        entries.sort_unstable();
        let start = |bucket| entries.partition_point(|(hash, _)| hash >> shift < bucket);
        let starts = (0..=1 << bits).map(|bucket| start(bucket) as u32).collect();
        Self { entries, starts, shift }
    }

    /// The entries that may be for an address.
    fn find(&self, address: SocketAddr) -> &[(u64, usize)] {
        let bucket = (hash(address) >> self.shift) as usize;
        match self.starts.get(bucket..).unwrap_or_default() {
            [start, end, ..] => &self.entries[*start as usize..*end as usize],
            _ => &[],
        }
    }
}

/// Hashes an address so that the high bits are spread: multiplication by the golden ratio.
fn hash(address: SocketAddr) -> u64 {
    let port = u64::from(address.port());
    let key = match address.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)) << 16 | port,
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), port),
    };
    key.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
