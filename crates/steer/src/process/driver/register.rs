//! Registers the process in the store's list of members, and discovers other members
//! there.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::{or, zip};
use lentilreach::process::clock::Millis;
use lentilreach::process::link::Link;
use lentilreach::process::store::backoff::Backoff;
use lentilreach::process::store::{
    Entry, Error, Lease, Range, Step, Store, Txn, TxnResult,
};

use super::{Node, Observer, TASK_BACKOFF_MS, sleep};
use crate::process::backend::record::{Heard, Recorded};
use crate::process::roster::membership::{
    CHECK_INTERVAL_MS, LEASE_TTL_MS, Listed, PREFIX, RENEWAL_INTERVAL_MS,
};
use crate::process::roster::{PROBE_INTERVAL_MS, PROBES, Role};

/// Number of times that an entry is written if its stored state was another one than
/// expected. Only delayed calls of an earlier process change it.
const MAX_WRITES: u32 = 4;

/// Maintains the registration until the task is cancelled or the node leaves.
pub async fn run<L: Link, S: Store>(
    node: Arc<Node<L>>,
    store: S,
    role: Role,
    observer: Arc<impl Observer>,
) {
    let address = node.settings.nodes;
    let domain = node.settings.domain.clone();
    let mut entry = Registration {
        renewed: node.now(),
        node,
        store,
        observer,
        listed: Listed { address, role, domain, instance: None },
        modified: 0,
        lease: None,
        returned: None,
        checked: None,
        has_probed: false,
        probes: 0,
    };
    let mut backoff = Backoff::new(TASK_BACKOFF_MS.0, TASK_BACKOFF_MS.1);
    let mut is_lost = false;
    loop {
        match entry.update().await {
            Ok(()) => {
                backoff.reset();
                if std::mem::take(&mut is_lost) {
                    log::info!(target: "store", change = "regained", call = "register"; "store is reachable again");
                }
                let due = async {
                    sleep(entry.probe()).await;
                    false
                };
                let is_signalled = async {
                    entry.node.wait_for_registration().await;
                    false
                };
                let leaves = async {
                    entry.node.wait_for_leave().await;
                    true
                };
                if or(or(due, is_signalled), leaves).await {
                    return entry.withdraw().await;
                }
                entry.probes = entry.probes.saturating_sub(1);
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(target: "store", change = "lost", call = "register", cause:% = error; "store is unreachable");
                }
                sleep(backoff.next(fastrand::u64(..))).await;
            }
        }
    }
}

/// State of the registration task.
struct Registration<L, S, O> {
    /// State of the process.
    node: Arc<Node<L>>,
    /// The store that contains the list.
    store: S,
    /// Is told what the entry says of the backend server.
    observer: Arc<O>,
    /// The process's own entry as it is stored, as far as is known.
    listed: Listed,
    /// Revision at which that was written; 0 if there is none.
    modified: u64,
    /// The lease that the entry is attached to; `None` while there is no entry.
    lease: Option<Held>,
    /// When the lease was last renewed.
    renewed: Millis,
    /// When it was last noticed that the store had come back from an older copy.
    returned: Option<Millis>,
    /// When the list was last read after the entry had been written.
    checked: Option<Millis>,
    /// Whether the members that were listed at the start have been asked for heartbeats.
    has_probed: bool,
    /// How often members that have never sent a heartbeat are still asked for one.
    probes: u32,
}

/// A lease and the era of the store that granted it. In a later era it is gone, and its
/// identifier may have been given out again.
#[derive(Debug, Clone, Copy)]
struct Held {
    /// The lease.
    lease: Lease,
    /// The era.
    era: u64,
}

