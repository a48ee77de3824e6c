//! Handling of received messages.

use std::net::SocketAddr;

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::gossip::core::{Action, Core, MAX_OUTBOX};
use crate::process::gossip::digest::{Scope, holds_documents};
use crate::process::gossip::entry::{Class, Condition, Entry, Health, Role};
use crate::process::gossip::message::{
    Ack, Body, Chunk, Heartbeat, MAX_FIELDS, Message, Pull,
};
use crate::process::gossip::push::Batch;
use crate::process::name::Name;

/// Most messages sent in response to one pull.
const MAX_FILL_MESSAGES: u8 = 8;

impl Core {
    /// Handles a message.
    pub(super) fn receive(
        &mut self,
        now: Millis,
        from: SocketAddr,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let Message { sender, body } = message;
        if sender == self.node.id {
            return;
        }
        self.budget.receive(now, body.size());
        self.last_received = now;
        match body {
            Body::Heartbeat(heartbeat) => {
                self.receive_heartbeat(now, from, sender, heartbeat, actions)
            }
            Body::Ack(ack) => self.receive_ack(now, from, sender, ack, actions),
            Body::Push(entries) => self.apply_all(now, entries, actions),
            Body::Chunk(chunk) => self.receive_chunk(now, from, chunk, actions),
            Body::Missing { key, revision, chunks } => {
                self.resend(from, &key, revision, &chunks);
            }
            Body::Query { node, sequence, attachment_version } => {
                self.answer_query(now, from, node, sequence, attachment_version, actions);
            }
            Body::Evidence { node, sequence } => {
                self.watches.note_evidence(now, node, sequence)
            }
            // The state of a joining node is incomplete, so it does not answer.
            Body::Compare { .. } | Body::Pull(_) if !self.ready => {}
            Body::Compare { scope, root, ready } => {
                // A serving node may lack configuration; a joining node can wait.
                let class = if ready { Class::Configuration } else { Class::Repair };
                self.answer_compare(now, from, class, scope, root, actions);
            }
            Body::Hashes { scope, ready, sums } => {
                self.receive_hashes(now, from, &scope, ready, &sums, actions);
            }
            Body::Pull(pull) => self.answer_pull(now, from, pull, actions),
            Body::Fill { bucket, number, ready, last, entries } => {
                self.apply_all(now, entries, actions);
                self.repair.note_fill(now, bucket, number, ready, last);
                if ready {
                    self.repair.note_ready_peer(from);
                }
                self.check_complete(now, actions);
                self.pull(now, actions);
            }
        }
    }

    /// Handles a chunk of a document.
    fn receive_chunk(
        &mut self,
        now: Millis,
        from: SocketAddr,
        chunk: Chunk,
        actions: &mut Vec<Action>,
    ) {
        // A late chunk of a known document must not start its reassembly again.
        if self.state.revision(&chunk.key) >= Some(chunk.revision) {
            return;
        }
        if let Some(document) = self.reassembly.add(now, from, chunk) {
            self.apply(now, Entry::Document(document), actions);
        }
    }

    /// Queues missing chunks at the front: they complete a document, while the other queued
    /// chunks belong to documents that the receiver has not begun.
    fn resend(&mut self, to: SocketAddr, key: &Name, revision: u64, missing: &[u16]) {
        let documents = self.state.documents().iter();
        let document = documents.filter(|d| d.key == *key && d.revision == revision);
        let chunks = document.filter_map(Chunk::split).flatten();
        let chunks = chunks.filter(|chunk| missing.contains(&chunk.index));
        for chunk in chunks {
            let queued_chunk = (to, chunk);
            self.outbox.retain(|queued| *queued != queued_chunk);
            self.outbox.push_front(queued_chunk);
        }
        self.outbox.truncate(MAX_OUTBOX + Chunk::MAX_MISSING);
    }

    /// Answers with a newer heartbeat of a node, and with its attachment if that is newer:
    /// the sender may no longer be a monitor of the node.
    fn answer_query(
        &mut self,
        now: Millis,
        to: SocketAddr,
        node: node::Id,
        sequence: u64,
        attachment_version: u64,
        actions: &mut Vec<Action>,
    ) {
        if let Some(sequence) =
            self.watches.evidence(now, node).filter(|newest| *newest > sequence)
        {
            self.send(now, to, Body::Evidence { node, sequence }, actions);
        }
        let known = self.state.member(node).and_then(|member| member.attachment);
        if let Some(known) = known.filter(|known| known.version > attachment_version) {
            let body = Body::Push(vec![Entry::Attachment(known)]);
            self.send(now, to, body, actions);
        }
    }

    /// Applies all entries.
    fn apply_all(&mut self, now: Millis, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        for entry in entries {
            self.apply(now, entry, actions);
        }
    }

