//! Anti-entropy: paces digest comparisons and pulls, and decides when a new node has the full
//! state.

use std::net::SocketAddr;

use fastrand::Rng;

use crate::process::clock::Millis;
use crate::process::gossip::digest::{BUCKETS, Scope, holds_documents};
use crate::process::gossip::message::Pull;
use crate::process::gossip::state::State;

/// Pulls of a serving node that may be outstanding.
const MAX_REQUESTS: usize = 4;

/// Pulls of a joining node that may be outstanding: two for each ready peer, at most this many.
const MAX_JOIN_REQUESTS: usize = 16;

/// Ready peers that a joining node remembers.
const MAX_READY_PEERS: usize = 16;

/// Time in milliseconds after which a pull counts as lost.
const TIMEOUT_MS: u64 = 1_000;

/// Shortest interval between comparisons in milliseconds.
const COMPARE_INTERVAL_MS: u64 = 1_000;

/// Shortest interval between comparisons in milliseconds while new entries arrive: pushes are
/// likely to deliver what is missing.
const BUSY_INTERVAL_MS: u64 = 2_000;

/// Time without a new entry in milliseconds after which the state counts as settled.
const SETTLED_MS: u64 = 700;

/// The comparison in progress, and how much of the state a new node has.
#[derive(Debug)]
pub struct Repair {
    /// The peer whose bucket hashes were compared.
    peer: Option<SocketAddr>,
    /// Number of buckets of the compared digest.
    bucket_count: usize,
    /// Buckets that differ and have not been requested.
    pending: Vec<u16>,
    /// Outstanding pulls.
    requests: Vec<Request>,
    /// Buckets in which this node has had all entries of a ready node, at full resolution.
    synced: Box<[bool; BUCKETS]>,
    /// Ready nodes that responded, at most [`MAX_READY_PEERS`].
    ready_peers: Vec<SocketAddr>,
    /// When a comparison was last requested.
    compared: Millis,
    /// When an entry covered by the digest last changed.
    last_change: Millis,
}

impl Repair {
    /// Creates a state without a comparison in progress.
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

    /// Records that an entry covered by the digest changed.
    pub fn note_change(&mut self, now: Millis) {
        self.last_change = now;
    }

    /// Whether a comparison is due, given that a peer's digest differs or is unknown. An agent
    /// has few entries and compares them with few peers, so it does not wait to settle.
    pub fn is_due(&self, now: Millis, leaf: bool) -> bool {
        let settled = leaf || now.since(self.last_change) >= SETTLED_MS;
        let interval_ms = if settled { COMPARE_INTERVAL_MS } else { BUSY_INTERVAL_MS };
        self.is_idle() && now.since(self.compared) >= interval_ms
    }

    /// Whether a joining node should request a comparison.
    pub fn is_due_to_join(&self, now: Millis) -> bool {
        self.is_idle() && now.since(self.compared) >= TIMEOUT_MS / 2
    }

    /// Records that a comparison was requested.
    pub fn note_compare(&mut self, now: Millis) {
        self.compared = now;
    }

    /// Compares the bucket hashes of a peer with the own ones. A `joining` node requests only
    /// buckets that it has not synchronized yet; later changes are repaired once it is ready.
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

    /// Whether all buckets were synchronized with a ready node.
    pub fn is_complete(&self) -> bool {
        self.synced.iter().all(|synced| *synced)
    }

    /// Records that a ready node responded.
    pub fn note_ready_peer(&mut self, by: SocketAddr) {
        if self.ready_peers.len() < MAX_READY_PEERS && !self.ready_peers.contains(&by) {
            self.ready_peers.push(by);
        }
    }

    /// Chooses a ready node for a joining node to pull from: one that responded before, or
    /// sometimes `other`, so that more are found.
    pub fn choose_peer(
        &self,
        other: Option<SocketAddr>,
        rng: &mut Rng,
    ) -> Option<SocketAddr> {
        let known = rng.choice(&self.ready_peers).copied();
        let explore = self.ready_peers.len() < MAX_READY_PEERS && rng.u8(..4) == 0;
        if explore { other.or(known) } else { known.or(other) }
    }

    /// Whether a bucket that holds documents waits to be requested.
    pub fn is_document_pending(&self) -> bool {
        self.pending.iter().any(|bucket| holds_documents(*bucket))
    }

    /// Takes the next pull to send: the peer, the number of buckets of the digest, the buckets.
    ///
    /// The pull goes to `peer` if it is given, otherwise to the peer that sent the bucket
    /// hashes.
    pub fn next_request(
        &mut self,
        now: Millis,
        joining: bool,
        peer: Option<SocketAddr>,
        rng: &mut Rng,
    ) -> Option<(SocketAddr, u16, Vec<u16>)> {
        let (ready_peers, pending) = (&mut self.ready_peers, &mut self.pending);
        self.requests.retain(|request| {
            let late = now.since(request.last_activity) >= TIMEOUT_MS;
            if late && joining {
                ready_peers.retain(|peer| *peer != request.peer);
                pending.extend(&request.buckets);
            }
            !late
        });
        let peer = peer.or(self.peer)?;
        let doubled = 2 * self.ready_peers.len();
        let limit =
            if joining { doubled.clamp(2, MAX_JOIN_REQUESTS) } else { MAX_REQUESTS };
        if self.requests.len() >= limit || self.pending.is_empty() {
            return None;
        }
        // Documents come first. Joining nodes pick at random, so that nodes that join together
        // request different buckets and can soon pull from each other.
        let document_index =
            self.pending.iter().position(|bucket| holds_documents(*bucket));
        let document_index = document_index.filter(|_| !joining);
        let index = document_index.unwrap_or_else(|| rng.usize(..self.pending.len()));
        let mut buckets = vec![self.pending.swap_remove(index)];
        if !joining {
            // Two serving nodes differ in few entries, so that one response can hold the
            // entries of several buckets.
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
            last_activity: now,
            received: 0,
            last_number: None,
        };
        self.requests.push(request);
        Some((peer, self.bucket_count as u16, buckets))
    }

    /// Records a response message.
    ///
    /// The requested buckets are synchronized if a ready node sent the response and no message
    /// of it is missing.
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
        request.last_activity = now;
        request.received |= 1_u32.checked_shl(number.into()).unwrap_or(0);
        request.last_number = if last { Some(number) } else { request.last_number };
        // Messages of a response may arrive out of order.
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

    /// Whether no comparison is in progress.
    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.requests.is_empty()
    }
}

impl Default for Repair {
    fn default() -> Self {
        Self::new()
    }
}

/// An outstanding pull.
#[derive(Debug)]
struct Request {
    /// The requested buckets.
    buckets: Vec<u16>,
    /// The peer that the pull was sent to.
    peer: SocketAddr,
    /// When the pull was sent, or a message of the response last arrived.
    last_activity: Millis,
    /// Bit `n` is set if message `n` of the response has arrived.
    received: u32,
    /// Number of the last message, once that has arrived.
    last_number: Option<u8>,
}
