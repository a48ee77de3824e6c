//! Builds the views for routing and the limits for agents from the documents, announcements
//! and load reports that the gossip exchange holds.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::connection::admission;
use crate::id::domain;
use crate::process::agent::{self, Served};
use crate::process::clock::Millis;
use crate::process::gossip::entry::{self, Document, Node};
use crate::process::name::Name;
use crate::request::admit;
use crate::version::config::key::Kind;
use crate::version::config::snapshot::Refused;
use crate::version::config::{self, Snapshot};
use crate::version::view::{Domain, Load, Member, Service, Stage, View};

/// Time within which a handshake must complete, in milliseconds. It leaves room for several
/// retransmissions over a link that loses 1% of the packets.
const HANDSHAKE_TIMEOUT_MS: u64 = 5_000;

/// Time within which a change reaches every process, in milliseconds.
const PROPAGATION_MS: u64 = 7_000;

/// The configuration in force, updated from the documents of the gossip exchange.
#[derive(Debug, Default, Clone)]
pub struct Config {
    /// The last valid version of every document. Its revision is the highest among the
    /// accepted documents and never decreases.
    snapshot: Snapshot,
    /// The highest revision seen of each document, refused ones included. Sorted by key.
    seen: Vec<(Name, u64)>,
    /// Services that were removed or changed their address, and the time until which packets
    /// of their flows are forwarded.
    retired: Vec<(Arc<config::Service>, Millis)>,
}

impl Config {
    /// The configuration in force.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Applies documents that are newer than the revision seen last and skips the others.
    /// Returns the documents that are refused; their last valid version stays in force.
    pub fn update(&mut self, now: Millis, documents: &[Document]) -> Vec<Refused> {
        let mut refused = Vec::new();
        self.retired.retain(|(_, until)| *until > now);
        for document in documents {
            if self.record_revision(document) {
                refused.extend(self.apply(now, document));
            }
        }
        refused
    }

    /// Records the revision of a document; returns whether it is newer than the last one.
    fn record_revision(&mut self, document: &Document) -> bool {
        let found = self.seen.binary_search_by(|(key, _)| key.cmp(&document.key));
        match found {
            Ok(index) if self.seen[index].1 >= document.revision => return false,
            Ok(index) => self.seen[index].1 = document.revision,
            Err(index) => {
                self.seen.insert(index, (document.key.clone(), document.revision))
            }
        }
        true
    }

    /// Applies a document to the snapshot, unless it is refused.
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

    /// Records the service of a document as retired if `next` no longer has it at its
    /// current address.
    fn retire(&mut self, now: Millis, key: &str, next: &Snapshot) {
        let Some(Kind::Service { organisation, name }) = Kind::parse(key) else { return };
        let Some(old) = self.snapshot.find(organisation, name) else { return };
        let new = next.find(organisation, name);
        if new.is_none_or(|new| new.address != old.address) {
            let until = now.after(PROPAGATION_MS + old.limits.leave_ms);
            self.retired.push((old.clone(), until));
        }
    }

    /// Services that were removed or changed their address and whose flows are still draining.
    pub fn retired(&self, now: Millis) -> impl Iterator<Item = &config::Service> {
        let current = self.retired.iter().filter(move |(_, until)| *until > now);
        current.map(|(service, _)| service.as_ref())
    }
}

/// An agent as known from the gossip exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its announcement.
    pub node: Arc<Node>,
    /// Whether nothing has been received from it recently.
    pub silent: bool,
    /// Its last load report, with the time at which it was received.
    pub load: Load,
}

impl Peer {
    /// The agent as a member of a service; `None` if its address is not IPv4.
    fn member(&self) -> Option<Member> {
        let SocketAddr::V4(agent) = self.node.envelope_address else { return None };
        let stage = match self.node.stage {
            entry::Stage::Leaving => Stage::Leaving,
            _ if self.silent => Stage::Silent,
            entry::Stage::Active => Stage::Active,
            entry::Stage::Cold => Stage::Cold,
        };
        let (node, domain) = (self.node.id, self.node.domain);
        Some(Member { node, agent, domain, stage, load: self.load })
    }

    /// Orders agents that announce the same address: the greatest one is taken as running.
    fn precedence(&self) -> (bool, bool, Millis, u64) {
        let leaving = self.node.stage == entry::Stage::Leaving;
        (!self.silent, !leaving, self.load.at, self.node.id.0)
    }
}

