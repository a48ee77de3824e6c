//! What a node does with a message.

use std::net::SocketAddr;

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::name::Name;
use crate::process::spread::core::{Action, Core, MAX_OUTBOX};
use crate::process::spread::digest::{Scope, holds_documents};
use crate::process::spread::entry::{Class, Entry, Pulse, Role, Vital};
use crate::process::spread::hot::Batch;
use crate::process::spread::message::{Ack, Beat, Body, MAX_FIELDS, Message, Part, Pull};

/// Most messages that answer one pull.
const MAX_FILLS: u8 = 8;

impl Core {
    /// Takes a message.
    pub(super) fn receive(
        &mut self,
        now: Millis,
        from: SocketAddr,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let Message { sender, body } = message;
        if sender == self.me.id {
            return;
        }
        self.budget.receive(now, body.size());
        self.heard = now;
        match body {
            Body::Beat(beat) => self.receive_beat(now, from, sender, beat, actions),
            Body::Ack(ack) => self.receive_ack(now, from, sender, ack, actions),
            Body::Push(entries) => self.take_all(now, entries, actions),
            Body::Part(part) => self.receive_part(now, from, part, actions),
            Body::Missing { key, revision, parts } => {
                self.resend(from, &key, revision, &parts);
            }
            Body::Query { node, beat, attach } => {
                self.answer_query(now, from, node, beat, attach, actions);
            }
            Body::Evidence { node, beat } => self.watches.confirm(now, node, beat),
            // What a joining node could answer is of no use.
            Body::Compare { .. } | Body::Pull(_) if !self.ready => {}
            Body::Compare { scope, root, ready } => {
                // A node that serves may lack configuration; one that joins can wait.
                let class = if ready { Class::Configuration } else { Class::Repair };
                self.answer_compare(now, from, class, scope, root, actions);
            }
            Body::Hashes { scope, ready, sums } => {
                self.receive_hashes(now, from, &scope, ready, &sums, actions);
            }
            Body::Pull(pull) => self.answer_pull(now, from, pull, actions),
            Body::Fill { index, turn, ready, last, entries } => {
                self.take_all(now, entries, actions);
                self.repair.filled(now, index, turn, ready, last);
                if ready {
                    self.repair.helped(from);
                }
                self.check_covered(now, actions);
                self.pull(now, actions);
            }
        }
    }

    /// Takes a part of a document.
    fn receive_part(
        &mut self,
        now: Millis,
        from: SocketAddr,
        part: Part,
        actions: &mut Vec<Action>,
    ) {
        // A late part of a known document must not open it anew.
        if self.state.revision(&part.key) >= Some(part.revision) {
            return;
        }
        if let Some(document) = self.parts.add(now, from, part) {
            self.apply(now, Entry::Document(document), actions);
        }
    }

    /// Puts parts that did not arrive at the head of the queue: they complete a document,
    /// while what is queued begins others.
    fn resend(&mut self, to: SocketAddr, key: &Name, revision: u64, missing: &[u16]) {
        let documents = self.state.documents().iter();
        let document = documents.filter(|d| d.key == *key && d.revision == revision);
        let parts = document.filter_map(Part::split).flatten();
        let parts = parts.filter(|part| missing.contains(&part.index));
        for part in parts {
            let entry = (to, part);
            self.outbox.retain(|queued| *queued != entry);
            self.outbox.push_front(entry);
        }
        self.outbox.truncate(MAX_OUTBOX + Part::MISSING);
    }

    /// Answers with a newer heartbeat of a node, and with its attachment if that is newer:
    /// the asking balancer may not be concerned any more.
    fn answer_query(
        &mut self,
        now: Millis,
        to: SocketAddr,
        node: node::Id,
        beat: u64,
        attach: u64,
        actions: &mut Vec<Action>,
    ) {
        if let Some(beat) = self.watches.evidence(now, node).filter(|b| *b > beat) {
            self.send(now, to, Body::Evidence { node, beat }, actions);
        }
        let known = self.state.member(node).and_then(|member| member.attach);
        if let Some(known) = known.filter(|known| known.counter > attach) {
            let body = Body::Push(vec![Entry::Attach(known)]);
            self.send(now, to, body, actions);
        }
    }

    /// Takes entries in.
    fn take_all(&mut self, now: Millis, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        for entry in entries {
            self.apply(now, entry, actions);
        }
    }

    /// Takes a heartbeat.
    fn receive_beat(
        &mut self,
        now: Millis,
        from: SocketAddr,
        sender: node::Id,
        beat: Beat,
        actions: &mut Vec<Action>,
    ) {
        if !self.ready || self.me.role != Role::Balancer {
            return;
        }
        if self.watches.beat(now, sender, from, beat.beat) {
            self.end_silence(now, sender, beat.beat, actions);
        }
        self.take_all(now, beat.entries, actions);
        let node = self.state.member(sender).and_then(|member| member.node.clone());
        let counter = node.as_ref().map_or(0, |node| node.counter);
        let attach = self.state.member(sender).and_then(|member| member.attach);
        let attach = attach.map_or(0, |attach| attach.counter);
        let scope = match &node {
            Some(node) if node.role == Role::Agent => {
                Scope::Leaf(node.organisation.clone())
            }
            _ => Scope::All,
        };
        let root = self.state.digest().root(&scope);
        if beat.ask || (counter, attach) != (beat.counter, beat.attach) {
            let ack = Ack { beat: beat.beat, counter, attach, root };
            self.send(now, from, Body::Ack(ack), actions);
        }
        if scope == Scope::All && node.is_some() && root != beat.root {
            self.compare(now, from, actions);
        }
    }

