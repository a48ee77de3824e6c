//! Measures the exchange of state at scale, in virtual time.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use bytes::Bytes;
use fastrand::Rng;
use lentilreach::Name;
use lentilreach::id::{domain, node};
use lentilreach::process::spread::core::Event;
use lentilreach::process::spread::entry::{
    Attach, Document, Entry, Key, Load, MONITORS, Node, Role, Stage, short,
};
use lentilreach::process::spread::member::Status;
use serde::Serialize;

use crate::network::{Faults, Network};

/// Failure domains at the expected scale; fewer for small fleets.
const DOMAINS: usize = 10;

/// Organisations that share the fleet.
const ORGANISATIONS: usize = 4;

/// Services for each 4,000 targets at the expected scale.
const SERVICES: usize = 1_100;

/// Open flows of a target at the expected scale: 9.1 million over 4,000 targets.
const OPEN: u32 = 2_275;

/// New flows of a target in a second: 50,000 over 4,000 targets.
const FLOWS_PER_S: f64 = 12.5;

/// Time in milliseconds before measuring, in which nodes attach and settle.
const SETTLE_MS: u64 = 10_000;

/// What to measure.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of balancers.
    pub nodes: usize,
    /// Number of targets, each with an agent.
    pub targets: usize,
    /// Share of datagrams that are lost, in percent.
    pub loss_percent: f64,
    /// Virtual time that is measured, in seconds.
    pub seconds: u64,
    /// Sets all random choices.
    pub seed: u64,
    /// What happens meanwhile.
    pub plan: Plan,
}

/// What happens while it is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// A configuration change every ten seconds, which all relays read from the store.
    Steady,
    /// The same, but the store goes away after one relay has read the change.
    StoreAway,
    /// One third of the balancers restart at the beginning.
    Restart,
    /// One third of the failure domains are cut off for a third of the time.
    Partition,
}

/// What was measured. A field that was not measured is absent.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct Report {
    /// Number of balancers.
    pub nodes: usize,
    /// Number of targets.
    pub targets: usize,
    /// Share of datagrams that were lost, in percent.
    pub loss_percent: f64,
    /// Measured virtual time in seconds.
    pub seconds: u64,
    /// The seed.
    pub seed: u64,
    /// The plan.
    pub plan: &'static str,
    /// The most bytes that a balancer sent in one second. What is sent is what the budget
    /// limits; each byte sent is received once, so the fleet's total is counted once.
    pub bytes_per_s_per_node_max: u64,
    /// Bytes that a balancer sent in a second, on average.
    pub bytes_per_s_per_node_mean: f64,
    /// The most bytes that a balancer sent and received in one second.
    pub both_ways_bytes_per_s_max: u64,
    /// Bytes that a balancer sent and received in a second, on average.
    pub both_ways_bytes_per_s_mean: f64,
    /// The most bytes that an agent sent and received in one second.
    pub agent_bytes_per_s_max: u64,
    /// Bytes that an agent sent and received in a second, on average.
    pub agent_bytes_per_s_mean: f64,
    /// Datagrams that a balancer sent and received in a second, on average.
    pub datagrams_per_s_per_node: f64,
    /// Time until a change was in force at a node that needs it, median, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_ms_p50: Option<u64>,
    /// The same, 99th percentile.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_ms_p99: Option<u64>,
    /// The same, last node.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_ms_max: Option<u64>,
    /// Nodes that did not have a change by the end, over all changes.
    pub in_force_missing: usize,
    /// Time until the last restarted balancer was ready, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ready_ms_max: Option<u64>,
    /// Restarted balancers that were not ready by the end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ready_missing: Option<usize>,
    /// Time from the end of the partition until all balancers had equal state and saw all
    /// nodes alive, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub healed_ms: Option<u64>,
    /// Pairs of a balancer and a running node that it wrongly saw as not alive at the end.
    pub not_alive_at_end: usize,
    /// Resident memory of a balancer's state in bytes, without that of the program.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub resident_bytes_per_node: Option<u64>,
    /// Bytes that a balancer sent in a second, on average, by kind of message.
    pub sent_by_kind: Vec<(&'static str, f64)>,
    /// Share of a core that a balancer's decisions, codec and seal take. Without the
    /// system's part of sending and receiving.
    pub cpu_share_per_node: f64,
}

