//! Failure detection for the nodes that this balancer monitors.

use std::net::SocketAddr;

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::gossip::entry::{Condition, Key};
use crate::process::gossip::member::{Member, SILENT_MS, SUSPECT_MS};
use crate::process::gossip::state::State;

/// Time without a heartbeat, in milliseconds, after which the node's other monitors are
/// queried.
///
/// Heartbeats arrive each second, so more than one is missing.
const QUERY_AFTER_MS: u64 = 2_200;

/// Interval between queries about a node in milliseconds.
const QUERY_INTERVAL_MS: u64 = 200;

/// Age in milliseconds up to which a heartbeat is reported to another balancer as evidence.
const EVIDENCE_MAX_AGE_MS: u64 = 2_000;

/// The nodes that this balancer monitors.
#[derive(Debug, Default)]
pub struct List {
    /// Sorted by node, without duplicates.
    watches: Vec<Watch>,
}

impl List {
    /// Records a heartbeat; returns whether it is newer than those before.
    pub fn note_heartbeat(
        &mut self,
        now: Millis,
        id: node::Id,
        from: SocketAddr,
        sequence: u64,
    ) -> bool {
        let watch = self.entry(now, id, from);
        if sequence <= watch.sequence {
            return false;
        }
        if now.since(watch.last_heard) > QUERY_AFTER_MS {
            watch.steady_since = now;
        }
        watch.address = from;
        watch.is_direct = true;
        watch.update(now, sequence);
        true
    }

    /// Starts to watch a node whose attachment names this balancer.
    pub fn add(&mut self, now: Millis, id: node::Id, address: SocketAddr) {
        self.entry(now, id, address);
    }

    /// The last heartbeat of a node, if it is recent.
    pub fn evidence(&self, now: Millis, id: node::Id) -> Option<u64> {
        let watch = self.get(id)?;
        (now.since(watch.last_heard) < EVIDENCE_MAX_AGE_MS && watch.sequence > 0)
            .then_some(watch.sequence)
    }

    /// Records that another balancer received a heartbeat of the node.
    pub fn note_evidence(&mut self, now: Millis, id: node::Id, sequence: u64) {
        if let Ok(index) = self.find(id)
            && sequence > self.watches[index].sequence
        {
            self.watches[index].update(now, sequence);
        }
    }

    /// Milliseconds for which heartbeats of a node have arrived without a gap.
    pub fn steady_ms(&self, now: Millis, id: node::Id) -> u64 {
        self.get(id).map_or(0, |watch| now.since(watch.steady_since))
    }

    /// Checks all nodes for missing heartbeats.
    pub fn review(&mut self, now: Millis, state: &State, me: node::Id) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        self.watches.retain_mut(|watch| {
            let silent_ms = now.since(watch.last_heard);
            let member = state.member(watch.node);
            if silent_ms < QUERY_AFTER_MS {
                return true;
            }
            if !member.is_some_and(|member| is_monitored_by(member, me)) {
                return silent_ms < SILENT_MS;
            }
            if silent_ms >= SILENT_MS - SUSPECT_MS {
                let is_published =
                    member.is_some_and(|m| m.condition() != Condition::Alive);
                if !is_published && watch.is_direct {
                    verdicts.push(Verdict::Silent(watch.node, watch.sequence));
                }
            } else if watch
                .queried
                .is_none_or(|queried| now.since(queried) >= QUERY_INTERVAL_MS)
            {
                watch.queried = Some(now);
                verdicts.push(Verdict::Query(watch.node, watch.sequence));
            }
            true
        });
        verdicts
    }

    /// Moves all deadlines by `ms` milliseconds.
    pub fn postpone(&mut self, now: Millis, ms: u64) {
        for watch in &mut self.watches {
            watch.last_heard = watch.last_heard.after(ms).min(now);
        }
    }

    /// Queues an entry for a push to a node.
    pub fn enqueue(&mut self, id: node::Id, key: &Key) {
        if let Ok(index) = self.find(id)
            && !self.watches[index].queue.contains(key)
        {
            self.watches[index].queue.push(key.clone());
        }
    }

    /// The nodes for which entries are queued.
    pub fn queued(&mut self) -> impl Iterator<Item = &mut Watch> {
        self.watches.iter_mut().filter(|watch| !watch.queue.is_empty())
    }

    /// The watched nodes.
    pub fn ids(&self) -> impl Iterator<Item = node::Id> {
        self.watches.iter().map(|watch| watch.node)
    }

    /// Finds a watch.
    fn get(&self, id: node::Id) -> Option<&Watch> {
        self.find(id).ok().map(|index| &self.watches[index])
    }

    /// Finds a watch or starts one.
    fn entry(&mut self, now: Millis, id: node::Id, address: SocketAddr) -> &mut Watch {
        let index = self.find(id).unwrap_or_else(|index| {
            self.watches.insert(index, Watch::new(now, id, address));
            index
        });
        &mut self.watches[index]
    }

    /// Position of a watch.
    fn find(&self, id: node::Id) -> Result<usize, usize> {
        self.watches.binary_search_by_key(&id, |watch| watch.node)
    }
}

/// A node that this balancer monitors.
#[derive(Debug)]
pub struct Watch {
    /// The node.
    pub node: node::Id,
    /// The address that its heartbeats come from.
    pub address: SocketAddr,
    /// The sequence number of its last heartbeat.
    sequence: u64,
    /// Whether it has sent heartbeats to this balancer. If not, only its other monitors declare
    /// it silent.
    is_direct: bool,
    /// When its last heartbeat arrived, here or at another balancer.
    last_heard: Millis,
    /// Since when heartbeats have arrived without a gap.
    steady_since: Millis,
    /// When its other monitors were last queried since the last heartbeat.
    queried: Option<Millis>,
    /// Entries to push to it, without duplicates.
    pub queue: Vec<Key>,
}

impl Watch {
    /// Starts to watch a node as if a heartbeat had just arrived.
    fn new(now: Millis, node: node::Id, address: SocketAddr) -> Self {
        let queue = Vec::new();
        Self {
            node,
            address,
            sequence: 0,
            is_direct: false,
            last_heard: now,
            steady_since: now,
            queried: None,
            queue,
        }
    }

    /// Records a newer heartbeat.
    fn update(&mut self, now: Millis, sequence: u64) {
        self.sequence = sequence;
        self.last_heard = now;
        self.queried = None;
    }
}

/// What to do about a node whose heartbeats are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Ask its other monitors for a heartbeat newer than this.
    Query(node::Id, u64),
    /// Publish that it has been silent since this heartbeat.
    Silent(node::Id, u64),
}

/// Whether the balancer `me` monitors the member.
fn is_monitored_by(member: &Member, me: node::Id) -> bool {
    member.node.is_some()
        && member.attachment.is_some_and(|attachment| attachment.contains(me))
}
