//! Connects the state machine of gossip to a link, a timer and the rest of the process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use async_io::Timer;
use event_listener::Event as Signal;
use futures_lite::StreamExt;
use smol::Task;

use crate::id::{domain, node};
use crate::process::clock::{Clock, wall_ms};
use crate::process::event::Recorder;
use crate::process::gossip::core::{Action, Core, Event, TICK_MS};
use crate::process::gossip::entry::{Entry, Load, Stage};
use crate::process::gossip::message::Message;
use crate::process::gossip::seal::{self, Key, Sealer};
use crate::process::gossip::wire;
use crate::process::link::{self, Link};
use crate::process::lock::Ranked;
use crate::process::pool::Pool;

/// Rank of the lock on the state machine.
const CORE_RANK: u8 = 20;

/// Rank of the lock on the keys.
const KEYS_RANK: u8 = 40;

/// Delay in milliseconds before a failed link receives again.
const RECEIVE_RETRY_MS: u64 = 100;

/// The gossip service of a process. Clones share it; it stops when the last one is dropped.
#[derive(Debug)]
pub struct Gossip<L> {
    /// State shared with the tasks.
    shared: Arc<Shared<L>>,
    /// The tasks; dropping them cancels them.
    _tasks: Arc<[Task<()>; 2]>,
}

impl<L: Link> Gossip<L> {
    /// Starts the gossip service over a link.
    ///
    /// `recorder` stamps messages with hybrid logical time, so that causes precede effects in
    /// the timeline.
    pub fn start(
        pool: &Pool,
        link: L,
        core: Core,
        sealer: Sealer,
        recorder: Recorder,
    ) -> Self {
        let shared = Arc::new(Shared {
            link,
            clock: Clock::new(),
            core: Ranked::new(CORE_RANK, core),
            keys: Ranked::new(KEYS_RANK, Keys { sealer, peer_keys: Vec::new() }),
            recorder,
            pending: PendingChanges::default(),
        });
        let (ticks, datagrams) = (shared.clone(), shared.clone());
        let tasks = [
            pool.spawn(async move { ticks.run_ticks().await }),
            pool.spawn(async move { datagrams.run_receive().await }),
        ];
        Self { shared, _tasks: Arc::new(tasks) }
    }

    /// Publishes a document as read from the store. Other entries are ignored.
    pub fn submit(&self, entry: Entry) {
        self.shared.handle(Event::StoreDocument(entry));
    }

    /// Records that the full configuration was read from the store and submitted.
    pub fn config_complete(&self) {
        self.shared.handle(Event::ConfigComplete);
    }

    /// Adds a seed peer.
    pub fn add_seed(&self, address: SocketAddr) {
        self.shared.handle(Event::AddSeed(address));
    }

    /// Publishes the failure domain of this node, once the configuration names it.
    pub fn set_domain(&self, domain: domain::Id) {
        self.shared.handle(Event::Domain(domain));
    }

    /// Publishes the stage of this node.
    pub fn set_stage(&self, stage: Stage) {
        self.shared.handle(Event::Stage(stage));
    }

    /// Sets the current load, which is reported if it changed enough.
    pub fn set_load(&self, load: Load) {
        self.shared.handle(Event::Load(load));
    }

    /// Replaces the keys; `current` is the identifier of the key for new messages.
    pub fn rotate(&self, keys: Vec<Key>, current: u8) {
        self.shared.keys.write().sealer.rotate(keys, current);
    }

    /// Reads documents and members. Holds the lock of rank 20 while `read` runs.
    pub fn read<T>(&self, read: impl FnOnce(&Core) -> T) -> T {
        read(&self.shared.core.read())
    }

    /// Waits until something changed since the last call and returns what.
    ///
    /// The caller then reads the state it needs again. Only one caller per process is
    /// supported.
    pub async fn changed(&self) -> Changes {
        self.shared.pending.wait().await
    }
}