impl Settings {
    /// Number of failure domains, each with at least three balancers.
    fn domains(&self) -> usize {
        (self.nodes / 3).clamp(1, DOMAINS)
    }
}

/// Runs the measurement.
pub fn control(settings: &Settings) -> Report {
    let mut fleet = Fleet::new(settings);
    fleet.settle();
    fleet.run();
    fleet.report()
}

/// The nodes under measurement.
struct Fleet<'a> {
    /// What to measure.
    settings: &'a Settings,
    /// The nodes and links.
    network: Network,
    /// Indices of the running balancers.
    balancers: Vec<usize>,
    /// Indices of the agents.
    agents: Vec<usize>,
    /// Loads of the agents.
    loads: Vec<Load>,
    /// Draws loads and identifiers.
    rng: Rng,
    /// Organisations' names.
    organisations: Vec<Name>,
    /// Changes of documents.
    changes: Vec<Change>,
    /// Whether nodes are cut off.
    is_cut: bool,
    /// The revision of the store.
    revision: u64,
    /// Resident bytes for each balancer after it was filled.
    base: Option<u64>,
    /// Restarted balancers and when.
    restarted: Vec<(usize, u64)>,
    /// When the partition ended.
    joined: Option<u64>,
    /// Time from then until all was well.
    healed: Option<u64>,
}

impl<'a> Fleet<'a> {
    /// Starts all nodes with the full state.
    fn new(settings: &'a Settings) -> Self {
        let faults = Faults { loss: settings.loss_percent / 100.0, ..Faults::default() };
        let keep = |entry: &Entry| match entry {
            Entry::Document(document) => document.revision > FIRST,
            _ => false,
        };
        let organisations =
            (0..ORGANISATIONS).map(|index| format!("organisation-{index}").into());
        let mut fleet = Self {
            settings,
            network: Network::new(settings.seed, faults, keep),
            balancers: Vec::new(),
            agents: Vec::new(),
            loads: Vec::new(),
            rng: Rng::with_seed(settings.seed ^ 0x5eed),
            organisations: organisations.collect(),
            changes: Vec::new(),
            is_cut: false,
            revision: FIRST,
            base: None,
            restarted: Vec::new(),
            joined: None,
            healed: None,
        };
        fleet.fill();
        fleet
    }

    /// Starts balancers and agents and gives them the state.
    fn fill(&mut self) {
        let documents = self.documents();
        for index in 0..self.settings.nodes {
            let node = self.balancer(index);
            self.balancers.push(self.network.start(node));
        }
        for index in 0..self.settings.targets {
            let node = self.agent(index);
            self.loads.push(load(node.id, &mut self.rng));
            self.agents.push(self.network.start(node));
        }
        let all = self.balancers.iter().chain(&self.agents);
        let nodes: Vec<Node> =
            all.map(|index| self.network.core(*index).me().as_ref().clone()).collect();
        let attached = self.attach(&nodes);
        let before = resident();
        for index in self.balancers.clone() {
            let entries = documents.iter().map(copy);
            let entries = entries.chain(nodes.iter().map(|n| copy(&announce(n))));
            let entries: Vec<Entry> = entries.chain(attached.iter().cloned()).collect();
            let clock = self.network.clock(index);
            self.network.core_mut(index).preload(clock, &entries);
        }
        let grown = before.zip(resident()).map(|(a, b)| b.saturating_sub(a));
        self.base = grown.map(|bytes| bytes / self.balancers.len().max(1) as u64);
        for index in self.agents.clone() {
            let organisation = self.network.core(index).me().organisation.clone();
            let prefix = format!("lentilreach/service/{organisation}/");
            let wanted = documents.iter().filter(|entry| match entry {
                Entry::Document(document) => {
                    !document.key.starts_with("lentilreach/service/")
                        || document.key.starts_with(&prefix)
                }
                _ => false,
            });
            let balancers = nodes[..self.settings.nodes].iter().map(announce);
            let own = &self.network.core(index).me().id;
            let own = attached.iter().filter(|entry| entry.key() == Key::Attach(*own));
            let entries = wanted.chain(own).cloned();
            let entries: Vec<Entry> = entries.chain(balancers).collect();
            let clock = self.network.clock(index);
            self.network.core_mut(index).preload(clock, &entries);
        }
    }

