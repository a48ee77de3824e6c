//! What a node does by itself as time passes: heartbeats, pushes, judgements of silence.

use std::net::SocketAddr;

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::spread::attach::Slot;
use crate::process::spread::core::{Action, Core};
use crate::process::spread::entry::{Class, Entry, Load, Pulse, Role, Vital, short};
use crate::process::spread::hot::Batch;
use crate::process::spread::member::Status;
use crate::process::spread::message::{Beat, Body, MAX_FIELDS, OVERHEAD, Pull};
use crate::process::spread::watch::Verdict;

/// Time between heartbeats in milliseconds.
const BEAT_MS: u64 = 1_000;

/// Peers that new entries are pushed to in each tick.
const FANOUT: usize = 2;

/// Ticks between pushes that carry loads only.
const LOAD_TICKS: u64 = 5;

/// Loads that are worth a message of their own.
const MANY_LOADS: usize = 40;

/// Time in milliseconds after which a load report is repeated.
const LOAD_MS: u64 = 120_000;

/// Time in milliseconds without any message after which a node takes itself for cut off.
const CUT_OFF_MS: u64 = 1_500;

/// Time in milliseconds until a node that seems cut off judges others nevertheless.
const JUDGE_MS: u64 = 5_000;

/// Ticks between repetitions of heartbeats that were not responded to.
const REPEAT_TICKS: u64 = 5;

/// Ticks between attempts to reach peers from the settings.
const SEED_TICKS: u64 = 100;

/// Bytes that a pull typically brings.
const PULL_BYTES: usize = 1_500;

