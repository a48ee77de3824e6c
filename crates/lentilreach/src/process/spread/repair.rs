//! Paces the digest exchange and tells when a new node has the full state.

use std::net::SocketAddr;

use fastrand::Rng;

use crate::process::clock::Millis;
use crate::process::spread::digest::{BUCKETS, Scope, holds_documents};
use crate::process::spread::message::Pull;
use crate::process::spread::state::State;

/// Parts that are asked for at the same time.
const MAX_REQUESTS: usize = 4;

/// The same for a joining node, which asks many peers, two parts each.
const MAX_JOIN_REQUESTS: usize = 16;

/// Ready nodes that a joining node remembers.
const MAX_READY_PEERS: usize = 16;

/// Time in milliseconds after which a response is no longer expected.
const TIMEOUT_MS: u64 = 1_000;

/// Least time between comparisons in milliseconds.
const COMPARE_INTERVAL_MS: u64 = 1_000;

/// The same while the own state changes: pushes are likely to bring what is missing.
const BUSY_INTERVAL_MS: u64 = 2_000;

/// Time without news in milliseconds after which the own state counts as settled.
const SETTLED_MS: u64 = 700;

/// A digest exchange in progress, and the progress of a new node.
#[derive(Debug)]
pub struct Repair {
    /// Where the sums came from.
    peer: Option<SocketAddr>,
    /// Number of parts of the digest.
    bucket_count: usize,
    /// Parts that differ and have not been asked for.
    pending: Vec<u16>,
    /// Parts that have been asked for.
    requests: Vec<Request>,
    /// Places at which the state once contained that of a ready node.
    synced: Box<[bool; BUCKETS]>,
    /// Ready nodes that responded, at most [`MAX_READY_PEERS`].
    ready_peers: Vec<SocketAddr>,
    /// When a comparison was last asked for.
    compared: Millis,
    /// When the own state last changed.
    last_change: Millis,
}

impl Repair {
    /// No exchange in progress.
    pub fn new() -> Self {
        Self {
            peer: None,
            bucket_count: BUCKETS,
            pending: Vec::new(),
            requests: Vec::new(),
            synced: Box::new([false; BUCKETS]),
            ready_peers: Vec::new(),
            compared: Millis(0),
            last_change: Millis(0),
        }
    }

    /// Notes that the own state changed.
    pub fn note_change(&mut self, now: Millis) {
        self.last_change = now;
    }

    /// Whether a comparison is due, given that a peer's digest differs or is unknown.
    /// An agent has few entries and compares them with few others.
    pub fn is_due(&self, now: Millis, leaf: bool) -> bool {
        let settled = leaf || now.since(self.last_change) >= SETTLED_MS;
        let interval_ms = if settled { COMPARE_INTERVAL_MS } else { BUSY_INTERVAL_MS };
        self.is_idle() && now.since(self.compared) >= interval_ms
    }

    /// Whether a new node should ask for a comparison.
    pub fn is_due_to_join(&self, now: Millis) -> bool {
        self.is_idle() && now.since(self.compared) >= TIMEOUT_MS / 2
    }

    /// Notes that a comparison was asked for.
    pub fn note_compare(&mut self, now: Millis) {
        self.compared = now;
    }

    /// Takes the sums of a peer. A node that is `joining` asks for what it has not covered;
    /// what changed since is repaired later.
    pub fn compare(
        &mut self,
        from: SocketAddr,
        state: &State,
        scope: &Scope,
        ready: bool,
        sums: &[u32],
        joining: bool,
    ) {
        let bucket_count = if sums.is_empty() { BUCKETS } else { sums.len() };
        let own = if sums.is_empty() {
            Vec::new()
        } else {
            state.digest().folded_hashes(scope, bucket_count)
        };
        self.peer = Some(from);
        self.bucket_count = bucket_count;
        self.pending.clear();
        let differs = |position: usize| {
            sums.get(position % bucket_count) != own.get(position % bucket_count)
        };
        for position in 0..BUCKETS {
            if !differs(position) {
                self.synced[position] |= ready;
            }
        }
        let all_synced = |bucket: usize| {
            (bucket..BUCKETS).step_by(bucket_count).all(|position| self.synced[position])
        };
        let buckets = (0..bucket_count).filter(|bucket| differs(*bucket));
        let wanted = buckets.filter(|bucket| !(joining && all_synced(*bucket)));
        self.pending.extend(wanted.map(|bucket| bucket as u16));
    }

    /// Whether each part of the state once contained that of a ready node.
    pub fn is_complete(&self) -> bool {
        self.synced.iter().all(|synced| *synced)
    }

