//! Applies the configuration at an agent: services, limits and its announcement.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use smol::Task;

use crate::process::clock::wall_ms;
use crate::process::control::keys::Keys;
use crate::process::control::{StatusSource, timeline};
use crate::process::event::{Drain, DrainEnd, Kind, Recorder};
use crate::process::gossip::driver::Gossip;
use crate::process::gossip::entry::{Load, Stage};
use crate::process::link::Link;
use crate::process::name::Name;
use crate::process::{agent, metric};
use crate::version::assembly::{self, Config, Peer};
use crate::version::config::key;
use crate::version::view::{self, View};

/// Interval between readings of the load. Only changes are reported.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest drain. All nodes learn of the drain within 3 s, most balancers within 1 s.
const MIN_DRAIN: Duration = Duration::from_secs(3);

/// A running agent and its gossip service. Stops without a drain when dropped.
#[derive(Debug)]
pub struct Agent<L: Link, X> {
    /// Gossip service of the process.
    pub(super) gossip: Gossip<X>,
    /// Status for the admin endpoint.
    pub(super) status_source: StatusSource,
    /// Records events.
    pub(super) recorder: Recorder,
    /// Data plane: terminates callers' connections.
    pub(super) data_plane: Arc<agent::Agent<L>>,
    /// Applies changes. Dropped before the data plane.
    pub(super) _task: Task<()>,
}

impl<L: Link, X: Link> Agent<L, X> {
    /// Gossip service of the process.
    pub fn gossip(&self) -> &Gossip<X> {
        &self.gossip
    }

    /// Status for the admin endpoint.
    pub fn status_source(&self) -> &StatusSource {
        &self.status_source
    }

    /// Data plane: terminates callers' connections.
    pub fn data_plane(&self) -> &agent::Agent<L> {
        &self.data_plane
    }

    /// Starts the drain and announces it at once.
    pub fn leave(&self, cause: Drain) {
        self.recorder.record(wall_ms(), Kind::DrainStarted { cause });
        self.status_source.stop();
        // Wakes the task, which announces the drain. Only the task announces stages, so that
        // no stage that it computed before can follow.
        self.data_plane.begin_drain();
    }

    /// Waits until all flows are closed or the template's time limit has passed.
    ///
    /// Lasts at least 3 s, so that offers from balancers that have not learned of the
    /// drain are handed on.
    pub async fn drained(&self) {
        let min_drain = Timer::after(MIN_DRAIN);
        self.data_plane.drained().await;
        min_drain.await;
        let open = self.data_plane.shared().flows.read().open();
        let end = if open == 0 { DrainEnd::Complete } else { DrainEnd::Limit };
        self.recorder.record(wall_ms(), Kind::DrainFinished { end });
    }
}

/// Applies changes reported by gossip at an agent, and reports its load.
#[derive(Debug)]
pub(super) struct Worker<L: Link, X> {
    /// Gossip service of the process.
    pub gossip: Gossip<X>,
    /// Data plane: terminates callers' connections.
    pub data_plane: Arc<agent::Agent<L>>,
    /// Status for the admin endpoint.
    pub status_source: StatusSource,
    /// Records events.
    pub recorder: Recorder,
    /// The secrets.
    pub keys: Keys,
    /// The configuration in force.
    pub config: Config,
    /// The failure domain.
    pub domain: Name,
    /// The organisation.
    pub organisation: Name,
    /// The set of backend servers.
    pub set: Name,
    /// The load last passed to gossip.
    pub load: Option<Load>,
    /// The stage last passed to gossip.
    pub stage: Option<Stage>,
}