/// Builds the view that routing reads.
///
/// The candidate table of a service is reused from `previous` if its members are the same. An
/// agent whose failure domain is not in the domain document is left out, because it does not
/// know the identifier of its domain yet. A service that was removed or changed its address
/// stays at the old address without members while its flows drain, unless another service has
/// that address now.
pub fn view(config: &Config, now: Millis, peers: &[Peer], previous: &View) -> View {
    let snapshot = config.snapshot();
    let sets = MembersBySet::new(snapshot, peers);
    let services = snapshot.services().iter().map(|config| {
        let members = sets.members(&config.organisation, &config.set);
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
    let services = services_of_set(snapshot, organisation, set);
    let served = services.map(|service| Served {
        id: service.id(),
        address: service.address,
        name: service.path(),
    });
    let mut served: Vec<Served> = served.collect();
    served.sort_by_key(|served| served.id);
    served
}

/// The limits for the backend server of an agent; `None` if the agent serves no service.
///
/// Services with the same set share its backend servers, so the lowest capacity and the
/// longest cold start and drain among them apply.
pub fn limits(
    snapshot: &Snapshot,
    organisation: &str,
    set: &str,
) -> Option<agent::Limits> {
    let limits =
        services_of_set(snapshot, organisation, set).map(|service| service.limits);
    limits
        .reduce(|a, b| config::Limits {
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

/// Whether operators have taken a failure domain out of service. A domain that is not in the
/// document counts as in service.
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
            // A cold start limits requests only, because idle flows cost the backend server
            // nothing.
            flows: admission::Limits {
                flows,
                cold_flows: flows,
                half_open_ms: HANDSHAKE_TIMEOUT_MS,
            },
            deadline_ms: limits.deadline_ms,
            leave_ms: limits.leave_ms,
        }
    }
}

/// Members by organisation and set.
struct MembersBySet<'a> {
    /// Sorted by organisation and set.
    members: Vec<((&'a str, &'a str), Member)>,
}

impl<'a> MembersBySet<'a> {
    /// Groups the agents in known failure domains and keeps one agent for each address.
    fn new(snapshot: &Snapshot, peers: &'a [Peer]) -> Self {
        let known = |id: domain::Id| snapshot.domains.get(id).is_some();
        let mut peers: Vec<&Peer> =
            peers.iter().filter(|peer| known(peer.node.domain)).collect();
        // After a restart, the previous incarnation is still known at the same address, and it
        // counts as alive until it is silent.
        peers.sort_by_key(|peer| {
            (peer.node.envelope_address, std::cmp::Reverse(peer.precedence()))
        });
        peers.dedup_by_key(|peer| peer.node.envelope_address);
        let keyed = |peer: &&'a Peer| -> Option<((&'a str, &'a str), Member)> {
            let node: &'a Node = &peer.node;
            Some(((&*node.organisation, &*node.set), peer.member()?))
        };
        let mut members: Vec<_> = peers.iter().filter_map(keyed).collect();
        members.sort_by_key(|(key, _)| *key);
        Self { members }
    }

    /// The members of one set of an organisation.
    fn members(&self, organisation: &str, set: &str) -> Vec<Member> {
        let wanted = (organisation, set);
        let start = self.members.partition_point(|(key, _)| *key < wanted);
        let found = self.members[start..].iter().take_while(|(key, _)| *key == wanted);
        found.map(|(_, member)| *member).collect()
    }
}

/// Builds a service with its members, reusing the service of the previous view if it has the
/// same members.
fn service(config: &config::Service, members: Vec<Member>, previous: &View) -> Service {
    let (id, name) = (config.id(), config.path());
    let old = previous.service(config.address).filter(|old| old.id == id);
    match old.and_then(|old| old.refresh(members.clone())) {
        Some(service) => service,
        None => Service::new(config.address, id, name, members),
    }
}

/// The failure domains of the configuration, as the view holds them.
fn domains(snapshot: &Snapshot) -> Vec<Domain> {
    let all = snapshot.domains.as_slice().iter();
    let view = |domain: &config::Domain| Domain {
        id: domain.id,
        name: domain.name.clone(),
        out: domain.out,
    };
    all.map(view).collect()
}

/// The services of an organisation that use a set of backend servers.
fn services_of_set<'a>(
    snapshot: &'a Snapshot,
    organisation: &'a str,
    set: &'a str,
) -> impl Iterator<Item = &'a config::Service> {
    let services = snapshot.of_organisation(organisation).map(Arc::as_ref);
    services.filter(move |service| &*service.set == set)
}
