//! The simulated fleet and the events of a measurement.

use fastrand::Rng;
use lentilreach::Name;
use lentilreach::id::node;
use lentilreach::process::gossip::core::Event;
use lentilreach::process::gossip::entry::{Entry, Key, Load, Node};
use lentilreach::process::gossip::member::Status;

use super::setup::{self, FIRST_REVISION, ORGANISATIONS};
use super::{Plan, Settings};
use crate::network::{Faults, Network};

/// New flows per second and target: 50,000 over 4,000 targets.
const NEW_FLOWS_PER_S: f64 = 12.5;

/// Warm-up time before the measurement, in which nodes attach to balancers.
const WARM_UP_MS: u64 = 10_000;

/// The simulated fleet.
pub(super) struct Fleet<'a> {
    /// What to measure.
    pub(super) settings: &'a Settings,
    /// The simulated network with all nodes.
    pub(super) network: Network,
    /// Indices of the running balancers.
    pub(super) balancers: Vec<usize>,
    /// Indices of the agents.
    pub(super) agents: Vec<usize>,
    /// Load of each agent.
    loads: Vec<Load>,
    /// Random numbers for loads and identifiers.
    rng: Rng,
    /// Configuration changes so far.
    pub(super) changes: Vec<Change>,
    /// Whether a partition is in effect.
    is_partitioned: bool,
    /// The latest revision of the store.
    revision: u64,
    /// Resident bytes per balancer with the full state.
    pub(super) resident_bytes: Option<u64>,
    /// Restarted balancers: index and time in milliseconds.
    pub(super) restarted: Vec<(usize, u64)>,
    /// When recovery began: at the restart or the end of the partition.
    recovery_start_ms: Option<u64>,
    /// Times from then until most nodes were seen as alive, until all were, and until all
    /// balancers had the same state.
    pub(super) recovered: [Option<u64>; 3],
}

impl<'a> Fleet<'a> {
    /// Starts all nodes with complete state.
    pub(super) fn new(settings: &'a Settings) -> Self {
        let faults = Faults { loss: settings.loss_percent / 100.0, ..Faults::default() };
        let keep = |entry: &Entry| match entry {
            Entry::Document(document) => document.revision > FIRST_REVISION,
            _ => false,
        };
        let mut fleet = Self {
            settings,
            network: Network::new(settings.seed, faults, keep),
            balancers: Vec::new(),
            agents: Vec::new(),
            loads: Vec::new(),
            rng: Rng::with_seed(settings.seed ^ 0x5eed),
            changes: Vec::new(),
            is_partitioned: false,
            revision: FIRST_REVISION,
            resident_bytes: None,
            restarted: Vec::new(),
            recovery_start_ms: None,
            recovered: [None; 3],
        };
        fleet.start_nodes();
        fleet
    }

    /// Starts balancers and agents and preloads their state.
    fn start_nodes(&mut self) {
        let documents = setup::documents(self.settings);
        for index in 0..self.settings.nodes {
            let node = setup::balancer(self.settings, index, &mut self.rng);
            self.balancers.push(self.network.start(node));
        }
        for index in 0..self.settings.targets {
            let node = setup::agent(self.settings, index, &mut self.rng);
            self.loads.push(setup::load(node.id, &mut self.rng));
            self.agents.push(self.network.start(node));
        }
        let all = self.balancers.iter().chain(&self.agents);
        let nodes: Vec<Node> =
            all.map(|index| self.network.core(*index).node().as_ref().clone()).collect();
        let balancers = &nodes[..self.settings.nodes];
        let attached = setup::attachments(&nodes, balancers, &mut self.rng);
        let before = setup::resident_bytes();
        for index in self.balancers.clone() {
            let entries = documents.iter().map(setup::deep_copy);
            let entries = entries
                .chain(nodes.iter().map(|n| setup::deep_copy(&setup::node_entry(n))));
            let entries: Vec<Entry> = entries.chain(attached.iter().cloned()).collect();
            let clock = self.network.clock(index);
            self.network.core_mut(index).preload(clock, &entries);
        }
        let grown = before.zip(setup::resident_bytes()).map(|(a, b)| b.saturating_sub(a));
        self.resident_bytes =
            grown.map(|bytes| bytes / self.balancers.len().max(1) as u64);
        for index in self.agents.clone() {
            let organisation = self.network.core(index).node().organisation.clone();
            let prefix = format!("lentilreach/service/{organisation}/");
            let wanted = documents.iter().filter(|entry| match entry {
                Entry::Document(document) => {
                    !document.key.starts_with("lentilreach/service/")
                        || document.key.starts_with(&prefix)
                }
                _ => false,
            });
            let balancers = nodes[..self.settings.nodes].iter().map(setup::node_entry);
            let own = &self.network.core(index).node().id;
            let own =
                attached.iter().filter(|entry| entry.key() == Key::Attachment(*own));
            let entries = wanted.chain(own).cloned();
            let entries: Vec<Entry> = entries.chain(balancers).collect();
            let clock = self.network.clock(index);
            self.network.core_mut(index).preload(clock, &entries);
        }
    }

    /// Runs the warm-up, then resets all counters.
    pub(super) fn warm_up(&mut self) {
        for _ in 0..WARM_UP_MS / 1_000 {
            self.run_second();
        }
        self.network.reset_traffic();
        self.network.log.clear();
    }