impl<L> Clone for Gossip<L> {
    fn clone(&self) -> Self {
        Self { shared: self.shared.clone(), _tasks: self._tasks.clone() }
    }
}

/// The kinds of state that changed since the last call of [`Gossip::changed`].
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Changes {
    /// A document changed.
    pub documents: bool,
    /// An announcement or the liveness of a node changed.
    pub members: bool,
    /// A load report changed.
    pub loads: bool,
    /// This node became ready.
    pub ready: bool,
}

impl Changes {
    /// Encodes the changes as bits.
    fn to_bits(self) -> u8 {
        let bits = [self.documents, self.members, self.loads, self.ready];
        bits.iter().rev().fold(0, |all, bit| all << 1 | u8::from(*bit))
    }

    /// Decodes the changes from bits.
    fn from_bits(bits: u8) -> Self {
        let bit = |index: u8| bits & (1 << index) != 0;
        Self { documents: bit(0), members: bit(1), loads: bit(2), ready: bit(3) }
    }

    /// The change that an action reports.
    fn of_action(action: &Action) -> Self {
        let none = Self::default();
        match action {
            Action::Send { .. } => none,
            Action::Ready => Self { ready: true, ..none },
            Action::Changed(Entry::Document(_)) => Self { documents: true, ..none },
            Action::Changed(Entry::Load(_)) => Self { loads: true, ..none },
            Action::Changed(_) => Self { members: true, ..none },
        }
    }
}

/// State that the tasks of the gossip service share.
#[derive(Debug)]
struct Shared<L> {
    /// Sends and receives datagrams.
    link: L,
    /// The clock that is given to the state machine.
    clock: Clock,
    /// The state machine.
    core: Ranked<Core>,
    /// The keys.
    keys: Ranked<Keys>,
    /// Stamps messages with hybrid logical time.
    recorder: Recorder,
    /// Changes that were not read yet.
    pending: PendingChanges,
}

impl<L: Link> Shared<L> {
    /// Runs the ticks of the state machine.
    async fn run_ticks(&self) {
        let mut interval = Timer::interval(Duration::from_millis(TICK_MS));
        while interval.next().await.is_some() {
            self.handle(Event::Tick);
        }
    }

    /// Receives datagrams until the task is dropped.
    async fn run_receive(&self) {
        let mut buffer = vec![0; link::MAX_DATAGRAM_LEN];
        loop {
            match self.link.receive(&mut buffer).await {
                Ok((length, from)) => self.receive_datagram(from, &mut buffer[..length]),
                Err(error) => {
                    // Some systems report a peer's closed port here; the socket still works.
                    log::debug!(
                        "gossip at {}: receiving failed: {error}",
                        self.link.local_addr()
                    );
                    Timer::after(Duration::from_millis(RECEIVE_RETRY_MS)).await;
                }
            }
        }
    }

    /// Opens and decodes a datagram and gives its message to the state machine.
    fn receive_datagram(&self, from: SocketAddr, datagram: &mut [u8]) {
        metrics::counter!("lentilreach_exchange_received_bytes")
            .increment(datagram.len() as u64);
        let opened = self.keys.write().open(from, datagram);
        let (sender, decoded) = match opened {
            Ok((sender, message)) => (sender, wire::decode(message)),
            Err(fault) => return count_dropped(fault.as_str()),
        };
        let (stamp, body) = match decoded {
            Ok(decoded) => decoded,
            Err(fault) => return count_dropped(fault.as_str()),
        };
        if !self.recorder.observe(stamp, wall_ms()) {
            metrics::counter!("lentilreach_exchange_clock_ahead").increment(1);
        }
        self.handle(Event::Received { from, message: Message { sender, body } });
    }

