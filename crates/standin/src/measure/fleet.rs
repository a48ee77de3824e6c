//! The nodes under measurement and what happens to them.

use fastrand::Rng;
use lentilreach::Name;
use lentilreach::id::node;
use lentilreach::process::spread::core::Event;
use lentilreach::process::spread::entry::{Entry, Key, Load, Node};
use lentilreach::process::spread::member::Status;

use super::setup::{self, FIRST, ORGANISATIONS};
use super::{Plan, Settings};
use crate::network::{Faults, Network};

/// New flows of a target in a second: 50,000 over 4,000 targets.
const FLOWS_PER_S: f64 = 12.5;

/// Time in milliseconds before measuring, in which nodes attach and settle.
const SETTLE_MS: u64 = 10_000;

/// The nodes under measurement.
pub(super) struct Fleet<'a> {
    /// What to measure.
    pub(super) settings: &'a Settings,
    /// The nodes and links.
    pub(super) network: Network,
    /// Indices of the running balancers.
    pub(super) balancers: Vec<usize>,
    /// Indices of the agents.
    pub(super) agents: Vec<usize>,
    /// Loads of the agents.
    loads: Vec<Load>,
    /// Draws loads and identifiers.
    rng: Rng,
    /// Changes of documents.
    pub(super) changes: Vec<Change>,
    /// Whether nodes are cut off.
    is_cut: bool,
    /// The revision of the store.
    revision: u64,
    /// Resident bytes for each balancer after it was filled.
    pub(super) base: Option<u64>,
    /// Restarted balancers and when.
    pub(super) restarted: Vec<(usize, u64)>,
    /// When the restart took place or the partition ended.
    joined: Option<u64>,
    /// Times from then until most nodes were seen alive, all were, and all state was equal.
    pub(super) recovered: [Option<u64>; 3],
}

impl<'a> Fleet<'a> {
    /// Starts all nodes with the full state.
    pub(super) fn new(settings: &'a Settings) -> Self {
        let faults = Faults { loss: settings.loss_percent / 100.0, ..Faults::default() };
        let keep = |entry: &Entry| match entry {
            Entry::Document(document) => document.revision > FIRST,
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
            is_cut: false,
            revision: FIRST,
            base: None,
            restarted: Vec::new(),
            joined: None,
            recovered: [None; 3],
        };
        fleet.fill();
        fleet
    }

    /// Starts balancers and agents and gives them the state.
    fn fill(&mut self) {
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
            all.map(|index| self.network.core(*index).me().as_ref().clone()).collect();
        let balancers = &nodes[..self.settings.nodes];
        let attached = setup::attach(&nodes, balancers, &mut self.rng);
        let before = setup::resident();
        for index in self.balancers.clone() {
            let entries = documents.iter().map(setup::copy);
            let entries =
                entries.chain(nodes.iter().map(|n| setup::copy(&setup::announce(n))));
            let entries: Vec<Entry> = entries.chain(attached.iter().cloned()).collect();
            let clock = self.network.clock(index);
            self.network.core_mut(index).preload(clock, &entries);
        }
        let grown = before.zip(setup::resident()).map(|(a, b)| b.saturating_sub(a));
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
            let balancers = nodes[..self.settings.nodes].iter().map(setup::announce);
            let own = &self.network.core(index).me().id;
            let own = attached.iter().filter(|entry| entry.key() == Key::Attach(*own));
            let entries = wanted.chain(own).cloned();
            let entries: Vec<Entry> = entries.chain(balancers).collect();
            let clock = self.network.clock(index);
            self.network.core_mut(index).preload(clock, &entries);
        }
    }

    /// Lets nodes attach, then starts to count.
    pub(super) fn settle(&mut self) {
        for _ in 0..SETTLE_MS / 1_000 {
            self.second();
        }
        self.network.reset_traffic();
        self.network.log.clear();
    }

    /// Lets the measured time pass.
    pub(super) fn run(&mut self) {
        let plan = self.settings.plan;
        let third = self.settings.seconds / 3;
        if plan == Plan::Restart {
            self.restart();
            self.joined = Some(self.network.now_ms());
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
            self.check_recovery();
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
    }

    /// Changes a document in the store and tells the relays.
    fn change(&mut self) {
        self.revision += 1;
        let key = setup::service(self.rng.usize(..ORGANISATIONS), 0);
        let value = Some(setup::document(self.revision));
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
            let node = setup::balancer(self.settings, position, &mut self.rng);
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

    /// Notes how far the fleet has recovered from a restart or a partition.
    fn check_recovery(&mut self) {
        let Some(joined) = self.joined else { return };
        let pairs = self.balancers.len() * (self.balancers.len() + self.agents.len());
        let not_alive = self.not_alive();
        let mut roots = self.balancers.iter().map(|i| self.network.core(*i).root());
        let first = roots.next();
        let equal = roots.all(|root| Some(root) == first);
        let reached = [not_alive * 100 <= pairs, not_alive == 0, equal];
        let since = self.network.now_ms() - joined;
        for (time, reached) in self.recovered.iter_mut().zip(reached) {
            *time = time.or(reached.then_some(since));
        }
    }

    /// Counts pairs of a balancer and a running node that it does not see alive.
    pub(super) fn not_alive(&self) -> usize {
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
        self.balancers.iter().map(alive).sum()
    }
}

/// A change of a document.
pub(super) struct Change {
    /// Its revision.
    pub(super) revision: u64,
    /// When it was accepted, in milliseconds.
    pub(super) at_ms: u64,
    /// The nodes that are to have it soon, sorted.
    pub(super) nodes: Vec<usize>,
}
