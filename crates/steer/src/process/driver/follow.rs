//! Keeps the routing in force current with the store.
//!
//! Each call of the store is priced, and all processes would make one for every change. So
//! only the first agents of each failure domain watch. Their beats tell the others that there
//! is something new, and those read it; they also look from time to time, in case that no
//! watcher is left.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures_lite::future::or;
use lentilreach::process::link::Link;
use lentilreach::process::store::backoff::Backoff;
use lentilreach::process::store::follow::Update;
use lentilreach::process::store::{Error, Store, Watch as _};

use super::{BACKOFF_MS, Node, sleep};
use crate::process::documents::{Documents, Source};
use crate::process::roster::Role;
use crate::version::routing::Routing;

/// Agents of each failure domain that watch. One may be lost.
const WATCHERS: usize = 2;

/// Pause after a change, in milliseconds. Changes may come in quick succession; the pause is
/// a sixth of the time in which a configuration must be in force.
const PACE_MS: u64 = 500;

/// Time between looks of a process that does not watch, in milliseconds. With a call of the
/// store, below the 3 s in which a configuration must be in force.
const LOOK_MS: u64 = 2_000;

/// Time that the own watch gets to show what another node already knows, in milliseconds.
const LAG_MS: u64 = 700;

/// Follows the documents until the task is cancelled.
pub async fn run<L: Link, S: Store, D: Source>(
    node: Arc<Node<L>>,
    store: S,
    source: D,
    role: Role,
    rerouted: impl Fn(&Routing, &Routing) + Send + Sync,
) {
    let documents = Documents::new(source);
    let mut follower =
        Follower { node, store, role, documents, watch: None, is_read: false };
    let mut backoff = Backoff::new(BACKOFF_MS.0, BACKOFF_MS.1);
    let mut is_lost = false;
    loop {
        match follower.next().await {
            Ok(update) => {
                backoff.reset();
                if std::mem::take(&mut is_lost) {
                    log::info!(target: "store", change = "regained", call = "documents"; "store answers");
                }
                if let Some(update) = update
                    && follower.enforce(update, &rerouted)
                {
                    sleep(PACE_MS).await;
                }
            }
            Err(Error::Compacted { .. }) => follower.start_over(),
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(target: "store", change = "lost", call = "documents", cause:% = error; "store does not answer");
                }
                sleep(backoff.next(fastrand::u64(..))).await;
            }
        }
    }
}

/// Follows the documents.
struct Follower<L, S: Store, D> {
    /// The process.
    node: Arc<Node<L>>,
    /// Where the documents are.
    store: S,
    /// What the process does.
    role: Role,
    /// The documents.
    documents: Documents<D>,
    /// The open watch; none while the process does not watch.
    watch: Option<S::Watch>,
    /// Whether the documents have been read since the start or the last gap.
    is_read: bool,
}

impl<L: Link, S: Store, D: Source> Follower<L, S, D> {
    /// Waits for news of the documents.
    async fn next(&mut self) -> Result<Option<Update>, Error> {
        let prefix = self.documents.prefix();
        if !self.is_read {
            let range = self.store.range(prefix).await?;
            self.is_read = true;
            return Ok(Some(Update::Snapshot(range)));
        }
        if self.is_watcher() {
            return self.watched().await;
        }
        self.watch = None;
        or(self.node.newer(), sleep(LOOK_MS)).await;
        let range = self.store.glance(prefix).await?;
        let is_old = range.revision < self.node.newest();
        let range = if is_old { self.store.range(prefix).await? } else { range };
        Ok(Some(Update::Snapshot(range)))
    }

    /// Waits for the own watch.
    async fn watched(&mut self) -> Result<Option<Update>, Error> {
        let watch = match &mut self.watch {
            Some(watch) => watch,
            empty => {
                let from = self.documents.revision() + 1;
                let watch = self.store.watch(self.documents.prefix(), from).await?;
                empty.insert(watch)
            }
        };
        let change = async { Some(watch.next().await) };
        let newer = async {
            self.node.newer().await;
            sleep(LAG_MS).await;
            None
        };
        match or(change, newer).await {
            Some(Ok(batch)) => Ok(Some(Update::Changes(batch))),
            Some(Err(error)) => Err(error),
            // The own watch lags, or has gone deaf.
            None => {
                if self.node.newest() > self.documents.revision() {
                    self.start_over();
                }
                Ok(None)
            }
        }
    }

    /// Reads the documents again: changes may have been missed.
    fn start_over(&mut self) {
        self.watch = None;
        self.is_read = false;
    }

    /// Whether this process watches: it is among the first agents of its failure domain, or
    /// hears no agent that could tell it.
    fn is_watcher(&self) -> bool {
        let (own, domain) = (self.node.settings.nodes, &self.node.settings.domain);
        let roster = self.node.roster.read();
        let mut heard = roster.agents().filter(|m| !m.is_silent && m.address != own);
        if self.role == Role::Balancer {
            return heard.next().is_none();
        }
        heard.filter(|m| m.domain == *domain && m.address < own).count() < WATCHERS
    }

    /// Puts documents in force. Returns whether anything changed.
    fn enforce(
        &mut self,
        update: Update,
        rerouted: &impl Fn(&Routing, &Routing),
    ) -> bool {
        for error in self.documents.apply(update) {
            log::warn!(target: "document", key:% = error.key, cause = error.cause.as_str(); "document rejected");
        }
        let changed = self.documents.changed();
        self.node.revision.store(changed, Ordering::Relaxed);
        let before = self.node.routing();
        let after = self.documents.routing();
        if *before == *after {
            return false;
        }
        *self.node.routing.write() = Arc::new(after.clone());
        rerouted(&before, after);
        if self.watch.is_some() {
            self.node.beat(self.role, |_| None);
        }
        let cold: Vec<_> =
            after.services.iter().map(|service| service.cold_per_s).collect();
        log::info!(
            target: "config", version = after.version, revision = after.revision,
            routes = after.routes.len(), out:? = after.out, cold_per_s:? = cold;
            "configuration in force"
        );
        true
    }
}
