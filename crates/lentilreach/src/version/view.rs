//! What routing reads: services by address, their members, failure domains.

use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{domain, node, service};
use crate::process::name::Name;
pub use crate::version::load::Load;
use crate::version::load::{self, Choice};
use crate::version::table::Table;

/// One version of everything that a routing decision needs.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration revision that the view was built from.
    pub revision: u64,
    /// Sorted by the key of the address, then by address, without duplicates.
    services: Vec<Service>,
    /// The keys of the addresses of `services`, in the same order.
    ///
    /// A search among them touches a tenth of the memory that one among the services does.
    keys: Vec<u64>,
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
        services.sort_by_key(|service| (key(service.address), service.address));
        services.dedup_by_key(|service| service.address);
        let keys = services.iter().map(|service| key(service.address)).collect();
        domains.sort_by_key(|domain| domain.id);
        domains.dedup_by_key(|domain| domain.id);
        let mut out = [0; 4];
        for domain in domains.iter().filter(|domain| domain.out) {
            out[usize::from(domain.id.0 >> 6)] |= 1 << (domain.id.0 & 63);
        }
        Self { revision, services, keys, domains, out }
    }

    /// Finds the service behind an address.
    pub fn service(&self, address: SocketAddr) -> Option<&Service> {
        let key = key(address);
        let at = self.keys.partition_point(|other| *other < key);
        let same = self.keys[at..].iter().take_while(|other| **other == key).count();
        self.services[at..at + same].iter().find(|service| service.address == address)
    }

    /// All services, in an order that depends on their addresses alone.
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
        let choices = load::choices(&members).into();
        let mean = load::mean_serving(&members);
        Self { address, id, name, members: members.into(), table, choices, mean }
    }

    /// The same service with new load and stage of members, if the set is unchanged.
    ///
    /// Spares the table, which depends on the set alone.
    pub fn refresh(&self, mut members: Vec<Member>) -> Option<Self> {
        members.sort_by_key(|member| member.node);
        let same = members.len() == self.members.len()
            && members.iter().zip(self.members.iter()).all(|(a, b)| a.node == b.node);
        let choices = load::choices(&members).into();
        let mean = load::mean_serving(&members);
        same.then(|| Self { members: members.into(), choices, mean, ..self.clone() })
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

/// A number by which addresses are searched: unique for IPv4, nearly so for IPv6.
fn key(address: SocketAddr) -> u64 {
    let port = u64::from(address.port());
    match address.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)) << 16 | port,
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), port) | 1 << 63,
    }
}