impl<L: Link, X: Link> Worker<L, X> {
    /// Applies changes and reports the load until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let tick = async {
                Timer::after(LOAD_INTERVAL).await;
                None
            };
            let drain = async {
                if self.stage == Some(Stage::Leaving) {
                    return future::pending().await;
                }
                self.data_plane.shared().context.drain().wait().await;
                None
            };
            let changed = async { Some(self.gossip.changed().await) };
            let changes = future::or(changed, future::or(drain, tick)).await;
            if changes.is_some_and(|changes| changes.documents || changes.ready) {
                self.apply();
            }
            self.rotate_keys();
            self.report();
        }
    }

    /// Applies the documents that the gossip service holds.
    fn apply(&mut self) {
        let (config, keys) = (&mut self.config, &mut self.keys);
        let old = config.snapshot().clone();
        let now = self.data_plane.shared().clock.now();
        let read = self.gossip.read(|core| {
            core.is_ready().then(|| {
                let refused = config.update(now, core.documents());
                (refused, keys.read(core.document(&key::ring())))
            })
        });
        let Some((refused, ring)) = read else { return };
        for refused in &refused {
            self.recorder.record(wall_ms(), timeline::refused(refused));
        }
        if let Err(fault) = ring {
            log::warn!("rejected the document {}: {fault}", key::RING);
            let reason = fault.to_string().into();
            self.record(Kind::ConfigRejected { entry: key::ring(), reason });
        }
        let snapshot = self.config.snapshot();
        for kind in timeline::domains(&old.domains, &snapshot.domains) {
            self.record(kind);
        }
        if !assembly::is_out(snapshot, &self.domain)
            && assembly::is_out(&old, &self.domain)
        {
            // When operators bring a failure domain back, its backend servers start cold.
            self.data_plane.shared().context.slots().connections_closed();
        }
        let fault = self.serve();
        self.publish(fault);
        let revision = self.config.snapshot().revision;
        if revision > old.revision {
            metric::set_revision(revision);
            self.recorder.record(wall_ms(), Kind::ConfigInForce.with_revision(revision));
        }
    }

    /// Serves what the configuration says; returns the reason if the agent must not get
    /// traffic.
    fn serve(&self) -> Option<String> {
        let snapshot = self.config.snapshot();
        let Some(domain) = snapshot.domains.find(&self.domain) else {
            return Some(format!(
                "the configuration does not name the failure domain {}",
                self.domain
            ));
        };
        self.data_plane.set_domain(domain.id);
        self.gossip.set_domain(domain.id);
        if let Some(limits) = assembly::limits(snapshot, &self.organisation, &self.set) {
            self.data_plane.set_limits(limits);
        }
        let served = assembly::served(snapshot, &self.organisation, &self.set);
        let result = if domain.out {
            self.data_plane.replace_services(&[])
        } else {
            self.data_plane.update_services(&served)
        };
        if let Err(error) = result {
            log::error!("step=serve peer={} {error}", self.organisation);
            return Some(format!("a service cannot be served: {error}"));
        }
        if domain.out {
            return Some(format!("the failure domain {} is out of service", self.domain));
        }
        let (organisation, set) = (&self.organisation, &self.set);
        served
            .is_empty()
            .then(|| format!("no service of {organisation} uses the set {set}"))
    }

    /// Publishes the agent's own services at the admin endpoint.
    fn publish(&self, fault: Option<String>) {
        let node = self.gossip.read(|core| core.node().clone());
        let now = self.data_plane.shared().clock.now();
        let own = vec![Peer { node, silent: false, load: view::Load::default() }];
        let view = assembly::view(&self.config, now, &own, &View::default());
        let served = view.services().iter().filter(|s| !s.members().is_empty());
        let view =
            View::new(view.revision, served.cloned().collect(), view.domains().to_vec());
        self.status_source.set(Arc::new(view), own, fault);
    }

    /// Passes stage and load to the gossip service if they changed.
    fn report(&mut self) {
        self.data_plane.update_gauges();
        let shared = self.data_plane.shared();
        let slots = shared.context.slots();
        let stage = if shared.context.drain().has_begun() {
            Stage::Leaving
        } else if slots.is_cold() {
            Stage::Cold
        } else {
            Stage::Active
        };
        if self.stage != Some(stage) {
            self.stage = Some(stage);
            self.gossip.set_stage(stage);
        }
        let (busy, slot_limit) = (slots.busy(), slots.limit());
        let flows = shared.flows.read();
        let (open, flow_limit) = (flows.open(), flows.limit());
        drop(flows);
        let (node, version) = (shared.node, 0);
        let load =
            Load { node, version, open, limit: flow_limit, busy, slots: slot_limit };
        if self.load != Some(load) {
            self.load = Some(load);
            self.gossip.set_load(load);
        }
    }

    /// Puts keys into use that are due.
    fn rotate_keys(&mut self) {
        if let Some(change) = self.keys.update(wall_ms()) {
            self.data_plane.shared().tables.set_keys(change.keyring);
            self.gossip.rotate(change.gossip, change.current);
            self.record(Kind::KeysRotated { key: change.current });
        }
    }

    /// Records an event.
    fn record(&self, kind: Kind) {
        self.recorder.record(wall_ms(), kind);
    }
}