    /// Notes that a ready node responded.
    pub fn note_ready_peer(&mut self, by: SocketAddr) {
        if self.ready_peers.len() < MAX_READY_PEERS && !self.ready_peers.contains(&by) {
            self.ready_peers.push(by);
        }
    }

    /// A ready node for a joining node to ask: one that responded before, or now and then
    /// `other`, so that more are found.
    pub fn choose_peer(
        &self,
        other: Option<SocketAddr>,
        rng: &mut Rng,
    ) -> Option<SocketAddr> {
        let known = rng.choice(&self.ready_peers).copied();
        let explore = self.ready_peers.len() < MAX_READY_PEERS && rng.u8(..4) == 0;
        if explore { other.or(known) } else { known.or(other) }
    }

    /// Whether the next part to ask for holds documents.
    pub fn is_document_pending(&self) -> bool {
        self.pending.iter().any(|bucket| holds_documents(*bucket))
    }

    /// Takes the next parts to ask for: the peer, the width of the digest, the parts.
    ///
    /// `peer` is asked if it is given, otherwise the one that sent the sums.
    pub fn next_request(
        &mut self,
        now: Millis,
        joining: bool,
        peer: Option<SocketAddr>,
        rng: &mut Rng,
    ) -> Option<(SocketAddr, u16, Vec<u16>)> {
        let (ready_peers, pending) = (&mut self.ready_peers, &mut self.pending);
        self.requests.retain(|request| {
            let late = now.since(request.at) >= TIMEOUT_MS;
            if late && joining {
                ready_peers.retain(|peer| *peer != request.peer);
                pending.extend(&request.buckets);
            }
            !late
        });
        let peer = peer.or(self.peer)?;
        let doubled = 2 * self.ready_peers.len();
        let window =
            if joining { doubled.clamp(2, MAX_JOIN_REQUESTS) } else { MAX_REQUESTS };
        if self.requests.len() >= window || self.pending.is_empty() {
            return None;
        }
        // Documents first. At random for joining nodes, so that those that join together do
        // not ask for the same parts and soon know more peers to ask.
        let document_index =
            self.pending.iter().position(|bucket| holds_documents(*bucket));
        let document_index = document_index.filter(|_| !joining);
        let index = document_index.unwrap_or_else(|| rng.usize(..self.pending.len()));
        let mut buckets = vec![self.pending.swap_remove(index)];
        if !joining {
            // Two nodes that serve differ in few entries, so that one response holds those
            // of several parts.
            let of_documents = holds_documents(buckets[0]);
            let is_same_kind =
                |bucket: &mut u16| holds_documents(*bucket) == of_documents;
            buckets.extend(
                self.pending.extract_if(.., is_same_kind).take(Pull::MAX_BUCKETS - 1),
            );
        }
        let request = Request {
            buckets: buckets.clone(),
            peer,
            at: now,
            received: 0,
            last_number: None,
        };
        self.requests.push(request);
        Some((peer, self.bucket_count as u16, buckets))
    }

    /// Notes a message with entries of a part.
    ///
    /// The part is covered if a ready node sent it and no message of the response is missing.
    pub fn note_fill(
        &mut self,
        now: Millis,
        bucket: u16,
        number: u8,
        ready: bool,
        last: bool,
    ) {
        let Some(index) = self
            .requests
            .iter()
            .position(|request| request.buckets.first() == Some(&bucket))
        else {
            return;
        };
        let request = &mut self.requests[index];
        request.at = now;
        request.received |= 1_u32.checked_shl(number.into()).unwrap_or(0);
        request.last_number = if last { Some(number) } else { request.last_number };
        // Messages of a response may overtake each other.
        let whole = request.last_number.is_some_and(|last_number| {
            request.received.count_ones() > last_number.into()
        });
        if !whole {
            return;
        }
        for bucket in
            self.requests.swap_remove(index).buckets.into_iter().filter(|_| ready)
        {
            let positions = (usize::from(bucket)..BUCKETS).step_by(self.bucket_count);
            positions.for_each(|position| self.synced[position] = true);
        }
    }

    /// Whether no exchange is in progress.
    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.requests.is_empty()
    }
}

impl Default for Repair {
    fn default() -> Self {
        Self::new()
    }
}

/// Parts that have been asked for together.
#[derive(Debug)]
struct Request {
    /// The parts.
    buckets: Vec<u16>,
    /// Who was asked.
    peer: SocketAddr,
    /// When it was asked for, or a message of the response last arrived.
    at: Millis,
    /// Bit `n` is set if message `n` of the response has arrived.
    received: u32,
    /// Position of the last message, once that has arrived.
    last_number: Option<u8>,
}
