//! From documents, members and loads, as the exchange holds them, to what routing and agents
//! read.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::connection::open;
use crate::id::domain;
use crate::process::agent::{self, Served};
use crate::process::clock::Millis;
use crate::process::name::Name;
use crate::process::spread::entry::{self, Document, Node};
use crate::request::admit;
use crate::version::config::key::Kind;
use crate::version::config::snapshot::Refused;
use crate::version::config::{self, Snapshot};
use crate::version::view::{Domain, Load, Member, Service, Stage, View};

/// Time within which a handshake must complete, in milliseconds. Several retransmissions of
/// the handshake over a link that loses 1%.
const HALF_OPEN_MS: u64 = 5_000;

/// Time in milliseconds until a change is known everywhere.
const SPREAD_MS: u64 = 7_000;

/// The documents in force, taken from the exchange one change at a time.
#[derive(Debug, Default, Clone)]
pub struct Config {
    /// The last good version of every document. Its revision is the highest of a document
    /// that was accepted and never falls.
    snapshot: Snapshot,
    /// Sorted by key; the revision of each document that was looked at, refused ones too.
    seen: Vec<(Name, u64)>,
    /// Services that were removed or moved, and until when their flows are forwarded.
    retired: Vec<(Arc<config::Service>, Millis)>,
}

impl Config {
    /// The documents in force.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Takes documents, of which those that were seen at the same or a higher revision are
    /// skipped. Returns those that are refused; their last good version stays in force.
    pub fn take(&mut self, now: Millis, documents: &[Document]) -> Vec<Refused> {
        let mut refused = Vec::new();
        self.retired.retain(|(_, until)| *until > now);
        for document in documents {
            if self.is_news(document) {
                refused.extend(self.apply(now, document));
            }
        }
        refused
    }

    /// Notes the revision of a document; returns whether it is a new one.
    fn is_news(&mut self, document: &Document) -> bool {
        let found = self.seen.binary_search_by(|(key, _)| key.cmp(&document.key));
        match found {
            Ok(at) if self.seen[at].1 >= document.revision => return false,
            Ok(at) => self.seen[at].1 = document.revision,
            Err(at) => self.seen.insert(at, (document.key.clone(), document.revision)),
        }
        true
    }

    /// Puts a document in force, unless it is refused.
    fn apply(&mut self, now: Millis, document: &Document) -> Option<Refused> {
        let change = (&*document.key, document.value.as_deref());
        let revision = self.snapshot.revision.max(document.revision);
        let (next, mut refused) = self.snapshot.apply(revision, [change]);
        if refused.is_empty() {
            self.retire(now, &document.key, &next);
            self.snapshot = next;
        }
        refused.pop()
    }

    /// Notes the service of a document if `next` has it no longer at its address.
    fn retire(&mut self, now: Millis, key: &str, next: &Snapshot) {
        let Some(Kind::Service { organisation, name }) = Kind::parse(key) else { return };
        let Some(old) = self.snapshot.find(organisation, name) else { return };
        let new = next.find(organisation, name);
        if new.is_none_or(|new| new.address != old.address) {
            let until = now.after(SPREAD_MS + old.limits.leave_ms);
            self.retired.push((old.clone(), until));
        }
    }

    /// Services that were removed or moved and whose flows still drain.
    pub fn retired(&self, now: Millis) -> impl Iterator<Item = &config::Service> {
        let current = self.retired.iter().filter(move |(_, until)| *until > now);
        current.map(|(service, _)| service.as_ref())
    }
}

/// An agent as the exchange knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its announcement.
    pub node: Arc<Node>,
    /// Whether it is not heard from.
    pub silent: bool,
    /// Its last load report, with the time of its arrival.
    pub load: Load,
}

impl Peer {
    /// The agent as a member of a service; none without an IPv4 address.
    fn member(&self) -> Option<Member> {
        let SocketAddr::V4(agent) = self.node.envelope else { return None };
        let stage = match self.node.stage {
            entry::Stage::Leaving => Stage::Leaving,
            _ if self.silent => Stage::Silent,
            entry::Stage::Active => Stage::Active,
            entry::Stage::Cold => Stage::Cold,
        };
        let (node, domain) = (self.node.id, self.node.domain);
        Some(Member { node, agent, domain, stage, load: self.load })
    }

    /// Which of two agents at one address is the running one: the higher.
    fn rank(&self) -> (bool, bool, Millis, u64) {
        let leaving = self.node.stage == entry::Stage::Leaving;
        (!self.silent, !leaving, self.load.at, self.node.id.0)
    }
}

/// Builds the view that routing reads.
///
/// `previous` spares the candidate tables of services whose members are the same. An agent
/// whose failure domain is not in the domain document gets no new flows: it does not know
/// its own identifier yet. Removed and moved services stay at their addresses without members
/// while their flows drain, unless another service has the address now.
pub fn view(config: &Config, now: Millis, peers: &[Peer], previous: &View) -> View {
    let snapshot = config.snapshot();
    let groups = Groups::new(snapshot, peers);
    let services = snapshot.services().iter().map(|config| {
        let members = groups.members(&config.organisation, &config.set);
        service(config, members, previous)
    });
    let mut services: Vec<Service> = services.collect();
    for retired in config.retired(now) {
        if services.iter().all(|service| service.address != retired.address) {
            services.push(service(retired, Vec::new(), previous));
        }
    }
    View::new(snapshot.revision, services, domains(snapshot))
}

