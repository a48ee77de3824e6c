//! Makes the store calls of a relay slot, and relays documents while the slot is held.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use parking_lot::Mutex;
use smol::Task;

use crate::id::node;
use crate::process::clock::wall_ms;
use crate::process::event::{Kind, Recorder};
use crate::process::gossip::driver::Gossip;
use crate::process::gossip::entry::{MAX_DOCUMENT_BYTES, Role};
use crate::process::gossip::member::Status;
use crate::process::link::Link;
use crate::process::name::Name;
use crate::process::pool::Pool;
use crate::process::relay::core::{self, Call, Core, Event, Fleet};
use crate::process::relay::mirror::Mirror;
use crate::process::relay::update::StoreUpdate;
use crate::process::store::backoff::Backoff;
use crate::process::store::follow::Follower;
use crate::process::store::{Error, Store};
use crate::version::config::key;

/// First and longest delay after the store failed to report changes, in milliseconds. The watch
/// itself is opened again with delays of its own.
const FOLLOW_BACKOFF_MS: (u64, u64) = (100, 2_000);

/// Time in milliseconds that a peer has to send the full state before a slot holder becomes
/// ready with the state of the store alone. The store does not list backend servers, and a
/// peer answers within a few round trips.
const PEER_STATE_MS: u64 = 1_500;

/// Interval between comparisons of the known documents with those of the store. No calls are
/// made for them.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// The process that claims a slot.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The identifier of the process.
    pub node: node::Id,
    /// Its failure domain.
    pub domain: Name,
    /// Its gossip address.
    pub gossip_address: SocketAddr,
    /// Whether the settings name seed peers.
    pub has_peers: bool,
}

/// The relay slot of a balancer. When dropped, stops without releasing the slot.
#[derive(Debug)]
pub struct Relay {
    /// Closed to stop the task.
    stop: async_channel::Sender<()>,
    /// Makes the store calls.
    task: Task<()>,
}

impl Relay {
    /// Starts to claim a slot. The store must open its watches again after an error, as
    /// [`Retry`](crate::process::store::retry::Retry) does.
    pub fn start<S: Store, L: Link>(
        pool: &Pool,
        store: S,
        gossip: Gossip<L>,
        recorder: Recorder,
        settings: Settings,
    ) -> Self {
        let (stop, stopped) = async_channel::bounded(1);
        let value = core::slot_value(settings.node, settings.gossip_address);
        let core = Core::new(settings.domain.clone(), value);
        let worker = Worker { pool: pool.clone(), store, gossip, recorder, settings };
        let task = pool.spawn(worker.run(core, stopped));
        Self { stop, task }
    }

    /// Stops, and releases the slot for others.
    pub async fn release(self) {
        self.stop.close();
        self.task.await;
    }
}

/// State of the tasks that claim the slot and relay.
#[derive(Debug)]
struct Worker<S, L> {
    /// Runs tasks.
    pool: Pool,
    /// Holds slots and documents.
    store: S,
    /// Receives the documents.
    gossip: Gossip<L>,
    /// Records events.
    recorder: Recorder,
    /// The process that claims the slot.
    settings: Settings,
}

impl<S: Store, L: Link> Worker<S, L> {
    /// Makes one call after another until it is stopped.
    async fn run(self, mut core: Core, stopped: async_channel::Receiver<()>) {
        let mut event = Event::Due;
        let mut relaying: Option<Task<()>> = None;
        loop {
            let mut events = Vec::new();
            let next = core.handle(event, self.fleet(), fastrand::u64(..), &mut events);
            events.into_iter().for_each(|kind| self.record(kind));
            match core.slot() {
                Some(_) if relaying.is_none() => relaying = Some(self.relay()),
                None => relaying = None,
                Some(_) => {}
            }
            let stop = async {
                // An error means that the channel is closed, which is the signal to stop.
                let _ = stopped.recv().await;
                None
            };
            let call = async { Some(self.call(next).await) };
            let Some(answer) = future::or(call, stop).await else { break };
            event = answer;
        }
        if let Some(lease) = core.lease() {
            // If this fails, the lease expires by itself.
            let _ = self.store.revoke(lease).await;
        }
    }

