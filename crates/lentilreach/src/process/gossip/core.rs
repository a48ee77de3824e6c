//! State machine of the gossip protocol: takes events and the time, returns actions.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use fastrand::Rng;

use crate::id::{domain, node};
use crate::process::clock::Millis;
use crate::process::gossip::budget::Budget;
use crate::process::gossip::digest::Scope;
use crate::process::gossip::entry::{
    Attachment, Class, Condition, Document, Entry, Health, Key, Load, MAX_MONITORS, Node,
    Role, Stage,
};
use crate::process::gossip::member::Member;
use crate::process::gossip::message::{Body, Chunk, Message};
use crate::process::gossip::monitor;
use crate::process::gossip::push::Queue;
use crate::process::gossip::reassembly;
use crate::process::gossip::repair::Repair;
use crate::process::gossip::state::{Outcome, State};
use crate::process::gossip::steady::Steady;
use crate::process::gossip::watch;
use crate::process::name::Name;

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed; expected about every [`TICK_MS`] milliseconds.
    Tick,
    /// A message arrived.
    Received {
        /// The address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A document was read from the store. Other entries are ignored: a node announces
    /// itself by `Stage` and `Load`.
    StoreDocument(Entry),
    /// The address of a seed peer is known.
    AddSeed(SocketAddr),
    /// The full configuration was read from the store, so none is needed from a peer.
    ConfigComplete,
    /// The node learned the identifier of its failure domain.
    Domain(domain::Id),
    /// The node's stage changed.
    Stage(Stage),
    /// The node's load changed. `node` and `version` are ignored.
    Load(Load),
}

/// An output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// An entry changed, or the status of the node that a health record is about.
    Changed(Entry),
    /// The node has the full state.
    Ready,
}

/// Time between ticks in milliseconds.
pub const TICK_MS: u64 = 100;

/// Shortest interval in milliseconds between publications of the heartbeats of monitored nodes.
const PUBLISH_HEARTBEATS_MS: u64 = 10_000;

/// Pushes of a document that is sent in chunks.
const LONG_PUSHES: u8 = 2;

/// Queue length above which each entry is pushed fewer times.
const BURST_ENTRIES: usize = 64;

/// Queued chunks above which no further document is queued.
pub(super) const MAX_OUTBOX: usize = 256;

/// Gossip state of one node.
#[derive(Debug)]
pub struct Core {
    /// The node's announcement.
    pub(super) node: Arc<Node>,
    /// The monitors of this node.
    pub(super) attachment: Attachment,
    /// The entries that this node's digests cover.
    pub(super) scope: Scope,
    /// The clock that timeouts are measured with.
    pub(super) time: Steady,
    /// Selects random peers.
    pub(super) rng: Rng,
    /// The highest version of each entry.
    pub(super) state: State,
    /// Bytes sent and received.
    pub(super) budget: Budget,
    /// Entries that are still to be pushed.
    pub(super) pushes: Queue,
    /// Nodes that this balancer monitors.
    pub(super) watches: watch::List,
    /// Balancers that monitor this node.
    pub(super) monitors: monitor::List,
    /// Anti-entropy in progress.
    pub(super) repair: Repair,
    /// Chunks that wait for the byte budget.
    pub(super) outbox: VecDeque<(SocketAddr, Chunk)>,
    /// Documents of which chunks are missing.
    pub(super) reassembly: reassembly::List,
    /// Sequence number of the last heartbeat sent.
    pub(super) sequence: u64,
    /// When the next heartbeat is due.
    pub(super) next_heartbeat: Millis,
    /// Number of ticks.
    pub(super) ticks: u64,
    /// Whether the node has the full state.
    pub(super) ready: bool,
    /// Addresses of seed peers, from the settings or the store.
    pub(super) seeds: Vec<SocketAddr>,
    /// Balancers that are alive, except this node.
    pub(super) peers: Vec<SocketAddr>,
    /// Shuffled copy of `peers` from which push targets are taken; refilled when empty.
    pub(super) order: Vec<SocketAddr>,
    /// Value of [`State::changes`] when `peers` was last rebuilt.
    pub(super) peers_revision: u64,
    /// When a message last arrived from any node.
    pub(super) last_received: Millis,
    /// When the heartbeats of monitored nodes were last published.
    pub(super) heartbeats_published: Millis,
    /// The current load; `None` until the first [`Event::Load`].
    pub(super) load: Option<Load>,
    /// The last load report and its time.
    pub(super) reported: Option<(Load, Millis)>,
}