    /// Attaches each node to three balancers, two of its own failure domain if it is an
    /// agent.
    fn attach(&mut self, nodes: &[Node]) -> Vec<Entry> {
        let balancers = &nodes[..self.settings.nodes];
        let mut entries = Vec::new();
        for node in nodes {
            let fit = |b: &&Node| {
                b.id != node.id
                    && (node.role == Role::Balancer || b.domain == node.domain)
            };
            let mut candidates: Vec<u32> =
                balancers.iter().filter(fit).map(|b| short(b.id)).collect();
            self.rng.shuffle(&mut candidates);
            // An agent's third balancer is in another failure domain.
            let far = balancers.iter().filter(|b| b.domain != node.domain);
            let far: Vec<u32> = far.map(|b| short(b.id)).collect();
            let third = self.rng.choice(&far).copied();
            candidates.truncate(MONITORS - 1);
            candidates.extend(third.filter(|id| !candidates.contains(id)));
            let monitors = std::array::from_fn(|index| candidates.get(index).copied());
            entries.push(Entry::Attach(Attach { node: node.id, counter: 1, monitors }));
        }
        entries
    }

    /// Lets nodes attach, then starts to count.
    fn settle(&mut self) {
        for _ in 0..SETTLE_MS / 1_000 {
            self.second();
        }
        self.network.reset_traffic();
        self.network.log.clear();
    }

    /// Lets the measured time pass.
    fn run(&mut self) {
        let plan = self.settings.plan;
        let third = self.settings.seconds / 3;
        if plan == Plan::Restart {
            self.restart();
        }
        for second in 0..self.settings.seconds {
            if plan == Plan::Partition && second == third {
                self.cut(1);
            }
            if plan == Plan::Partition && second == 2 * third {
                self.cut(0);
                self.joined = Some(self.network.now_ms());
            }
            // The last change has at least ten seconds to arrive.
            if second % 10 == 1 && second + 9 < self.settings.seconds {
                self.change();
            }
            self.second();
            if let Some(joined) = self.joined
                && self.healed.is_none()
                && self.is_well()
            {
                self.healed = Some(self.network.now_ms() - joined);
            }
        }
    }

    /// Lets a second pass in which flows open and close.
    fn second(&mut self) {
        for (index, load) in self.agents.iter().zip(&mut self.loads) {
            let opened = (self.rng.f64() * 2.0 * FLOWS_PER_S) as i64;
            let closed = (self.rng.f64() * 2.0 * FLOWS_PER_S) as i64;
            load.open = load.open.saturating_add_signed((opened - closed) as i32);
            load.busy = self.rng.u16(..=load.slots);
            self.network.event(*index, Event::Load(*load));
        }
        self.network.run(1_000);
        if std::env::var("DBG").is_ok() {
            println!(
                "T {} alive={} roots={} {:?}",
                self.network.now_ms(),
                self.not_alive(),
                {
                    let mut r: Vec<u32> = self
                        .balancers
                        .iter()
                        .map(|i| self.network.core(*i).root())
                        .collect();
                    r.sort();
                    r.dedup();
                    r.len()
                },
                self.kinds()
                    .iter()
                    .map(|(k, b)| format!("{k}={:.0}", b * self.settings.seconds as f64))
                    .collect::<Vec<_>>()
            );
            self.network.reset_traffic();
        }
    }