    /// Handles a heartbeat.
    fn receive_heartbeat(
        &mut self,
        now: Millis,
        from: SocketAddr,
        sender: node::Id,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        if !self.ready || self.node.role != Role::Balancer {
            return;
        }
        if self.watches.note_heartbeat(now, sender, from, heartbeat.sequence) {
            self.end_silence(now, sender, heartbeat.sequence, actions);
        }
        self.apply_all(now, heartbeat.entries, actions);
        let node = self.state.member(sender).and_then(|member| member.node.clone());
        let node_version = node.as_ref().map_or(0, |node| node.version);
        let attachment = self.state.member(sender).and_then(|member| member.attachment);
        let attachment_version = attachment.map_or(0, |attachment| attachment.version);
        let scope = match &node {
            Some(node) if node.role == Role::Agent => {
                Scope::Leaf(node.organisation.clone())
            }
            _ => Scope::All,
        };
        let root = self.state.digest().root(&scope);
        if heartbeat.wants_ack
            || (node_version, attachment_version)
                != (heartbeat.node_version, heartbeat.attachment_version)
        {
            let ack = Ack {
                sequence: heartbeat.sequence,
                node_version,
                attachment_version,
                root,
            };
            self.send(now, from, Body::Ack(ack), actions);
        }
        if scope == Scope::All && node.is_some() && root != heartbeat.root {
            self.compare(now, from, actions);
        }
    }

    /// Publishes that a silent node is alive again, once its heartbeats are steady.
    fn end_silence(
        &mut self,
        now: Millis,
        id: node::Id,
        sequence: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.state.member(id) else { return };
        let Some(health) =
            member.health.filter(|health| health.condition != Condition::Alive)
        else {
            return;
        };
        let steady = self.watches.steady_ms(now, id) >= member.recovery_ms();
        if sequence > health.sequence && steady {
            let alive =
                Health { sequence, condition: Condition::Alive, age_ms: 0, ..health };
            self.apply(now, Entry::Health(alive), actions);
        }
    }

    /// Handles the acknowledgement of a heartbeat.
    fn receive_ack(
        &mut self,
        now: Millis,
        from: SocketAddr,
        sender: node::Id,
        ack: Ack,
        actions: &mut Vec<Action>,
    ) {
        self.monitors.ack(sender, (ack.node_version, ack.attachment_version));
        if ack.node_version != 0 && ack.root != self.root() {
            self.compare(now, from, actions);
        }
    }

    /// Asks a peer with a different digest for its bucket hashes, if a comparison is due.
    pub(super) fn compare(
        &mut self,
        now: Millis,
        to: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let leaf = self.node.role == Role::Agent;
        if self.repair.is_due(now, leaf) {
            let body = self.comparison();
            if self.send(now, to, body, actions) {
                self.repair.note_compare(now);
            }
        }
    }

    /// Answers with the bucket hashes of this node's digest.
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
        let sums = if same { Vec::new() } else { digest.bucket_hashes(&scope) };
        let ready = self.ready;
        self.send_with_class(
            now,
            to,
            class,
            Body::Hashes { scope, ready, sums },
            actions,
        );
    }

    /// Handles the bucket hashes of a peer.
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
            self.repair.note_ready_peer(from);
        }
        self.check_complete(now, actions);
        self.pull(now, actions);
    }

    /// Becomes ready once every bucket was synchronized with a ready node.
    fn check_complete(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.ready && self.repair.is_complete() {
            self.complete(now, actions);
        }
    }

    /// Answers a pull with the entries that the peer lacks.
    fn answer_pull(
        &mut self,
        now: Millis,
        to: SocketAddr,
        pull: Pull,
        actions: &mut Vec<Action>,
    ) {
        let entries =
            self.state.entries_in(now, &pull.scope, &pull.buckets, pull.bucket_count);
        let Some(bucket) = pull.buckets.first().copied() else { return };
        let lacks = |hash: &u32| entries.iter().all(|(own, _)| own != hash);
        let pull_back = pull.allow_reverse && pull.known.iter().any(lacks);
        let own = entries.iter().map(|(hash, _)| *hash).take(Pull::MAX_KNOWN).collect();
        let missing = entries.into_iter().filter(|(hash, _)| !pull.known.contains(hash));
        // A joining node can wait; a serving node must not lack configuration.
        let class = if pull.allow_reverse && holds_documents(bucket) {
            Class::Configuration
        } else {
            Class::Repair
        };
        let missing = missing.map(|(_, entry)| entry);
        self.send_fill(now, to, class, bucket, missing, actions);
        if pull_back && self.ready {
            let body = Body::Pull(Pull { allow_reverse: false, known: own, ..pull });
            self.send(now, to, body, actions);
        }
    }

    /// Sends entries in as many messages as needed, within the budget and
    /// [`MAX_FILL_MESSAGES`].
    fn send_fill(
        &mut self,
        now: Millis,
        to: SocketAddr,
        class: Class,
        bucket: u16,
        entries: impl Iterator<Item = Entry>,
        actions: &mut Vec<Action>,
    ) {
        let mut entries = entries.peekable();
        let ready = self.ready;
        for number in 0..MAX_FILL_MESSAGES {
            let mut batch = Batch::default();
            while let Some(entry) =
                entries.next_if(|e| batch.add(e.clone(), MAX_FIELDS - 10))
            {
                drop(entry);
            }
            batch.long.iter().for_each(|document| self.queue_chunks(to, document));
            let last = entries.peek().is_none();
            let long = !batch.long.is_empty();
            // Lost chunks go unnoticed, so a response with a long document does not count as
            // complete.
            let ready = ready && !long;
            let body = Body::Fill { bucket, number, ready, last, entries: batch.entries };
            if !self.send_with_class(now, to, class, body, actions) || last {
                return;
            }
        }
    }
}