impl<L: Link, S: Store, O: Observer> Registration<L, S, O> {
    /// Does what is due: registers, renews the lease, records the instance of the backend
    /// server, and checks the list.
    async fn update(&mut self) -> Result<(), Error> {
        match self.lease {
            None if !self.has_probed => self.join().await?,
            None => self.register_entry().await?,
            Some(held) if held.era < self.era() => {
                log::warn!(target: "membership", change = "returned", era = self.era(); "store has come back from an older copy; registering again");
                self.returned = Some(self.node.now());
                self.register_again().await?;
            }
            Some(held) if self.until_renewal() == 0 => {
                match self.store.keep(held.lease).await {
                    Ok(_) => self.renewed = self.node.now(),
                    Err(Error::Lapsed { .. }) => {
                        log::warn!(target: "membership", change = "lapsed"; "own membership entry has expired");
                        self.register_again().await?;
                    }
                    Err(error) => return Err(error),
                }
            }
            Some(_) => {}
        }
        if let Some(held) = self.lease
            && self
                .recorded()
                .is_some_and(|recorded| self.listed.instance != Some(recorded))
        {
            match self.write_entry(held.lease).await {
                Err(Error::Lapsed { .. }) => self.register_again().await?,
                result => result?,
            }
        }
        let now = self.node.now();
        if self.checked.is_some_and(|checked| now.since(checked) < CHECK_INTERVAL_MS) {
            return Ok(());
        }
        // The first read must include all members that registered before.
        let range = match self.checked {
            None => self.store.range(PREFIX).await?,
            Some(_) => self.store.range_stale(PREFIX).await?,
        };
        let is_listed = range.get(&self.listed.key()).is_some();
        self.add_members(&range);
        self.probes = PROBES;
        if !is_listed && self.checked.is_some() {
            log::warn!(target: "membership", change = "missing"; "own membership entry is missing");
            self.register_again().await?;
        }
        self.checked = Some(now);
        Ok(())
    }

    /// What the entry has to say of the backend server; `None` before its first report, or if
    /// that may have been delayed: the stored entry names a later instance.
    fn recorded(&self) -> Option<Recorded> {
        let Heard { instance, has_reported_again } = self.node.heard()?;
        let stored = self.listed.instance.filter(|_| !has_reported_again);
        let is_superseded = |stored: Recorded| instance.precedes(&stored.instance);
        let era = self.store.era();
        (!stored.is_some_and(is_superseded)).then_some(Recorded { instance, era })
    }

    /// The latest era of the store that this process knows of: from its own calls, or from the
    /// documents, which other nodes pass on.
    fn era(&self) -> u64 {
        self.store.era().max(self.node.revision.read().era)
    }

    /// Time until the lease has to be renewed, in milliseconds.
    fn until_renewal(&self) -> u64 {
        self.renewed.after(RENEWAL_INTERVAL_MS).since(self.node.now())
    }

    /// Reads the list for the first time and registers. Segments of callers wait meanwhile, so
    /// calls that don't depend on each other are made at once.
    async fn join(&mut self) -> Result<(), Error> {
        let store = self.store.clone();
        let grant = grant(&store);
        let (probed, held) = zip(self.probe_early(), grant).await;
        probed?;
        self.write_first(held?).await
    }

    /// Requests heartbeats from the members that are listed already. Registration takes
    /// another call.
    async fn probe_early(&mut self) -> Result<(), Error> {
        let range = self.store.range_stale(PREFIX).await?;
        self.has_probed = true;
        let entry = range.get(&self.listed.key()).cloned();
        self.record_stored(entry.as_ref());
        let listed = self.add_members(&range);
        self.node.send_heartbeat(&listed, self.listed.role, true);
        Ok(())
    }

    /// Requests heartbeats from members that have not sent any, if that is due. Returns the
    /// time until something else is due, in milliseconds.
    fn probe(&self) -> u64 {
        let unheard = match self.probes {
            0 => Vec::new(),
            _ => self.node.roster.read().unheard(),
        };
        if unheard.is_empty() {
            return self.until_renewal();
        }
        self.node.send_heartbeat(&unheard, self.listed.role, true);
        PROBE_INTERVAL_MS.min(self.until_renewal())
    }

    /// Writes the process's own entry after the store has removed it.
    async fn register_again(&mut self) -> Result<(), Error> {
        self.lease = None;
        self.record_stored(None);
        self.register_entry().await
    }

    /// Writes the process's own entry under a new lease.
    async fn register_entry(&mut self) -> Result<(), Error> {
        let held = grant(&self.store).await?;
        self.write_first(held).await
    }

