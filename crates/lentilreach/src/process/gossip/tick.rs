//! Periodic work of a node: heartbeats, pushes, pulls and failure detection.

use std::net::SocketAddr;

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::gossip::core::{Action, Core};
use crate::process::gossip::entry::{
    Class, Condition, Entry, Health, Load, Role, short_id,
};
use crate::process::gossip::member::Status;
use crate::process::gossip::message::{Body, Heartbeat, MAX_FIELDS, OVERHEAD, Pull};
use crate::process::gossip::monitor::Monitor;
use crate::process::gossip::push::Batch;
use crate::process::gossip::watch::Verdict;

/// Time between heartbeats in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;

/// Peers that new entries are pushed to in each tick.
const PUSH_FANOUT: usize = 2;

/// Ticks between pushes that carry load reports only.
const LOAD_TICKS: u64 = 5;

/// Queued load reports above which they are pushed without waiting for [`LOAD_TICKS`].
const LOAD_BATCH: usize = 40;

/// Time in milliseconds after which an unchanged load is reported again.
const LOAD_REFRESH_MS: u64 = 120_000;

/// Time in milliseconds without any message after which a node considers itself cut off.
const CUT_OFF_MS: u64 = 1_500;

/// Time in milliseconds without any message after which a node that considers itself cut off
/// resumes failure detection nevertheless.
const CUT_OFF_MAX_MS: u64 = 5_000;

/// Ticks between repetitions of unacknowledged heartbeats.
const RETRY_TICKS: u64 = 5;

/// Period in ticks of the attempts to reach seed peers.
const SEED_TICKS: u64 = 100;

/// Typical size in bytes of the response to a pull.
const PULL_BYTES: usize = 1_500;

