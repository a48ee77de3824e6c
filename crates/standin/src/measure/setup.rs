//! Nodes and documents of the simulated fleet.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use bytes::Bytes;
use fastrand::Rng;
use lentilreach::Name;
use lentilreach::id::{domain, node};
use lentilreach::process::gossip::entry::{
    Attachment, Entry, Load, MAX_MONITORS, Node, Role, Stage, short_id,
};

use super::Settings;

/// Number of organisations that share the fleet.
pub(super) const ORGANISATIONS: usize = 4;

/// Number of services per 4,000 targets at the expected scale.
const SERVICES_PER_4000_TARGETS: usize = 1_100;

/// Open flows per target at the expected scale: 9.1 million over 4,000 targets.
const OPEN_FLOWS: u32 = 2_275;

/// The revision of all documents at the start.
pub(super) const FIRST_REVISION: u64 = 1_000;

/// The name of an organisation.
pub(super) fn organisation(index: usize) -> Name {
    format!("organisation-{}", index % ORGANISATIONS).into()
}

/// All documents at the first revision.
pub(super) fn documents(settings: &Settings) -> Vec<Entry> {
    let services =
        (settings.targets * SERVICES_PER_4000_TARGETS / 4_000).max(ORGANISATIONS);
    let keys = (0..services).map(|index| service(index, index / ORGANISATIONS));
    let shared = ["domain", "key", "template/calendar", "template/feed"];
    let shared = shared.iter().map(|name| format!("lentilreach/{name}").into());
    let all = keys.chain(shared);
    all.map(|key| Entry::document(key, FIRST_REVISION, Some(document(FIRST_REVISION))))
        .collect()
}

/// The key of a service document.
pub(super) fn service(index: usize, number: usize) -> Name {
    format!("lentilreach/service/{}/service-{number:04}", organisation(index)).into()
}

/// The node record of a balancer.
pub(super) fn balancer(settings: &Settings, index: usize, rng: &mut Rng) -> Node {
    Node {
        id: node::Id(rng.u64(..)),
        version: 0,
        name: format!("balancer-{index:03}").into(),
        role: Role::Balancer,
        envelope_address: address(10, index, 4_000),
        gossip_address: address(10, index, 4_001),
        admin_address: address(10, index, 4_002),
        domain: domain::Id((index % settings.domains()) as u8),
        set: "".into(),
        organisation: "".into(),
        stage: Stage::Active,
    }
}

/// The node record of an agent.
pub(super) fn agent(settings: &Settings, index: usize, rng: &mut Rng) -> Node {
    Node {
        name: format!("agent-{index:04}").into(),
        role: Role::Agent,
        envelope_address: address(11, index, 4_000),
        gossip_address: address(11, index, 4_001),
        admin_address: address(11, index, 4_002),
        set: format!("set-{}", index % 100).into(),
        organisation: organisation(index),
        ..balancer(settings, index, rng)
    }
}

/// Attaches each node to three balancers. For an agent, two are in its own failure domain.
pub(super) fn attachments(
    nodes: &[Node],
    balancers: &[Node],
    rng: &mut Rng,
) -> Vec<Entry> {
    let mut entries = Vec::new();
    for node in nodes {
        let fit = |b: &&Node| {
            b.id != node.id && (node.role == Role::Balancer || b.domain == node.domain)
        };
        let mut candidates: Vec<u32> =
            balancers.iter().filter(fit).map(|b| short_id(b.id)).collect();
        rng.shuffle(&mut candidates);
        // An agent's third balancer is in another failure domain.
        let far = balancers.iter().filter(|b| b.domain != node.domain);
        let far: Vec<u32> = far.map(|b| short_id(b.id)).collect();
        let third = rng.choice(&far).copied();
        candidates.truncate(MAX_MONITORS - 1);
        candidates.extend(third.filter(|id| !candidates.contains(id)));
        let monitors = std::array::from_fn(|index| candidates.get(index).copied());
        entries.push(Entry::Attachment(Attachment {
            node: node.id,
            version: 1,
            monitors,
        }));
    }
    entries
}

/// A service document as the command line tool writes it.
pub(super) fn document(revision: u64) -> Bytes {
    format!(
        r#"{{"template":"calendar","address":"127.1.0.1:4433","set":"abo","slots":5,"connections":2000,"cold_slots":1,"cold_ms":8000,"operation":"{revision:032x}"}}"#
    )
    .into()
}

/// An address of a node.
pub(super) fn address(net: u8, index: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(net, 0, (index >> 8) as u8, index as u8);
    SocketAddrV4::new(ip, port).into()
}

/// The initial load of a target.
pub(super) fn load(node: node::Id, rng: &mut Rng) -> Load {
    let open = OPEN_FLOWS - 100 + rng.u32(..200);
    Load { node, version: 0, open, limit: 3_000, busy: 2, slots: 5 }
}

/// The gossip entry of a node.
pub(super) fn node_entry(node: &Node) -> Entry {
    Entry::Node(Arc::new(Node { version: 1, ..node.clone() }))
}

/// A deep copy that shares no memory with the original, as in another process.
pub(super) fn deep_copy(entry: &Entry) -> Entry {
    let name = |name: &Name| Name::from(&**name);
    match entry {
        Entry::Document(d) => {
            let value = d.value.as_ref().map(|value| Bytes::copy_from_slice(value));
            Entry::document(name(&d.key), d.revision, value)
        }
        Entry::Node(node) => Entry::Node(Arc::new(Node {
            name: name(&node.name),
            set: name(&node.set),
            organisation: name(&node.organisation),
            ..node.as_ref().clone()
        })),
        other => other.clone(),
    }
}

/// Resident memory of this process in bytes, if the system provides it.
pub(super) fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024)
}
