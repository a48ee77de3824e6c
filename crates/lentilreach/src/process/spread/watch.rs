//! Liveness of the nodes that attach to this balancer.

use std::net::SocketAddr;

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::spread::entry::{Condition, Key};
use crate::process::spread::member::{Member, SILENT_MS, SUSPECT_MS};
use crate::process::spread::state::State;

/// Missing heartbeats in milliseconds after which the node's other balancers are asked.
///
/// Heartbeats come each second, so that this is more than one lost heartbeat.
const QUERY_AFTER_MS: u64 = 2_200;

/// Time between questions in milliseconds.
const QUERY_INTERVAL_MS: u64 = 200;

/// A heartbeat as recent as this, in milliseconds, is evidence for another balancer.
const EVIDENCE_MAX_AGE_MS: u64 = 2_000;

/// The nodes that send their heartbeats here.
#[derive(Debug, Default)]
pub struct List {
    /// Sorted by node, without duplicates.
    watches: Vec<Watch>,
}

impl List {
    /// Notes a heartbeat; returns whether it is newer than those before.
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

    /// Starts to watch a node that names this balancer in its announcement.
    pub fn add(&mut self, now: Millis, id: node::Id, address: SocketAddr) {
        self.entry(now, id, address);
    }

    /// The heartbeat of a node, if it was heard recently.
    pub fn evidence(&self, now: Millis, id: node::Id) -> Option<u64> {
        let watch = self.get(id)?;
        (now.since(watch.last_heard) < EVIDENCE_MAX_AGE_MS && watch.sequence > 0)
            .then_some(watch.sequence)
    }

    /// Notes that another balancer has heard the node.
    pub fn confirm(&mut self, now: Millis, id: node::Id, sequence: u64) {
        if let Ok(index) = self.find(id)
            && sequence > self.watches[index].sequence
        {
            self.watches[index].update(now, sequence);
        }
    }

    /// Milliseconds of steady heartbeats of a node.
    pub fn steady_ms(&self, now: Millis, id: node::Id) -> u64 {
        self.get(id).map_or(0, |watch| now.since(watch.steady_since))
    }

    /// Judges the silence of all nodes.
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

    /// Treats the last `ms` milliseconds as not passed.
    pub fn postpone(&mut self, now: Millis, ms: u64) {
        for watch in &mut self.watches {
            watch.last_heard = watch.last_heard.after(ms).min(now);
        }
    }

    /// Queues an entry for a node.
    pub fn enqueue(&mut self, id: node::Id, key: &Key) {
        if let Ok(index) = self.find(id)
            && !self.watches[index].queue.contains(key)
        {
            self.watches[index].queue.push(key.clone());
        }
    }

    /// The nodes that entries wait for.
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

/// A node that sends its heartbeats here.
#[derive(Debug)]
pub struct Watch {
    /// The node.
    pub node: node::Id,
    /// Where it sends from.
    pub address: SocketAddr,
    /// Its last heartbeat.
    sequence: u64,
    /// Whether it has sent heartbeats here. If not, others have to judge its silence.
    is_direct: bool,
    /// When that was heard, here or elsewhere.
    last_heard: Millis,
    /// Since when heartbeats arrive without a gap.
    steady_since: Millis,
    /// When its other balancers were last asked in the present silence.
    queried: Option<Millis>,
    /// Entries to be sent to it, without duplicates.
    pub queue: Vec<Key>,
}

impl Watch {
    /// Starts to watch a node as if it had just been heard.
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

    /// Notes a newer heartbeat.
    fn update(&mut self, now: Millis, sequence: u64) {
        self.sequence = sequence;
        self.last_heard = now;
        self.queried = None;
    }
}

/// What to do about a silent node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Ask its other balancers for a heartbeat newer than this.
    Query(node::Id, u64),
    /// Publish that it is silent since this heartbeat.
    Silent(node::Id, u64),
}

/// Whether a member attaches to the balancer.
fn is_monitored_by(member: &Member, me: node::Id) -> bool {
    member.node.is_some() && member.attach.is_some_and(|attach| attach.contains(me))
}