impl Core {
    /// Does the work that is due at a tick.
    pub(super) fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.ticks += 1;
        self.refresh_peers();
        if !self.ready {
            self.join(now, actions);
            self.send_chunks(now, actions);
            self.pull(now, actions);
            self.update_statuses(now, actions);
            return;
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now.after(HEARTBEAT_MS);
            self.heartbeat_round(now, actions);
        } else if self.ticks.is_multiple_of(RETRY_TICKS) {
            self.retry_heartbeats(now, actions);
        }
        self.check_watches(now, actions);
        self.send_chunks(now, actions);
        self.pull(now, actions);
        if self.node.role == Role::Balancer {
            self.push_to_agents(now, actions);
            self.push(now, actions);
        }
        self.update_statuses(now, actions);
    }

    /// Recomputes the status of all members and reports changes.
    fn update_statuses(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for id in self.state.update_statuses(now, self.node.id) {
            let status = self.status_entry(now, id);
            actions.extend(status.map(Action::Changed));
        }
    }

    /// Requests the next buckets that differ from those of a peer.
    pub(super) fn pull(&mut self, now: Millis, actions: &mut Vec<Action>) {
        // Missing configuration is requested regardless of the pull allowance.
        while (self.ready && self.repair.is_document_pending())
            || self.budget.pull_allowance(now, !self.ready) >= PULL_BYTES
        {
            // A joining node spreads its pulls over several peers, so that none carries the
            // whole load.
            let joining = !self.ready;
            let other = if joining { self.random_join_peer() } else { None };
            let next = self.repair.next_request(now, joining, other, &mut self.rng);
            let Some((peer, bucket_count, buckets)) = next else { return };
            let scope = self.scope.clone();
            let own = self.state.entries_in(now, &scope, &buckets, bucket_count);
            // Documents that are arriving in chunks must not be sent again.
            let arriving = self.reassembly.fingerprints();
            let own = own.into_iter().map(|(hash, _)| hash);
            let known = arriving.chain(own).take(Pull::MAX_KNOWN).collect();
            let pull =
                Pull { scope, bucket_count, buckets, allow_reverse: self.ready, known };
            self.send(now, peer, Body::Pull(pull), actions);
        }
    }

    /// The message that asks a peer for its bucket hashes.
    pub(super) fn comparison(&self) -> Body {
        let (scope, root) = (self.scope.clone(), self.root());
        Body::Compare { scope, root, ready: self.ready }
    }

    /// Asks a peer for its bucket hashes while this node lacks the full state.
    fn join(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.repair.is_due_to_join(now) {
            self.repair.note_compare(now);
            let seed = self.random_seed();
            if let Some(to) = self.random_join_peer().or(seed) {
                let body = self.comparison();
                self.send(now, to, body, actions);
            }
        }
    }

    /// Does the work that is due with each heartbeat, once a second.
    fn heartbeat_round(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let me = self.node.clone();
        if self.monitors.review(now, &me, &self.state, &mut self.rng) {
            self.attachment.version += 1;
            self.attachment.monitors = self.monitors.announced();
            self.apply(now, Entry::Attachment(self.attachment), actions);
        }
        self.send_heartbeats(now, actions);
        self.state.update_orphans(now, self.node.id);
        for id in self.state.expire(now, self.node.id) {
            let entry = self.status_entry(now, id);
            actions.extend(entry.map(Action::Changed));
        }
        self.probe_lost_peers(now, actions);
    }

    /// Sends a heartbeat to each monitor.
    fn send_heartbeats(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.sequence += 1;
        let mut load = self.due_load(now);
        for (index, monitor) in self.monitors.as_slice().to_vec().into_iter().enumerate()
        {
            // The load goes to the primary monitor only, which forwards it.
            let wants_ack = monitor.wants_ack(self.sequence + index as u64);
            self.send_heartbeat(now, monitor, wants_ack, load.take(), actions);
        }
    }

    /// Repeats heartbeats that were not acknowledged.
    fn retry_heartbeats(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for monitor in self.monitors.as_slice().to_vec() {
            if monitor.is_overdue(now) {
                self.send_heartbeat(now, monitor, true, None, actions);
            }
        }
    }

    /// Sends a heartbeat to one monitor.
    fn send_heartbeat(
        &mut self,
        now: Millis,
        monitor: Monitor,
        wants_ack: bool,
        load: Option<Load>,
        actions: &mut Vec<Action>,
    ) {
        let mut entries = Vec::new();
        if monitor.acked.0 != self.node.version {
            entries.push(Entry::Node(self.node.clone()));
        }
        if monitor.acked.1 != self.attachment.version {
            entries.push(Entry::Attachment(self.attachment));
        }
        entries.extend(load.map(Entry::Load));
        if wants_ack {
            self.monitors.note_ack_request(now, monitor.id);
        }
        let heartbeat = Heartbeat {
            sequence: self.sequence,
            node_version: self.node.version,
            attachment_version: self.attachment.version,
            wants_ack,
            root: self.root(),
            entries,
        };
        self.send(now, monitor.address, Body::Heartbeat(heartbeat), actions);
    }

    /// Takes the load report that is due, if any.
    fn due_load(&mut self, now: Millis) -> Option<Load> {
        let load = self.load?;
        let version = match &self.reported {
            None => 1,
            Some((last, at)) => {
                let due = load.is_report_due(last) || now.since(*at) >= LOAD_REFRESH_MS;
                due.then_some(last.version + 1)?
            }
        };
        let load = Load { node: self.node.id, version, ..load };
        self.reported = Some((load, now));
        Some(load)
    }

    /// Tries to reach silent balancers and seed peers, so that a healed partition is noticed.
    fn probe_lost_peers(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let compare = self.comparison();
        if self.node.role == Role::Balancer
            && let Some(to) = self.random_silent()
        {
            self.send(now, to, compare.clone(), actions);
        }
        let use_seed = self.peers.is_empty() || self.ticks % SEED_TICKS < 10;
        if use_seed && let Some(to) = self.random_seed() {
            self.send(now, to, compare, actions);
        }
    }

    /// Runs failure detection for the nodes that this balancer monitors.
    fn check_watches(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let silent_ms = now.since(self.last_received);
        if !self.peers.is_empty() && (CUT_OFF_MS..CUT_OFF_MAX_MS).contains(&silent_ms) {
            // It is more likely that this node is cut off than that all others failed.
            self.watches.postpone(now, super::core::TICK_MS);
            return;
        }
        for verdict in self.watches.review(now, &self.state, self.node.id) {
            match verdict {
                Verdict::Query(node, sequence) => {
                    self.query_monitors(now, node, sequence, actions)
                }
                Verdict::Silent(node, sequence) => {
                    self.publish_silence(now, node, sequence, actions)
                }
            }
        }
    }

    /// Asks the other monitors of a node for a newer heartbeat.
    fn query_monitors(
        &mut self,
        now: Millis,
        id: node::Id,
        sequence: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(attachment) = self.state.member(id).and_then(|m| m.attachment) else {
            return;
        };
        let own = short_id(self.node.id);
        for monitor in attachment.monitors.into_iter().flatten().filter(|m| *m != own) {
            if let Some(to) =
                self.state.find_monitor(monitor).map(|node| node.gossip_address)
            {
                let attachment_version = attachment.version;
                self.send(
                    now,
                    to,
                    Body::Query { node: id, sequence, attachment_version },
                    actions,
                );
            }
        }
    }

    /// Publishes that a node is silent, unless a later heartbeat is known.
    fn publish_silence(
        &mut self,
        now: Millis,
        id: node::Id,
        sequence: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.state.member(id) else { return };
        let Some(node) = &member.node else { return };
        if sequence < member.sequence() {
            // Another balancer received a later heartbeat.
            return;
        }
        let role = node.role;
        let health =
            Health { node: id, role, sequence, condition: Condition::Silent, age_ms: 0 };
        self.apply(now, Entry::Health(health), actions);
    }

    /// Pushes new entries to the agents whose primary monitor is this balancer.
    fn push_to_agents(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut ready: Vec<(SocketAddr, Batch)> = Vec::new();
        let state = &self.state;
        for watch in self.watches.queued() {
            let mut batch = Batch::default();
            watch.queue.retain(|key| match state.get(now, key) {
                Some(entry) => !batch.add(entry, MAX_FIELDS - 2),
                None => false,
            });
            ready.push((watch.address, batch));
        }
        for (to, batch) in ready {
            self.send_batch(now, to, batch, actions);
        }
    }

    /// Pushes new entries to random balancers.
    fn push(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for round in 0..PUSH_FANOUT {
            let is_batch = self.pushes.loads() >= LOAD_BATCH;
            let loads = round == 0
                && self.pushes.loads() > 0
                && (is_batch || self.ticks.is_multiple_of(LOAD_TICKS));
            if self.pushes.urgent() == 0 && !loads {
                return;
            }
            let Some(to) = self.next_peer() else { return };
            let space = self.push_space(now, loads);
            let batch = self.pushes.batch(now, &self.state, space);
            self.send_batch(now, to, batch, actions);
        }
    }

    /// Bytes of entries that a push may carry now, for each traffic class.
    fn push_space(&mut self, now: Millis, loads: bool) -> [usize; 4] {
        let classes = [Class::Configuration, Class::Liveness, Class::Repair, Class::Load];
        classes.map(|class| {
            let left = self.budget.left(now, class).saturating_sub(OVERHEAD + 2);
            let is_due = class != Class::Load || loads;
            if is_due { left.min(MAX_FIELDS - 2) } else { 0 }
        })
    }

    /// Asks for missing chunks, and sends queued chunks as far as the budget allows.
    fn send_chunks(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for (to, request) in self.reassembly.missing(now) {
            self.send(now, to, request, actions);
        }
        while let Some((to, chunk)) = self.outbox.pop_front() {
            let body = Body::Chunk(chunk);
            if self.budget.left(now, body.class()) < body.size() {
                if let Body::Chunk(chunk) = body {
                    self.outbox.push_front((to, chunk));
                }
                return;
            }
            self.send(now, to, body, actions);
        }
    }

    /// Sends a batch of entries and queues its long document.
    fn send_batch(
        &mut self,
        now: Millis,
        to: SocketAddr,
        batch: Batch,
        actions: &mut Vec<Action>,
    ) {
        batch.long.iter().for_each(|document| self.queue_chunks(to, document));
        if !batch.entries.is_empty() {
            self.send(now, to, Body::Push(batch.entries), actions);
        }
    }

    /// Rebuilds the list of live balancers if the state changed.
    fn refresh_peers(&mut self) {
        if self.peers_revision == self.state.changes() {
            return;
        }
        self.peers_revision = self.state.changes();
        let me = self.node.id;
        let alive = self
            .state
            .members()
            .iter()
            .filter(|member| member.id != me && member.status == Status::Alive);
        let nodes = alive.filter_map(|member| member.node.as_ref());
        let balancers = nodes.filter(|node| node.role == Role::Balancer);
        self.peers.clear();
        self.peers.extend(balancers.map(|node| node.gossip_address));
    }

    /// The balancer to push to next.
    ///
    /// All balancers take turns in random order, so that the pushes of an entry go to different
    /// balancers and reach all balancers of a small fleet.
    fn next_peer(&mut self) -> Option<SocketAddr> {
        while let Some(peer) = self.order.pop() {
            if self.peers.contains(&peer) {
                return Some(peer);
            }
        }
        self.order.clone_from(&self.peers);
        self.rng.shuffle(&mut self.order);
        self.order.pop()
    }

    /// A random live balancer.
    pub(super) fn random_peer(&mut self) -> Option<SocketAddr> {
        choose(&self.peers, &mut self.rng)
    }

    /// A balancer for a joining node to pull from.
    fn random_join_peer(&mut self) -> Option<SocketAddr> {
        let other = self.random_peer();
        self.repair.choose_peer(other, &mut self.rng)
    }

    /// A random seed peer.
    fn random_seed(&mut self) -> Option<SocketAddr> {
        choose(&self.seeds, &mut self.rng)
    }

    /// A random balancer that is silent or unreachable.
    fn random_silent(&mut self) -> Option<SocketAddr> {
        let me = self.node.id;
        let silent = self
            .state
            .members()
            .iter()
            .filter(|member| member.id != me && member.status != Status::Alive);
        let nodes = silent.filter_map(|member| member.node.as_ref());
        let nodes = nodes.filter(|node| node.role == Role::Balancer);
        let addresses: Vec<SocketAddr> = nodes.map(|node| node.gossip_address).collect();
        choose(&addresses, &mut self.rng)
    }

    /// The health record of a member, or one that expresses its derived status.
    fn status_entry(&self, now: Millis, id: node::Id) -> Option<Entry> {
        let member = self.state.member(id)?;
        if let Some(health) = member.aged_health(now) {
            return Some(Entry::Health(health));
        }
        let role = member.node.as_ref()?.role;
        let condition = match member.status {
            Status::Alive => Condition::Alive,
            Status::Silent | Status::Unreachable => Condition::Silent,
        };
        Some(Entry::Health(Health { node: id, role, sequence: 0, condition, age_ms: 0 }))
    }
}

/// A random element; `None` if the list is empty.
fn choose(list: &[SocketAddr], rng: &mut fastrand::Rng) -> Option<SocketAddr> {
    (!list.is_empty()).then(|| list[rng.usize(..list.len())])
}