    /// Makes one call.
    async fn call(&self, next: Call) -> Event {
        let answer = match next {
            Call::Wait(ms) => {
                Timer::after(Duration::from_millis(ms)).await;
                Ok(Event::Due)
            }
            Call::ReadSlots => self.read_slots().await,
            Call::CreateLease => self.store.grant(core::TTL).await.map(Event::Granted),
            Call::WriteSlot(txn) => self.store.write(txn).await.map(Event::Written),
            Call::KeepAlive(lease) => {
                self.store.keep(lease).await.map(|_| Event::KeptAlive)
            }
            Call::Revoke(lease) => {
                self.store.revoke(lease).await.map(|()| Event::Revoked)
            }
        };
        answer.unwrap_or_else(|error| {
            log::debug!("relay in {}: store call failed: {error}", self.settings.domain);
            Event::Failed(error)
        })
    }

    /// Reads the slots and adds their holders as seed peers; they may be the only known peers.
    async fn read_slots(&self) -> Result<Event, Error> {
        let range = self.store.range(key::RELAYS).await?;
        let holders = range.entries.iter();
        self.add_seeds(holders.filter_map(|entry| core::slot_address(&entry.value)));
        Ok(Event::SlotsRead(range))
    }

    /// Adds seed peers to gossip.
    fn add_seeds(&self, peers: impl Iterator<Item = SocketAddr>) {
        let others = peers.filter(|peer| *peer != self.settings.gossip_address);
        others.for_each(|peer| self.gossip.add_seed(peer));
    }

    /// What gossip knows of the balancers.
    fn fleet(&self) -> Fleet {
        self.gossip.read(|core| {
            let here = core.members().filter(|(node, member)| {
                node.role == Role::Balancer
                    && node.domain == core.node().domain
                    && member.status == Status::Alive
            });
            Fleet { balancers: here.count(), ready: core.is_ready() }
        })
    }

    /// Starts to relay documents; stops when the task is dropped.
    fn relay(&self) -> Task<()> {
        let relay = Worker {
            pool: self.pool.clone(),
            store: self.store.clone(),
            gossip: self.gossip.clone(),
            recorder: self.recorder.clone(),
            settings: self.settings.clone(),
        };
        self.pool.spawn(async move {
            // Locked before the state of gossip.
            let mirror = Mutex::new(Mirror::default());
            future::or(relay.follow(&mirror), relay.compare(&mirror)).await;
        })
    }

    /// Deletes documents that the store does not hold, for as long as it relays: a node that
    /// was cut off may bring back a document whose deletion all others have forgotten.
    async fn compare(&self, mirror: &Mutex<Mirror>) {
        loop {
            Timer::after(COMPARE_INTERVAL).await;
            let mirror = mirror.lock();
            let deletions = self.gossip.read(|c| mirror.deletions(c.documents()));
            drop(mirror);
            deletions.into_iter().for_each(|entry| self.gossip.submit(entry));
        }
    }

    /// Watches the store and publishes its documents by gossip.
    async fn follow(&self, mirror: &Mutex<Mirror>) {
        let mut follower = Follower::new(self.store.clone(), key::PREFIX);
        let mut backoff = Backoff::new(FOLLOW_BACKOFF_MS.0, FOLLOW_BACKOFF_MS.1);
        loop {
            match follower.next().await {
                Ok(update) => {
                    backoff.reset();
                    mirror.lock().follow(&update);
                    let update =
                        self.gossip.read(|c| StoreUpdate::read(&update, c.documents()));
                    self.publish(update);
                }
                Err(error) => {
                    log::debug!(
                        "relay in {}: following the store failed: {error}",
                        self.settings.domain
                    );
                    let delay = backoff.next(fastrand::u64(..));
                    Timer::after(Duration::from_millis(delay)).await;
                }
            }
        }
    }

    /// Publishes the documents of an update, and schedules readiness once the configuration is
    /// complete.
    fn publish(&self, update: StoreUpdate) {
        let has_peer =
            update.peers.iter().any(|peer| *peer != self.settings.gossip_address);
        let alone = !self.settings.has_peers && !has_peer;
        self.add_seeds(update.peers.into_iter());
        update.documents.into_iter().for_each(|entry| self.gossip.submit(entry));
        for key in update.oversized {
            let reason = format!("longer than {MAX_DOCUMENT_BYTES} bytes").into();
            self.record(Kind::ConfigRejected { entry: key, reason });
        }
        if update.complete && alone {
            self.gossip.config_complete();
        } else if update.complete {
            let gossip = self.gossip.clone();
            let complete = async move {
                Timer::after(Duration::from_millis(PEER_STATE_MS)).await;
                gossip.config_complete();
            };
            self.pool.spawn(complete).detach();
        }
    }

    /// Records an event.
    fn record(&self, kind: Kind) {
        self.recorder.record(wall_ms(), kind);
    }
}
