//! The routing state: services by address, their members and the failure domains.

use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{domain, node, service};
use crate::process::name::Name;
pub use crate::version::load::Load;
use crate::version::load::{self, Choice, Trend};
use crate::version::table::Table;

/// One version of the state that routing decisions are based on.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration revision that the view was built from.
    pub revision: u64,
    /// Sorted by address, without duplicates.
    services: Vec<Service>,
    /// Index of `services` by address.
    index: AddressIndex,
    /// Sorted by identifier, without duplicates.
    domains: Vec<Domain>,
    /// Bit set of the failure domains that are out of service, by identifier.
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
        let index = AddressIndex::build(&services);
        domains.sort_by_key(|domain| domain.id);
        domains.dedup_by_key(|domain| domain.id);
        let mut out = [0; 4];
        for domain in domains.iter().filter(|domain| domain.out) {
            out[usize::from(domain.id.0 >> 6)] |= 1 << (domain.id.0 & 63);
        }
        Self { revision, services, index, domains, out }
    }

    /// Finds the service with an address.
    pub fn service(&self, address: SocketAddr) -> Option<&Service> {
        let found = self.index.find(address).iter();
        found
            .map(|(_, position)| &self.services[*position])
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

    /// Whether operators have taken a failure domain out of service.
    ///
    /// An unknown failure domain counts as in service, because a view older than the domain
    /// must not drop its flows.
    pub fn is_out(&self, id: domain::Id) -> bool {
        self.out[usize::from(id.0 >> 6)] & (1 << (id.0 & 63)) != 0
    }
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Domain {
    /// Its identifier in tokens.
    pub id: domain::Id,
    /// Its name in the configuration.
    pub name: Name,
    /// Whether operators have taken it out of service.
    pub out: bool,
}

/// A service and the backend servers that may serve it.
#[derive(Debug, Clone)]
pub struct Service {
    /// The address to which callers connect.
    pub address: SocketAddr,
    /// Its identifier in tokens.
    pub id: service::Id,
    /// The full name, `ORGANISATION/SERVICE`.
    pub name: Name,
    /// Sorted by node identifier, without duplicates.
    members: Arc<[Member]>,
    /// Candidates by flow hash, as indices into `members`.
    table: Arc<Table>,
    /// The choice for each of `members`, in the same order.
    choices: Arc<[Choice]>,
    /// See [`load::mean_serving`].
    mean: Option<u32>,
    /// The change of the mean over time.
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

    /// Returns the service with the new loads and stages of its members; `None` if the members
    /// are not the same nodes.
    ///
    /// The table is reused, because it depends on the node identifiers alone.
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

    /// The mean of the reported open flows of its active and cold members, in tenths of a
    /// flow; `None` if there are none.
    pub fn mean(&self) -> Option<u32> {
        self.mean
    }

    /// The members, sorted by node identifier.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The candidates for a flow with this hash, best first by rendezvous hash.
    pub fn candidates(&self, hash: u64) -> impl Iterator<Item = &Member> {
        self.table.candidates(hash).iter().map(|i| &self.members[usize::from(*i)])
    }

    /// The choices for [`Self::candidates`], in the same order.
    pub fn choices(&self, hash: u64) -> impl Iterator<Item = &Choice> {
        self.table.candidates(hash).iter().map(|i| &self.choices[usize::from(*i)])
    }
}

/// A backend server as announced by its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Identifies the agent's process. A restarted agent has another identifier.
    pub node: node::Id,
    /// The address at which the agent receives envelopes.
    pub agent: SocketAddrV4,
    /// The failure domain that it runs in.
    pub domain: domain::Id,
    /// Which traffic it may get.
    pub stage: Stage,
    /// The load that it reported last.
    pub load: Load,
}

/// Which traffic a member may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// New flows and requests.
    Active,
    /// New flows and requests within the limits of a slow start.
    Cold,
    /// Only packets of its established flows, because it is draining.
    Leaving,
    /// Only packets of its established flows, because nothing has been received from it
    /// recently.
    Silent,
}

/// Hash index from addresses to positions of services.
///
/// A binary search over 1,100 addresses took longer than the rest of the routing decision for
/// a packet of an established flow (`benches/route.rs`). Buckets by the high bits of the hash
/// hold about one entry each.
#[derive(Debug, Clone, Default)]
struct AddressIndex {
    /// The hash and the position of each service, sorted.
    entries: Vec<(u64, usize)>,
    /// The start of each bucket in `entries`, followed by the number of entries. Empty only in
    /// a default index.
    starts: Vec<u32>,
    /// Number of low bits of a hash that do not select the bucket; below 64.
    shift: u32,
}

impl AddressIndex {
    /// Builds the index of a list of services.
    fn build(services: &[Service]) -> Self {
        let bits = services.len().next_power_of_two().ilog2().max(1);
        let shift = u64::BITS - bits;
        let entry =
            |(position, service): (usize, &Service)| (hash(service.address), position);
        let mut entries: Vec<_> = services.iter().enumerate().map(entry).collect();
        entries.sort_unstable();
        let start = |bucket| entries.partition_point(|(hash, _)| hash >> shift < bucket);
        let starts = (0..=1 << bits).map(|bucket| start(bucket) as u32).collect();
        Self { entries, starts, shift }
    }

    /// The entries in the bucket of an address.
    fn find(&self, address: SocketAddr) -> &[(u64, usize)] {
        let bucket = (hash(address) >> self.shift) as usize;
        match self.starts.get(bucket..).unwrap_or_default() {
            [start, end, ..] => &self.entries[*start as usize..*end as usize],
            _ => &[],
        }
    }
}

/// Hashes an address. The multiplication by 2^64 divided by the golden ratio mixes the high
/// bits, which select the bucket.
fn hash(address: SocketAddr) -> u64 {
    let port = u64::from(address.port());
    let key = match address.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)) << 16 | port,
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), port),
    };
    key.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
