//! Registers the process in the store's list of members, and discovers other members
//! there.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::or;
use lentilreach::process::clock::Millis;
use lentilreach::process::link::Link;
use lentilreach::process::store::backoff::Backoff;
use lentilreach::process::store::{Error, Lease, Range, Store, Txn};

use super::{Node, TASK_BACKOFF_MS, sleep};
use crate::process::roster::membership::{
    CHECK_INTERVAL_MS, LEASE_TTL_MS, Listed, PREFIX, RENEWAL_INTERVAL_MS,
};
use crate::process::roster::{PROBE_INTERVAL_MS, PROBES, Role};

/// Maintains the registration until the task is cancelled or the node leaves.
pub async fn run<L: Link, S: Store>(node: Arc<Node<L>>, store: S, role: Role) {
    let address = node.settings.nodes;
    let domain = node.settings.domain.clone();
    let mut entry = Registration {
        node,
        store,
        listed: Listed { address, role, domain },
        lease: None,
        checked: None,
        has_probed: false,
    };
    let mut backoff = Backoff::new(TASK_BACKOFF_MS.0, TASK_BACKOFF_MS.1);
    let mut is_lost = false;
    loop {
        match entry.renew().await {
            Ok(()) => {
                backoff.reset();
                if std::mem::take(&mut is_lost) {
                    log::info!(target: "store", change = "regained", call = "register"; "store is reachable again");
                }
                let due = async {
                    sleep(RENEWAL_INTERVAL_MS).await;
                    false
                };
                let leaves = async {
                    entry.node.wait_for_leave().await;
                    true
                };
                if or(due, leaves).await {
                    return entry.withdraw().await;
                }
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
struct Registration<L, S> {
    /// State of the process.
    node: Arc<Node<L>>,
    /// The store that contains the list.
    store: S,
    /// The process's own entry.
    listed: Listed,
    /// The lease that the entry is attached to; `None` while there is no entry.
    lease: Option<Lease>,
    /// When the list was last read after the entry had been written.
    checked: Option<Millis>,
    /// Whether the members that were listed at the start have been asked for heartbeats.
    has_probed: bool,
}

impl<L: Link, S: Store> Registration<L, S> {
    /// Renews the lease, and checks the list if that is due.
    async fn renew(&mut self) -> Result<(), Error> {
        if self.checked.is_none() && !self.has_probed {
            self.probe_early().await?;
        }
        match self.lease {
            None => self.register_entry().await?,
            Some(lease) => match self.store.keep(lease).await {
                Ok(_) => {}
                Err(Error::Lapsed { .. }) => {
                    log::warn!(target: "membership", change = "lapsed"; "own membership entry has expired");
                    self.lease = None;
                    self.register_entry().await?;
                }
                Err(error) => return Err(error),
            },
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
        self.discover(&range).await;
        if !is_listed && self.checked.is_some() {
            log::warn!(target: "membership", change = "missing"; "own membership entry is missing");
            self.lease = None;
            self.register_entry().await?;
        }
        self.checked = Some(now);
        Ok(())
    }

    /// Requests heartbeats from the members that are listed already. Registration takes
    /// two more calls, and segments of callers wait meanwhile.
    async fn probe_early(&mut self) -> Result<(), Error> {
        let range = self.store.range_stale(PREFIX).await?;
        self.has_probed = true;
        let listed = self.add_members(&range);
        self.node.send_heartbeat(&listed, self.listed.role, true);
        Ok(())
    }

    /// Writes the process's own entry under a new lease.
    async fn register_entry(&mut self) -> Result<(), Error> {
        let lease = self.store.grant(Duration::from_millis(LEASE_TTL_MS)).await?;
        let txn = Txn::new().lease(self.listed.key(), self.listed.value(), lease);
        match self.store.write(txn).await {
            Ok(_) => {
                self.lease = Some(lease);
                Ok(())
            }
            Err(error) => {
                // The call may still take effect, after a later one or after this process
                // has left. Without its lease it can't.
                if let Err(cause) = self.store.revoke(lease).await {
                    log::warn!(target: "membership", change = "unknown", cause:% = cause; "lease of a failed registration could not be ended; it remains until it expires");
                }
                Err(error)
            }
        }
    }

    /// Removes the process's own entry, so that new nodes don't wait for an answer from
    /// this one.
    async fn withdraw(&self) {
        let Some(lease) = self.lease else { return };
        if let Err(error) = self.store.revoke(lease).await {
            log::warn!(target: "membership", change = "kept", cause:% = error; "own membership entry could not be removed; it remains until it expires");
        }
    }

    /// Adds listed members to the roster and requests heartbeats from those that have not
    /// sent any.
    async fn discover(&self, range: &Range) {
        let listed = self.add_members(range);
        for _ in 0..PROBES {
            let unheard = self.node.roster.read().unheard(&listed);
            if unheard.is_empty() {
                return;
            }
            self.node.send_heartbeat(&unheard, self.listed.role, true);
            sleep(PROBE_INTERVAL_MS).await;
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
                        let Listed { address, role, domain } = member;
                        roster.insert_unheard(now, address, role, domain);
                        listed.push(address);
                    }
                    Err(_) => {
                        log::warn!(target: "membership", key:% = entry.key; "membership entry is invalid");
                    }
                }
            }
            roster.remove_unlisted(&listed);
        }
        self.node.record_members_read();
        listed
    }
}
