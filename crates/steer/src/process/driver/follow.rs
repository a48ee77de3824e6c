//! Keeps the active routing up to date with the store.
//!
//! Calls of the store cost money, and if every process watched the store, every change
//! would cause a call per process. Therefore only the first agents of each failure domain
//! watch. Their heartbeats tell the other processes that there is a new revision, and those
//! ask the agent for it. Only if that fails, they read the store. They also poll at
//! intervals, in case there is no watching agent left.
//!
//! The answer to a watch may be lost, without any sign of it. The first agents of all therefore
//! ask again at short intervals.
//!
//! These agents also record in the store where the routes lead. An agent reads that record
//! together with the documents when it starts, or may have missed some.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::{or, zip};
use lentilreach::process::clock::Millis;
use lentilreach::process::link::Link;
use lentilreach::process::store::backoff::Backoff;
use lentilreach::process::store::follow::Update;
use lentilreach::process::store::{Entry, Error, Range, Revision, Store, Watch as _};

use super::leads::{Recorder, unix_s};
use super::{Node, Observer, TASK_BACKOFF_MS, sleep};
use crate::process::documents::{Documents, Source};
use crate::process::metric;
use crate::process::roster::Role;
use crate::version::routing::Routing;

/// Number of agents per failure domain that watch the store. One of them may fail.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Number of agents that notice soon if an answer to their watch was lost. The others learn
/// from them that there is a newer revision. One of them may fail.
const SENTINELS: usize = 2;

/// Time for which a sentinel relies on a single answer of the store. Together with
/// [`WATCH_LAG_MS`] and the duration of two calls, it is below the 3 s within which a
/// configuration must become active.
const SENTINEL_WAIT: Duration = Duration::from_secs(1);

/// Pause after a change, in milliseconds, since changes may follow each other quickly. It is
/// a sixth of the time within which a configuration must become active.
const CHANGE_PAUSE_MS: u64 = 500;

/// Polling interval of a process that does not watch the store, in milliseconds. Together
/// with the duration of a call, it is below the 3 s within which a configuration must become
/// active.
const POLL_INTERVAL_MS: u64 = 2_000;

/// Shortest time between two reads of all documents because the store's history is incomplete,
/// apart from the first two, in milliseconds.
const COMPACTED_PAUSE_MS: u64 = 1_000;

/// Time within which the process's own watch must report a revision that another node
/// already knows, in milliseconds.
const WATCH_LAG_MS: u64 = 700;

/// Follows the documents until the task is cancelled.
pub async fn run<L: Link, S: Store, D: Source>(
    node: Arc<Node<L>>,
    store: S,
    source: D,
    role: Role,
    observer: Arc<impl Observer>,
) {
    let retention_ms = node.settings.max_flow_age.as_millis() as u64;
    let mut follower = Follower {
        recorder: Recorder::new(store.clone()),
        node,
        store,
        role,
        documents: Documents::new(source, retention_ms),
        watch: None,
        is_loaded: false,
    };
    let mut backoff = Backoff::new(TASK_BACKOFF_MS.0, TASK_BACKOFF_MS.1);
    let mut is_lost = false;
    // When the history of the store was found to be incomplete for the last time.
    let mut compacted: Option<Millis> = None;
    loop {
        follower.expire(&*observer);
        follower.record_leads().await;
        match follower.next().await {
            Ok(update) => {
                backoff.reset();
                if std::mem::take(&mut is_lost) {
                    log::info!(target: "store", change = "regained", call = "documents"; "store is reachable again");
                }
                if let Some(update) = update
                    && follower.apply_update(update, &*observer)
                {
                    sleep(CHANGE_PAUSE_MS).await;
                }
            }
            Err(Error::Compacted { .. }) => {
                let now = follower.node.now();
                let is_repeated =
                    compacted.is_some_and(|at| now.since(at) < COMPACTED_PAUSE_MS);
                compacted = Some(now);
                follower.resync();
                if is_repeated {
                    sleep(COMPACTED_PAUSE_MS).await;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(target: "store", change = "lost", call = "documents", cause:% = error; "store is unreachable");
                }
                // A process that doesn't watch waits for its next poll anyway, or for news of
                // one that does.
                if !follower.is_loaded || follower.is_watcher() {
                    sleep(backoff.next(fastrand::u64(..))).await;
                }
            }
        }
    }
}