    /// Runs the measurement.
    pub(super) fn run(&mut self) {
        let plan = self.settings.plan;
        let third = self.settings.seconds / 3;
        if plan == Plan::Restart {
            self.restart();
            self.recovery_start_ms = Some(self.network.now_ms());
        }
        for second in 0..self.settings.seconds {
            if plan == Plan::Partition && second == third {
                self.set_partition(1);
            }
            if plan == Plan::Partition && second == 2 * third {
                self.set_partition(0);
                self.recovery_start_ms = Some(self.network.now_ms());
            }
            // Each change has at least ten seconds to propagate before the measurement ends.
            if second % 10 == 1 && second + 9 < self.settings.seconds {
                self.change();
            }
            self.run_second();
            self.check_recovery();
        }
    }

    /// Changes the agents' loads and runs a second of virtual time.
    fn run_second(&mut self) {
        for (index, load) in self.agents.iter().zip(&mut self.loads) {
            let opened = (self.rng.f64() * 2.0 * NEW_FLOWS_PER_S) as i64;
            let closed = (self.rng.f64() * 2.0 * NEW_FLOWS_PER_S) as i64;
            load.open = load.open.saturating_add_signed((opened - closed) as i32);
            load.busy = self.rng.u16(..=load.slots);
            self.network.event(*index, Event::Load(*load));
        }
        self.network.run(1_000);
    }

    /// Changes a document in the store and passes it to the relays.
    fn change(&mut self) {
        self.revision += 1;
        let key = setup::service(self.rng.usize(..ORGANISATIONS), 0);
        let value = Some(setup::document(self.revision));
        let entry = Entry::document(key.clone(), self.revision, value);
        let nodes = self.affected(&key);
        let (revision, at_ms) = (self.revision, self.network.now_ms());
        self.changes.push(Change { revision, at_ms, nodes });
        let relays = match self.settings.plan {
            Plan::StoreOutage => 1,
            _ => 2 * self.settings.domains(),
        };
        let reachable =
            self.balancers.iter().rev().filter(|index| !self.is_isolated(**index));
        for index in reachable.take(relays).copied().collect::<Vec<_>>() {
            self.network.event(index, Event::StoreDocument(entry.clone()));
        }
    }

    /// The nodes that should receive a change: those that are ready, need it, and are not
    /// partitioned from the store. Sorted.
    fn affected(&self, key: &Name) -> Vec<usize> {
        let agents = self.agents.iter().filter(|index| {
            let organisation = &self.network.core(**index).node().organisation;
            key.contains(&format!("/{organisation}/"))
        });
        let all = self.balancers.iter().chain(agents).copied();
        let mut nodes: Vec<usize> = all
            .filter(|index| {
                self.network.core(*index).is_ready() && !self.is_isolated(*index)
            })
            .collect();
        nodes.sort_unstable();
        nodes
    }

    /// Whether a node is partitioned from the store.
    fn is_isolated(&self, index: usize) -> bool {
        let domain = usize::from(self.network.core(index).node().domain.0);
        self.is_partitioned && domain < self.settings.domains().div_ceil(3)
    }

    /// Restarts the first third of the balancers. Each initially knows one peer.
    fn restart(&mut self) {
        let third = self.balancers.len() / 3;
        for position in 0..third {
            let old = self.balancers[position];
            self.network.stop(old);
            let node = setup::balancer(self.settings, position, &mut self.rng);
            let index = self.network.start(node);
            let seed = third + self.rng.usize(..self.balancers.len() - third);
            let seed = self.network.core(self.balancers[seed]).node().gossip_address;
            self.network.event(index, Event::AddSeed(seed));
            self.balancers[position] = index;
            self.restarted.push((index, self.network.now_ms()));
        }
    }

    /// Moves the nodes of the first third of the failure domains to a partition; 0 ends it.
    fn set_partition(&mut self, partition: u8) {
        self.is_partitioned = partition != 0;
        for index in self.balancers.iter().chain(&self.agents) {
            let domain = usize::from(self.network.core(*index).node().domain.0);
            if domain < self.settings.domains().div_ceil(3) {
                self.network.set_partition(*index, partition);
            }
        }
    }

    /// Records when the recovery from a restart or a partition reaches each milestone.
    fn check_recovery(&mut self) {
        let Some(recovery_start_ms) = self.recovery_start_ms else { return };
        let pairs = self.balancers.len() * (self.balancers.len() + self.agents.len());
        let not_alive = self.not_alive();
        let mut roots = self.balancers.iter().map(|i| self.network.core(*i).root());
        let first = roots.next();
        let equal = roots.all(|root| Some(root) == first);
        let reached = [not_alive * 100 <= pairs, not_alive == 0, equal];
        let since = self.network.now_ms() - recovery_start_ms;
        for (time, reached) in self.recovered.iter_mut().zip(reached) {
            *time = time.or(reached.then_some(since));
        }
    }

    /// Counts pairs of a balancer and a running node that it does not see as alive.
    pub(super) fn not_alive(&self) -> usize {
        let all = self.balancers.iter().chain(&self.agents);
        let mut running: Vec<node::Id> =
            all.map(|index| self.network.core(*index).node().id).collect();
        running.sort();
        let alive = |index: &usize| {
            let members = self.network.core(*index).members();
            let alive = members.filter(|(node, member)| {
                member.status == Status::Alive && running.binary_search(&node.id).is_ok()
            });
            running.len() - alive.count()
        };
        self.balancers.iter().map(alive).sum()
    }
}

/// A configuration change.
pub(super) struct Change {
    /// The revision of the changed document.
    pub(super) revision: u64,
    /// When the store accepted the change, in milliseconds.
    pub(super) at_ms: u64,
    /// The nodes that should receive the change, sorted.
    pub(super) nodes: Vec<usize>,
}