impl Core {
    /// Does what is due.
    pub(super) fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.ticks += 1;
        self.refresh_peers();
        if !self.ready {
            self.join(now, actions);
            self.send_parts(now, actions);
            self.pull(now, actions);
            self.review(now, actions);
            return;
        }
        if now >= self.next_beat {
            self.next_beat = now.after(BEAT_MS);
            self.second(now, actions);
        } else if self.ticks.is_multiple_of(REPEAT_TICKS) {
            self.repeat(now, actions);
        }
        self.judge(now, actions);
        self.send_parts(now, actions);
        self.pull(now, actions);
        if self.me.role == Role::Balancer {
            self.push_to_leaves(now, actions);
            self.push(now, actions);
        }
        self.review(now, actions);
    }

    /// Brings the status of all members up to date.
    fn review(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for id in self.state.review(now, self.me.id) {
            let status = self.status_entry(now, id);
            actions.extend(status.map(Action::Changed));
        }
    }

    /// Asks for the next parts of a digest exchange.
    pub(super) fn pull(&mut self, now: Millis, actions: &mut Vec<Action>) {
        // What a node lacks of the configuration does not wait for the budget of others' news.
        while (self.ready && self.repair.is_document_next())
            || self.budget.pullable(now, !self.ready) >= PULL_BYTES
        {
            // A joining node spreads its questions, so that no peer carries the whole load.
            let joining = !self.ready;
            let other = if joining { self.any_helper() } else { None };
            let next = self.repair.next(now, joining, other, &mut self.rng);
            let Some((peer, width, parts)) = next else { return };
            let scope = self.scope.clone();
            let own = self.state.parts(now, &scope, &parts, width);
            // What is arriving in parts must not be sent anew.
            let arriving = self.parts.fingerprints();
            let own = own.into_iter().map(|(hash, _)| hash);
            let have = arriving.chain(own).take(Pull::HAVE).collect();
            let pull = Pull { scope, width, parts, back: self.ready, have };
            self.send(now, peer, Body::Pull(pull), actions);
        }
    }

    /// Asks for the sums of a peer.
    pub(super) fn comparison(&self) -> Body {
        let (scope, root) = (self.scope.clone(), self.root());
        Body::Compare { scope, root, ready: self.ready }
    }

    /// Asks a peer for the full state.
    fn join(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.repair.is_due_to_join(now) {
            self.repair.asked(now);
            let seed = self.any_seed();
            if let Some(to) = self.any_helper().or(seed) {
                let body = self.comparison();
                self.send(now, to, body, actions);
            }
        }
    }

    /// Does what is due each second.
    fn second(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let me = self.me.clone();
        if self.slots.review(now, &me, &self.state, &mut self.rng) {
            self.attach.counter += 1;
            self.attach.monitors = self.slots.monitors();
            self.apply(now, Entry::Attach(self.attach), actions);
        }
        self.beat(now, actions);
        self.state.note_orphans(now, self.me.id);
        for id in self.state.expire(now, self.me.id) {
            let entry = self.status_entry(now, id);
            actions.extend(entry.map(Action::Changed));
        }
        self.reach_out(now, actions);
    }

    /// Sends heartbeats.
    fn beat(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.beat += 1;
        let mut load = self.next_load(now);
        for (index, slot) in self.slots.slots().to_vec().into_iter().enumerate() {
            // The first balancer passes loads on; more would only repeat them.
            let ask = slot.asks(self.beat + index as u64);
            self.beat_to(now, slot, ask, load.take(), actions);
        }
    }

    /// Repeats heartbeats that were not responded to.
    fn repeat(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for slot in self.slots.slots().to_vec() {
            if slot.is_overdue(now) {
                self.beat_to(now, slot, true, None, actions);
            }
        }
    }

    /// Sends a heartbeat to one balancer.
    fn beat_to(
        &mut self,
        now: Millis,
        slot: Slot,
        ask: bool,
        load: Option<Load>,
        actions: &mut Vec<Action>,
    ) {
        let mut entries = Vec::new();
        if slot.known.0 != self.me.counter {
            entries.push(Entry::Node(self.me.clone()));
        }
        if slot.known.1 != self.attach.counter {
            entries.push(Entry::Attach(self.attach));
        }
        entries.extend(load.map(Entry::Load));
        if ask {
            self.slots.ask(now, slot.id);
        }
        let beat = Beat {
            beat: self.beat,
            counter: self.me.counter,
            attach: self.attach.counter,
            ask,
            root: self.root(),
            entries,
        };
        self.send(now, slot.address, Body::Beat(beat), actions);
    }

    /// The load report that is due, if any.
    fn next_load(&mut self, now: Millis) -> Option<Load> {
        let load = self.load?;
        let counter = match &self.reported {
            None => 1,
            Some((last, at)) => {
                let due = load.differs(last) || now.since(*at) >= LOAD_MS;
                due.then_some(last.counter + 1)?
            }
        };
        let load = Load { node: self.me.id, counter, ..load };
        self.reported = Some((load, now));
        Some(load)
    }

    /// Tries to reach nodes that may be cut off, and peers from the settings.
    fn reach_out(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let compare = self.comparison();
        if self.me.role == Role::Balancer
            && let Some(to) = self.any_silent()
        {
            self.send(now, to, compare.clone(), actions);
        }
        let lonely = self.peers.is_empty() || self.ticks % SEED_TICKS < 10;
        if lonely && let Some(to) = self.any_seed() {
            self.send(now, to, compare, actions);
        }
    }

    /// Judges the nodes that attach here.
    fn judge(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let quiet = now.since(self.heard);
        if !self.peers.is_empty() && (CUT_OFF_MS..JUDGE_MS).contains(&quiet) {
            // More likely this node is cut off than that all others are dead.
            self.watches.shift(now, super::core::TICK_MS);
            return;
        }
        for verdict in self.watches.review(now, &self.state, self.me.id) {
            match verdict {
                Verdict::Ask(node, beat) => self.ask(now, node, beat, actions),
                Verdict::Silent(node, beat) => self.silence(now, node, beat, actions),
            }
        }
    }

    /// Asks the other balancers of a node whether they hear it.
    fn ask(&mut self, now: Millis, id: node::Id, beat: u64, actions: &mut Vec<Action>) {
        let Some(attach) = self.state.member(id).and_then(|m| m.attach) else { return };
        let own = short(self.me.id);
        for monitor in attach.monitors.into_iter().flatten().filter(|m| *m != own) {
            if let Some(to) = self.state.monitor(monitor).map(|node| node.exchange) {
                let attach = attach.counter;
                self.send(now, to, Body::Query { node: id, beat, attach }, actions);
            }
        }
    }

    /// Publishes that a node is silent.
    fn silence(
        &mut self,
        now: Millis,
        id: node::Id,
        beat: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.state.member(id) else { return };
        let Some(node) = &member.node else { return };
        if beat < member.beat() {
            // Others have heard it later.
            return;
        }
        let role = node.role;
        let pulse = Pulse { node: id, role, beat, vital: Vital::Silent, age_ms: 0 };
        self.apply(now, Entry::Pulse(pulse), actions);
    }

    /// Pushes new entries to the agents that this balancer serves.
    fn push_to_leaves(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut ready: Vec<(SocketAddr, Batch)> = Vec::new();
        let state = &self.state;
        for watch in self.watches.waiting() {
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
        for round in 0..FANOUT {
            let many = self.hot.loads() >= MANY_LOADS;
            let loads = round == 0
                && self.hot.loads() > 0
                && (many || self.ticks.is_multiple_of(LOAD_TICKS));
            if self.hot.urgent() == 0 && !loads {
                return;
            }
            let Some(to) = self.next_peer() else { return };
            let space = self.spaces(now, loads);
            let batch = self.hot.batch(now, &self.state, space);
            self.send_batch(now, to, batch, actions);
        }
    }

    /// Bytes of entries of each class that a push may carry now.
    fn spaces(&mut self, now: Millis, loads: bool) -> [usize; 4] {
        let classes = [Class::Configuration, Class::Liveness, Class::Repair, Class::Load];
        classes.map(|class| {
            let left = self.budget.left(now, class).saturating_sub(OVERHEAD + 2);
            let is_due = class != Class::Load || loads;
            if is_due { left.min(MAX_FIELDS - 2) } else { 0 }
        })
    }

    /// Sends queued parts of documents as far as the budget allows.
    fn send_parts(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for (to, question) in self.parts.missing(now) {
            self.send(now, to, question, actions);
        }
        while let Some((to, part)) = self.outbox.pop_front() {
            let body = Body::Part(part);
            if self.budget.left(now, body.class()) < body.size() {
                if let Body::Part(part) = body {
                    self.outbox.push_front((to, part));
                }
                return;
            }
            self.send(now, to, body, actions);
        }
    }

    /// Sends a batch of entries.
    fn send_batch(
        &mut self,
        now: Millis,
        to: SocketAddr,
        batch: Batch,
        actions: &mut Vec<Action>,
    ) {
        batch.long.iter().for_each(|document| self.send_long(to, document));
        if !batch.entries.is_empty() {
            self.send(now, to, Body::Push(batch.entries), actions);
        }
    }

    /// Lists the balancers that are alive.
    fn refresh_peers(&mut self) {
        if self.listed == self.state.changes() {
            return;
        }
        self.listed = self.state.changes();
        let me = self.me.id;
        let alive = self
            .state
            .members()
            .iter()
            .filter(|member| member.id != me && member.status == Status::Alive);
        let nodes = alive.filter_map(|member| member.node.as_ref());
        let balancers = nodes.filter(|node| node.role == Role::Balancer);
        self.peers.clear();
        self.peers.extend(balancers.map(|node| node.exchange));
    }

    /// The balancer to push to next.
    ///
    /// All have their turn in random order, so that the pushes of an entry go to different
    /// balancers and reach all of a small fleet.
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

    /// A random balancer that is alive.
    pub(super) fn any_peer(&mut self) -> Option<SocketAddr> {
        pick(&self.peers, &mut self.rng)
    }

    /// A balancer for a joining node to ask.
    fn any_helper(&mut self) -> Option<SocketAddr> {
        let other = self.any_peer();
        self.repair.helper(other, &mut self.rng)
    }

    /// A random peer from the settings.
    fn any_seed(&mut self) -> Option<SocketAddr> {
        pick(&self.seeds, &mut self.rng)
    }

    /// A random balancer that is not heard from.
    fn any_silent(&mut self) -> Option<SocketAddr> {
        let me = self.me.id;
        let silent = self
            .state
            .members()
            .iter()
            .filter(|member| member.id != me && member.status != Status::Alive);
        let nodes = silent.filter_map(|member| member.node.as_ref());
        let nodes = nodes.filter(|node| node.role == Role::Balancer);
        let addresses: Vec<SocketAddr> = nodes.map(|node| node.exchange).collect();
        pick(&addresses, &mut self.rng)
    }

    /// The pulse of a member, or one that stands for its derived status.
    fn status_entry(&self, now: Millis, id: node::Id) -> Option<Entry> {
        let member = self.state.member(id)?;
        if let Some(pulse) = member.aged(now) {
            return Some(Entry::Pulse(pulse));
        }
        let role = member.node.as_ref()?.role;
        let vital = match member.status {
            Status::Alive => Vital::Alive,
            Status::Silent | Status::Unreachable => Vital::Silent,
        };
        Some(Entry::Pulse(Pulse { node: id, role, beat: 0, vital, age_ms: 0 }))
    }
}

/// A random element.
fn pick(list: &[SocketAddr], rng: &mut fastrand::Rng) -> Option<SocketAddr> {
    (!list.is_empty()).then(|| list[rng.usize(..list.len())])
}