/// State of the task that follows the documents.
struct Follower<L, S: Store, D> {
    /// State of the process.
    node: Arc<Node<L>>,
    /// The store that contains the documents.
    store: S,
    /// Role of the process.
    role: Role,
    /// The documents in their last known version.
    documents: Documents<D>,
    /// The open watch; `None` while the process doesn't watch the store.
    watch: Option<S::Watch>,
    /// Whether the documents have been read since the start, or since changes may have been
    /// missed.
    is_loaded: bool,
    /// Keeps the record of where routes lead.
    recorder: Recorder<S>,
}

impl<L: Link, S: Store, D: Source> Follower<L, S, D> {
    /// Waits for the next update of the documents.
    async fn next(&mut self) -> Result<Option<Update>, Error> {
        let prefix = self.documents.prefix();
        if !self.is_loaded {
            let range = self.load().await?;
            self.is_loaded = true;
            return Ok(Some(Update::Snapshot(range)));
        }
        if self.is_watcher() {
            return self.next_watched_change().await;
        }
        self.watch = None;
        let newer = async {
            self.node.wait_for_newer().await;
            self.node.fetch_documents().await
        };
        let poll = async {
            sleep(POLL_INTERVAL_MS).await;
            None
        };
        if let Some(range) = or(newer, poll).await {
            metric::count(&metric::DOCUMENTS_RECEIVED);
            return Ok(Some(Update::Snapshot(range)));
        }
        let range = self.store.range_stale(prefix).await?;
        let is_old = range.revision < self.node.newest_revision();
        let mut range = if is_old { self.store.range(prefix).await? } else { range };
        let last_change = self.documents.last_change();
        // Configurations between the known one and this one may have been missed.
        let at = |entry: &Entry| Revision { number: entry.modified, ..range.revision };
        if self.role == Role::Agent
            && range.entries.iter().any(|entry| at(entry) > last_change)
        {
            let record = self.recorder.read_stale().await?;
            range.entries.splice(..0, record);
        }
        Ok(Some(Update::Snapshot(range)))
    }

    /// Reads all documents, and at an agent the record of where routes led before. Without the
    /// latter, searches would leave out agents that may hold a flow, so both are read or none.
    async fn load(&mut self) -> Result<Range, Error> {
        let documents = self.store.range(self.documents.prefix());
        if self.role == Role::Balancer {
            return documents.await;
        }
        let (documents, record) = zip(documents, self.recorder.read()).await;
        let mut range = documents?;
        range.entries.splice(..0, record?);
        Ok(range)
    }

    /// Records where routes lead, if this process is among the first agents.
    async fn record_leads(&mut self) {
        let routing = self.documents.routing();
        let is_sentinel = is_sentinel(&self.node, self.role);
        let is_due = is_sentinel && is_record_due(&self.node, &self.recorder, routing);
        if !is_due {
            return;
        }
        if let Err(error) = self.recorder.write(routing).await {
            log::warn!(target: "routes", change = "lost", cause:% = error; "routes could not be recorded");
        }
    }