    /// Writes the process's own entry under a lease that has no entry yet.
    async fn write_first(&mut self, held: Held) -> Result<(), Error> {
        match self.write_entry(held.lease).await {
            Ok(()) => {
                self.lease = Some(held);
                self.renewed = self.node.now();
                Ok(())
            }
            Err(error) => {
                // The call may still take effect, after a later one or after this process
                // has left. Without its lease it can't.
                if let Err(cause) = self.end(held).await {
                    log::warn!(target: "membership", change = "unknown", cause:% = cause; "lease of a failed registration could not be ended; it remains until it expires");
                }
                Err(error)
            }
        }
    }

    /// Writes the process's own entry with the instance of the backend server, provided that
    /// the stored one is the one that is known. Until the backend server reports, the entry
    /// goes on naming the instance that earlier processes used, as of the era in which one of
    /// them wrote it.
    async fn write_entry(&mut self, lease: Lease) -> Result<(), Error> {
        let key = self.listed.key();
        for _ in 0..MAX_WRITES {
            let before = self.listed.instance;
            let instance = self.recorded().or(before);
            let listed = Listed { instance, ..self.listed.clone() };
            let txn = Txn::new().compare(&*key, self.modified);
            let txn = txn.lease(&*key, listed.value(), lease);
            match self.store.write(txn).await? {
                TxnResult::Committed { revision } => {
                    self.modified = revision;
                    self.listed = listed;
                    // Not before the write, whose answer may tell of another era.
                    let era = self.store.era();
                    let before = before.and_then(|recorded| recorded.current(era));
                    let after = instance.map(|recorded| recorded.instance);
                    self.observer.record_written(before.into(), after.into());
                    return Ok(());
                }
                TxnResult::ConditionFailed { current } => {
                    self.record_stored(current.iter().find(|entry| *entry.key == *key));
                }
            }
        }
        let cause = "the entry was changed again and again".into();
        Err(Error::Unavailable { step: Step::Write, peer: self.store.peer(), cause })
    }

    /// Notes the stored state of the process's own entry.
    fn record_stored(&mut self, entry: Option<&Entry>) {
        self.modified = entry.map_or(0, |entry| entry.modified);
        let listed = entry.and_then(|entry| Listed::try_from(entry).ok());
        self.listed.instance = listed.and_then(|listed| listed.instance);
    }

    /// Ends a lease, unless the store has forgotten it.
    async fn end(&self, held: Held) -> Result<(), Error> {
        if held.era < self.store.era() {
            return Ok(());
        }
        self.store.revoke(held.lease).await
    }

    /// Removes the process's own entry, so that new nodes don't wait for an answer from
    /// this one.
    async fn withdraw(&self) {
        let Some(held) = self.lease else { return };
        if let Err(error) = self.end(held).await {
            log::warn!(target: "membership", change = "kept", cause:% = error; "own membership entry could not be removed; it remains until it expires");
        }
    }

    /// Adds listed members to the roster. Returns all that this node exchanges messages
    /// with.
    fn add_members(&self, range: &Range) -> Vec<SocketAddrV4> {
        let now = self.node.now();
        let mut listed = Vec::new();
        {
            let mut roster = self.node.roster.write();
            for entry in &range.entries {
                match Listed::try_from(entry) {
                    Ok(member) if member.address == self.listed.address => {}
                    // Balancers don't exchange messages with each other.
                    Ok(member)
                        if self.listed.role == Role::Balancer
                            && member.role == Role::Balancer => {}
                    Ok(member) => {
                        let Listed { address, role, domain, .. } = member;
                        roster.insert_unheard(now, address, role, domain);
                        listed.push(address);
                    }
                    Err(_) => {
                        log::warn!(target: "membership", key:% = entry.key; "membership entry is invalid");
                    }
                }
            }
            // Others may not have registered again yet.
            let is_complete =
                self.returned.is_none_or(|at| now.since(at) >= LEASE_TTL_MS);
            if is_complete {
                roster.remove_unlisted(&listed);
            }
        }
        self.node.record_members_read();
        listed
    }
}

/// Creates a lease for an entry. If the store comes back from a copy meanwhile, it counts as one
/// of the era before, unless this is the first call that tells of an era.
async fn grant<S: Store>(store: &S) -> Result<Held, Error> {
    let before = store.era();
    let lease = store.grant(Duration::from_millis(LEASE_TTL_MS)).await?;
    let era = if before > 0 { before } else { store.era() };
    Ok(Held { lease, era })
}