    /// Changes a document in the store and tells the relays.
    fn change(&mut self) {
        self.revision += 1;
        let organisation = &self.organisations[self.rng.usize(..ORGANISATIONS)];
        let key: Name = format!("lentilreach/service/{organisation}/service-0000").into();
        let value = Some(document(self.revision));
        let entry = Entry::document(key.clone(), self.revision, value);
        let nodes = self.affected(&key);
        let (revision, at_ms) = (self.revision, self.network.now_ms());
        self.changes.push(Change { revision, at_ms, nodes });
        let relays = match self.settings.plan {
            Plan::StoreAway => 1,
            _ => 2 * self.settings.domains(),
        };
        let reach = self.balancers.iter().rev().filter(|index| !self.is_away(**index));
        for index in reach.take(relays).copied().collect::<Vec<_>>() {
            self.network.event(index, Event::Local(entry.clone()));
        }
    }

    /// The nodes that are to have a change soon: those that are ready, need it, and are on
    /// the store's side of a cut. Sorted.
    fn affected(&self, key: &Name) -> Vec<usize> {
        let agents = self.agents.iter().filter(|index| {
            let organisation = &self.network.core(**index).me().organisation;
            key.contains(&format!("/{organisation}/"))
        });
        let all = self.balancers.iter().chain(agents).copied();
        let mut nodes: Vec<usize> = all
            .filter(|index| self.network.core(*index).is_ready() && !self.is_away(*index))
            .collect();
        nodes.sort_unstable();
        nodes
    }

    /// Whether a node is cut off from the store.
    fn is_away(&self, index: usize) -> bool {
        let domain = usize::from(self.network.core(index).me().domain.0);
        self.is_cut && domain < self.settings.domains().div_ceil(3)
    }

    /// Restarts the first third of the balancers. Each knows the address of one peer.
    fn restart(&mut self) {
        let third = self.balancers.len() / 3;
        for position in 0..third {
            let old = self.balancers[position];
            self.network.stop(old);
            let node = self.balancer(position);
            let index = self.network.start(node);
            let seed = third + self.rng.usize(..self.balancers.len() - third);
            let seed = self.network.core(self.balancers[seed]).me().exchange;
            self.network.event(index, Event::Join(seed));
            self.balancers[position] = index;
            self.restarted.push((index, self.network.now_ms()));
        }
    }

    /// Puts the nodes of the first third of the failure domains on a side.
    fn cut(&mut self, side: u8) {
        self.is_cut = side != 0;
        for index in self.balancers.iter().chain(&self.agents) {
            let domain = usize::from(self.network.core(*index).me().domain.0);
            if domain < self.settings.domains().div_ceil(3) {
                self.network.side(*index, side);
            }
        }
    }

    /// Whether all balancers have the same state and see all running nodes alive.
    fn is_well(&self) -> bool {
        let mut roots = self.balancers.iter().map(|i| self.network.core(*i).root());
        let first = roots.next();
        roots.all(|root| Some(root) == first) && self.not_alive() == 0
    }

    /// Counts pairs of a balancer and a running node that it does not see alive.
    fn not_alive(&self) -> usize {
        let all = self.balancers.iter().chain(&self.agents);
        let mut running: Vec<node::Id> =
            all.map(|index| self.network.core(*index).me().id).collect();
        running.sort();
        let alive = |index: &usize| {
            let members = self.network.core(*index).members();
            let alive = members.filter(|(node, member)| {
                member.status == Status::Alive && running.binary_search(&node.id).is_ok()
            });
            running.len() - alive.count()
        };
        let ready = self.balancers.iter().filter(|i| self.network.core(**i).is_ready());
        ready.map(alive).sum()
    }