impl Core {
    /// Creates the state of a starting node. `seed` seeds its random choices.
    ///
    /// The node's announcement is published once the node is ready; `version` is set here.
    pub fn new(node: Node, seed: u64) -> Self {
        let scope = match node.role {
            Role::Balancer => Scope::All,
            Role::Agent => Scope::Leaf(node.organisation.clone()),
        };
        Self {
            attachment: Attachment {
                node: node.id,
                version: 0,
                monitors: [None; MAX_MONITORS],
            },
            node: Arc::new(Node { version: 1, ..node }),
            scope,
            time: Steady::new(),
            rng: Rng::with_seed(seed),
            state: State::default(),
            budget: Budget::new(),
            pushes: Queue::default(),
            watches: watch::List::default(),
            monitors: monitor::List::default(),
            repair: Repair::new(),
            outbox: VecDeque::new(),
            reassembly: reassembly::List::default(),
            sequence: 0,
            next_heartbeat: Millis(0),
            ticks: 0,
            ready: false,
            seeds: Vec::new(),
            peers: Vec::new(),
            order: Vec::new(),
            peers_revision: 0,
            last_received: Millis(0),
            heartbeats_published: Millis(0),
            load: None,
            reported: None,
        }
    }

    /// Handles an event at time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let now = self.time.read(now);
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Received { from, message } => {
                self.receive(now, from, message, actions)
            }
            Event::StoreDocument(entry) => {
                if matches!(entry, Entry::Document(_)) {
                    self.apply(now, entry, actions);
                }
            }
            Event::AddSeed(address) => {
                if !self.seeds.contains(&address) {
                    self.seeds.push(address);
                }
            }
            Event::ConfigComplete => self.complete(now, actions),
            Event::Domain(domain) if self.node.domain == domain => {}
            Event::Domain(domain) => self.announce(now, |me| me.domain = domain, actions),
            Event::Stage(stage) => self.set_stage(now, stage, actions),
            Event::Load(load) => self.load = Some(load),
        }
    }

    /// Whether the node has the full state.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// This node's announcement.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// All documents including deletions, sorted by key.
    pub fn documents(&self) -> &[Document] {
        self.state.documents()
    }

    /// The content of a document; `None` if it is unknown or deleted.
    pub fn document(&self, key: &Name) -> Option<&Bytes> {
        let documents = self.state.documents();
        let index = documents.binary_search_by(|d| d.key.cmp(key)).ok()?;
        documents[index].value.as_ref()
    }

    /// Members whose announcement is known, sorted by identifier; includes this node once it is
    /// ready.
    pub fn members(&self) -> impl Iterator<Item = (&Arc<Node>, &Member)> {
        let members = self.state.members().iter();
        members.filter_map(|member| member.node.as_ref().map(|node| (node, member)))
    }

    /// Root hash of the digest over all entries in this node's scope.
    pub fn root(&self) -> u32 {
        self.state.digest().root(&self.scope)
    }

    /// Milliseconds since the load report of a member arrived.
    pub fn load_age_ms(&self, member: &Member) -> u64 {
        self.time.now().since(member.load_at)
    }

    /// Loads entries and becomes ready without pushing anything; for measurements.
    pub fn preload(&mut self, now: Millis, entries: &[Entry]) {
        let now = self.time.read(now);
        for entry in entries {
            self.state.apply(now, entry);
        }
        self.ready = true;
        self.last_received = now;
        self.state.apply(now, &Entry::Node(self.node.clone()));
        if let Some(attachment) =
            self.state.member(self.node.id).and_then(|m| m.attachment)
        {
            let monitors = attachment.monitors.iter().flatten();
            let nodes: Vec<&Node> = monitors
                .filter_map(|m| self.state.find_monitor(*m))
                .map(|n| n.as_ref())
                .collect();
            self.attachment = attachment;
            self.monitors.preset(now, &nodes, (self.node.version, attachment.version));
        }
        let attachments =
            self.state.members().iter().filter_map(|member| member.attachment);
        for attachment in
            attachments.filter(|attachment| attachment.contains(self.node.id))
        {
            self.watches.add(now, attachment.node, self.node.gossip_address);
        }
    }

    /// Becomes ready and publishes this node's announcement.
    pub(super) fn complete(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.ready {
            return;
        }
        self.ready = true;
        actions.push(Action::Ready);
        self.apply(now, Entry::Node(self.node.clone()), actions);
        self.next_heartbeat = now;
    }

    /// Publishes a new stage of this node.
    fn set_stage(&mut self, now: Millis, stage: Stage, actions: &mut Vec<Action>) {
        if self.node.stage != stage {
            self.announce(now, |me| me.stage = stage, actions);
            // Peers must learn of a drain at once, not with the next regular heartbeat.
            self.next_heartbeat = now;
        }
    }

    /// Publishes a changed announcement of this node.
    pub(super) fn announce(
        &mut self,
        now: Millis,
        change: impl FnOnce(&mut Node),
        actions: &mut Vec<Action>,
    ) {
        let node = Arc::make_mut(&mut self.node);
        change(node);
        node.version += 1;
        if self.ready {
            self.apply(now, Entry::Node(self.node.clone()), actions);
        }
    }

    /// Sends a message if the budget allows it; returns whether it was sent.
    pub(super) fn send(
        &mut self,
        now: Millis,
        to: SocketAddr,
        body: Body,
        actions: &mut Vec<Action>,
    ) -> bool {
        let class = body.class();
        self.send_with_class(now, to, class, body, actions)
    }

    /// Queues the chunks of a long document, unless they are queued already.
    pub(super) fn queue_chunks(&mut self, to: SocketAddr, document: &Document) {
        let queued = self.outbox.iter().any(|(address, chunk)| {
            (*address, &chunk.key, chunk.revision)
                == (to, &document.key, document.revision)
        });
        if !queued && self.outbox.len() < MAX_OUTBOX {
            let chunks = Chunk::split(document).into_iter().flatten();
            self.outbox.extend(chunks.map(|chunk| (to, chunk)));
        }
    }

    /// Sends a message in the given traffic class.
    pub(super) fn send_with_class(
        &mut self,
        now: Millis,
        to: SocketAddr,
        class: Class,
        body: Body,
        actions: &mut Vec<Action>,
    ) -> bool {
        let fits = self.budget.take(now, class, body.size());
        if fits {
            actions.push(Action::Send {
                to,
                message: Message { sender: self.node.id, body },
            });
        }
        fits
    }

    /// Applies an entry and forwards it if it is new.
    pub(super) fn apply(&mut self, now: Millis, entry: Entry, actions: &mut Vec<Action>) {
        if let Entry::Health(health) = &entry
            && self.refute(now, health, actions)
        {
            return;
        }
        let key = entry.key();
        let class = self.class(&entry);
        match self.state.apply(now, &entry) {
            Outcome::New => self.note_new(now, key, class, entry, actions),
            Outcome::Same => self.pushes.note_duplicate(&key),
            Outcome::Stale | Outcome::Rejected => {}
        }
    }

    /// Updates everything that depends on a new entry, and queues the entry for pushes.
    fn note_new(
        &mut self,
        now: Millis,
        key: Key,
        class: Class,
        entry: Entry,
        actions: &mut Vec<Action>,
    ) {
        if entry.audience().is_some() {
            self.repair.note_change(now);
        }
        match &entry {
            Entry::Attachment(attachment) if attachment.contains(self.node.id) => {
                let node =
                    self.state.member(attachment.node).and_then(|m| m.node.as_ref());
                if let Some(address) = node.map(|node| node.gossip_address) {
                    self.watches.add(now, attachment.node, address);
                }
            }
            Entry::Health(health) if health.condition == Condition::Alive => {
                self.watches.note_evidence(now, health.node, health.sequence);
            }
            _ => {}
        }
        if self.node.role == Role::Balancer && self.ready {
            let is_long = matches!(&entry, Entry::Document(d) if Chunk::is_needed(d));
            // A long document uses up the budget for seconds; anti-entropy delivers it to the
            // rest.
            let push_count = if is_long { LONG_PUSHES } else { self.push_count(class) };
            self.pushes.add(key.clone(), class, push_count);
            self.queue_for_agents(&key, &entry);
        }
        actions.push(Action::Changed(entry));
    }

    /// Traffic class of an entry at this node.
    ///
    /// A new attachment of an orphaned node is urgent: without it the node is taken for silent.
    fn class(&self, entry: &Entry) -> Class {
        let is_orphan = |id| self.state.member(id).is_some_and(|m| m.orphaned.is_some());
        match entry {
            Entry::Attachment(attachment) if is_orphan(attachment.node) => {
                Class::Liveness
            }
            other => other.class(),
        }
    }

    /// Refutes a health record with a newer heartbeat if there is one; returns whether it did.
    fn refute(
        &mut self,
        now: Millis,
        health: &Health,
        actions: &mut Vec<Action>,
    ) -> bool {
        let known = self.state.member(health.node).and_then(|member| member.health);
        // An outdated record must not trigger a new one.
        let outdated = known.is_some_and(|known| known.version() >= health.version());
        if health.condition == Condition::Alive || outdated {
            return false;
        }
        if health.node == self.node.id {
            // Its monitors decide when this node counts as alive again, so that a node that is
            // paused repeatedly does not bring itself back each time.
            self.sequence = self.sequence.max(health.sequence + 1);
            self.publish_heartbeats(now, actions);
            return false;
        }
        let sequence = self
            .watches
            .evidence(now, health.node)
            .filter(|sequence| *sequence > health.sequence);
        let Some(sequence) = sequence else { return false };
        let alive =
            Health { sequence, condition: Condition::Alive, age_ms: 0, ..*health };
        self.apply(now, Entry::Health(alive), actions);
        true
    }

    /// Publishes that the nodes with this balancer as primary monitor are alive.
    ///
    /// Peers that took this balancer for silent likely took the nodes it monitors for silent
    /// too.
    fn publish_heartbeats(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now.since(self.heartbeats_published) < PUBLISH_HEARTBEATS_MS {
            return;
        }
        self.heartbeats_published = now;
        for id in self.watches.ids().collect::<Vec<_>>() {
            let Some(member) = self.state.member(id) else { continue };
            let is_primary =
                member.attachment.is_some_and(|a| a.is_primary(self.node.id));
            let node = member.node.as_ref().filter(|_| is_primary);
            if let Some((node, sequence)) = node.zip(self.watches.evidence(now, id)) {
                let (role, condition) = (node.role, Condition::Alive);
                let health = Health { node: id, role, sequence, condition, age_ms: 0 };
                self.apply(now, Entry::Health(health), actions);
            }
        }
    }

    /// Number of pushes of a new entry; they reach all but a few nodes.
    ///
    /// Each node forwards a new entry, so the share of nodes that lack it falls by a factor
    /// of e with each push. Anti-entropy reaches the rest.
    fn push_count(&self, class: Class) -> u8 {
        let nodes = self.peers.len() as u32 + 2;
        let log = (u32::BITS - nodes.leading_zeros()) as u8;
        match class {
            Class::Configuration => log + 1,
            // In a burst, anti-entropy reaches the last nodes with less traffic than pushes.
            Class::Liveness if self.pushes.urgent() > BURST_ENTRIES => {
                log.div_ceil(2) + 1
            }
            Class::Repair if self.pushes.urgent() > BURST_ENTRIES => 2,
            Class::Load if self.pushes.loads() > BURST_ENTRIES => log.div_ceil(4).max(2),
            _ => log,
        }
    }

    /// Queues an entry for the agents whose primary monitor is this balancer.
    fn queue_for_agents(&mut self, key: &Key, entry: &Entry) {
        let Some(audience) = entry.audience() else { return };
        let me = self.node.id;
        let needs = |id: &node::Id| {
            let Some(member) = self.state.member(*id) else { return false };
            let is_primary =
                member.attachment.is_some_and(|attachment| attachment.is_primary(me));
            is_primary
                && member.node.as_ref().is_some_and(|node| {
                    let scope = Scope::Leaf(node.organisation.clone());
                    node.role == Role::Agent && scope.covers(&audience)
                })
        };
        let agents: Vec<node::Id> = self.watches.ids().filter(needs).collect();
        for id in agents {
            self.watches.enqueue(id, key);
        }
    }
}