/// The services that an agent serves, sorted by identifier.
pub fn served(snapshot: &Snapshot, organisation: &str, set: &str) -> Vec<Served> {
    let own = own(snapshot, organisation, set);
    let served = own.map(|service| Served {
        id: service.id(),
        address: service.address,
        name: service.path(),
    });
    let mut served: Vec<Served> = served.collect();
    served.sort_by_key(|served| served.id);
    served
}

/// What the backend server of an agent bears; none if the agent serves no service.
///
/// Services that share a set share its backend servers, so the lowest of their capacities
/// and the longest of their cold starts and drains hold.
pub fn limits(
    snapshot: &Snapshot,
    organisation: &str,
    set: &str,
) -> Option<agent::Limits> {
    let each = own(snapshot, organisation, set).map(|service| service.limits);
    each.reduce(|a, b| config::Limits {
        slots: a.slots.min(b.slots),
        connections: a.connections.min(b.connections),
        cold_slots: a.cold_slots.min(b.cold_slots),
        cold_ms: a.cold_ms.max(b.cold_ms),
        leave_ms: a.leave_ms.max(b.leave_ms),
        queue: a.queue.min(b.queue),
        deadline_ms: a.deadline_ms.min(b.deadline_ms),
    })
    .map(agent::Limits::from)
}

/// Whether operators have taken a failure domain out; in if it is not in the document.
pub fn is_out(snapshot: &Snapshot, domain: &str) -> bool {
    snapshot.domains.find(domain).is_some_and(|domain| domain.out)
}

impl From<config::Limits> for agent::Limits {
    fn from(limits: config::Limits) -> Self {
        let flows = limits.connections;
        Self {
            requests: admit::Limits {
                slots: limits.slots,
                cold_slots: limits.cold_slots,
                cold_ms: limits.cold_ms,
                queue: limits.queue,
            },
            // A cold start limits requests. Flows are admitted as usual: idle ones cost the
            // backend server nothing.
            flows: open::Limits { flows, cold_flows: flows, half_open_ms: HALF_OPEN_MS },
            deadline_ms: limits.deadline_ms,
            leave_ms: limits.leave_ms,
        }
    }
}

/// Agents by organisation and set.
struct Groups<'a> {
    /// Sorted by organisation and set.
    members: Vec<((&'a str, &'a str), Member)>,
}

impl<'a> Groups<'a> {
    /// Sorts agents in known failure domains, one for each address.
    fn new(snapshot: &Snapshot, peers: &'a [Peer]) -> Self {
        let known = |id: domain::Id| snapshot.domains.get(id).is_some();
        let mut peers: Vec<&Peer> =
            peers.iter().filter(|peer| known(peer.node.domain)).collect();
        // A new incarnation takes the address of the one before, which counts as alive until
        // it is silent.
        peers.sort_by_key(|peer| (peer.node.envelope, std::cmp::Reverse(peer.rank())));
        peers.dedup_by_key(|peer| peer.node.envelope);
        let place = |peer: &&'a Peer| -> Option<((&'a str, &'a str), Member)> {
            let node: &'a Node = &peer.node;
            Some(((&*node.organisation, &*node.set), peer.member()?))
        };
        let mut members: Vec<_> = peers.iter().filter_map(place).collect();
        members.sort_by_key(|(group, _)| *group);
        Self { members }
    }

    /// The members of one set of an organisation.
    fn members(&self, organisation: &str, set: &str) -> Vec<Member> {
        let wanted = (organisation, set);
        let start = self.members.partition_point(|(group, _)| *group < wanted);
        let own = self.members[start..].iter().take_while(|(group, _)| *group == wanted);
        own.map(|(_, member)| *member).collect()
    }
}

/// A service with its members, from the previous view if the set is unchanged.
fn service(config: &config::Service, members: Vec<Member>, previous: &View) -> Service {
    let (id, name) = (config.id(), config.path());
    let old = previous.service(config.address).filter(|old| old.id == id);
    match old.and_then(|old| old.refresh(members.clone())) {
        Some(service) => service,
        None => Service::new(config.address, id, name, members),
    }
}

/// The failure domains.
fn domains(snapshot: &Snapshot) -> Vec<Domain> {
    let all = snapshot.domains.as_slice().iter();
    let view = |domain: &config::Domain| Domain {
        id: domain.id,
        name: domain.name.clone(),
        out: domain.out,
    };
    all.map(view).collect()
}

/// The services of a set of an organisation.
fn own<'a>(
    snapshot: &'a Snapshot,
    organisation: &'a str,
    set: &'a str,
) -> impl Iterator<Item = &'a config::Service> {
    let services = snapshot.of(organisation).map(Arc::as_ref);
    services.filter(move |service| &*service.set == set)
}