    /// Puts the figures together.
    fn report(&self) -> Report {
        let settings = self.settings;
        let (mut times, missing) = self.in_force();
        times.sort_unstable();
        let at = |share: f64| {
            let last = times.len().checked_sub(1)?;
            times.get((last as f64 * share).ceil() as usize).copied()
        };
        let balancers = self.sum(&self.balancers);
        let agents = self.sum(&self.agents);
        let ready: Vec<Option<u64>> = self
            .restarted
            .iter()
            .map(|(index, since)| Some(self.network.ready_ms(*index)? - since))
            .collect();
        let restarts = !ready.is_empty();
        Report {
            nodes: settings.nodes,
            targets: settings.targets,
            loss_percent: settings.loss_percent,
            seconds: settings.seconds,
            seed: settings.seed,
            plan: settings.plan.as_str(),
            bytes_per_s_per_node_max: balancers.most_sent,
            bytes_per_s_per_node_mean: balancers.sent,
            both_ways_bytes_per_s_max: balancers.most,
            both_ways_bytes_per_s_mean: balancers.bytes,
            agent_bytes_per_s_max: agents.most,
            agent_bytes_per_s_mean: agents.bytes,
            datagrams_per_s_per_node: balancers.datagrams,
            in_force_ms_p50: at(0.5),
            in_force_ms_p99: at(0.99),
            in_force_ms_max: at(1.0),
            in_force_missing: missing,
            ready_ms_max: ready.iter().flatten().max().copied(),
            ready_missing: restarts.then(|| ready.iter().filter(|r| r.is_none()).count()),
            healed_ms: self.healed,
            not_alive_at_end: self.not_alive(),
            resident_bytes_per_node: self.base,
            sent_by_kind: self.kinds(),
            cpu_share_per_node: balancers.cpu,
        }
    }

    /// Times until changes were in force, and how many nodes lack them.
    fn in_force(&self) -> (Vec<u64>, usize) {
        let mut times = Vec::new();
        for change in &self.changes {
            let arrived = self.network.log.iter().filter(|(_, node, entry)| {
                let is_it = |d: &Document| d.revision == change.revision;
                matches!(entry, Entry::Document(d) if is_it(d))
                    && change.nodes.binary_search(node).is_ok()
            });
            times.extend(arrived.map(|(at, _n, _)| {
                if std::env::var("DBG").is_ok() && at - change.at_ms > 4000 {
                    println!(
                        "LATE {} {} {} {} {:?}",
                        change.at_ms,
                        at - change.at_ms,
                        _n,
                        self.network.core(*_n).me().name,
                        self.network.ready_ms(*_n)
                    );
                }
                at - change.at_ms
            }));
        }
        let expected: usize = self.changes.iter().map(|change| change.nodes.len()).sum();
        let missing = expected.saturating_sub(times.len());
        (times, missing)
    }