    /// Waits for the next change that the watch reports.
    async fn next_watched_change(&mut self) -> Result<Option<Update>, Error> {
        let (node, role) = (self.node.clone(), self.role);
        let is_sentinel = is_sentinel(&node, role);
        let (documents, recorder) = (&self.documents, &self.recorder);
        let watch = match &mut self.watch {
            Some(watch) => watch,
            empty => {
                let from = documents.revision().next();
                let watch = self.store.watch(documents.prefix(), from).await?;
                empty.insert(watch)
            }
        };
        watch.limit_wait(if is_sentinel { SENTINEL_WAIT } else { Duration::MAX });
        let change = async { Some(watch.next().await) };
        let newer = async {
            self.node.wait_for_newer().await;
            sleep(WATCH_LAG_MS).await;
            None
        };
        let other_duties = async {
            loop {
                Timer::after(SENTINEL_WAIT).await;
                let is_due = documents.is_expiry_due(node.now())
                    || (is_sentinel
                        && is_record_due(&node, recorder, documents.routing()));
                if is_due || self::is_sentinel(&node, role) != is_sentinel {
                    return None;
                }
            }
        };
        match or(or(change, newer), other_duties).await {
            Some(Ok(batch)) => Ok(Some(Update::Changes(batch))),
            Some(Err(error)) => Err(error),
            // The watch lags behind, no longer reports changes, or needs another limit, or the
            // routes have to be recorded.
            None => {
                if self.node.newest_revision() > self.documents.revision() {
                    self.resync();
                }
                Ok(None)
            }
        }
    }

    /// Lets all documents be read again, because changes may have been missed.
    fn resync(&mut self) {
        self.watch = None;
        self.is_loaded = false;
    }

    /// Whether this process should watch the store: it is among the first agents of its
    /// failure domain, or there is no live agent that could inform it of changes.
    fn is_watcher(&self) -> bool {
        let (own, domain) = (self.node.settings.nodes, &self.node.settings.domain);
        let roster = self.node.roster.read();
        let mut live_agents =
            roster.agents().filter(|m| !m.is_silent && m.address != own);
        if self.role == Role::Balancer {
            return live_agents.next().is_none();
        }
        live_agents.filter(|m| m.domain == *domain && m.address < own).count()
            < WATCHERS_PER_DOMAIN
    }

    /// Forgets what has been kept for long enough.
    fn expire(&mut self, observer: &impl Observer) {
        let now = self.node.now();
        if self.documents.is_expiry_due(now) {
            self.documents.expire(now);
            self.publish(observer);
        }
    }

    /// Applies an update of the documents. Returns whether the routing changed.
    fn apply_update(&mut self, update: Update, observer: &impl Observer) -> bool {
        for error in self.documents.apply(self.node.now(), update) {
            log::warn!(target: "document", key:% = error.key, cause = error.cause.as_str(); "document rejected");
        }
        self.node.share_documents(self.documents.snapshot(unix_s()));
        let changed = self.documents.last_change();
        let before = std::mem::replace(&mut *self.node.revision.write(), changed);
        if changed.era > before.era {
            self.node.signal_registration();
        }
        self.publish(observer)
    }

    /// Puts the routing of the documents in force. Returns whether it differs from the active
    /// one.
    fn publish(&self, observer: &impl Observer) -> bool {
        let before = self.node.routing();
        let after = self.documents.routing();
        if *before == *after {
            return false;
        }
        *self.node.routing.write() = Arc::new(after.clone());
        let is_new =
            before.revision != after.revision || before.domains_out != after.domains_out;
        if !is_new {
            return false;
        }
        observer.routing_changed(&before, after);
        if self.watch.is_some() {
            self.node.broadcast_heartbeat(self.role, |_, _| None);
        }
        let cold: Vec<_> =
            after.services.iter().map(|service| service.cold_per_s).collect();
        log::info!(
            target: "config", version = after.version, revision:% = after.revision,
            routes = after.routes.len(), out:? = after.domains_out, cold_per_s:? = cold;
            "configuration is active"
        );
        true
    }
}

/// Whether one of the first agents has to record where the routes lead. Not before it knows
/// which agents are the first ones.
fn is_record_due<L: Link, S: Store>(
    node: &Node<L>,
    recorder: &Recorder<S>,
    routing: &Routing,
) -> bool {
    node.ready().is_ok() && !recorder.is_current(routing)
}

/// Whether a process is among the first agents of all.
fn is_sentinel<L: Link>(node: &Node<L>, role: Role) -> bool {
    let own = node.settings.nodes;
    let roster = node.roster.read();
    let before = roster.agents().filter(|m| !m.is_silent && m.address < own);
    role == Role::Agent && before.count() < SENTINELS
}