    /// Publishes that a silent node is heard again, once its heartbeats are steady.
    fn end_silence(
        &mut self,
        now: Millis,
        id: node::Id,
        beat: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.state.member(id) else { return };
        let Some(pulse) = member.pulse.filter(|p| p.vital != Vital::Alive) else {
            return;
        };
        let steady = self.watches.steady_ms(now, id) >= member.hold_ms();
        if beat > pulse.beat && steady {
            let alive = Pulse { beat, vital: Vital::Alive, age_ms: 0, ..pulse };
            self.apply(now, Entry::Pulse(alive), actions);
        }
    }

    /// Takes the response to a heartbeat.
    fn receive_ack(
        &mut self,
        now: Millis,
        from: SocketAddr,
        sender: node::Id,
        ack: Ack,
        actions: &mut Vec<Action>,
    ) {
        self.slots.ack(sender, (ack.counter, ack.attach));
        if ack.counter != 0 && ack.root != self.root() {
            self.compare(now, from, actions);
        }
    }

    /// Asks a peer with a different digest for its sums, if that is due.
    pub(super) fn compare(
        &mut self,
        now: Millis,
        to: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let leaf = self.me.role == Role::Agent;
        if self.repair.is_due(now, leaf) {
            let body = self.comparison();
            if self.send(now, to, body, actions) {
                self.repair.asked(now);
            }
        }
    }

    /// Answers with the sums of this node's digest.
    fn answer_compare(
        &mut self,
        now: Millis,
        to: SocketAddr,
        class: Class,
        scope: Scope,
        root: u32,
        actions: &mut Vec<Action>,
    ) {
        let digest = self.state.digest();
        let same = digest.root(&scope) == root;
        let sums = if same { Vec::new() } else { digest.hashes(&scope) };
        let ready = self.ready;
        self.send_as(now, to, class, Body::Hashes { scope, ready, sums }, actions);
    }

    /// Takes the sums of a peer.
    fn receive_hashes(
        &mut self,
        now: Millis,
        from: SocketAddr,
        scope: &Scope,
        ready: bool,
        sums: &[u32],
        actions: &mut Vec<Action>,
    ) {
        if *scope != self.scope {
            return;
        }
        self.repair.compare(from, &self.state, scope, ready, sums, !self.ready);
        if ready {
            self.repair.helped(from);
        }
        self.check_covered(now, actions);
        self.pull(now, actions);
    }

    /// Becomes ready once the state is complete.
    fn check_covered(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.ready && self.repair.is_covered() {
            self.complete(now, actions);
        }
    }

    /// Answers with the entries of one part of the digest that the peer lacks.
    fn answer_pull(
        &mut self,
        now: Millis,
        to: SocketAddr,
        pull: Pull,
        actions: &mut Vec<Action>,
    ) {
        let part = self.state.parts(now, &pull.scope, &pull.parts, pull.width);
        let Some(index) = pull.parts.first().copied() else { return };
        let lacks = |hash: &u32| part.iter().all(|(own, _)| own != hash);
        let ask_back = pull.back && pull.have.iter().any(lacks);
        let own = part.iter().map(|(hash, _)| *hash).take(Pull::HAVE).collect();
        let missing = part.into_iter().filter(|(hash, _)| !pull.have.contains(hash));
        // A node that joins can wait; one that serves must not lack configuration.
        let class = if pull.back && holds_documents(index) {
            Class::Configuration
        } else {
            Class::Repair
        };
        let missing = missing.map(|(_, entry)| entry);
        self.fill(now, to, class, index, missing, actions);
        if ask_back && self.ready {
            let body = Body::Pull(Pull { back: false, have: own, ..pull });
            self.send(now, to, body, actions);
        }
    }

    /// Sends entries in as many messages as needed and allowed.
    fn fill(
        &mut self,
        now: Millis,
        to: SocketAddr,
        class: Class,
        index: u16,
        entries: impl Iterator<Item = Entry>,
        actions: &mut Vec<Action>,
    ) {
        let mut entries = entries.peekable();
        let ready = self.ready;
        for turn in 0..MAX_FILLS {
            let mut batch = Batch::default();
            while let Some(entry) =
                entries.next_if(|e| batch.add(e.clone(), MAX_FIELDS - 10))
            {
                drop(entry);
            }
            batch.long.iter().for_each(|document| self.send_long(to, document));
            let last = entries.peek().is_none();
            let long = !batch.long.is_empty();
            // Parts may be lost unnoticed, so a long document does not count as received.
            let ready = ready && !long;
            let body = Body::Fill { index, turn, ready, last, entries: batch.entries };
            if !self.send_as(now, to, class, body, actions) || last {
                return;
            }
        }
    }
}