    /// Bytes that a balancer sent in a second by kind of message.
    fn kinds(&self) -> Vec<(&'static str, f64)> {
        let mut kinds: Vec<(&'static str, f64)> = Vec::new();
        let per = self.balancers.len() as f64 * self.settings.seconds as f64;
        for index in &self.balancers {
            for (kind, bytes, _) in &self.network.traffic(*index).kinds {
                let share = *bytes as f64 / per;
                match kinds.binary_search_by_key(kind, |(kind, _)| *kind) {
                    Ok(found) => kinds[found].1 += share,
                    Err(found) => kinds.insert(found, (*kind, share)),
                }
            }
        }
        kinds
    }

    /// Sums over nodes of one kind.
    fn sum(&self, nodes: &[usize]) -> Sum {
        let traffic = nodes.iter().map(|index| self.network.traffic(*index));
        let per = nodes.len().max(1) as f64 * self.settings.seconds as f64;
        Sum {
            most_sent: traffic.clone().map(|t| t.most_sent).max().unwrap_or(0),
            sent: traffic.clone().map(|t| t.sent).sum::<u64>() as f64 / per,
            most: traffic.clone().map(|t| t.most).max().unwrap_or(0),
            bytes: traffic.clone().map(|t| t.bytes).sum::<u64>() as f64 / per,
            datagrams: traffic.clone().map(|t| t.datagrams).sum::<u64>() as f64 / per,
            cpu: traffic.map(|t| t.busy.as_secs_f64()).sum::<f64>() / per,
        }
    }

    /// The documents of the fleet at the first revision.
    fn documents(&self) -> Vec<Entry> {
        let services = (self.settings.targets * SERVICES / 4_000).max(ORGANISATIONS);
        let keys = (0..services).map(|index| {
            let organisation = &self.organisations[index % ORGANISATIONS];
            format!(
                "lentilreach/service/{organisation}/service-{:04}",
                index / ORGANISATIONS
            )
        });
        let shared = ["domain", "key", "template/calendar", "template/feed"];
        let shared = shared.iter().map(|name| format!("lentilreach/{name}"));
        let all = keys.chain(shared);
        all.map(|key| Entry::document(key.into(), FIRST, Some(document(FIRST)))).collect()
    }

    /// A balancer's announcement.
    fn balancer(&mut self, index: usize) -> Node {
        Node {
            id: node::Id(self.rng.u64(..)),
            counter: 0,
            name: format!("balancer-{index:03}").into(),
            role: Role::Balancer,
            envelope: address(10, index, 4_000),
            exchange: address(10, index, 4_001),
            admin: address(10, index, 4_002),
            domain: domain::Id((index % self.settings.domains()) as u8),
            set: "".into(),
            organisation: "".into(),
            stage: Stage::Active,
        }
    }

    /// An agent's announcement.
    fn agent(&mut self, index: usize) -> Node {
        Node {
            id: node::Id(self.rng.u64(..)),
            counter: 0,
            name: format!("agent-{index:04}").into(),
            role: Role::Agent,
            envelope: address(11, index, 4_000),
            exchange: address(11, index, 4_001),
            admin: address(11, index, 4_002),
            domain: domain::Id((index % self.settings.domains()) as u8),
            set: format!("set-{}", index % 100).into(),
            organisation: self.organisations[index % ORGANISATIONS].clone(),
            stage: Stage::Active,
        }
    }
}

impl Plan {
    /// All plans.
    pub const ALL: [Self; 4] =
        [Self::Steady, Self::StoreAway, Self::Restart, Self::Partition];

    /// The name of the plan.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::StoreAway => "store-away",
            Self::Restart => "restart",
            Self::Partition => "partition",
        }
    }
}

/// A change of a document.
struct Change {
    /// Its revision.
    revision: u64,
    /// When it was accepted, in milliseconds.
    at_ms: u64,
    /// The nodes that are to have it soon, sorted.
    nodes: Vec<usize>,
}

/// Sums over nodes of one kind, per node and second but for the maximum.
struct Sum {
    /// The most bytes sent in one second at one node.
    most_sent: u64,
    /// Bytes sent.
    sent: f64,
    /// The most bytes in one second at one node, both ways.
    most: u64,
    /// Bytes, both ways.
    bytes: f64,
    /// Datagrams.
    datagrams: f64,
    /// Share of a core.
    cpu: f64,
}

/// The revision that the fleet starts with.
const FIRST: u64 = 1_000;

/// A document as the operators' command writes it.
fn document(revision: u64) -> Bytes {
    format!(
        r#"{{"template":"calendar","address":"127.1.0.1:4433","set":"abo","slots":5,"connections":2000,"cold_slots":1,"cold_ms":8000,"operation":"{revision:032x}"}}"#
    )
    .into()
}

/// An address of a node.
fn address(net: u8, index: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(net, 0, (index >> 8) as u8, index as u8);
    SocketAddrV4::new(ip, port).into()
}

/// A target's load at the start.
fn load(node: node::Id, rng: &mut Rng) -> Load {
    let open = OPEN - 100 + rng.u32(..200);
    Load { node, counter: 0, open, limit: 3_000, busy: 2, slots: 5 }
}

/// The announcement of a node as an entry.
fn announce(node: &Node) -> Entry {
    Entry::Node(Arc::new(Node { counter: 1, ..node.clone() }))
}

/// A copy that shares no memory, as another process would have.
fn copy(entry: &Entry) -> Entry {
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

/// Resident memory of this process in bytes, where the system tells.
fn resident() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024)
}