    /// Passes an event to the state machine and carries out its actions.
    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.core.write().handle(now, event, &mut actions);
        let (mut plain, mut sealed) = (Vec::new(), Vec::new());
        let mut changes = 0;
        for action in &actions {
            changes |= Changes::of_action(action).to_bits();
            if let Action::Send { to, message } = action {
                self.send(*to, message, &mut plain, &mut sealed);
            }
        }
        self.pending.add(changes);
    }

    /// Encodes, seals and sends a message.
    fn send(
        &self,
        to: SocketAddr,
        message: &Message,
        plain: &mut Vec<u8>,
        sealed: &mut Vec<u8>,
    ) {
        let stamp = self.recorder.stamp(wall_ms());
        if let Err(fault) = wire::encode(stamp, &message.body, plain) {
            return count_dropped(fault.as_str());
        }
        if let Err(fault) = self.keys.write().seal(to, plain, sealed) {
            return count_dropped(fault.as_str());
        }
        metrics::counter!("lentilreach_exchange_sent_bytes")
            .increment(sealed.len() as u64);
        if self.link.send(to, sealed).is_err() {
            count_dropped("send");
        }
    }
}

/// The keys of gossip messages, and which of them peers use.
#[derive(Debug)]
struct Keys {
    /// Seals and opens messages.
    sealer: Sealer,
    /// Keys of peers that last used another key than the current one, sorted by address.
    peer_keys: Vec<(SocketAddr, u8)>,
}

impl Keys {
    /// Most peers whose keys are remembered.
    const MAX_PEERS: usize = 8_192;

    /// Opens a datagram and records which key the peer uses.
    fn open<'a>(
        &mut self,
        from: SocketAddr,
        datagram: &'a mut [u8],
    ) -> Result<(node::Id, &'a [u8]), seal::Fault> {
        let opened = self.sealer.open(datagram)?;
        let found = self.peer_keys.binary_search_by_key(&from, |(address, _)| *address);
        match found {
            Ok(index) if opened.key == self.sealer.current() => {
                self.peer_keys.remove(index);
            }
            Ok(index) => self.peer_keys[index].1 = opened.key,
            Err(index) if opened.key != self.sealer.current() => {
                self.peer_keys.truncate(Self::MAX_PEERS - 1);
                self.peer_keys
                    .insert(index.min(self.peer_keys.len()), (from, opened.key));
            }
            Err(_) => {}
        }
        Ok((opened.sender, opened.message))
    }

    /// Seals a message with the key that the peer last used: it may not have the newest key
    /// yet.
    fn seal(
        &mut self,
        to: SocketAddr,
        message: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<(), seal::Fault> {
        let found = self.peer_keys.binary_search_by_key(&to, |(address, _)| *address);
        let peer_key = found.ok().map(|index| self.peer_keys[index].1);
        let current = self.sealer.current();
        let sealed = self.sealer.seal(peer_key.unwrap_or(current), message, out);
        if sealed.is_err() && peer_key.is_some() {
            return self.sealer.seal(current, message, out);
        }
        sealed
    }
}

/// Collects changes until they are read, so that a slow reader misses none.
#[derive(Debug, Default)]
struct PendingChanges {
    /// Unread changes as bits.
    bits: AtomicU8,
    /// Wakes the reader.
    signal: Signal,
}

impl PendingChanges {
    /// Adds changes.
    fn add(&self, bits: u8) {
        if bits != 0 {
            self.bits.fetch_or(bits, Ordering::AcqRel);
            self.signal.notify(1);
        }
    }

    /// Waits for changes.
    async fn wait(&self) -> Changes {
        loop {
            // Listens before reading the bits, so that a change in between is not missed.
            let listener = self.signal.listen();
            let bits = self.bits.swap(0, Ordering::AcqRel);
            if bits != 0 {
                return Changes::from_bits(bits);
            }
            listener.await;
        }
    }
}

/// Counts a dropped datagram.
fn count_dropped(reason: &'static str) {
    metrics::counter!("lentilreach_exchange_dropped", "reason" => reason).increment(1);
}
