//! Applies the configuration at a balancer: keeps its routing view current.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use smol::Task;

use crate::process::clock::{Clock, wall_ms};
use crate::process::control::keys::Keys;
use crate::process::control::{StatusSource, peers, timeline};
use crate::process::event::{Kind, Recorder};
use crate::process::gossip::driver::{Changes, Gossip};
use crate::process::gossip::entry::Stage;
use crate::process::link::Link;
use crate::process::name::Name;
use crate::process::relay::Relay;
use crate::process::tables::Tables;
use crate::process::{balancer, metric};
use crate::version::assembly::{self, Config, Peer};
use crate::version::config::key;

/// Interval between checks for keys that are due.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest interval between two views, so that a burst of changes causes one.
const VIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest interval between two views if only loads changed. Loads arrive every 500 ms from
/// each peer.
const LOAD_VIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Least ratio of the pause after a change of loads to the time that a view takes to compute.
/// Keeps views below 0.7% of a core, of the 1.7% that the whole control plane may take.
const IDLE_RATIO: u32 = 150;

/// A running balancer and its gossip service. Stops when dropped.
#[derive(Debug)]
pub struct Balancer<X> {
    /// Gossip service of the process.
    pub(super) gossip: Gossip<X>,
    /// Routing view and keys.
    pub(super) tables: Arc<Tables>,
    /// Status for the admin endpoint.
    pub(super) status_source: StatusSource,
    /// Its relay slot in the store.
    pub(super) relay: Relay,
    /// Data plane: forwards datagrams.
    pub(super) _data_plane: balancer::Balancer,
    /// Applies changes.
    pub(super) _task: Task<()>,
}

impl<X: Link> Balancer<X> {
    /// Gossip service of the process.
    pub fn gossip(&self) -> &Gossip<X> {
        &self.gossip
    }

    /// Routing view and keys.
    pub fn tables(&self) -> &Arc<Tables> {
        &self.tables
    }

    /// Status for the admin endpoint.
    pub fn status_source(&self) -> &StatusSource {
        &self.status_source
    }

    /// Announces to peers and the admin endpoint that it stops. It continues to forward until
    /// it is dropped.
    pub fn leave(&self) {
        self.status_source.stop();
        self.gossip.set_stage(Stage::Leaving);
    }

    /// Continues to forward for `grace`, then releases its relay slot and stops.
    pub async fn finish(self, grace: Duration) {
        Timer::after(grace).await;
        // If the store is unavailable, the slot becomes free when its lease expires.
        let timeout = async {
            Timer::after(KEY_CHECK_INTERVAL).await;
        };
        future::or(self.relay.release(), timeout).await;
    }
}

/// Applies changes reported by gossip at a balancer.
#[derive(Debug)]
pub(super) struct Worker<X> {
    /// Gossip service of the process.
    pub gossip: Gossip<X>,
    /// Routing view and keys.
    pub tables: Arc<Tables>,
    /// Status for the admin endpoint.
    pub status_source: StatusSource,
    /// Records events.
    pub recorder: Recorder,
    /// Clock of the views.
    pub clock: Clock,
    /// The secrets.
    pub keys: Keys,
    /// The failure domain.
    pub domain: Name,
    /// The configuration in force.
    pub config: Config,
    /// The agents of the last view.
    pub peers: Vec<Peer>,
    /// Whether a view was ever put in force.
    pub has_view: bool,
}

impl<X: Link> Worker<X> {
    /// Applies changes until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let tick = async {
                Timer::after(KEY_CHECK_INTERVAL).await;
                None
            };
            let changed = async { Some(self.gossip.changed().await) };
            let changes = future::or(changed, tick).await;
            self.rotate_keys();
            let Some(changes) = changes else { continue };
            let start = Instant::now();
            self.apply(changes);
            let urgent = changes.documents || changes.members || changes.ready;
            let load_pause = LOAD_VIEW_INTERVAL.max(start.elapsed() * IDLE_RATIO);
            Timer::after(if urgent { VIEW_INTERVAL } else { load_pause }).await;
        }
    }

    /// Applies the documents and members that the gossip service holds.
    fn apply(&mut self, changes: Changes) {
        let (config, keys) = (&mut self.config, &mut self.keys);
        let old = config.snapshot().clone();
        let now = self.clock.now();
        let read = self.gossip.read(|core| {
            if !core.is_ready() {
                return None;
            }
            if !changes.documents && !changes.ready {
                return Some((Vec::new(), Ok(()), peers::agents(core)));
            }
            let refused = config.update(now, core.documents());
            let ring = keys.read(core.document(&key::ring()));
            Some((refused, ring, peers::agents(core)))
        });
        let Some((refused, ring, peers)) = read else { return };
        for refused in &refused {
            self.recorder.record(wall_ms(), timeline::refused(refused));
        }
        if let Err(fault) = ring {
            self.reject_keys(&fault.to_string());
        }
        self.rotate_keys();
        let domains = timeline::domains(&old.domains, &self.config.snapshot().domains);
        domains.into_iter().for_each(|kind| self.record(kind));
        if let Some(domain) = self.config.snapshot().domains.find(&self.domain) {
            self.gossip.set_domain(domain.id);
        }
        self.set_view(peers);
    }

    /// Puts a view in force.
    fn set_view(&mut self, peers: Vec<Peer>) {
        let previous = self.tables.view();
        let view = assembly::view(&self.config, self.clock.now(), &peers, &previous);
        let revision = view.revision;
        if !self.tables.set_view(view) {
            return;
        }
        if revision > previous.revision {
            metric::set_revision(revision);
            self.recorder.record(wall_ms(), Kind::ConfigInForce.with_revision(revision));
        }
        // At the start all agents are new; recording them would flood the timeline.
        if self.has_view {
            let events = timeline::members(&self.peers, &peers);
            events.into_iter().for_each(|kind| self.record(kind));
        }
        self.has_view = true;
        self.peers = peers.clone();
        let is_empty = revision == 0;
        let fault = is_empty.then(|| "no configuration was submitted yet".to_owned());
        self.status_source.set(self.tables.view(), peers, fault);
    }

    /// Puts keys into use that are due.
    fn rotate_keys(&mut self) {
        if let Some(change) = self.keys.update(wall_ms()) {
            self.tables.set_keys(change.keyring);
            self.gossip.rotate(change.gossip, change.current);
            self.record(Kind::KeysRotated { key: change.current });
        }
    }

    /// Records that the key document was rejected.
    fn reject_keys(&self, reason: &str) {
        log::warn!("rejected the document {}: {reason}", key::RING);
        let entry = key::ring();
        self.record(Kind::ConfigRejected { entry, reason: reason.into() });
    }

    /// Records an event.
    fn record(&self, kind: Kind) {
        self.recorder.record(wall_ms(), kind);
    }
}
